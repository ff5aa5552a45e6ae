package coralcove.sip;

/**
 * The logic of a SIP node without I/O or clock: it is given inputs with their time and returns
 * messages to send and log lines through {@link Out}. Used by one thread. All times are
 * microseconds since the epoch.
 */
public interface Core {
    /** Called once before any other method. */
    void start(long now, Out out);

    /** Processes a message received from {@code from}. */
    void receive(long now, Hop from, SipMessage message, Out out);

    /**
     * Rejects a request because of overload; {@code retryAfter} is the delay in microseconds to
     * state in Retry-After. By default the request is processed as any other.
     */
    default void turnAway(long now, Hop from, SipMessage message, long retryAfter, Out out) {
        receive(now, from, message, out);
    }

    /** Whether this request is a retransmission of one received before. */
    default boolean repeat(SipMessage message) {
        return false;
    }

    /** Handles bytes from {@code from} that are not a valid message. */
    void malformed(long now, Hop from, BadMessage problem, Out out);

    /**
     * Handles the loss of the connection to {@code peer}, or ({@code refused}) that it could not be
     * opened, so that none of the messages queued for it was sent.
     */
    void broken(long now, Hop peer, boolean refused, Out out);

    /** Fires the timers whose deadline has passed. */
    void tick(long now, Out out);

    /** When {@link #tick} has to be called next; Long.MAX_VALUE for never. */
    long due();
}
