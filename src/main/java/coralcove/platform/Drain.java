package coralcove.platform;

/**
 * How a router goes after SIGTERM: it takes set-ups while the front still sends some, then no
 * further connection, then it waits until nobody says anything and what it told was heard. Only
 * then it ends, and with it its legs: what an exchange sends from there on it finds undelivered,
 * and sends again to the router that follows.
 */
final class Drain {
    /**
     * µs after SIGTERM for which set-ups are still taken, and those after it turned away at once.
     */
    private static final long TAKES = 1_000_000;

    /** µs without a message from callers after which a drained router goes on. */
    private static final long QUIET = 150_000;

    /**
     * µs for which it waits for news to be heard: a caller that hears says so in some ms, one that
     * is gone never.
     */
    private static final long HEARD = 600_000;

    /** What is to be done next. */
    enum Step {
        NOTHING,
        DEAF,
        END
    }

    private long since;
    private long deafAt;
    private long silentAt;
    private boolean ended;

    /** SIGTERM; a second one changes nothing. */
    boolean begin(long now) {
        boolean first = since == 0;
        since = first ? now : since;
        return first;
    }

    boolean begun() {
        return since > 0;
    }

    boolean takes(long now) {
        return since == 0 || now - since <= TAKES;
    }

    /**
     * {@code idle}: nothing is in hand and all that was read has been looked at; {@code owed}: news
     * is not heard yet.
     */
    Step step(long now, boolean idle, long callerAt, boolean owed) {
        boolean quiet = idle && now - callerAt > QUIET;
        if (takes(now) || !quiet || ended) {
            silentAt = 0;
            return Step.NOTHING;
        }
        if (deafAt == 0) {
            deafAt = now;
            return Step.DEAF;
        }
        if (now - deafAt <= QUIET) {
            return Step.NOTHING;
        }
        silentAt = silentAt == 0 ? now : silentAt;
        ended = !owed || now - silentAt > HEARD;
        return ended ? Step.END : Step.NOTHING;
    }
}
