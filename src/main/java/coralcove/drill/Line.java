package coralcove.drill;

import coralcove.CallRouter;
import coralcove.Cause;
import coralcove.Choice;
import coralcove.Ending;
import coralcove.Exchange;
import coralcove.Micros;
import coralcove.Session;
import coralcove.Settings;
import coralcove.inhand.InHand;
import coralcove.inhand.Wire;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** One instance on the simulator's wire: its call router, what it has in hand and its timers. */
final class Line implements Wire {
    private static final Ending[] ENDINGS = {
        Ending.ERROR,
        Ending.OVER,
        Ending.BUSY,
        Ending.TIMED_OUT,
        Ending.UNREACHABLE,
        Ending.RESET,
        Ending.CANCELLED,
        Ending.NOT_SENT
    };
    private static final Cause[] CAUSES = {
        Cause.NONE, Cause.NO_CIRCUIT, Cause.TURNED_BACK, Cause.PROCESSOR_FULL, Cause.LINES_BUSY
    };
    private static final int WAKE = 0;

    private final int who;
    private final int services;
    private final CallRouter router;
    private final InHand inHand;
    private final Map<Integer, Long> timers = new HashMap<>();
    private int lastLabel = WAKE;

    /** The reply in the making, while an event is looked at. */
    private Reply reply;

    Line(int who, long seed, Settings settings) {
        this.who = who;
        services = settings.services().size();
        router = new Choice(settings, new SplittableRandom(seed));
        inHand = new InHand(router, this);
    }

    int who() {
        return who;
    }

    void list(long clock, int kind, List<Exchange> list) {
        if (kind == 3) {
            router.rosterLost(Micros.up(clock));
        } else {
            router.roster(Micros.up(clock), kind != 0, list);
        }
    }

    void event(int code, Event event, long clock, Reply into) throws BadFrame {
        reply = into;
        long now = Micros.up(clock);
        switch (code) {
            case 0 -> {
                Long id = timers.remove(event.i32(3));
                if (id != null) {
                    inHand.due(now, id);
                }
            }
            case 1 -> inHand.stands(now, event.u32(3), event.u32(7), Micros.up(event.i64(11)));
            case 2 -> verdict(event, now);
            case 6 -> session(event, clock);
            case 7 -> router.peer(now, event.i32(3), event.tail(7));
            case 8 -> probed(event, now);
            case 9 -> inHand.left(now, event.u32(3));
            default -> throw new BadFrame(event.where() + ": event code " + code + " cannot be");
        }
    }

    void rest(long clock, Reply into) {
        reply = into;
        inHand.rest(Micros.up(clock));
    }

    private void session(Event event, long clock) throws BadFrame {
        if (event.u8(7) >= services) {
            throw new BadFrame(
                    event.where() + ": service " + event.u8(7) + " is not in the settings");
        }
        int flags = event.u16(46);
        long now = Micros.up(clock);
        long limit = Micros.down(clock + event.i64(18));
        inHand.take(
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
                        limit));
    }

    private void verdict(Event event, long now) throws BadFrame {
        int ending = event.u16(13);
        if (ending >= ENDINGS.length) {
            throw new BadFrame(event.where() + ": outcome " + ending + " cannot be");
        }
        int reason = event.i32(24);
        int low = reason & 15;
        Cause cause =
                low == 2 && (reason & 16) != 0
                        ? Cause.FULL_BEYOND
                        : low < CAUSES.length ? CAUSES[low] : Cause.NONE;
        long wait = cause == Cause.PROCESSOR_FULL ? (reason >>> 4) * 1000L : 0;
        inHand.ended(
                now,
                event.u32(3),
                ENDINGS[ending],
                cause,
                event.u32(9),
                Micros.up(event.i64(15)),
                wait,
                event.u8(23) != 0);
    }

    private void probed(Event event, long now) {
        float[] columns = event.floats(17);
        long exchange = event.u32(11);
        boolean passed = event.u16(15) == 1;
        if (columns.length >= 2) {
            router.circuits(now, exchange, (int) columns[0], (int) columns[1]);
        }
        if (event.i64(3) > 0 || !passed) {
            router.report(now, exchange, passed, Micros.up(event.i64(3)), columns);
        }
    }

    @Override
    public void send(Session session, long exchange, long allowance) {
        reply.forward(who, (int) session.id(), allowance * 1000, (int) exchange);
    }

    @Override
    public void later(Session session, long at) {
        lastLabel++;
        timers.put(lastLabel, session.id());
        reply.timer(who, lastLabel, at * 1000);
    }

    @Override
    public void refuse(Session session, long comeBack) {
        reply.decline(who, (int) session.id(), comeBack * 1000);
    }

    @Override
    public void fail(Session session) {
        reply.fail(who, (int) session.id());
    }

    @Override
    public void subscribe() {
        reply.subscribe(who);
    }

    @Override
    public void probe(long exchange) {
        reply.probe(who, (int) exchange);
    }

    @Override
    public void broadcast(byte[] body) {
        reply.broadcast(who, body);
    }

    @Override
    public void wake(long at) {
        reply.timer(who, WAKE, at * 1000);
    }
}
