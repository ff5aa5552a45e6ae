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
 * Baselines to compare the routing policy with. A session takes its direct trunk group if that has
 * a free circuit, and otherwise a tandem as the overflow policy says. Baselines observe drains, the
 * limit of one INVITE at a time and the wait after a release.
 */
public final class Direct implements CallRouter {
    /** What happens to a session whose direct trunk group is full. */
    public enum Kind {
        /** It is rejected. */
        ALONE,
        /** It takes the first tandem with a free circuit, in the order of the exchange list. */
        FIRST_TANDEM,
        /**
         * As {@link #FIRST_TANDEM}, with circuits of each trunk group reserved for direct calls.
         */
        TRUNK_RESERVATION,
        /** As {@link #TRUNK_RESERVATION}, with the tandem that has the most free circuits. */
        LEAST_BUSY,
        /** It takes a random tandem, and is rejected if that one has no free circuit. */
        RANDOM_TANDEM
    }

    /**
     * Share of a trunk group that is reserved for direct calls: the share that removes bistability
     * in the model of a symmetric network ({@link coralcove.theory.Symmetric}).
     */
    private static final double RESERVED_SHARE = 0.05;

    /** Circuits of a trunk group that are reserved at least. */
    private static final int MIN_RESERVED_CIRCUITS = 1;

    private static final class PendingSession {
        final Session session;
        int invitesSent;
        long notBefore;
        final List<Long> triedExchanges = new ArrayList<>();

        PendingSession(Session session) {
            this.session = session;
        }
    }

    private final Settings settings;
    private final Kind overflowPolicy;
    private final RandomGenerator random;
    private final Map<Long, Exchange> exchanges = new LinkedHashMap<>();
    private final Map<Long, Integer> freeCircuits = new HashMap<>();
    private final Map<Long, Integer> groupSizes = new HashMap<>();
    private final Map<Long, PendingSession> pendingSessions = new HashMap<>();
    private boolean subscribe = true;
    private long subscribeAt;

    public Direct(Settings settings, Kind overflowPolicy) {
        this(settings, overflowPolicy, 1);
    }

    public Direct(Settings settings, Kind overflowPolicy, long seed) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        this.overflowPolicy = overflowPolicy;
    }

    @Override
    public Answer route(long now, Session session) {
        return choose(
                now,
                pendingSessions.computeIfAbsent(session.id(), id -> new PendingSession(session)));
    }

    private Answer choose(long now, PendingSession pending) {
        if (now < pending.notBefore) {
            return Answer.later(pending.notBefore);
        }
        Session session = pending.session;
        if (pending.invitesSent < settings.inviteLimit() && session.limit() > now) {
            for (Exchange exchange : exchanges.values()) {
                if (exchange.number() == session.farEnd()
                        && accepts(
                                exchange,
                                pending,
                                session.transit() ? reservedCircuits(exchange) : 0)) {
                    return send(now, pending, exchange);
                }
            }
            if (overflowPolicy == Kind.RANDOM_TANDEM) {
                Exchange drawn = pending.triedExchanges.isEmpty() ? drawTandem(session) : null;
                return drawn == null || !accepts(drawn, pending, 0)
                        ? refuse(pending)
                        : send(now, pending, drawn);
            }
            Exchange best = null;
            for (Exchange exchange : exchanges.values()) {
                boolean eligible =
                        overflowPolicy != Kind.ALONE
                                && isTandem(exchange, session)
                                && accepts(exchange, pending, reservedCircuits(exchange));
                if (eligible
                        && (best == null
                                || overflowPolicy == Kind.LEAST_BUSY
                                        && freeCircuits.get(exchange.id())
                                                > freeCircuits.get(best.id()))) {
                    best = exchange;
                }
            }
            if (best != null) {
                return send(now, pending, best);
            }
        }
        return refuse(pending);
    }

    private Answer refuse(PendingSession pending) {
        pendingSessions.remove(pending.session.id());
        return Answer.refuse(settings.longestComeBack());
    }

    private boolean isTandem(Exchange exchange, Session session) {
        return !session.transit()
                && exchange.number() != settings.ownNumber()
                && exchange.number() != session.farEnd();
    }

    private Exchange drawTandem(Session session) {
        List<Exchange> tandems =
                exchanges.values().stream()
                        .filter(exchange -> isTandem(exchange, session))
                        .toList();
        return tandems.isEmpty() ? null : tandems.get(random.nextInt(tandems.size()));
    }

    private boolean accepts(Exchange exchange, PendingSession pending, int reserved) {
        return exchange.phase() == Exchange.Phase.READY
                && !pending.triedExchanges.contains(exchange.id())
                && freeCircuits.getOrDefault(exchange.id(), 0)
                        >= pending.session.width() + reserved;
    }

    /** Circuits of this trunk group that only direct calls may use. */
    private int reservedCircuits(Exchange exchange) {
        return overflowPolicy != Kind.TRUNK_RESERVATION && overflowPolicy != Kind.LEAST_BUSY
                ? 0
                : Math.max(
                        MIN_RESERVED_CIRCUITS,
                        (int)
                                Math.round(
                                        RESERVED_SHARE
                                                * groupSizes.getOrDefault(exchange.id(), 0)));
    }

    private Answer send(long now, PendingSession pending, Exchange exchange) {
        pending.invitesSent++;
        pending.triedExchanges.add(exchange.id());
        return Answer.send(exchange.id(), pending.session.limit() - now);
    }

    @Override
    public Answer after(
            long now,
            long session,
            Ending outcome,
            Cause cause,
            long exchange,
            long elapsed,
            long retryAfter,
            boolean over) {
        PendingSession pending = pendingSessions.get(session);
        if (outcome == Ending.STANDS || over || pending == null) {
            pendingSessions.remove(session);
            return Answer.NOTHING;
        }
        if (outcome == Ending.TIMED_OUT || outcome == Ending.RESET || outcome == Ending.CANCELLED) {
            pending.notBefore = now + settings.releaseWait();
        }
        if (pending.notBefore >= pending.session.limit()) {
            pendingSessions.remove(session);
            return Answer.refuse(settings.longestComeBack());
        }
        return choose(now, pending);
    }

    @Override
    public Waiting waiting(long now) {
        boolean subscribeNow = subscribe && now >= subscribeAt;
        subscribe &= !subscribeNow;
        return new Waiting(subscribe ? subscribeAt : 0, List.of(), List.of(), subscribeNow);
    }

    @Override
    public void roster(long now, boolean complete, List<Exchange> update) {
        if (complete) {
            exchanges.clear();
        }
        update.forEach(exchange -> exchanges.put(exchange.id(), exchange));
    }

    @Override
    public void rosterLost(long now) {
        subscribe = true;
        subscribeAt = now + 1_000_000;
    }

    @Override
    public void circuits(long now, long exchange, int free, int size) {
        freeCircuits.put(exchange, free);
        groupSizes.put(exchange, size);
    }

    @Override
    public void report(long now, long exchange, boolean passed, long elapsed, float[] columns) {
        // Baselines do not probe.
    }

    @Override
    public void peer(long now, int rank, byte[] body) {
        // Baselines ignore messages of peers.
    }

    @Override
    public void ended(long now, long session) {
        pendingSessions.remove(session);
    }
}
