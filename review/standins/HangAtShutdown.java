import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One exchange hangs through a planned restart; calls in transit keep arriving. */
final class HangAtShutdown extends Case {
    /** A try is given up after 30 to 40% of the timer limit of 9 s. */
    private static final long WAIT_MS = 3_400;

    /** The longest deadline is 9 s, counted as 3 s here. */
    private static final long SIGKILL_AFTER_MS = 3_000 + 700;

    /** What SIGKILL finds unanswered is lost if it came later than this after SIGTERM. */
    private static final long LOST_AFTER_MS = 700;

    private HangAtShutdown(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new HangAtShutdown(Path.of(args[0])));
    }

    @Override
    List<String> play() throws Exception {
        routerPort = freePort();
        openExchanges(20);
        Process router = startRouter("8c1f30d27a5be964");
        awaitReady(router);
        Callers callers = new Callers(this, 7);
        List<Callers.Connection> connections = callers.connect(2, routerPort);
        for (int i = 0; i < 60; i++) {
            callers.setUp(connections.get(i % 2), 1 + i % 20, i % 4 == 3, WAIT_MS);
            sleep(50);
        }
        Exchange hanging = exchanges.get(4);
        if (TROUBLE) {
            hanging.hangs = true;
            log("exchange " + hanging.id + " hangs");
        }
        long termAt = now();
        router.destroy();
        log("SIGTERM");
        // A call in transit every 100 ms, each to another exchange in turn, as long as the process
        // runs.
        Callers.Connection transit = connections.get(0);
        for (int i = 0; router.isAlive() && now() - termAt < SIGKILL_AFTER_MS; i++) {
            if (!transit.open) {
                break;
            }
            try {
                callers.setUp(transit, 1 + (i + 16) % 20, true, WAIT_MS);
            } catch (java.io.IOException e) {
                break;
            }
            sleep(100);
        }
        router.waitFor(Math.max(0, SIGKILL_AFTER_MS - (now() - termAt)), TimeUnit.MILLISECONDS);
        long killAt = now();
        boolean killed = router.isAlive();
        router.destroyForcibly();
        log(killed ? "SIGKILL " + (killAt - termAt) + " ms after SIGTERM" : "ended by itself");
        router.waitFor(5, TimeUnit.SECONDS);
        sleep(300);
        List<String> broken = new ArrayList<>();
        for (Callers.Call call : callers.allCalls()) {
            long after = call.sentAt - termAt;
            if (killed
                    && after > LOST_AFTER_MS
                    && !call.hasFinalAnswer()
                    && call.sentAt < killAt - 50) {
                broken.add(
                        "set-up "
                                + call.id
                                + " came "
                                + after
                                + " ms after SIGTERM and is without an answer at SIGKILL");
            }
        }
        return broken;
    }
}
