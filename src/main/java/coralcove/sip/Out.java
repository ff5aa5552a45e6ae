package coralcove.sip;

/**
 * What a core does: messages sent and lines logged, in order. Drivers carry it out after the core
 * returns.
 */
public interface Out {
    void send(Hop to, SipMessage message);

    /** One log line; {@code session} is the id that follows a session through every line, or "". */
    void log(String event, String session, String detail);
}
