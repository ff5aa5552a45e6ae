package coralcove.overload;

/**
 * Priority and admission control of a router under load. Answers and releases are processed before
 * notifications, and notifications before set-ups. Set-ups that waited too long are rejected at
 * once with a retry-after delay, and so is a growing share of them while the queueing delay stays
 * above its target. The class has no clock, queue or wire format of its own; its caller passes in
 * the times and queue lengths. Not thread-safe.
 */
public final class OverloadControl {
    /**
     * Kinds of input, in order of priority: an answer or a release frees what a set-up takes, and
     * so helps most.
     */
    public enum Kind {
        ANSWER,
        RELEASE,
        NOTIFICATION,
        SET_UP
    }

    /** What to do with an input that has arrived or whose turn has come. */
    public enum Verdict {
        ACCEPT,
        REJECT,
        DROP
    }

    /** Largest number of queued inputs of each kind, and of queued bytes of all kinds. */
    public record QueueLimits(
            int answers, int releases, int notifications, int setUps, long bytes) {}

    /**
     * Queueing delay beyond which a set-up is rejected: it has lost so much of its post-dial target
     * that a prompt rejection serves its caller better.
     */
    private static final long MAX_WAIT_MICROS = 250_000;

    /** Queueing delay that an idle queue shows at times; up to it there is no overload. */
    private static final long TARGET_WAIT_MICROS = 20_000;

    /**
     * Time for which all queueing delays must stay above the target before set-ups are rejected,
     * and interval at which the rejected share is adjusted.
     */
    private static final long INTERVAL_MICROS = 100_000;

    /** Increase of the rejected share per interval of overload; it falls by half as much. */
    private static final double SHARE_STEP = 0.1;

    /** Largest rejected share: some set-ups always get through, so that a recovery is noticed. */
    private static final double MAX_REJECTED_SHARE = 0.95;

    /** Retry-after delay while no share is rejected; it grows in proportion to the share. */
    private static final long MIN_RETRY_AFTER_MICROS = 500_000;

    /** Number of consecutive inputs of other kinds after which the oldest set-up is processed. */
    private static final int MAX_PASSED_OVER = 200;

    private final QueueLimits bounds;
    private long aboveTargetSince = -1;
    private long lastStep;
    private double rejectedShare;
    private double rejectionDebt;
    private int passedOver;

    /** Creates an overload control without load, for queues of these bounds. */
    public OverloadControl(QueueLimits bounds) {
        this.bounds = bounds;
    }

    /**
     * Decides whether an input that arrives is queued.
     *
     * @param waiting number of queued inputs of its kind
     * @param bytes number of queued bytes of all kinds
     * @return {@link Verdict#ACCEPT} or {@link Verdict#DROP}
     */
    public Verdict admitToQueue(Kind kind, int waiting, long bytes) {
        int limit =
                switch (kind) {
                    case ANSWER -> bounds.answers;
                    case RELEASE -> bounds.releases;
                    case NOTIFICATION -> bounds.notifications;
                    case SET_UP -> bounds.setUps;
                };
        // Over the byte limit only inputs that free resources are accepted; the sender of a lost
        // request retransmits it.
        boolean accepted =
                waiting < limit
                        && (bytes < bounds.bytes || kind == Kind.ANSWER || kind == Kind.RELEASE);
        return accepted ? Verdict.ACCEPT : Verdict.DROP;
    }

    /**
     * Returns the kind of input to process next, given the number of queued inputs of each kind, or
     * null if all queues are empty.
     */
    public Kind nextKind(int answers, int releases, int news, int setUps) {
        boolean setUpsStarved = setUps > 0 && passedOver >= MAX_PASSED_OVER;
        Kind kind =
                setUpsStarved
                        ? Kind.SET_UP
                        : answers > 0
                                ? Kind.ANSWER
                                : releases > 0
                                        ? Kind.RELEASE
                                        : news > 0
                                                ? Kind.NOTIFICATION
                                                : setUps > 0 ? Kind.SET_UP : null;
        passedOver = kind == Kind.SET_UP || setUps == 0 ? 0 : passedOver + 1;
        return kind;
    }

    /**
     * Decides whether a set-up whose turn has come is processed.
     *
     * @param now current time in µs
     * @param waited queueing delay of the set-up in µs
     * @param repeat whether the set-up is a retransmission of one that was decided on before; it is
     *     always accepted
     * @return {@link Verdict#ACCEPT} or {@link Verdict#REJECT}
     */
    public Verdict decideSetUp(long now, long waited, boolean repeat) {
        if (waited <= TARGET_WAIT_MICROS) {
            aboveTargetSince = -1;
        } else if (aboveTargetSince < 0) {
            aboveTargetSince = now;
        }
        if (now - lastStep >= INTERVAL_MICROS) {
            lastStep = now;
            boolean overloaded = aboveTargetSince >= 0 && now - aboveTargetSince >= INTERVAL_MICROS;
            rejectedShare =
                    overloaded
                            ? Math.min(MAX_REJECTED_SHARE, rejectedShare + SHARE_STEP)
                            : Math.max(0, rejectedShare - SHARE_STEP / 2);
        }
        if (repeat) {
            return Verdict.ACCEPT;
        }
        if (waited > MAX_WAIT_MICROS) {
            return Verdict.REJECT;
        }
        // Rejects evenly and without randomness: a share of one half rejects every second set-up.
        rejectionDebt += rejectedShare;
        if (rejectionDebt >= 1) {
            rejectionDebt -= 1;
            return Verdict.REJECT;
        }
        return Verdict.ACCEPT;
    }

    /** Returns the retry-after delay in µs for a set-up that is rejected now. */
    public long retryAfter() {
        return Math.round(MIN_RETRY_AFTER_MICROS * (1 + 3 * rejectedShare));
    }

    /** Returns the share of set-ups that is rejected now, from 0 to 1. */
    public double rejectedShare() {
        return rejectedShare;
    }
}
