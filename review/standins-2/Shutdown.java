import java.util.ArrayList;
import java.util.List;

/**
 * A planned restart while one exchange hangs through the whole of it: calls in transit keep arriving
 * as long as the process runs, and each that comes later than 0.7 s after SIGTERM has to be answered
 * by SIGKILL.
 */
final class Shutdown {
    /** Longest deadline, taken as 3 s where longer, plus 0.7 s; SIGKILL comes no sooner. */
    private static final double KILL_AFTER = 3.0 + 0.7 + 0.05;

    /** 30 to 40% of the deadline of 9 s, less what the way to this call router took. */
    private static final double WAIT = 3.4;

    private static volatile boolean hangs;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], Shutdown::broken);
    }

    private static boolean broken() throws Exception {
        Kit.Bulletin bulletin = new Kit.Bulletin();
        List<Kit.Exchange> exchanges = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int cell = 1; cell <= 8; cell++) {
            boolean mayHang = cell == 2;
            Kit.Exchange exchange =
                    new Kit.Exchange("s-0000000" + cell, cell) {
                        @Override
                        void answer(Leg leg) {
                            if (!(mayHang && hangs)) {
                                super.answer(leg);
                            }
                        }
                    };
            exchange.listen();
            exchanges.add(exchange);
            entries.add(exchange.entry("in_service", 0));
        }
        bulletin.event(true, entries.toArray(new String[0]));
        Kit.Router router = new Kit.Router("n0");
        router.start(bulletin, Kit.Router.settings("@balancers", "9"));
        router.awaitReady();

        // Subscribers' calls on connections of their own, and calls in transit on one of theirs.
        Kit.Caller transit = router.connect();
        List<Kit.Caller> subscribers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            subscribers.add(router.connect());
        }
        double termAt = Kit.now() + 10;
        double nextTransit = Kit.now();
        double nextLocal = Kit.now();
        boolean termSent = false;
        List<Kit.Call> late = new ArrayList<>();
        int number = 0;
        int transits = 0;
        while (Kit.now() < termAt + KILL_AFTER && (!termSent || router.process.isAlive())) {
            double now = Kit.now();
            if (!hangs && Kit.TROUBLE && now > termAt - 0.05) {
                Kit.note(exchanges.get(1).name + " hangs from now on");
                hangs = true;
            }
            if (!termSent && now >= termAt) {
                termSent = true;
                router.signal("TERM");
                termAt = Kit.now();
            }
            if (now >= nextLocal && now < termAt + 0.5) {
                nextLocal += 0.2;
                subscribers.get(number % 8).setUp(1 + number++ % 8, WAIT, false);
            }
            if (now >= nextTransit && transit.isOpen()) {
                nextTransit += 0.03;
                try {
                    Kit.Call call = transit.setUp(1 + transits++ % 8, WAIT, true);
                    if (termSent && call.sentAt > termAt + 0.7) {
                        late.add(call);
                    }
                } catch (java.io.IOException e) {
                    Kit.note("the connection of the calls in transit is closed");
                }
            }
            Kit.sleep(0.002);
        }
        boolean killed = router.process.isAlive();
        double killAt = Kit.now();
        if (killed) {
            router.signal("KILL");
            router.process.waitFor();
        }
        Kit.sleep(0.3);
        int lost = 0;
        for (Kit.Call call : late) {
            // One that crossed SIGKILL, or an earlier end of the process, is not counted.
            boolean unanswered = call.finals == 0 && call.sentAt < killAt - 0.1;
            if (unanswered) {
                lost++;
                Kit.note(
                        String.format(
                                "no answer to %s, sent %.3f s after SIGTERM, SIGKILL at %.3f s",
                                Kit.hex(call.id), call.sentAt - termAt, killAt - termAt));
            }
        }
        Kit.note(
                String.format(
                        "%d calls in transit came later than 0.7 s after SIGTERM, %d were found"
                                + " unanswered%s",
                        late.size(), lost, killed ? " by SIGKILL" : "; the process had ended"));
        return lost > 0;
    }

    private Shutdown() {}
}
