package coralcove.drill;

import coralcove.Answer;
import coralcove.CallRouter;
import coralcove.Cause;
import coralcove.Choice;
import coralcove.Ending;
import coralcove.Exchange;
import coralcove.Session;
import coralcove.Settings;
import coralcove.Waiting;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** One instance: its call router, the sessions in hand and their timers. */
final class Line {
    private static final Ending[] ENDINGS = {Ending.ERROR, Ending.OVER, Ending.BUSY, Ending.TIMED_OUT,
        Ending.UNREACHABLE, Ending.RESET, Ending.CANCELLED, Ending.NOT_SENT};
    private static final Cause[] CAUSES = {Cause.NONE, Cause.NO_CIRCUIT, Cause.TURNED_BACK, Cause.PROCESSOR_FULL,
        Cause.LINES_BUSY};
    private static final int WAKE = 0;

    private final int who;
    private final int services;
    private final CallRouter router;
    private final Map<Long, Session> sessions = new HashMap<>();
    private final Map<Integer, Long> timers = new HashMap<>();
    private int lastLabel = WAKE;
    private long wakeAt;

    Line(int who, long seed, Settings settings) {
        this.who = who;
        services = settings.services().size();
        router = new Choice(settings, new SplittableRandom(seed));
    }

    int who() {
        return who;
    }

    static long up(long nanos) {
        return -Math.floorDiv(-nanos, 1000L);
    }

    void list(long clock, int kind, List<Exchange> list) {
        if (kind == 3) {
            router.rosterLost(up(clock));
        } else {
            router.roster(up(clock), kind != 0, list);
        }
    }

    void event(int code, Event event, long clock, Reply reply) throws BadFrame {
        long now = up(clock);
        switch (code) {
            case 0 -> timer(event.i32(3), clock, reply);
            case 1 -> router.after(now, event.u32(3), Ending.STANDS, Cause.NONE, event.u32(7), up(event.i64(11)), 0,
                    true);
            case 2 -> verdict(event, clock, reply);
            case 6 -> session(event, clock, reply);
            case 7 -> router.peer(now, event.i32(3), event.tail(7));
            case 8 -> probed(event, now);
            case 9 -> {
                sessions.remove(event.u32(3));
                router.ended(now, event.u32(3));
            }
            default -> throw new BadFrame(event.where() + ": event code " + code + " cannot be");
        }
    }

    void rest(long clock, Reply reply) {
        Waiting waiting = router.waiting(up(clock));
        if (waiting.subscribe()) {
            reply.subscribe(who);
        }
        waiting.probes().forEach(id -> reply.probe(who, id.intValue()));
        waiting.broadcasts().forEach(body -> reply.broadcast(who, body));
        if (waiting.until() > 0 && waiting.until() != wakeAt) {
            wakeAt = waiting.until();
            reply.timer(who, WAKE, wakeAt * 1000);
        }
    }

    private void session(Event event, long clock, Reply reply) throws BadFrame {
        if (event.u8(7) >= services) {
            throw new BadFrame(event.where() + ": service " + event.u8(7) + " is not in the settings");
        }
        int flags = event.u16(46);
        long now = up(clock);
        long limit = Math.floorDiv(clock + event.i64(18), 1000L);
        Session session = new Session(event.u32(3), event.u8(7), event.u16(8), (int) event.f32(34),
                (int) event.f32(38), (int) event.f32(42), (flags & 8) != 0, event.i64(10),
                (flags & 2) != 0, (flags & 16) != 0, now, limit);
        sessions.put(session.id(), session);
        carryOut(session, router.route(now, session), clock, reply);
    }

    private void verdict(Event event, long clock, Reply reply) throws BadFrame {
        int ending = event.u16(13);
        if (ending >= ENDINGS.length) {
            throw new BadFrame(event.where() + ": outcome " + ending + " cannot be");
        }
        long id = event.u32(3);
        boolean over = event.u8(23) != 0;
        if (over) {
            sessions.remove(id);
        }
        Session session = sessions.get(id);
        int reason = event.i32(24);
        int low = reason & 15;
        Cause cause = low == 2 && (reason & 16) != 0 ? Cause.FULL_BEYOND : low < CAUSES.length ? CAUSES[low]
                : Cause.NONE;
        long wait = cause == Cause.PROCESSOR_FULL ? (reason >>> 4) * 1000L : 0;
        Answer answer = router.after(up(clock), id, ENDINGS[ending], cause, event.u32(9), up(event.i64(15)), wait,
                session == null);
        carryOut(session, answer, clock, reply);
    }

    private void probed(Event event, long now) {
        float[] columns = event.floats(17);
        long exchange = event.u32(11);
        boolean passed = event.u16(15) == 1;
        if (columns.length >= 2) {
            router.circuits(now, exchange, (int) columns[0], (int) columns[1]);
        }
        if (event.i64(3) > 0 || !passed) {
            router.report(now, exchange, passed, up(event.i64(3)), columns);
        }
    }

    private void timer(int label, long clock, Reply reply) {
        Long id = timers.remove(label);
        Session session = id == null ? null : sessions.get(id);
        if (session != null) {
            carryOut(session, router.route(up(clock), session), clock, reply);
        }
    }

    private void carryOut(Session session, Answer answer, long clock, Reply reply) {
        if (session == null) {
            return;
        }
        int ticket = (int) session.id();
        switch (answer.kind()) {
            case SEND -> reply.forward(who, ticket, answer.time() * 1000, (int) answer.exchange());
            case LATER -> {
                lastLabel++;
                timers.put(lastLabel, session.id());
                reply.timer(who, lastLabel, answer.time() * 1000);
            }
            case REFUSE -> {
                sessions.remove(session.id());
                reply.decline(who, ticket, answer.time() * 1000);
            }
            case FAIL -> {
                sessions.remove(session.id());
                reply.fail(who, ticket);
            }
            case NOTHING -> { }
        }
    }
}
