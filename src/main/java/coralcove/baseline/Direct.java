package coralcove.baseline;

import coralcove.Answer;
import coralcove.CallRouter;
import coralcove.Cause;
import coralcove.Ending;
import coralcove.Exchange;
import coralcove.Session;
import coralcove.Settings;
import coralcove.Waiting;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Baselines to hold the module against: a session goes direct if a circuit is free, and else over a
 * tandem as its kind has it. They keep drains, one INVITE and the release wait.
 */
public final class Direct implements CallRouter {
    /**
     * What a session whose direct group is full does: nothing; the first tandem with room, in the
     * order of the list; the same where each leg keeps circuits for direct calls; of those tandems
     * the one with most circuits free; one tandem drawn by chance, and no other if that has no
     * room.
     */
    public enum Kind {
        ALONE,
        FIRST_TANDEM,
        RESERVED,
        LEAST_BUSY,
        ONE_TANDEM
    }

    /**
     * Share of a group kept for direct calls, and circuits at least: the figure that ends
     * bistability in theory.Symmetric.
     */
    private static final double RESERVED = 0.05;

    private static final int RESERVED_LEAST = 1;

    private static final class Held {
        final Session session;
        int sent;
        long notBefore;
        final List<Long> tried = new ArrayList<>();

        Held(Session session) {
            this.session = session;
        }
    }

    private final Settings settings;
    private final Kind kind;
    private final RandomGenerator chance;
    private final Map<Long, Exchange> list = new LinkedHashMap<>();
    private final Map<Long, Integer> free = new HashMap<>();
    private final Map<Long, Integer> sizes = new HashMap<>();
    private final Map<Long, Held> held = new HashMap<>();
    private boolean subscribe = true;
    private long subscribeAt;

    public Direct(Settings settings, Kind kind) {
        this(settings, kind, 1);
    }

    public Direct(Settings settings, Kind kind, long seed) {
        chance = new SplittableRandom(seed);
        this.settings = settings;
        this.kind = kind;
    }

    @Override
    public Answer route(long now, Session session) {
        return choose(now, held.computeIfAbsent(session.id(), id -> new Held(session)));
    }

    private Answer choose(long now, Held it) {
        if (now < it.notBefore) {
            return Answer.later(it.notBefore);
        }
        Session session = it.session;
        if (it.sent < settings.inviteLimit() && session.limit() > now) {
            for (Exchange each : list.values()) {
                if (each.number() == session.farEnd()
                        && fits(each, it, session.transit() ? kept(each) : 0)) {
                    return send(now, it, each);
                }
            }
            if (kind == Kind.ONE_TANDEM) {
                Exchange drawn = it.tried.isEmpty() ? drawn(session) : null;
                return drawn == null || !fits(drawn, it, 0) ? refuse(it) : send(now, it, drawn);
            }
            Exchange best = null;
            for (Exchange each : list.values()) {
                boolean open =
                        kind != Kind.ALONE && tandem(each, session) && fits(each, it, kept(each));
                if (open
                        && (best == null
                                || kind == Kind.LEAST_BUSY
                                        && free.get(each.id()) > free.get(best.id()))) {
                    best = each;
                }
            }
            if (best != null) {
                return send(now, it, best);
            }
        }
        return refuse(it);
    }

    private Answer refuse(Held it) {
        held.remove(it.session.id());
        return Answer.refuse(settings.longestComeBack());
    }

    private boolean tandem(Exchange each, Session session) {
        return !session.transit()
                && each.number() != settings.ownNumber()
                && each.number() != session.farEnd();
    }

    private Exchange drawn(Session session) {
        List<Exchange> tandems =
                list.values().stream().filter(each -> tandem(each, session)).toList();
        return tandems.isEmpty() ? null : tandems.get(chance.nextInt(tandems.size()));
    }

    private boolean fits(Exchange each, Held it, int kept) {
        return each.phase() == Exchange.Phase.READY
                && !it.tried.contains(each.id())
                && free.getOrDefault(each.id(), 0) >= it.session.width() + kept;
    }

    /** Circuits of this group that only direct calls may have. */
    private int kept(Exchange each) {
        return kind != Kind.RESERVED && kind != Kind.LEAST_BUSY
                ? 0
                : Math.max(
                        RESERVED_LEAST,
                        (int) Math.round(RESERVED * sizes.getOrDefault(each.id(), 0)));
    }

    private Answer send(long now, Held it, Exchange to) {
        it.sent++;
        it.tried.add(to.id());
        return Answer.send(to.id(), it.session.limit() - now);
    }

    @Override
    public Answer after(
            long now,
            long session,
            Ending ending,
            Cause cause,
            long exchange,
            long took,
            long namedWait,
            boolean over) {
        Held it = held.get(session);
        if (ending == Ending.STANDS || over || it == null) {
            held.remove(session);
            return Answer.NOTHING;
        }
        if (ending == Ending.TIMED_OUT || ending == Ending.RESET || ending == Ending.CANCELLED) {
            it.notBefore = now + settings.releaseWait();
        }
        if (it.notBefore >= it.session.limit()) {
            held.remove(session);
            return Answer.refuse(settings.longestComeBack());
        }
        return choose(now, it);
    }

    @Override
    public Waiting waiting(long now) {
        boolean ask = subscribe && now >= subscribeAt;
        subscribe &= !ask;
        return new Waiting(subscribe ? subscribeAt : 0, List.of(), List.of(), ask);
    }

    @Override
    public void roster(long now, boolean whole, List<Exchange> exchanges) {
        if (whole) {
            list.clear();
        }
        exchanges.forEach(each -> list.put(each.id(), each));
    }

    @Override
    public void rosterLost(long now) {
        subscribe = true;
        subscribeAt = now + 1_000_000;
    }

    @Override
    public void circuits(long now, long exchange, int circuits, int size) {
        free.put(exchange, circuits);
        sizes.put(exchange, size);
    }

    @Override
    public void report(long now, long exchange, boolean passed, long took, float[] columns) {
        // Baselines do not probe.
    }

    @Override
    public void peer(long now, int rank, byte[] body) {
        // Baselines do not listen to peers.
    }

    @Override
    public void ended(long now, long session) {
        held.remove(session);
    }
}
