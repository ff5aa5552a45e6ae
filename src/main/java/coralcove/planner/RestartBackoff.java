package coralcove.planner;

import java.util.random.RandomGenerator;

/**
 * Restart back-off of a planner process: the delay doubles each time the planner ends soon after
 * its start, and is randomized so that the planners of many routers do not restart at the same
 * time. The edge keeps running meanwhile. No clock of its own.
 */
public final class RestartBackoff {
    /** µs: the first restart delay. */
    private static final long INITIAL_DELAY_MICROS = 200_000;

    /** µs: the longest restart delay; plans stay in use for a minute without a planner. */
    private static final long MAX_DELAY_MICROS = 30_000_000;

    /** µs of running after which a planner counts as stable and the delay is reset. */
    private static final long STABLE_AFTER_MICROS = 20_000_000;

    private final RandomGenerator random;
    private long delay = INITIAL_DELAY_MICROS;
    private long startedAt;
    private long startCount;

    /** Creates a back-off that randomizes its delays by {@code random}. */
    public RestartBackoff(RandomGenerator random) {
        this.random = random;
    }

    /** Records that a planner process was started at {@code now}, µs. */
    public void started(long now) {
        startedAt = now;
        startCount++;
    }

    /**
     * Records that the planner process ended at {@code now}, µs, and returns the time at which to
     * start it again: after half to one and a half times the current delay.
     */
    public long restartTimeAfterExit(long now) {
        if (now - startedAt >= STABLE_AFTER_MICROS) {
            delay = INITIAL_DELAY_MICROS;
        }
        long restartAt = now + delay / 2 + random.nextLong(delay);
        delay = Math.min(MAX_DELAY_MICROS, 2 * delay);
        return restartAt;
    }

    /** Number of times that the planner was started. */
    public long startCount() {
        return startCount;
    }
}
