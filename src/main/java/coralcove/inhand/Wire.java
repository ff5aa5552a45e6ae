package coralcove.inhand;

import coralcove.Session;

/** Carries out what was decided, in the words of one protocol. Moments and waits are in µs. */
public interface Wire {
    /** An INVITE to this exchange that may take {@code allowance}. */
    void send(Session session, long exchange, long allowance);

    /** {@link InHand#due} is wanted for this session at this moment. */
    void later(Session session, long at);

    /** The final answer: turned away, to come back after {@code comeBack}; 0 for any time. */
    void refuse(Session session, long comeBack);

    /** The final answer: failed. */
    void fail(Session session);

    void subscribe();

    void probe(long exchange);

    void broadcast(byte[] body);

    /** {@link InHand#rest} is wanted at this moment at the latest. */
    void wake(long at);
}
