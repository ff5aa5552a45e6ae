package coralcove.overload;

/**
 * Decides what a router under load looks at first, and what it turns away: answers and releases
 * before news, news before set-ups; set-ups that waited too long, or while the queue has not
 * drained for a while, are turned away at once with a come-back time. Asked like a client library;
 * it has no clock, no queue and no wire of its own.
 */
public final class Gate {
    /**
     * What waits, by how much it helps to look at it: an answer or a release frees what a set-up
     * takes.
     */
    public enum Kind {
        ANSWER,
        RELEASE,
        NEWS,
        SET_UP
    }

    /** What becomes of an input that arrives, or whose turn has come. */
    public enum Verdict {
        TAKE,
        TURN_AWAY,
        DROP
    }

    /** What one kind of input may hold, and what is done past it. */
    public record Bounds(int answers, int releases, int news, int setUps, long bytes) {}

    /**
     * µs: set-ups that waited this long have lost so much of their target that their caller is
     * better told.
     */
    private static final long LONGEST_WAIT = 250_000;

    /** µs: a wait that an idle queue shows at times; below it nothing is held to be overloaded. */
    private static final long GOOD_WAIT = 20_000;

    /**
     * µs: for this long the shortest wait must stay above the good one before set-ups are thinned.
     */
    private static final long PATIENCE = 100_000;

    /**
     * Share by which the thinning grows or falls with each look that finds it wanting or needless.
     */
    private static final double STEP = 0.1;

    /** Share of set-ups turned away at most: some always come through, so that recovery is seen. */
    private static final double MOST = 0.95;

    /** µs: the come-back time told at no thinning; it grows in step with the share turned away. */
    private static final long COME_BACK = 500_000;

    /** Looks at other kinds in a row after which the oldest set-up is looked at all the same. */
    private static final int STARVED = 200;

    private final Bounds bounds;
    private long sinceBad = -1;
    private long lastStep;
    private double share;
    private double debt;
    private int passedOver;

    public Gate(Bounds bounds) {
        this.bounds = bounds;
    }

    /** An input arrives; {@code waiting} of its kind and {@code bytes} of all wait already. */
    public Verdict offer(Kind kind, int waiting, long bytes) {
        int most =
                switch (kind) {
                    case ANSWER -> bounds.answers;
                    case RELEASE -> bounds.releases;
                    case NEWS -> bounds.news;
                    case SET_UP -> bounds.setUps;
                };
        // Past the byte bound only what frees something is taken; a lost request is sent again by
        // its sender.
        boolean room =
                waiting < most
                        && (bytes < bounds.bytes || kind == Kind.ANSWER || kind == Kind.RELEASE);
        return room ? Verdict.TAKE : Verdict.DROP;
    }

    /** Which kind is looked at next, given how many of each wait; null where none does. */
    public Kind next(int answers, int releases, int news, int setUps) {
        boolean starved = setUps > 0 && passedOver >= STARVED;
        Kind kind =
                starved
                        ? Kind.SET_UP
                        : answers > 0
                                ? Kind.ANSWER
                                : releases > 0
                                        ? Kind.RELEASE
                                        : news > 0 ? Kind.NEWS : setUps > 0 ? Kind.SET_UP : null;
        passedOver = kind == Kind.SET_UP || setUps == 0 ? 0 : passedOver + 1;
        return kind;
    }

    /**
     * The turn of a set-up that has waited {@code waited} µs has come; {@code repeat}s were decided
     * on before.
     */
    public Verdict look(long now, long waited, boolean repeat) {
        if (waited <= GOOD_WAIT) {
            sinceBad = -1;
        } else if (sinceBad < 0) {
            sinceBad = now;
        }
        if (now - lastStep >= PATIENCE) {
            lastStep = now;
            boolean bad = sinceBad >= 0 && now - sinceBad >= PATIENCE;
            share = bad ? Math.min(MOST, share + STEP) : Math.max(0, share - STEP / 2);
        }
        if (repeat) {
            return Verdict.TAKE;
        }
        if (waited > LONGEST_WAIT) {
            return Verdict.TURN_AWAY;
        }
        // Evenly thinned: a share of a half turns every second away, without chance.
        debt += share;
        if (debt >= 1) {
            debt -= 1;
            return Verdict.TURN_AWAY;
        }
        return Verdict.TAKE;
    }

    /** The come-back time for what is turned away now. */
    public long comeBack() {
        return Math.round(COME_BACK * (1 + 3 * share));
    }

    /** The share of set-ups turned away now. */
    public double share() {
        return share;
    }
}
