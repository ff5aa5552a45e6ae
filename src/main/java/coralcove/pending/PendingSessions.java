package coralcove.pending;

import coralcove.CallRouter;
import coralcove.InviteOutcome;
import coralcove.PendingActions;
import coralcove.RejectionCause;
import coralcove.RoutingDecision;
import coralcove.Session;
import java.util.HashMap;
import java.util.Map;

/**
 * The pending sessions of one router. Queries the routing policy about them and has its decisions
 * carried out by a protocol. Both the simulator adapter and the platform's router use this class;
 * it makes no routing decision itself. Times are in µs.
 */
public final class PendingSessions {
    private final CallRouter router;
    private final DecisionExecutor executor;
    private final Map<Long, Session> sessions = new HashMap<>();
    private long scheduledWakeUp;

    public PendingSessions(CallRouter router, DecisionExecutor executor) {
        this.router = router;
        this.executor = executor;
    }

    /** Adds a new session and carries out the first decision about it. */
    public void add(long now, Session session) {
        sessions.put(session.id(), session);
        carryOut(session, router.route(now, session));
    }

    /**
     * Routes a deferred session again at the time that the policy named; a session that ended in
     * the meantime is ignored.
     */
    public void resume(long now, long id) {
        Session session = sessions.get(id);
        if (session != null) {
            carryOut(session, router.route(now, session));
        }
    }

    /** Informs the policy that the call was established {@code elapsed} µs after its INVITE. */
    public void callEstablished(long now, long id, long exchange, long elapsed) {
        router.onInviteOutcome(
                now,
                id,
                InviteOutcome.ESTABLISHED,
                RejectionCause.NONE,
                exchange,
                elapsed,
                0,
                true);
    }

    /**
     * Reports the end of an INVITE. If {@code over}, its session has ended too and needs no further
     * answer.
     */
    public void inviteEnded(
            long now,
            long id,
            InviteOutcome outcome,
            RejectionCause cause,
            long exchange,
            long elapsed,
            long retryAfter,
            boolean over) {
        if (over) {
            sessions.remove(id);
        }
        Session session = sessions.get(id);
        RoutingDecision decision =
                router.onInviteOutcome(
                        now, id, outcome, cause, exchange, elapsed, retryAfter, session == null);
        if (session != null) {
            carryOut(session, decision);
        }
    }

    /** The caller abandoned the session: it needs no further answer. */
    public void callerLeft(long now, long id) {
        sessions.remove(id);
        router.onSessionEnded(now, id);
    }

    /**
     * Called after each batch of inputs: sends what the policy wants sent besides sessions, and
     * schedules the next wake-up.
     */
    public void runPendingActions(long now) {
        PendingActions pending = router.pendingActions(now);
        if (pending.subscribe()) {
            executor.subscribe();
        }
        pending.probes().forEach(executor::probe);
        pending.broadcasts().forEach(executor::broadcast);
        if (pending.wakeAt() > 0 && pending.wakeAt() != scheduledWakeUp) {
            scheduledWakeUp = pending.wakeAt();
            executor.scheduleWakeUp(scheduledWakeUp);
        }
    }

    private void carryOut(Session session, RoutingDecision decision) {
        switch (decision.kind()) {
            case SEND -> executor.send(session, decision.exchange(), decision.time());
            case LATER -> executor.defer(session, decision.time());
            case REFUSE -> {
                sessions.remove(session.id());
                executor.refuse(session, decision.time());
            }
            case FAIL -> {
                sessions.remove(session.id());
                executor.fail(session);
            }
            case NOTHING -> {}
        }
    }
}
