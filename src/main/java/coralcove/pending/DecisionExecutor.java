package coralcove.pending;

import coralcove.Session;

/** Carries out routing decisions over one protocol. Times and durations are in µs. */
public interface DecisionExecutor {
    /** Sends an INVITE to this exchange; its answer may take {@code timeLimit}. */
    void send(Session session, long exchange, long timeLimit);

    /** Schedules {@link PendingSessions#resume} for this session at this time. */
    void defer(Session session, long time);

    /** Rejects the session; the caller may retry after {@code retryAfter}, with 0 at any time. */
    void refuse(Session session, long retryAfter);

    /** Fails the session with a final answer. */
    void fail(Session session);

    /** Subscribes to the exchange list. */
    void subscribe();

    /** Requests a load report from this exchange. */
    void probe(long exchange);

    /** Sends a message to all peer routers. */
    void broadcast(byte[] body);

    /** Schedules {@link PendingSessions#runPendingActions} for this time at the latest. */
    void scheduleWakeUp(long time);
}
