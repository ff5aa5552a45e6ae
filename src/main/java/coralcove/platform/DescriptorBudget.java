package coralcove.platform;

/**
 * Divides the file descriptors of the process between callers' connections, connections to
 * exchanges, and the rest. Each part has its own limit, so that idle callers' connections cannot
 * use up the descriptors needed by the discovery service, the exchanges and the front's health
 * checks.
 *
 * @param total the process's limit of open descriptors
 * @param exchanges the number of known exchanges
 */
public record DescriptorBudget(int total, int exchanges) {
    /**
     * Descriptors for the runtime's files, selectors, the listener, discovery and peers; some 30
     * are in use.
     */
    private static final int RESERVED = 40;

    /**
     * Connections to each exchange, if there are enough descriptors, else one. A malformed response
     * resets the INVITEs on its connection only, so with two it does not reset all.
     */
    private static final int CONNECTIONS_PER_EXCHANGE = 2;

    /**
     * Factor on the number of exchanges: while some are being replaced, both the old and the new
     * ones have connections.
     */
    private static final double REPLACEMENT_FACTOR = 1.6;

    /** Share of the descriptors above which exchanges get one connection each. */
    private static final double MAX_EXCHANGE_SHARE = 0.4;

    /** Maximum share of callers' connections. */
    private static final double MAX_CALLER_SHARE = 0.7;

    /**
     * Minimum share of callers' connections: a third of the descriptors is kept for clients that
     * send valid messages, the rest is used by clients that do not.
     */
    private static final double MIN_CALLER_SHARE = 0.36;

    /**
     * Part of the callers' connections above which the core closes those without a valid message,
     * before the acceptor has to stop.
     */
    private static final double CLOSE_SILENT_SHARE = 0.8;

    /** Part of the callers' connections above which the core closes the longest silent ones. */
    private static final double CLOSE_VALID_SENDER_SHARE = 0.7;

    /** Connections to open to each exchange. */
    public int connectionsPerExchange() {
        return CONNECTIONS_PER_EXCHANGE * REPLACEMENT_FACTOR * exchanges
                        <= MAX_EXCHANGE_SHARE * total
                ? CONNECTIONS_PER_EXCHANGE
                : 1;
    }

    /** Number of callers' connections at which the acceptor accepts no further one. */
    public int maxCallerConnections() {
        double left = total - RESERVED - connectionsPerExchange() * REPLACEMENT_FACTOR * exchanges;
        return (int) Math.max(MIN_CALLER_SHARE * total, Math.min(MAX_CALLER_SHARE * total, left));
    }

    /** Number of callers' connections above which the oldest without a valid message is closed. */
    int maxCallersInCore() {
        return (int) (CLOSE_SILENT_SHARE * maxCallerConnections());
    }

    /**
     * Number of connections with a valid message above which the longest silent is closed; at least
     * a third of all descriptors.
     */
    int maxValidSenders() {
        return (int) Math.max(total / 3.0, CLOSE_VALID_SENDER_SHARE * maxCallerConnections());
    }
}
