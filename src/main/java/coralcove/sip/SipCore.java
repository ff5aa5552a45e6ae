package coralcove.sip;

/**
 * The logic of a SIP node without I/O or clock: it is given inputs with their time and returns
 * messages to send and log lines through {@link SipOutput}. Used by one thread. All times are
 * microseconds since the epoch.
 */
public interface SipCore {
    /** Called once before any other method. */
    void start(long now, SipOutput out);

    /** Processes a message received from {@code from}. */
    void receive(long now, TransportAddress from, SipMessage message, SipOutput out);

    /**
     * Rejects a request because of overload; {@code retryAfter} is the delay in microseconds to
     * state in Retry-After. By default the request is processed as any other.
     */
    default void rejectOverloaded(
            long now, TransportAddress from, SipMessage message, long retryAfter, SipOutput out) {
        receive(now, from, message, out);
    }

    /** Whether this request is a retransmission of one received before. */
    default boolean isRetransmission(SipMessage message) {
        return false;
    }

    /** Handles bytes from {@code from} that are not a valid message. */
    void malformedReceived(
            long now, TransportAddress from, MalformedMessageException problem, SipOutput out);

    /**
     * Handles the loss of the connection to {@code peer}, or ({@code refused}) that it could not be
     * opened, so that none of the messages queued for it was sent.
     */
    void connectionFailed(long now, TransportAddress peer, boolean refused, SipOutput out);

    /** Fires the timers whose deadline has passed. */
    void tick(long now, SipOutput out);

    /** When {@link #tick} has to be called next; Long.MAX_VALUE for never. */
    long nextTickAt();
}
