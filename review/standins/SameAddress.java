import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** An exchange's machine vanishes, and 3 s later a new exchange under a new id has its address. */
final class SameAddress extends Case {
    private static final long VANISHES_AT_MS = 6_000;
    private static final long REPLACED_AFTER_MS = 3_000;

    /** The list learns of the new exchange this much after it started. */
    private static final long NEW_LISTED_AFTER_MS = 1_500;

    /** The list learns of the old one this much after it vanished. */
    private static final long OLD_LISTED_AFTER_MS = 7_000;

    private static final long ENDS_AT_MS = 26_000;

    /** The end of a call that could not be released has to reach the client in this time. */
    private static final long BOUND_MS = 8_000 + 50;

    private SameAddress(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new SameAddress(Path.of(args[0])));
    }

    @Override
    List<String> play() throws Exception {
        routerPort = freePort();
        openExchanges(6);
        exchanges.forEach(each -> each.holdMs = 18_900);
        Process router = startRouter("8c1f30d27a5be964");
        awaitReady(router);
        Callers callers = new Callers(this, 7);
        List<Callers.Connection> connections = callers.connect(4, routerPort);
        long from = now();
        Exchange old = exchanges.get(1);
        long diedAt = 0;
        Exchange next = null;
        boolean newListed = false;
        boolean oldListed = false;
        for (int i = 0; now() - from < ENDS_AT_MS; i++) {
            long at = now() - from;
            if (diedAt == 0 && at >= VANISHES_AT_MS) {
                diedAt = now();
                start("vanish", old::vanish);
            }
            long since = diedAt == 0 ? 0 : now() - diedAt;
            if (next == null && since >= REPLACED_AFTER_MS) {
                if (TROUBLE) {
                    old.leaveAddress();
                    next = new Exchange(this, "s-00000301", old.number, now(), old.port());
                } else {
                    // Without the disruption the new exchange has an address of its own.
                    next = new Exchange(this, "s-00000301", old.number, now());
                }
                next.holdMs = 18_900;
                log("exchange " + next.id + " listens on port " + next.port());
            }
            if (!newListed && since >= REPLACED_AFTER_MS + NEW_LISTED_AFTER_MS) {
                newListed = true;
                bulletin.publish(false, List.of(next.entry("in_service")));
            }
            if (!oldListed && since >= OLD_LISTED_AFTER_MS) {
                oldListed = true;
                bulletin.publish(false, List.of(old.entry("terminated")));
            }
            callers.setUp(connections.get(i % 4), 1 + i % 6, false, 3_000);
            sleep(100);
        }
        if (!router.isAlive()) {
            throw new CannotRun("the router ended");
        }
        Set<String> cut = new HashSet<>();
        for (Exchange.Call call : old.allCalls()) {
            if ("cut".equals(call.end) && call.answeredAt > 0) {
                cut.add(call.id);
            }
        }
        log(cut.size() + " calls stood at " + old.id + " when it vanished");
        List<String> broken = new ArrayList<>();
        for (String id : cut) {
            Callers.Call call = callers.call(id);
            if (call.releasedAt == 0) {
                broken.add(
                        "call " + id + " ended " + (now() - diedAt) + " ms ago, not released yet");
            } else if (call.releasedAt - diedAt > BOUND_MS) {
                broken.add(
                        "call "
                                + id
                                + " was released "
                                + (call.releasedAt - diedAt)
                                + " ms after its end");
            }
        }
        if (cut.isEmpty()) {
            throw new CannotRun("no call stood at " + old.id);
        }
        return broken;
    }
}
