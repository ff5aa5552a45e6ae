package coralcove.baseline;

import coralcove.CallRouter;
import coralcove.Exchange;
import coralcove.InviteOutcome;
import coralcove.PendingActions;
import coralcove.RejectionCause;
import coralcove.RoutingDecision;
import coralcove.Session;
import coralcove.Settings;
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
public final class BaselineRouter implements CallRouter {
    /** What happens to a session whose direct trunk group is full. */
    public enum OverflowPolicy {
        /** It is rejected. */
        DIRECT_ONLY,
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
     * in the model of a symmetric network ({@link coralcove.theory.SymmetricNetwork}).
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
    private final OverflowPolicy overflowPolicy;
    private final RandomGenerator random;
    private final Map<Long, Exchange> exchanges = new LinkedHashMap<>();
    private final Map<Long, Integer> freeCircuits = new HashMap<>();
    private final Map<Long, Integer> groupSizes = new HashMap<>();
    private final Map<Long, PendingSession> pendingSessions = new HashMap<>();
    private boolean subscribe = true;
    private long subscribeAt;

    public BaselineRouter(Settings settings, OverflowPolicy overflowPolicy) {
        this(settings, overflowPolicy, 1);
    }

    public BaselineRouter(Settings settings, OverflowPolicy overflowPolicy, long seed) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        this.overflowPolicy = overflowPolicy;
    }

    @Override
    public RoutingDecision route(long now, Session session) {
        return choose(
                now,
                pendingSessions.computeIfAbsent(session.id(), id -> new PendingSession(session)));
    }

    private RoutingDecision choose(long now, PendingSession pending) {
        if (now < pending.notBefore) {
            return RoutingDecision.later(pending.notBefore);
        }
        Session session = pending.session;
        if (pending.invitesSent < settings.maxInvites() && session.deadline() > now) {
            for (Exchange exchange : exchanges.values()) {
                if (exchange.number() == session.farEnd()
                        && accepts(
                                exchange,
                                pending,
                                session.transit() ? reservedCircuits(exchange) : 0)) {
                    return send(now, pending, exchange);
                }
            }
            if (overflowPolicy == OverflowPolicy.RANDOM_TANDEM) {
                Exchange drawn = pending.triedExchanges.isEmpty() ? drawTandem(session) : null;
                return drawn == null || !accepts(drawn, pending, 0)
                        ? refuse(pending)
                        : send(now, pending, drawn);
            }
            Exchange best = null;
            for (Exchange exchange : exchanges.values()) {
                boolean eligible =
                        overflowPolicy != OverflowPolicy.DIRECT_ONLY
                                && isTandem(exchange, session)
                                && accepts(exchange, pending, reservedCircuits(exchange));
                if (eligible
                        && (best == null
                                || overflowPolicy == OverflowPolicy.LEAST_BUSY
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

    private RoutingDecision refuse(PendingSession pending) {
        pendingSessions.remove(pending.session.id());
        return RoutingDecision.refuse(settings.maxRetryAfter());
    }

    private boolean isTandem(Exchange exchange, Session session) {
        return !session.transit()
                && exchange.number() != settings.localNumber()
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
                        >= pending.session.circuits() + reserved;
    }

    /** Circuits of this trunk group that only direct calls may use. */
    private int reservedCircuits(Exchange exchange) {
        return overflowPolicy != OverflowPolicy.TRUNK_RESERVATION
                        && overflowPolicy != OverflowPolicy.LEAST_BUSY
                ? 0
                : Math.max(
                        MIN_RESERVED_CIRCUITS,
                        (int)
                                Math.round(
                                        RESERVED_SHARE
                                                * groupSizes.getOrDefault(exchange.id(), 0)));
    }

    private RoutingDecision send(long now, PendingSession pending, Exchange exchange) {
        pending.invitesSent++;
        pending.triedExchanges.add(exchange.id());
        return RoutingDecision.send(exchange.id(), pending.session.deadline() - now);
    }

    @Override
    public RoutingDecision onInviteOutcome(
            long now,
            long session,
            InviteOutcome outcome,
            RejectionCause cause,
            long exchange,
            long elapsed,
            long retryAfter,
            boolean over) {
        PendingSession pending = pendingSessions.get(session);
        if (outcome == InviteOutcome.ESTABLISHED || over || pending == null) {
            pendingSessions.remove(session);
            return RoutingDecision.NOTHING;
        }
        if (outcome == InviteOutcome.TIMED_OUT
                || outcome == InviteOutcome.RESET
                || outcome == InviteOutcome.CANCELLED) {
            pending.notBefore = now + settings.releaseWait();
        }
        if (pending.notBefore >= pending.session.deadline()) {
            pendingSessions.remove(session);
            return RoutingDecision.refuse(settings.maxRetryAfter());
        }
        return choose(now, pending);
    }

    @Override
    public PendingActions pendingActions(long now) {
        boolean subscribeNow = subscribe && now >= subscribeAt;
        subscribe &= !subscribeNow;
        return new PendingActions(subscribe ? subscribeAt : 0, List.of(), List.of(), subscribeNow);
    }

    @Override
    public void onExchangeList(long now, boolean complete, List<Exchange> update) {
        if (complete) {
            exchanges.clear();
        }
        update.forEach(exchange -> exchanges.put(exchange.id(), exchange));
    }

    @Override
    public void onExchangeListLost(long now) {
        subscribe = true;
        subscribeAt = now + 1_000_000;
    }

    @Override
    public void onCircuitUpdate(long now, long exchange, int free, int size) {
        freeCircuits.put(exchange, free);
        groupSizes.put(exchange, size);
    }

    @Override
    public void onProbeReply(
            long now, long exchange, boolean passed, long elapsed, float[] columns) {
        // Baselines do not probe.
    }

    @Override
    public void onPeerMessage(long now, int rank, byte[] body) {
        // Baselines ignore messages of peers.
    }

    @Override
    public void onSessionEnded(long now, long session) {
        pendingSessions.remove(session);
    }
}
