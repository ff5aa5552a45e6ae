package coralcove.inhand;

import coralcove.Answer;
import coralcove.CallRouter;
import coralcove.Cause;
import coralcove.Ending;
import coralcove.Session;
import coralcove.Waiting;
import java.util.HashMap;
import java.util.Map;

/**
 * The sessions that one router has in hand, between its module and a protocol: asks the module, and
 * has carried out what it decides. The simulator's wire and the platform's protocol both go through
 * here. It decides nothing.
 */
public final class InHand {
    private final CallRouter router;
    private final Wire wire;
    private final Map<Long, Session> sessions = new HashMap<>();
    private long wakeAt;

    public InHand(CallRouter router, Wire wire) {
        this.router = router;
        this.wire = wire;
    }

    public void take(long now, Session session) {
        sessions.put(session.id(), session);
        carryOut(session, router.route(now, session));
    }

    /** The moment of a "later" has come; a session that ended in the meantime is passed over. */
    public void due(long now, long id) {
        Session session = sessions.get(id);
        if (session != null) {
            carryOut(session, router.route(now, session));
        }
    }

    public void stands(long now, long id, long exchange, long took) {
        router.after(now, id, Ending.STANDS, Cause.NONE, exchange, took, 0, true);
    }

    /** An INVITE ended; with {@code over} its session did too, and nothing is owed for it. */
    public void ended(
            long now,
            long id,
            Ending ending,
            Cause cause,
            long exchange,
            long took,
            long namedWait,
            boolean over) {
        if (over) {
            sessions.remove(id);
        }
        Session session = sessions.get(id);
        Answer answer =
                router.after(now, id, ending, cause, exchange, took, namedWait, session == null);
        if (session != null) {
            carryOut(session, answer);
        }
    }

    /** Its caller left: nothing is owed for it. */
    public void left(long now, long id) {
        sessions.remove(id);
        router.ended(now, id);
    }

    /** At the end of a round: what is to be sent besides sessions, and when to look again. */
    public void rest(long now) {
        Waiting waiting = router.waiting(now);
        if (waiting.subscribe()) {
            wire.subscribe();
        }
        waiting.probes().forEach(wire::probe);
        waiting.broadcasts().forEach(wire::broadcast);
        if (waiting.until() > 0 && waiting.until() != wakeAt) {
            wakeAt = waiting.until();
            wire.wake(wakeAt);
        }
    }

    private void carryOut(Session session, Answer answer) {
        switch (answer.kind()) {
            case SEND -> wire.send(session, answer.exchange(), answer.time());
            case LATER -> wire.later(session, answer.time());
            case REFUSE -> {
                sessions.remove(session.id());
                wire.refuse(session, answer.time());
            }
            case FAIL -> {
                sessions.remove(session.id());
                wire.fail(session);
            }
            case NOTHING -> {}
        }
    }
}
