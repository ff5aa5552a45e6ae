import java.util.ArrayList;
import java.util.List;

/** An exchange drains and stops, and a new one, under a new id, takes its address at once. */
final class InPlace {
    /** Time from the end of the old process until the new one listens, in s. */
    private static final double GAP = 0.05;

    /** add_s = [0.27, 1.8]: the list tells of a new exchange this much later. */
    private static final double TOLD_AFTER = 1.0;

    /** "within 8 s of its end", and 50 ms. */
    private static final double LATEST = 8.05;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], InPlace::broken);
    }

    private static boolean broken() throws Exception {
        Kit.Bulletin bulletin = new Kit.Bulletin();
        List<Kit.Exchange> exchanges = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int cell = 1; cell <= 4; cell++) {
            Kit.Exchange exchange = new Kit.Exchange("s-0000000" + cell, cell);
            exchange.listen();
            exchanges.add(exchange);
            entries.add(exchange.entry("in_service", 0));
        }
        bulletin.event(true, entries.toArray(new String[0]));
        Kit.Router router = new Kit.Router("n0");
        router.start(bulletin, Kit.Router.settings("@balancers", "5"));
        router.awaitReady();
        Kit.Caller caller = router.connect();
        Kit.Exchange old = exchanges.get(1);
        Kit.Exchange fresh = new Kit.Exchange("s-0000000a", 2);
        fresh.port = old.port;
        List<Kit.Call> calls = new ArrayList<>();
        double start = Kit.now();
        int step = 0;
        double diedAt = 0;
        List<Long> cut = new ArrayList<>();
        for (double next = start; Kit.now() < start + 35; Kit.sleep(0.002)) {
            double now = Kit.now() - start;
            if (Kit.TROUBLE && step == 0 && now > 10) {
                step = 1;
                bulletin.event(false, old.entry("terminating", 0));
            }
            if (step == 1 && now > 15) {
                step = 2;
                for (String id : old.legs.keySet()) {
                    for (Kit.Exchange.Leg leg : old.legsOf(id)) {
                        if (leg.answered && !leg.over) {
                            cut.add(Long.parseUnsignedLong(id, 16));
                        }
                    }
                }
                old.die();
                diedAt = Kit.now();
                Kit.sleep(GAP);
                long startedMs = System.currentTimeMillis();
                fresh.listen();
                Kit.note(fresh.name + " listens at the address of " + old.name);
                Kit.after(
                        TOLD_AFTER,
                        () ->
                                bulletin.event(
                                        false,
                                        old.entry("terminated", 0),
                                        fresh.entry("in_service", startedMs)));
            }
            if (Kit.now() >= next) {
                next += 0.1;
                calls.add(caller.setUp(1 + calls.size() % 4, 3.4, false));
            }
        }
        int standing = 0;
        int late = 0;
        for (Kit.Call call : calls) {
            if (cut.contains(call.id) && call.answeredAt > 0) {
                standing += call.endedAt == 0 ? 1 : 0;
                late += call.endedAt > 0 && call.endedAt - diedAt > LATEST ? 1 : 0;
            }
        }
        Kit.note(
                String.format(
                        "%d calls were cut by the end of %s: %d stay standing at their callers,"
                                + " %d were released later than %.2f s",
                        cut.size(), old.name, standing, late, LATEST));
        return standing + late > 0;
    }

    private InPlace() {}
}
