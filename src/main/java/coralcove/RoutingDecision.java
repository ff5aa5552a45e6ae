package coralcove;

/**
 * What the router decided for a session. {@code time} depends on the kind: for SEND the time limit
 * of the INVITE (a duration), for LATER the time at which {@link CallRouter#route} is to be called
 * again, for REFUSE the retry-after delay (a duration); 0 otherwise.
 */
public record RoutingDecision(Kind kind, long exchange, long time) {
    /** What is to be done with the session. */
    public enum Kind {
        /** Send an INVITE to the exchange. */
        SEND,
        /** Route the session again at the given time. */
        LATER,
        /** Reject the session; its caller may try again after the given delay. */
        REFUSE,
        /** Fail the session: it may have run already and must not be repeated. */
        FAIL,
        /** Nothing is to be done. */
        NOTHING
    }

    public static final RoutingDecision NOTHING = new RoutingDecision(Kind.NOTHING, 0, 0);
    public static final RoutingDecision FAIL = new RoutingDecision(Kind.FAIL, 0, 0);

    /** Sends the session to {@code exchange} with an INVITE that may take {@code limit} µs. */
    public static RoutingDecision send(long exchange, long limit) {
        return new RoutingDecision(Kind.SEND, exchange, limit);
    }

    /** Postpones the decision to the time {@code at}. */
    public static RoutingDecision later(long at) {
        return new RoutingDecision(Kind.LATER, 0, at);
    }

    /** Rejects the session with a retry-after delay of {@code retryAfter} µs. */
    public static RoutingDecision refuse(long retryAfter) {
        return new RoutingDecision(Kind.REFUSE, 0, retryAfter);
    }
}
