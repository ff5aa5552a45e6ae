package coralcove.platform;

/**
 * How the process's descriptors are shared out: callers' connections, legs to exchanges, and the
 * rest. Each part has its own bound, so that connections that say nothing cannot take what the
 * list, the legs and the front's test need.
 */
public record Descriptors(int total, int exchanges) {
    /** The runtime's files, selectors, the listener, the list, peers: some 30 are seen. */
    private static final int OTHERS = 40;

    /**
     * Legs to an exchange: what a spoilt answer takes with it is what is out on one of them. One
     * where they are scarce.
     */
    private static final int LEGS = 2;

    /**
     * Exchanges at a time for each that is listed: while they are replaced, old and new have legs.
     */
    private static final double REPLACED = 1.6;

    /** Share of the descriptors for legs from which each exchange has one alone. */
    private static final double LEGS_SHARE = 0.4;

    /**
     * Share for callers' connections at most, and at least: a third is the callers' own, the rest
     * are strangers.
     */
    private static final double CALLERS_MOST = 0.7;

    private static final double CALLERS_LEAST = 0.36;

    /**
     * Parts of that from which the core closes what is of no use, and what was silent longest,
     * before the acceptor waits.
     */
    private static final double SAID_NOTHING = 0.8;

    private static final double OF_USE = 0.7;

    public int legs() {
        return LEGS * REPLACED * exchanges <= LEGS_SHARE * total ? LEGS : 1;
    }

    /** Callers' connections from which the acceptor takes no further one. */
    public int callers() {
        double left = total - OTHERS - legs() * REPLACED * exchanges;
        return (int) Math.max(CALLERS_LEAST * total, Math.min(CALLERS_MOST * total, left));
    }

    /** Callers' connections past which the oldest that never said anything of use is closed. */
    int callersInAll() {
        return (int) (SAID_NOTHING * callers());
    }

    /**
     * Callers' connections of use past which the longest silent is closed; never under the third
     * that is callers' own.
     */
    int callersOfUse() {
        return (int) Math.max(total / 3.0, OF_USE * callers());
    }
}
