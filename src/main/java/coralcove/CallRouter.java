package coralcove;

import java.util.List;

/**
 * The routing policy of one call router, called like a client library. {@link #route}, {@link
 * #onInviteOutcome} and {@link #pendingActions} request decisions; all other methods report facts.
 * Times are whole microseconds of one monotonic clock.
 */
public interface CallRouter {
    /**
     * Decides where to send a session: to an exchange, later, or not at all. It is called again
     * when the time of a postponed decision has come.
     */
    RoutingDecision route(long now, Session session);

    /**
     * Reports the outcome of a session's INVITE and decides what to do next. If {@code over}, the
     * session needs no further action and the decision is {@link RoutingDecision#NOTHING}. {@code
     * took} is the duration of the INVITE. {@code retryAfter} is the wait that an overloaded
     * processor requested, or 0.
     */
    RoutingDecision onInviteOutcome(
            long now,
            long session,
            InviteOutcome outcome,
            RejectionCause cause,
            long exchange,
            long took,
            long retryAfter,
            boolean over);

    /** Returns what to send besides sessions, and when to call this method again. */
    PendingActions pendingActions(long now);

    /**
     * Updates the known exchanges. If {@code complete}, the given list replaces the previous one.
     */
    void onExchangeList(long now, boolean complete, List<Exchange> exchanges);

    /** Reports that the directory's subscription ended, or that a query to it failed. */
    void onExchangeListLost(long now);

    /** Updates the free circuits and the size of the trunk group to an exchange. */
    void onCircuitUpdate(long now, long exchange, int free, int size);

    /**
     * Reports the reply to a probe. {@code columns} are in the order of the settings, empty if the
     * reply had none.
     */
    void onProbeReply(long now, long exchange, boolean passed, long took, float[] columns);

    /** Delivers a message from the router of rank {@code rank}. */
    void onPeerMessage(long now, int rank, byte[] body);

    /** Reports that the caller ended the session; it needs no further action. */
    void onSessionEnded(long now, long session);
}
