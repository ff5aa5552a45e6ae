package coralcove.simulator;

import coralcove.CallRouter;
import coralcove.Exchange;
import coralcove.ExponentialPenaltyRouter;
import coralcove.InviteOutcome;
import coralcove.Micros;
import coralcove.RejectionCause;
import coralcove.Session;
import coralcove.Settings;
import coralcove.pending.DecisionExecutor;
import coralcove.pending.PendingSessions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One router of the simulation: its routing policy, its pending sessions and its timers. The
 * simulator's clock is in nanoseconds; all times are converted to and from µs here.
 */
final class RouterInstance implements DecisionExecutor {
    /** Indexed by the outcome code of an event. */
    private static final InviteOutcome[] OUTCOMES = {
        InviteOutcome.ERROR,
        InviteOutcome.RELEASED,
        InviteOutcome.BUSY,
        InviteOutcome.TIMED_OUT,
        InviteOutcome.UNREACHABLE,
        InviteOutcome.RESET,
        InviteOutcome.CANCELLED,
        InviteOutcome.NOT_SENT
    };

    /** Indexed by the low four bits of an event's reason. */
    private static final RejectionCause[] CAUSES = {
        RejectionCause.NONE,
        RejectionCause.NO_CIRCUIT,
        RejectionCause.CRANKBACK,
        RejectionCause.PROCESSOR_FULL,
        RejectionCause.LINES_BUSY
    };

    /** Label of the wake-up timer; the timers of deferred sessions have higher ones. */
    private static final int WAKE_UP_LABEL = 0;

    private final int number;
    private final int serviceCount;
    private final CallRouter router;
    private final PendingSessions pendingSessions;

    /** Sessions that are deferred, by the label of their timer. */
    private final Map<Integer, Long> deferredSessions = new HashMap<>();

    private int lastLabel = WAKE_UP_LABEL;

    /** Collects the reply records while an event is handled. */
    private ReplyFrame reply;

    RouterInstance(int number, long seed, Settings settings) {
        this.number = number;
        serviceCount = settings.services().size();
        router = new ExponentialPenaltyRouter(settings, new SplittableRandom(seed));
        pendingSessions = new PendingSessions(router, this);
    }

    int number() {
        return number;
    }

    /** An exchange list of kind 0 (changes), 1 or 2 (complete list), or 3 (updates were lost). */
    void exchangeList(long clock, int kind, List<Exchange> exchanges) {
        if (kind == 3) {
            router.onExchangeListLost(Micros.ceilFromNanos(clock));
        } else {
            router.onExchangeList(Micros.ceilFromNanos(clock), kind != 0, exchanges);
        }
    }

    /** Handles any other event of this instance. */
    void event(int code, EventRecord event, long clock, ReplyFrame output)
            throws MalformedFrameException {
        reply = output;
        long now = Micros.ceilFromNanos(clock);
        switch (code) {
            case 0 -> {
                Long id = deferredSessions.remove(event.i32(3));
                if (id != null) {
                    pendingSessions.resume(now, id);
                }
            }
            case 1 ->
                    pendingSessions.callEstablished(
                            now, event.u32(3), event.u32(7), Micros.ceilFromNanos(event.i64(11)));
            case 2 -> inviteOutcome(event, now);
            case 6 -> session(event, clock);
            case 7 -> router.onPeerMessage(now, event.i32(3), event.tail(7));
            case 8 -> probeResult(event, now);
            case 9 -> pendingSessions.callerLeft(now, event.u32(3));
            default ->
                    throw new MalformedFrameException(
                            event.position() + ": unknown event code " + code);
        }
    }

    /** Ends a batch: adds what the policy wants sent besides sessions, and the next wake-up. */
    void endBatch(long clock, ReplyFrame output) {
        reply = output;
        pendingSessions.runPendingActions(Micros.ceilFromNanos(clock));
    }

    private void session(EventRecord event, long clock) throws MalformedFrameException {
        if (event.u8(7) >= serviceCount) {
            throw new MalformedFrameException(
                    event.position() + ": service " + event.u8(7) + " is not in the settings");
        }
        int flags = event.u16(46);
        long now = Micros.ceilFromNanos(clock);
        long deadline = Micros.floorFromNanos(clock + event.i64(18));
        pendingSessions.add(
                now,
                new Session(
                        event.u32(3),
                        event.u8(7),
                        event.u16(8),
                        (int) event.f32(34),
                        (int) event.f32(38),
                        (int) event.f32(42),
                        (flags & 8) != 0,
                        event.i64(10),
                        (flags & 2) != 0,
                        (flags & 16) != 0,
                        now,
                        deadline));
    }

    private void inviteOutcome(EventRecord event, long now) throws MalformedFrameException {
        int outcome = event.u16(13);
        if (outcome >= OUTCOMES.length) {
            throw new MalformedFrameException(event.position() + ": unknown outcome " + outcome);
        }
        int reason = event.i32(24);
        int low = reason & 15;
        RejectionCause cause =
                low == 2 && (reason & 16) != 0
                        ? RejectionCause.FAR_END_PROCESSOR_FULL
                        : low < CAUSES.length ? CAUSES[low] : RejectionCause.NONE;
        long retryAfter = cause == RejectionCause.PROCESSOR_FULL ? (reason >>> 4) * 1000L : 0;
        pendingSessions.inviteEnded(
                now,
                event.u32(3),
                OUTCOMES[outcome],
                cause,
                event.u32(9),
                Micros.ceilFromNanos(event.i64(15)),
                retryAfter,
                event.u8(23) != 0);
    }

    private void probeResult(EventRecord event, long now) {
        float[] columns = event.floats(17);
        long exchange = event.u32(11);
        boolean passed = event.u16(15) == 1;
        if (columns.length >= 2) {
            router.onCircuitUpdate(now, exchange, (int) columns[0], (int) columns[1]);
        }
        if (event.i64(3) > 0 || !passed) {
            router.onProbeReply(now, exchange, passed, Micros.ceilFromNanos(event.i64(3)), columns);
        }
    }

    @Override
    public void send(Session session, long exchange, long timeLimit) {
        reply.forward(number, (int) session.id(), timeLimit * 1000, (int) exchange);
    }

    @Override
    public void defer(Session session, long time) {
        lastLabel++;
        deferredSessions.put(lastLabel, session.id());
        reply.timer(number, lastLabel, time * 1000);
    }

    @Override
    public void refuse(Session session, long retryAfter) {
        reply.decline(number, (int) session.id(), retryAfter * 1000);
    }

    @Override
    public void fail(Session session) {
        reply.fail(number, (int) session.id());
    }

    @Override
    public void subscribe() {
        reply.subscribe(number);
    }

    @Override
    public void probe(long exchange) {
        reply.probe(number, (int) exchange);
    }

    @Override
    public void broadcast(byte[] body) {
        reply.broadcast(number, body);
    }

    @Override
    public void scheduleWakeUp(long time) {
        reply.timer(number, WAKE_UP_LABEL, time * 1000);
    }
}
