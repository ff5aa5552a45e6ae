package coralcove.sip;

/**
 * Receives the actions of a {@link SipCore}: messages to send and lines to log, in order. They are
 * carried out after the core's method returns.
 */
public interface SipOutput {
    /** Sends a message. */
    void send(TransportAddress to, SipMessage message);

    /** Writes one log line; {@code session} is the Session-ID, or an empty string. */
    void log(String event, String session, String detail);
}
