import java.util.ArrayList;
import java.util.List;

/**
 * The call router is killed and starts anew; at the same time an exchange dies, and is back before
 * the callers report what stands.
 */
final class Reported {
    /** "The processors of up to 12% of the exchanges die": 1 of 9 here. */
    private static final int EXCHANGES = 9;

    /** "they come back cold after 5.2 to 20 s". */
    private static final double DOWN_S = 5.2;

    /** add_s = [0.27, 1.8]: the list tells of a start this much later. */
    private static final double TOLD_AFTER = 0.5;

    /** The front "notices a dead one only after some seconds": the callers report then. */
    private static final double REPORTED_AFTER = 6.5;

    /** "within 8 s of its end", and 50 ms. */
    private static final double LATEST = 8.05;

    private static final double RATE = 15;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], Reported::broken);
    }

    /** Sends set-ups for a time. */
    private static void load(Kit.Caller caller, List<Kit.Call> calls, double seconds)
            throws Exception {
        double end = Kit.now() + seconds;
        for (double next = Kit.now(); Kit.now() < end; Kit.sleep(0.002)) {
            if (Kit.now() >= next) {
                next += 1 / RATE;
                calls.add(caller.setUp(1 + calls.size() % EXCHANGES, 3.4, false));
            }
        }
    }

    private static void report(Kit.Caller caller, Kit.Call call, Kit.Exchange at)
            throws Exception {
        Kit.note("caller reports " + Kit.hex(call.id) + " at " + at.name);
        caller.send(
                Kit.message(
                        1,
                        call.id,
                        64,
                        "slot-lookup",
                        65,
                        "3400",
                        68,
                        Kit.hex(call.id),
                        69,
                        "dest:" + at.cell + ";width:1;via:-1;at:" + at.name,
                        79,
                        call.description));
    }

    private static boolean broken() throws Exception {
        Kit.Bulletin bulletin = new Kit.Bulletin();
        List<Kit.Exchange> exchanges = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int cell = 1; cell <= EXCHANGES; cell++) {
            Kit.Exchange exchange = new Kit.Exchange("s-0000000" + cell, cell);
            exchange.listen();
            exchanges.add(exchange);
            entries.add(exchange.entry("in_service", 0));
        }
        String settings = Kit.Router.settings("@balancers", "10");
        bulletin.event(true, entries.toArray(new String[0]));
        Kit.Router router = new Kit.Router("n0");
        router.start(bulletin, settings);
        router.awaitReady();
        Kit.Caller caller = router.connect();
        List<Kit.Call> calls = new ArrayList<>();
        load(caller, calls, 20);
        Kit.sleep(0.5);

        Kit.Exchange second = exchanges.get(1);
        List<Kit.Call> cut = new ArrayList<>();
        double killedAt = Kit.now();
        double diedAt = killedAt;
        if (Kit.TROUBLE) {
            router.signal("KILL");
            router.process.waitFor();
            caller.close();
            killedAt = Kit.now();
            Kit.sleep(0.2);
            for (Kit.Call call : calls) {
                for (Kit.Exchange.Leg leg : second.legsOf(Kit.hex(call.id))) {
                    if (call.stands() && leg.answered && !leg.over) {
                        cut.add(call);
                    }
                }
            }
            second.die();
            diedAt = Kit.now();
            Kit.sleep(0.8);
            bulletin.restart(entries.toArray(new String[0]));
            router.start(bulletin, settings);
            router.awaitReady();
            Kit.sleep(diedAt + DOWN_S - Kit.now());
            long startedMs = System.currentTimeMillis();
            second.listen();
            Kit.note(second.name + " is back");
            Kit.after(
                    TOLD_AFTER,
                    () -> bulletin.event(false, second.entry("in_service", startedMs)));
            Kit.sleep(killedAt + REPORTED_AFTER - Kit.now());
            caller = router.connect();
            for (Kit.Call call : List.copyOf(calls)) {
                for (Kit.Exchange exchange : exchanges) {
                    if (call.stands() && !exchange.legsOf(Kit.hex(call.id)).isEmpty()) {
                        report(caller, call, exchange);
                    }
                }
            }
        }
        load(caller, calls, 20);
        int lost = 0;
        for (Kit.Call call : cut) {
            // The end came while no call router ran: 8 s count from the report.
            lost += call.endedAt == 0 || call.endedAt > killedAt + REPORTED_AFTER + LATEST ? 1 : 0;
        }
        int others = 0;
        for (Kit.Call call : calls) {
            for (Kit.Exchange exchange : exchanges) {
                for (Kit.Exchange.Leg leg : exchange.legsOf(Kit.hex(call.id))) {
                    others += !cut.contains(call) && call.stands() && leg.over ? 1 : 0;
                }
            }
        }
        Kit.note(
                String.format(
                        "%d calls were cut by the death of %s: %d of them were not released to"
                                + " their callers, %.1f s later; %d calls at other exchanges stand"
                                + " though they are over",
                        cut.size(), second.name, lost, Kit.now() - diedAt, others));
        return lost > 0;
    }

    private Reported() {}
}
