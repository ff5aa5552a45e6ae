import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A planned restart of a busy router. Calls come to their end while no router runs; the exchanges
 * release them to the next one.
 */
final class RestartReleases extends Case {
    /** About 50 calls a second reach the busiest router. */
    private static final long CALL_EVERY_MS = 20;

    private static final long BEFORE_MS = 15_000;
    private static final long NEXT_STARTS_AFTER_MS = 3_000;
    private static final long FRONT_TESTS_EVERY_MS = 250;
    private static final long CALLERS_COME_AFTER_MS = 200;
    private static final long AFTER_MS = 12_000;

    /** The end of a call that could not be released has to reach the client in this time. */
    private static final long BOUND_MS = 8_000 + 50;

    private final Callers callers = new Callers(this, 7);
    private List<Callers.Connection> connections;
    private int sent;

    private RestartReleases(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new RestartReleases(Path.of(args[0])));
    }

    private void call(long forMs) throws Exception {
        long from = now();
        for (int i = 0; now() - from < forMs; i++) {
            callers.setUp(connections.get(sent % 8), 1 + sent % 6, false, 3_000);
            sent++;
            sleep(from + (i + 1) * CALL_EVERY_MS - now());
        }
    }

    @Override
    List<String> play() throws Exception {
        routerPort = freePort();
        openExchanges(6);
        Process router = startRouter("8c1f30d27a5be964");
        awaitReady(router);
        connections = callers.connect(8, routerPort);
        call(BEFORE_MS);
        long stoppedAt = now();
        long readyAt = now();
        if (TROUBLE) {
            router.destroy();
            log("SIGTERM");
            // Callers come for a while yet.
            call(400);
            if (!router.waitFor(3_700, TimeUnit.MILLISECONDS)) {
                log("SIGKILL");
                router.destroyForcibly();
                router.waitFor();
            }
            for (Callers.Connection each : connections) {
                each.close();
            }
            sleep(NEXT_STARTS_AFTER_MS);
            router = startRouter("8c1f30d27a5be965");
            // The front tests on a new connection each time, and closes it.
            while (!tested()) {
                if (now() - stoppedAt > 30_000) {
                    throw new CannotRun("the router was not ready within 30 s");
                }
                sleep(FRONT_TESTS_EVERY_MS);
            }
            readyAt = now();
            log("the router passed a test " + (readyAt - stoppedAt) + " ms after SIGTERM");
            sleep(CALLERS_COME_AFTER_MS);
            connections = callers.connect(8, routerPort);
            tellStanding();
        }
        call(AFTER_MS);
        if (!router.isAlive()) {
            throw new CannotRun("the router ended");
        }
        List<String> broken = new ArrayList<>();
        int ended = 0;
        for (Exchange exchange : exchanges) {
            for (Exchange.Call call : exchange.allCalls()) {
                Callers.Call seen = callers.call(call.id);
                if (call.answeredAt == 0
                        || seen.answeredAt == 0
                        || call.endedAt == 0
                        || now() - call.endedAt < BOUND_MS) {
                    continue;
                }
                ended++;
                if (seen.releasedAt == 0) {
                    broken.add(
                            "call "
                                    + call.id
                                    + " ended "
                                    + (call.endedAt - stoppedAt)
                                    + " ms after the stop, its release was sent to the router at "
                                    + (call.releasedAt - stoppedAt)
                                    + " ms, and its caller has heard nothing for "
                                    + (now() - call.endedAt)
                                    + " ms");
                } else if (seen.releasedAt - call.endedAt > BOUND_MS) {
                    broken.add(
                            "call "
                                    + call.id
                                    + " was released "
                                    + (seen.releasedAt - call.endedAt)
                                    + " ms after its end");
                }
            }
        }
        log(ended + " calls ended in time to be judged");
        return broken;
    }

    private boolean tested() throws InterruptedException {
        try (Callers.Connection front = new Callers.Connection(null, this, routerPort)) {
            boolean passed = front.test(500);
            log("the front's test " + (passed ? "passed" : "failed"));
            return passed;
        } catch (IOException e) {
            return false;
        }
    }

    /** The callers tell the new router of each call that stands as far as they know. */
    private void tellStanding() throws IOException {
        int i = 0;
        for (Exchange exchange : exchanges) {
            for (Exchange.Call call : exchange.allCalls()) {
                Callers.Call seen = callers.call(call.id);
                if (seen.answeredAt > 0 && seen.releasedAt == 0) {
                    callers.tellStanding(connections.get(i++ % 8), seen, exchange.id);
                }
            }
        }
    }
}
