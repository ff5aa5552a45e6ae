import java.util.ArrayList;
import java.util.List;

/** The bulletin is silent for 12 s; in this time an exchange begins to drain. */
final class Outage {
    /** "longer outages of discovery" than "discovery is down for 8 s". */
    private static final double OUTAGE = 12;

    /** When the event is in the bulletin, in s after the silence began. */
    private static final double EVENT_AFTER = 2;

    /** Grace of the settings, "each time limit 50 ms longer". */
    private static final double GRACE = 1.05;

    /** "counts as told at the latest 7 s after that began". */
    private static final double TOLD_AFTER = 7;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], Outage::broken);
    }

    private static boolean broken() throws Exception {
        Kit.Bulletin bulletin = new Kit.Bulletin();
        List<Kit.Exchange> exchanges = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        List<Double> invites = new ArrayList<>();
        for (int cell = 1; cell <= 3; cell++) {
            boolean drains = cell == 2;
            Kit.Exchange exchange =
                    new Kit.Exchange("s-0000000" + cell, cell) {
                        @Override
                        void invite(Leg leg, Kit.Sip message) {
                            if (drains) {
                                synchronized (invites) {
                                    invites.add(Kit.now());
                                }
                            }
                            super.invite(leg, message);
                        }
                    };
            exchange.listen();
            exchanges.add(exchange);
            entries.add(exchange.entry("in_service", 0));
        }
        bulletin.event(true, entries.toArray(new String[0]));
        Kit.Router router = new Kit.Router("n0");
        router.start(bulletin, Kit.Router.settings());
        router.awaitReady();
        Kit.Caller caller = router.connect();
        double start = Kit.now();
        double silentAt = start + 15;
        int step = 0;
        int calls = 0;
        for (double next = start; Kit.now() < silentAt + OUTAGE + 5; Kit.sleep(0.002)) {
            if (Kit.now() >= next) {
                next += 0.025;
                caller.setUp(1 + calls++ % 3, 3.4, false);
            }
            if (step == 0 && Kit.now() > silentAt) {
                step = 1;
                silentAt = Kit.now();
                if (Kit.TROUBLE) {
                    bulletin.silent = true;
                    Kit.note("the bulletin is silent from now on");
                }
            }
            if (step == 1 && Kit.now() > silentAt + EVENT_AFTER) {
                step = 2;
                bulletin.event(false, exchanges.get(1).entry("terminating", 0));
            }
            if (step == 2 && Kit.now() > silentAt + OUTAGE) {
                step = 3;
                bulletin.silent = false;
                Kit.note("the bulletin answers again");
            }
        }
        int late = 0;
        double last = 0;
        double limit = (Kit.TROUBLE ? TOLD_AFTER : EVENT_AFTER) + GRACE;
        for (double at : invites) {
            late += at > silentAt + limit ? 1 : 0;
            last = at;
        }
        Kit.note(
                String.format(
                        "%d set-ups went to the draining exchange later than %.2f s after the"
                                + " silence began, the last at %.3f s",
                        late, limit, last - silentAt));
        return late > 0;
    }

    private Outage() {}
}
