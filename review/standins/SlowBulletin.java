import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Each answer of the bulletin comes 600 ms late while an exchange is replaced. */
final class SlowBulletin extends Case {
    private static final long SLOWNESS_MS = 600;
    private static final long SLOW_FROM_MS = 5_000;
    private static final long TERMINATING_AT_MS = 13_000;
    private static final long DIES_AT_MS = 28_000;
    private static final long ENDS_AT_MS = 32_000;

    /** contract.stop_sending_within, and the slack of the rules on sockets. */
    private static final long GRACE_MS = 1_000 + 50;

    /** What a silent bulletin would have told counts as told this long after it fell silent. */
    private static final long SILENCE_EXCUSE_MS = 7_000;

    private SlowBulletin(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new SlowBulletin(Path.of(args[0])));
    }

    @Override
    List<String> play() throws Exception {
        routerPort = freePort();
        openExchanges(6);
        Process router = startRouter("8c1f30d27a5be964");
        awaitReady(router);
        Callers callers = new Callers(this, 7);
        List<Callers.Connection> connections = callers.connect(4, routerPort);
        long from = now();
        long slowFrom = 0;
        long toldAt = 0;
        Exchange old = exchanges.get(2);
        Exchange replacement = null;
        boolean died = false;
        for (int i = 0; now() - from < ENDS_AT_MS; i++) {
            long at = now() - from;
            if (TROUBLE && slowFrom == 0 && at >= SLOW_FROM_MS) {
                bulletin.slowness = SLOWNESS_MS;
                slowFrom = now();
                log("the bulletin is slow from now on");
            }
            if (toldAt == 0 && at >= TERMINATING_AT_MS) {
                replacement = new Exchange(this, "s-00000201", old.number, now());
                toldAt = now();
                bulletin.publish(
                        false,
                        List.of(old.entry("terminating"), replacement.entry("in_service")));
            }
            if (!died && at >= DIES_AT_MS) {
                died = true;
                old.die();
                bulletin.publish(false, List.of(old.entry("terminated")));
            }
            callers.setUp(connections.get(i % 4), 1 + i % 6, false, 3_000);
            sleep(60);
        }
        if (!router.isAlive()) {
            throw new CannotRun("the router ended");
        }
        // Counted from the later of the two: the event, and 7 s after the bulletin grew slow.
        long countsAsTold = Math.max(toldAt, slowFrom + SILENCE_EXCUSE_MS);
        List<String> broken = new ArrayList<>();
        int cut = 0;
        for (Exchange.Call call : old.allCalls()) {
            long late = call.receivedAt - countsAsTold;
            if (late > GRACE_MS) {
                broken.add(
                        "INVITE "
                                + call.id
                                + " came to "
                                + old.id
                                + " "
                                + late
                                + " ms after it counted as told that it terminates");
                cut += "cut".equals(call.end) ? 1 : 0;
            }
        }
        log(cut + " of these calls stood and were cut as " + old.id + " ended");
        log("the replacement " + replacement.id + " got " + replacement.allCalls().size());
        return broken;
    }
}
