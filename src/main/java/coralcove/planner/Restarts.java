package coralcove.planner;

import java.util.random.RandomGenerator;

/**
 * Decides when a planner that has ended is started again: after gaps that grow with each short life
 * and are drawn anew, so that the planners of many routers do not all start at once. Its edge is
 * never ended with it. No clock of its own.
 */
public final class Restarts {
    /** µs: the first gap and the longest; a minute without a planner is what plans last. */
    private static final long FIRST = 200_000;

    private static final long LONGEST = 30_000_000;

    /** µs: a planner that ran so long was well; the gaps begin anew. */
    private static final long WELL = 20_000_000;

    private final RandomGenerator chance;
    private long gap = FIRST;
    private long startedAt;
    private long count;

    public Restarts(RandomGenerator chance) {
        this.chance = chance;
    }

    /** A planner has been started. */
    public void started(long now) {
        startedAt = now;
        count++;
    }

    /**
     * It has ended; the moment at which it is to be started again: after half to one and a half of
     * the gap.
     */
    public long ended(long now) {
        if (now - startedAt >= WELL) {
            gap = FIRST;
        }
        long at = now + gap / 2 + chance.nextLong(gap);
        gap = Math.min(LONGEST, 2 * gap);
        return at;
    }

    /** How often it was started. */
    public long count() {
        return count;
    }
}
