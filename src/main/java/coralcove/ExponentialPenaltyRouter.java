package coralcove;

import static coralcove.Exchange.Phase.READY;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The routing policy: routing and admission by the exponential penalty rule of Iyengar and Sigman,
 * <em>Exponential Penalty Function Control of Loss Networks</em>.
 *
 * <p>For each trunk group and class, x is the number of active calls that this router sent over the
 * group, and y the number of phantom calls: a refused call counts as a phantom for one mean hold
 * time. A call of b circuits is accepted if it fits and
 *
 * <pre>    x/c0 &lt;= y/c1 + log(c0/c1) / (beta * b)</pre>
 *
 * <p>that is, if the penalty exp(beta*b*x/c0) + exp(beta*b*y/c1) grows less by accepting the call
 * than by refusing it. The targets c0 and c1 and the exponent beta come from a {@link
 * TargetSource}. A session whose direct group is full overflows to the tandem whose first group
 * passes the test with the least slope of the penalty along x.
 *
 * <p>Beside the rule, limits protect the processors of the exchanges: windows of INVITEs in flight,
 * a failure count, retry delays and a set-up budget for cold exchanges. docs/design.md describes
 * them all.
 *
 * <p>One object serves the router of one exchange. It has no clock and does no input or output. Not
 * thread-safe.
 */
public final class ExponentialPenaltyRouter implements CallRouter {
    // ---- the penalty rule

    /** Window in µs over which the load of a class on a group is measured. */
    private static final long LOAD_WINDOW_MICROS = 10_000_000;

    /** Age in µs at which the targets of a group are computed again. */
    private static final long TARGET_REFRESH_MICROS = 5_000_000;

    /**
     * Share of a group that must be free to accept any call that fits, and the number of calls of
     * the widest service that must have room as well.
     */
    private static final double FREE_ROOM_SHARE = 0.2;

    private static final int FREE_ROOM_WIDEST_CALLS = 2;

    /**
     * The same share for a local caller's session: the slack of the targets must not keep circuits
     * empty.
     */
    private static final double LOCAL_FREE_ROOM_SHARE = 0.06;

    /**
     * Share of each group that must be free for a session over two groups. A fifth would be too
     * much: thin groups hardly ever have it free.
     */
    private static final double TANDEM_FREE_SHARE = 0.1;

    /** Buckets of the load window: steps of half a second. */
    private static final int LOAD_BUCKETS = 20;

    /** Buckets of the phantom window: steps of a thirtieth of the hold time. */
    private static final int PHANTOM_BUCKETS = 30;

    // ---- slow and lost answers

    /**
     * Share of the post-dial target above which a set-up is slow: the rest is left for what queues
     * up before the router reacts.
     */
    private static final double SLOW_SET_UP_SHARE = 0.3;

    /**
     * Share of INVITEs unanswered by exchanges that work, above which answers are taken to get
     * lost.
     */
    private static final double LOSS_THRESHOLD = 0.08;

    /** Weight of the newest INVITE in the share of lost answers. */
    private static final double LOSS_WEIGHT = 0.02;

    /**
     * Share of the post-dial target that a set-up takes where nothing is slow, over two groups and
     * with queues.
     */
    private static final double SET_UP_SHARE = 0.2;

    /** Share of the newest answers that are slow, above which most answers count as slow. */
    private static final double MOSTLY_SLOW = 0.5;

    /** Share of the newest answers that are slow, below which few answers count as slow. */
    private static final double FEW_SLOW = 0.2;

    /** Weight of the newest answer in the share of slow answers. */
    private static final double SLOW_WEIGHT = 0.05;

    // ---- windows of INVITEs in flight

    /** Share of a window open to sessions sent to a tandem. */
    private static final double TANDEM_WINDOW_SHARE = 0.25;

    /** Share of a window open to services of lower value and to late redials. */
    private static final double LOW_VALUE_WINDOW_SHARE = 0.5;

    /** Share of a window open to the service of the highest value per circuit. */
    private static final double HIGH_VALUE_WINDOW_SHARE = 1;

    /** INVITEs in flight to one exchange, to start with. */
    private static final double INITIAL_WINDOW = 4;

    /** Most INVITEs in flight to one exchange: above this the window is never the limit. */
    private static final double MAX_WINDOW = 32;

    /** INVITEs in flight to one exchange that has just started; its answers widen this window. */
    private static final double INITIAL_COLD_WINDOW = 2;

    /** What a slow answer leaves of an exchange's window. */
    private static final double WINDOW_DECREASE = 0.5;

    // The common window counts all INVITEs in flight from here, as all pass the local processor.
    private static final double INITIAL_COMMON_WINDOW = 16;
    private static final double MAX_COMMON_WINDOW = 64;
    private static final double MIN_COMMON_WINDOW = 2;
    private static final double COMMON_WINDOW_DECREASE = 0.85;

    /** Window in µs over which quick answers are counted, to scale the INVITE windows. */
    private static final long QUICK_ANSWER_WINDOW_MICROS = 1_000_000;

    private static final int QUICK_ANSWER_BUCKETS = 10;

    // ---- failed and overloaded exchanges

    /**
     * Unanswered INVITEs in a row that close an exchange: two can be chance, more than three cost
     * circuits.
     */
    private static final int FAILURES_TO_CLOSE = 3;

    /** First wait in µs of a closed exchange for a trial: near the length of a short stall. */
    private static final long FIRST_TRIAL_DELAY_MICROS = 500_000;

    private static final long MAX_TRIAL_DELAY_MICROS = 2_000_000;

    /**
     * Wait in µs after an overload reply that names none: about the time in which a processor
     * drains between two answers.
     */
    private static final long DEFAULT_OVERLOAD_WAIT_MICROS = 300_000;

    // ---- tandems

    /** µs for which a tandem is not used for a far end after a crankback. */
    private static final long CRANKBACK_HOLD_MICROS = 4_000_000;

    /**
     * Most doublings of that hold, for a tandem that never reached the far end: it may have no
     * group to it.
     */
    private static final int MAX_CRANKBACK_DOUBLINGS = 4;

    /**
     * µs for which a slow, overloaded or silent exchange is no tandem, unless it is quick again.
     */
    private static final long SLOW_TANDEM_HOLD_MICROS = 4_000_000;

    /**
     * Share of sessions over unknown tandems that must succeed for unknown tandems to be used
     * beside known ones.
     */
    private static final double UNKNOWN_TANDEM_THRESHOLD = 0.5;

    /** Weight of the newest session over an unknown tandem in that share. */
    private static final double UNKNOWN_TANDEM_WEIGHT = 0.1;

    // ---- route advertisements

    /** Least interval in µs at which peers are sent changed onward routes. */
    private static final long ADVERTISEMENT_INTERVAL_MICROS = 1_000_000;

    /** Most messages a second that a router receives in a large fleet: each is work. */
    private static final long MAX_ADVERTISEMENTS_PER_SECOND = 10;

    /** Intervals for which an advertisement is valid: two messages in a row may be lost. */
    private static final long ADVERTISEMENT_LIFETIME_INTERVALS = 6;

    /**
     * Calls of the widest service that must fit into an advertised group: all receivers may send at
     * once.
     */
    private static final int ADVERTISED_WIDEST_CALLS = 6;

    /**
     * Free share of a group that suffices instead: few send over a thin group, which hardly ever
     * has room for so many calls.
     */
    private static final double ADVERTISED_FREE_SHARE = 0.5;

    /**
     * Utilization of the common window up to which that share suffices: under load, each session in
     * transit is work for three processors.
     */
    private static final double QUIET_UTILIZATION = 0.1;

    /** Utilization of the common window from which no onward routes are advertised. */
    private static final double ADVERTISING_UTILIZATION_LIMIT = 0.4;

    /** Largest advertisement in bytes. */
    private static final int MAX_ADVERTISEMENT_BYTES = 256;

    /**
     * Least wait in µs, and greatest random addition to it, before a failed directory query is
     * repeated.
     */
    private static final long RESUBSCRIBE_DELAY_MICROS = 1_000_000;

    // ---- cold exchanges

    /**
     * Multiple of the budget computed from the rate of local callers, which understates an
     * exchange's speed.
     */
    private static final double COLD_BUDGET_FACTOR = 3;

    /** Least budget in set-ups per window, for a router that has had no callers yet. */
    private static final double MIN_COLD_BUDGET = 0.05;

    // ---- retries

    /**
     * Share of the post-dial target after which a caller may try again, so that another try can
     * still be established in time.
     */
    private static final double RETRY_AFTER_SHARE = 0.3;

    /** Share of the post-dial target, from a caller's first try, after which a try is late. */
    private static final double LATE_TRY_SHARE = 0.8;

    /** First gap in µs between INVITEs to a number whose lines were busy: a part of a hold time. */
    private static final long FIRST_BUSY_LINES_GAP_MICROS = 500_000;

    private static final long MAX_BUSY_LINES_GAP_MICROS = 2_000_000;

    /**
     * Calls to a number that may arrive before its retry-after delay has passed: more come from one
     * caller that repeats at once.
     */
    private static final int MAX_EARLY_CALLS = 2;

    /** µs for which a caller's first try is remembered: longer than callers keep trying. */
    private static final long CALLED_NUMBER_MEMORY_MICROS = 10_000_000;

    /** Least time left in µs to send a session before its timer limit: a set-up takes longer. */
    private static final long MIN_TIME_LEFT_MICROS = 100_000;

    /** A time that is never reached. */
    private static final long NEVER = Long.MAX_VALUE;

    private final int localNumber;
    private final int routers;
    private final boolean usesPools;
    private final int maxInvites;

    /** The longest retry-after delay in µs, 0 if none may be given. */
    private final long maxRetryAfter;

    private final long releaseWait;
    private final double coldBudget;
    private final long overloadWindow;
    private final long warmUpTime;
    private final boolean subscribes;
    private final RandomGenerator random;
    private final TargetSource targets;
    private final CallClass[] classes;

    /** Circuits of a call of the widest service. */
    private final int widest;

    private final SlidingWindowSum localLoad =
            new SlidingWindowSum(LOAD_WINDOW_MICROS, LOAD_BUCKETS);
    private final Map<Long, RemoteExchange> exchanges = new LinkedHashMap<>();
    private final TreeMap<Integer, Group> groups = new TreeMap<>();
    private final Map<Long, PendingSession> pendingSessions = new HashMap<>();
    private double slowShare;
    private RemoteExchange lastAnswering;
    private double lostShare;

    /** Share of the newest sessions over unknown tandems that were established. */
    private double unknownTandemSuccess = UNKNOWN_TANDEM_THRESHOLD;

    private int invitesInFlight;
    private int overdueInvites;
    private final ArrayDeque<Invite> sentInvites = new ArrayDeque<>();
    private final long shortestTarget;
    private double commonWindow = INITIAL_COMMON_WINDOW;
    private final SlidingWindowSum quickAnswers =
            new SlidingWindowSum(QUICK_ANSWER_WINDOW_MICROS, QUICK_ANSWER_BUCKETS);
    private long commonWindowCutAt;
    private final boolean redialsMarked;
    private final Map<Long, CalledNumber> calledNumbers = new LinkedHashMap<>();
    private long startedAt = -1;
    private long subscribeAt;
    private final boolean advertises;
    private final long advertisementInterval;
    private byte[] lastAdvertisement = {};
    private long advertiseAt;
    private long repeatAdvertisementAt;

    /** A class of calls: class 2n is service n at its first try, class 2n + 1 its late redials. */
    private record CallClass(
            long postDialTarget,
            int circuits,
            long holdTime,
            boolean repeatable,
            double windowShare,
            List<Integer> pools) {}

    /** One class on one group: its load, x and y of the rule, and the targets c0 and c1. */
    private static final class ClassState {
        final SlidingWindowSum offeredCalls =
                new SlidingWindowSum(LOAD_WINDOW_MICROS, LOAD_BUCKETS);

        /** y: calls refused during the last hold time. */
        final SlidingWindowSum phantomCalls;

        /** x: calls sent over the group and not yet ended, set-ups in flight included. */
        int activeCalls;

        boolean hasTargets;
        double c0;
        double c1;

        ClassState(long holdTime) {
            phantomCalls = new SlidingWindowSum(holdTime, PHANTOM_BUCKETS);
        }
    }

    /**
     * The trunk group between the local exchange and one exchange number, whichever machine serves
     * that number at the time.
     */
    private static final class Group {
        final int number;
        final ClassState[] classStates;

        /** By far end: the time until which it is not tried over this tandem. */
        final Map<Integer, Long> crankbackUntil = new HashMap<>();

        /** Far ends that this tandem reached, or that a routing centre advised it for. */
        final Set<Integer> reachedFarEnds = new HashSet<>();

        final Map<Integer, Integer> crankbacksInARow = new HashMap<>();

        /** The onward routes that the router there advertised last. */
        byte[] advertisement = {};

        long advertisementValidUntil;

        /** Free circuits as last reported, less those of the sessions sent since. */
        int free;

        /** Circuits in all. */
        int size;

        double beta;
        long refreshAt;
        long targetsVersion;

        /**
         * The machine that serves the number: of the ready ones, the one started last. Stored, as
         * each session needs it.
         */
        RemoteExchange servedBy;

        Group(int number, CallClass[] classes) {
            this.number = number;
            classStates = new ClassState[classes.length];
            for (int i = 0; i < classStates.length; i++) {
                classStates[i] = new ClassState(classes[i].holdTime());
            }
        }
    }

    /** An exchange's processor as observed from here. */
    private static final class RemoteExchange {
        final long id;
        final int number;
        final Group group;

        /** INVITEs sent to it during the last overload window. */
        final SlidingWindowSum recentInvites;

        int pendingSetUps;
        boolean ready;
        long startedAt;
        int failuresInARow;
        long trialAt;

        /** The one trial in flight while the exchange is closed, or null. */
        Invite trial;

        int failedTrials;
        long lastSentAt = -NEVER / 2;

        /** The end of the wait that an overload reply requested. */
        long overloadedUntil;

        double window = INITIAL_WINDOW;
        long windowCutAt;
        final SlidingWindowSum quickAnswers =
                new SlidingWindowSum(QUICK_ANSWER_WINDOW_MICROS, QUICK_ANSWER_BUCKETS);

        /** INVITEs to it in the order sent, without those known to be overtaken. */
        final ArrayDeque<Invite> sentInvites = new ArrayDeque<>();

        /** Pending INVITEs that a later one, answered quickly, overtook. */
        int overtakenInvites;

        /** When the newest INVITE with a quick answer was sent. */
        long latestQuickSentAt;

        boolean slow;

        /**
         * Until then it is no tandem: a slow processor needs no sessions in transit, and there are
         * many tandems.
         */
        long noTandemUntil;

        RemoteExchange(long id, int number, Group group, SlidingWindowSum recentInvites) {
            this.id = id;
            this.number = number;
            this.group = group;
            this.recentInvites = recentInvites;
        }
    }

    private static final class Invite {
        final RemoteExchange exchange;
        final long sentAt;

        /** Whether its set-up is over, with or without an answer. */
        boolean ended;

        boolean overdue;
        boolean overtaken;

        Invite(RemoteExchange exchange, long sentAt) {
            this.exchange = exchange;
            this.sentAt = sentAt;
        }
    }

    /** What is remembered of a called number. */
    private static final class CalledNumber {
        /** The first try of its caller. */
        long firstTryAt = -NEVER / 2;

        long busyLinesGap;
        long busyLinesUntil;
        long lastUsedAt;

        /** The end of the retry-after delay that a caller was given. */
        long retryAt;

        /** Calls that arrived before {@link #retryAt}. */
        int earlyCalls;
    }

    /** A session between its arrival and its last event. */
    private static final class PendingSession {
        final Session session;
        final int classIndex;
        Invite invite;
        int invitesSent;

        /** Whether the last INVITE's answer was probably lost, so that the same route is tried. */
        boolean answerLost;

        long sendNotBefore;
        final List<RemoteExchange> tried = new ArrayList<>();

        PendingSession(Session session, int classIndex) {
            this.session = session;
            this.classIndex = classIndex;
        }
    }

    private enum TestResult {
        PASS,
        GROUP_FULL,
        REFUSE
    }

    /** Creates a router that computes its targets itself. */
    public ExponentialPenaltyRouter(Settings settings, RandomGenerator random) {
        this(settings, random, new Planner(settings));
    }

    /**
     * Creates a router with another source of targets, such as a separate planner, which may be
     * late, restart or be gone.
     */
    public ExponentialPenaltyRouter(
            Settings settings, RandomGenerator random, TargetSource targets) {
        this.random = random;
        this.targets = targets;
        localNumber = settings.localNumber();
        routers = settings.routers();
        usesPools = settings.usesPools();
        maxInvites = settings.maxInvites();
        maxRetryAfter = settings.retryAfterAllowed() ? settings.maxRetryAfter() : 0;
        releaseWait = settings.releaseWait();
        overloadWindow = settings.overloadWindow();
        warmUpTime = settings.warmUpTime();
        coldBudget =
                COLD_BUDGET_FACTOR
                        * settings.overloadMultiple()
                        * settings.coldCapacityShare()
                        * overloadWindow
                        / 1e6;
        subscribes = settings.mustSubscribe();
        subscribeAt = subscribes ? 0 : NEVER;
        advertises = settings.peerMessagesAllowed() && !usesPools;
        // Each router sends to all others: at a fixed interval the work of receiving would grow
        // with the square of the fleet.
        advertisementInterval =
                ADVERTISEMENT_INTERVAL_MICROS
                        * Math.max(1, routers / MAX_ADVERTISEMENTS_PER_SECOND);
        redialsMarked = settings.redialsMarked();
        List<Settings.Service> services = settings.services();
        int mostValuable = Planner.classesByValuePerCircuit(services)[0];
        classes = new CallClass[2 * services.size()];
        int mostCircuits = 1;
        for (int i = 0; i < classes.length; i++) {
            Settings.Service service = services.get(i / 2);
            classes[i] =
                    new CallClass(
                            service.postDialTarget(),
                            service.circuits(),
                            service.holdTime(),
                            service.repeatable(),
                            i == mostValuable && services.size() > 1
                                    ? HIGH_VALUE_WINDOW_SHARE
                                    : LOW_VALUE_WINDOW_SHARE,
                            service.allowedPools());
            mostCircuits = Math.max(mostCircuits, service.circuits());
        }
        widest = mostCircuits;
        shortestTarget =
                services.stream().mapToLong(Settings.Service::postDialTarget).min().orElse(0);
    }

    /**
     * Returns the class of a session: odd if its call can only be established late. Where callers
     * mark redials, the mark decides first, as many callers may call one number; the remembered
     * number tells when its caller tried first.
     */
    private int classOf(long now, Session session) {
        CalledNumber called = session.transit() ? null : calledNumbers.get(session.calledNumber());
        called =
                called != null && now - called.firstTryAt > CALLED_NUMBER_MEMORY_MICROS
                        ? null
                        : called;
        boolean tried =
                redialsMarked
                        ? session.redialled() && !session.redialledAfterCut()
                        : called != null;
        long target = classes[2 * session.service()].postDialTarget;
        boolean inTime = called != null && now <= called.firstTryAt + LATE_TRY_SHARE * target;
        return 2 * session.service() + (tried && !inTime ? 1 : 0);
    }

    /**
     * Returns the record of the called number, a new one if there is none, and drops records that
     * have not been used for longer than the memory.
     */
    private CalledNumber useCalledNumber(long now, Session session) {
        CalledNumber called = calledNumbers.remove(session.calledNumber());
        called = called == null ? new CalledNumber() : called;
        if (now - called.firstTryAt > CALLED_NUMBER_MEMORY_MICROS) {
            called.firstTryAt = session.arrivedAt();
        }
        called.lastUsedAt = now;
        calledNumbers.put(session.calledNumber(), called);
        Iterator<CalledNumber> leastRecentlyUsed = calledNumbers.values().iterator();
        while (now - leastRecentlyUsed.next().lastUsedAt > CALLED_NUMBER_MEMORY_MICROS) {
            leastRecentlyUsed.remove();
        }
        return called;
    }

    /**
     * Suspends INVITEs to a number whose lines are all busy, for a growing time: each INVITE is
     * work for several processors.
     */
    private void recordBusyLines(long now, Session session) {
        if (session.calledNumber() != 0) {
            CalledNumber called = useCalledNumber(now, session);
            called.busyLinesGap =
                    Math.min(
                            MAX_BUSY_LINES_GAP_MICROS,
                            Math.max(FIRST_BUSY_LINES_GAP_MICROS, 2 * called.busyLinesGap));
            called.busyLinesUntil = now + called.busyLinesGap;
        }
    }

    /**
     * Counts a call that arrives before the retry-after delay of its number has passed, and returns
     * whether there were too many: such calls are refused again and are not counted as load.
     */
    private boolean isTooEarly(long now, Session session) {
        CalledNumber called = session.transit() ? null : calledNumbers.get(session.calledNumber());
        return called != null && now < called.retryAt && ++called.earlyCalls > MAX_EARLY_CALLS;
    }

    private boolean hasBusyLines(long now, Session session) {
        CalledNumber called = calledNumbers.get(session.calledNumber());
        return called != null && now < called.busyLinesUntil;
    }

    // ---- decisions

    @Override
    public RoutingDecision route(long now, Session session) {
        recordStart(now);
        PendingSession pending = pendingSessions.get(session.id());
        if (pending == null && isTooEarly(now, session)) {
            return RoutingDecision.refuse(calledNumbers.get(session.calledNumber()).retryAt - now);
        }
        if (pending == null) {
            pending = new PendingSession(session, classOf(now, session));
            pendingSessions.put(session.id(), pending);
            if (!session.transit()) {
                localLoad.add(now, 1);
                recordAdvice(session);
            }
            RemoteExchange direct = readyExchange(session.farEnd());
            if (direct != null) {
                direct.group.classStates[pending.classIndex].offeredCalls.add(now, 1);
            }
        }
        return now < pending.sendNotBefore
                ? RoutingDecision.later(pending.sendNotBefore)
                : chooseRoute(now, pending);
    }

    @Override
    public RoutingDecision onInviteOutcome(
            long now,
            long session,
            InviteOutcome outcome,
            RejectionCause cause,
            long exchangeId,
            long took,
            long retryAfter,
            boolean over) {
        recordStart(now);
        PendingSession pending = pendingSessions.get(session);
        if (pending == null || pending.invite == null) {
            return over ? RoutingDecision.NOTHING : RoutingDecision.FAIL;
        }
        RemoteExchange exchange = pending.invite.exchange;
        recordOutcome(now, pending, outcome, cause, took, retryAfter);
        if (outcome == InviteOutcome.ESTABLISHED) {
            return RoutingDecision.NOTHING;
        }
        exchange.group.classStates[pending.classIndex].activeCalls--;
        pending.invite = null;
        if (over) {
            pendingSessions.remove(session);
            return RoutingDecision.NOTHING;
        }
        return retry(now, pending, exchange, outcome, cause);
    }

    @Override
    public PendingActions pendingActions(long now) {
        recordStart(now);
        boolean subscribe = now >= subscribeAt;
        if (subscribe) {
            subscribeAt = NEVER;
        }
        List<byte[]> broadcasts = List.of();
        if (advertises && now >= advertiseAt) {
            byte[] advertisement = onwardRoutes(now);
            advertiseAt = now + advertisementInterval;
            if (!Arrays.equals(advertisement, lastAdvertisement) || now >= repeatAdvertisementAt) {
                broadcasts = List.of(advertisement);
                lastAdvertisement = advertisement;
                repeatAdvertisementAt =
                        now + ADVERTISEMENT_LIFETIME_INTERVALS / 2 * advertisementInterval;
            }
        }
        long until = Math.min(subscribeAt, advertises ? advertiseAt : NEVER);
        return new PendingActions(until == NEVER ? 0 : until, List.of(), broadcasts, subscribe);
    }

    // ---- facts

    @Override
    public void onExchangeList(long now, boolean complete, List<Exchange> list) {
        recordStart(now);
        exchanges.values().forEach(exchange -> exchange.ready &= !complete);
        for (Exchange listed : list) {
            Group group = groups.computeIfAbsent(listed.number(), n -> new Group(n, classes));
            RemoteExchange exchange =
                    exchanges.computeIfAbsent(
                            listed.id(),
                            id ->
                                    new RemoteExchange(
                                            id,
                                            listed.number(),
                                            group,
                                            new SlidingWindowSum(overloadWindow * 9 / 8, 9)));
            exchange.ready = listed.phase() == READY;
            if (exchange.startedAt != listed.startedAt()) {
                exchange.startedAt = listed.startedAt();
                exchange.failuresInARow = 0;
                exchange.window = INITIAL_COLD_WINDOW;
            }
        }
        // Exchanges are replaced under new ids all day: those that are not ready and have no
        // pending set-up are removed, so that memory does not grow with the replacements.
        exchanges.values().removeIf(exchange -> !exchange.ready && exchange.pendingSetUps == 0);
        groups.values().forEach(group -> group.servedBy = null);
        for (RemoteExchange exchange : exchanges.values()) {
            RemoteExchange other = exchange.group.servedBy;
            if (exchange.ready && (other == null || exchange.startedAt > other.startedAt)) {
                exchange.group.servedBy = exchange;
            }
        }
    }

    @Override
    public void onExchangeListLost(long now) {
        // A failing directory is overloaded: all routers querying again at once would keep it so.
        subscribeAt =
                subscribes
                        ? now + RESUBSCRIBE_DELAY_MICROS + random.nextLong(RESUBSCRIBE_DELAY_MICROS)
                        : NEVER;
    }

    @Override
    public void onCircuitUpdate(long now, long exchangeId, int free, int size) {
        RemoteExchange exchange = exchanges.get(exchangeId);
        if (exchange != null) {
            exchange.group.free = free;
            exchange.group.size = size;
        }
    }

    @Override
    public void onProbeReply(
            long now, long exchangeId, boolean passed, long took, float[] columns) {
        recordStart(now);
    }

    @Override
    public void onPeerMessage(long now, int rank, byte[] body) {
        recordStart(now);
        Group tandem = body.length < 2 ? null : groups.get(body[0] & 0xff | (body[1] & 0xff) << 8);
        if (tandem == null) {
            return;
        }
        // An advertisement says more than the last crankback, whichever way they differ, and
        // replaces it. It expires, as the next message may be lost.
        tandem.crankbackUntil.clear();
        tandem.advertisement = body;
        tandem.advertisementValidUntil =
                now + ADVERTISEMENT_LIFETIME_INTERVALS * advertisementInterval;
    }

    /**
     * Learns from a routing centre's advice, which is old, but was given as both groups had room:
     * the tandem has a group to the far end.
     */
    private void recordAdvice(Session session) {
        Group tandem = groups.get(session.advisedTandem());
        if (tandem != null) {
            tandem.reachedFarEnds.add(session.farEnd());
        }
    }

    @Override
    public void onSessionEnded(long now, long session) {
        PendingSession pending = pendingSessions.get(session);
        if (pending != null && pending.invite == null) {
            pendingSessions.remove(session);
        }
    }

    /**
     * Returns the advertisement of onward routes: the local exchange's number in two bytes, then a
     * bit for each exchange number, set if a session in transit to that number would be sent on.
     */
    private byte[] onwardRoutes(long now) {
        byte[] advertisement =
                new byte
                        [Math.min(
                                MAX_ADVERTISEMENT_BYTES,
                                groups.isEmpty() ? 2 : 3 + groups.lastKey() / 8)];
        advertisement[0] = (byte) localNumber;
        advertisement[1] = (byte) (localNumber >> 8);
        // A loaded processor would refuse transit only after two processors have worked on it, so
        // it advertises no routes.
        if (queuedInvites(now)
                >= commonWindow
                        * ADVERTISING_UTILIZATION_LIMIT
                        * windowScale(now, quickAnswers, MAX_COMMON_WINDOW)) {
            return advertisement;
        }
        boolean quiet =
                slowShare < FEW_SLOW
                        && !losesAnswers()
                        && queuedInvites(now) < QUIET_UTILIZATION * commonWindow;
        groups.forEach(
                (number, group) -> {
                    if (2 + number / 8 < advertisement.length
                            && group.servedBy != null
                            && hasFreeRoom(group)
                            && group.free
                                    >= (quiet
                                            ? Math.min(
                                                    ADVERTISED_WIDEST_CALLS * widest,
                                                    ADVERTISED_FREE_SHARE * group.size)
                                            : ADVERTISED_WIDEST_CALLS * widest)) {
                        advertisement[2 + number / 8] |= (byte) (1 << number % 8);
                    }
                });
        return advertisement;
    }

    private static boolean isAdvertised(byte[] advertisement, int number) {
        return number >= 0
                && 2 + number / 8 < advertisement.length
                && (advertisement[2 + number / 8] & 1 << number % 8) != 0;
    }

    private void recordStart(long now) {
        if (startedAt < 0) {
            startedAt = now;
        }
    }

    // ---- routes

    private RoutingDecision chooseRoute(long now, PendingSession pending) {
        Session session = pending.session;
        RemoteExchange direct = readyExchange(session.farEnd());
        if (pending.invitesSent >= maxInvites
                || session.deadline() - now < MIN_TIME_LEFT_MICROS
                || hasBusyLines(now, session)) {
            return refuse(now, pending, direct);
        }
        if (direct == null || !isOpen(now, direct, classes[pending.classIndex].windowShare)) {
            // In a mesh every route ends at the far end; with pools, another pool can serve what
            // the first choice cannot.
            return usesPools ? overflow(now, pending, direct) : refuse(now, pending, direct);
        }
        if (session.transit() && direct.group.free < TANDEM_FREE_SHARE * direct.group.size) {
            return refuse(now, pending, direct);
        }
        if (!session.transit() && pending.invitesSent > 0 && !pending.answerLost) {
            return overflow(now, pending, direct);
        }
        return switch (test(now, direct.group, pending)) {
            case PASS -> send(now, pending, direct);
            case REFUSE -> refuse(now, pending, direct);
            case GROUP_FULL ->
                    session.transit()
                            ? refuse(now, pending, direct)
                            : overflow(now, pending, direct);
        };
    }

    /**
     * Sends a session whose direct group is full to the tandem whose first group passes the test
     * with the least slope of the penalty.
     */
    private RoutingDecision overflow(long now, PendingSession pending, RemoteExchange direct) {
        Session session = pending.session;
        CallClass callClass = classes[pending.classIndex];
        RemoteExchange best = null;
        double leastSlope = Double.POSITIVE_INFINITY;
        boolean knownOnly =
                unknownTandemSuccess < UNKNOWN_TANDEM_THRESHOLD && hasKnownTandem(session.farEnd());
        for (Group group : groups.values()) {
            RemoteExchange tandem = direct != null && group == direct.group ? null : group.servedBy;
            if (tandem == null
                    || tandem.number == localNumber
                    || pending.tried.contains(tandem)
                    || !isAllowed(callClass, tandem)
                    || knownOnly && !isKnownTandem(group, session.farEnd())
                    || isOnwardRouteClosed(now, group, session.farEnd())
                    || now < tandem.noTandemUntil
                    || !isOpen(now, tandem, TANDEM_WINDOW_SHARE)
                    || group.free < TANDEM_FREE_SHARE * group.size
                    || test(now, group, pending) != TestResult.PASS) {
                continue;
            }
            double slope = logSlope(group, pending);
            if (best == null || isBetterTandem(slope, group, leastSlope, best.group)) {
                leastSlope = slope;
                best = tandem;
            }
        }
        if (best == null) {
            return refuse(now, pending, direct);
        }
        best.group.classStates[pending.classIndex].offeredCalls.add(now, 1);
        return send(now, pending, best);
    }

    /**
     * Whether any tandem is known to reach the far end. The slope covers the first group only, and
     * a tandem without an onward route loads three processors for nothing. So while few unknown
     * tandems succeed, they are used only for far ends without a known one, even if all known ones
     * are closed.
     */
    private boolean hasKnownTandem(int farEnd) {
        for (Group group : groups.values()) {
            if (isKnownTandem(group, farEnd)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isKnownTandem(Group tandem, int farEnd) {
        return isAdvertised(tandem.advertisement, farEnd) || tandem.reachedFarEnds.contains(farEnd);
    }

    private static boolean isOnwardRouteClosed(long now, Group tandem, int farEnd) {
        return tandem.crankbackUntil.getOrDefault(farEnd, 0L) > now
                || now < tandem.advertisementValidUntil
                        && !isAdvertised(tandem.advertisement, farEnd);
    }

    /**
     * Compares tandems by slope, and equal ones, as of groups not used yet, by free circuits: in a
     * fixed order all routers would load the same tandem.
     */
    private static boolean isBetterTandem(
            double slope, Group group, double leastSlope, Group best) {
        return slope < leastSlope || slope == leastSlope && group.free > best.free;
    }

    private boolean isAllowed(CallClass callClass, RemoteExchange exchange) {
        return !usesPools || callClass.pools.isEmpty() || callClass.pools.contains(exchange.number);
    }

    private RoutingDecision send(long now, PendingSession pending, RemoteExchange exchange) {
        Session session = pending.session;
        boolean trial = exchange.failuresInARow >= FAILURES_TO_CLOSE;
        pending.invite = new Invite(exchange, now);
        exchange.trial = trial ? pending.invite : exchange.trial;
        pending.invitesSent++;
        pending.tried.add(exchange);
        exchange.group.free -= session.circuits();
        exchange.group.classStates[pending.classIndex].activeCalls++;
        exchange.pendingSetUps++;
        invitesInFlight++;
        sentInvites.add(pending.invite);
        // Otherwise only quick answers clean up this queue: ended INVITEs would accumulate for an
        // exchange that is slow for hours.
        while (!exchange.sentInvites.isEmpty() && exchange.sentInvites.peek().ended) {
            exchange.sentInvites.poll();
        }
        exchange.sentInvites.add(pending.invite);
        exchange.recentInvites.add(now, 1);
        exchange.lastSentAt = now;
        long timeLeft = session.deadline() - now;
        return RoutingDecision.send(
                exchange.id,
                trial
                        ? Math.min(timeLeft, classes[pending.classIndex].postDialTarget)
                        : inviteTimeLimit(now, pending, exchange, timeLeft));
    }

    /**
     * Returns how long an INVITE may take. While answers get lost, an exchange whose last answer
     * was quick answers soon or not at all: waiting until the caller's limit gains nothing and
     * holds circuits. What is left of the target must cover the release wait and another set-up. A
     * slow exchange, a session in transit or one past its target is given the caller's whole time.
     */
    private long inviteTimeLimit(
            long now, PendingSession pending, RemoteExchange exchange, long timeLeft) {
        long target = classes[pending.classIndex].postDialTarget;
        long resendWait =
                pending.session.arrivedAt()
                        + target
                        - now
                        - releaseWait
                        - (long) (SET_UP_SHARE * target);
        boolean mayResend =
                pending.classIndex % 2 == 0
                        && classes[pending.classIndex].repeatable
                        && pending.invitesSent < maxInvites;
        boolean early =
                losesAnswers()
                        && mayResend
                        && !exchange.slow
                        && !pending.session.transit()
                        && resendWait >= SLOW_SET_UP_SHARE * target;
        return early ? Math.min(timeLeft, resendWait) : timeLeft;
    }

    private boolean losesAnswers() {
        return lostShare > LOSS_THRESHOLD;
    }

    private RoutingDecision refuse(long now, PendingSession pending, RemoteExchange direct) {
        pendingSessions.remove(pending.session.id());
        // A class that can only be established late may as well retry late: each try is work for a
        // loaded processor.
        long retryAfter =
                pending.classIndex % 2 == 0
                        ? (long) (RETRY_AFTER_SHARE * classes[pending.classIndex].postDialTarget)
                        : maxRetryAfter;
        if (!pending.session.transit() && pending.session.calledNumber() != 0) {
            CalledNumber called = useCalledNumber(now, pending.session);
            called.earlyCalls = now < called.retryAt ? called.earlyCalls : 0;
            called.retryAt = now + Math.min(maxRetryAfter, retryAfter);
        }
        if (direct != null) {
            direct.group.classStates[pending.classIndex].phantomCalls.add(now, 1);
        }
        return RoutingDecision.refuse(Math.min(maxRetryAfter, retryAfter));
    }

    /** Decides what to do with a session whose INVITE failed. */
    private RoutingDecision retry(
            long now,
            PendingSession pending,
            RemoteExchange exchange,
            InviteOutcome outcome,
            RejectionCause cause) {
        CallClass callClass = classes[pending.classIndex];
        boolean needsRelease =
                outcome == InviteOutcome.TIMED_OUT
                        || outcome == InviteOutcome.RESET
                        || outcome == InviteOutcome.CANCELLED;
        if (needsRelease) {
            pending.sendNotBefore = now + releaseWait;
            pending.answerLost = outcome != InviteOutcome.CANCELLED && losesAnswers();
        }
        if ((needsRelease || outcome == InviteOutcome.ERROR) && !callClass.repeatable) {
            pendingSessions.remove(pending.session.id());
            return RoutingDecision.FAIL;
        }
        // While the local processor is down each INVITE fails at once, and a session would use up
        // all of its INVITEs.
        boolean localProcessorDown =
                outcome == InviteOutcome.NOT_SENT && cause == RejectionCause.PROCESSOR_FULL;
        boolean hopeless =
                localProcessorDown
                        || cause == RejectionCause.FAR_END_PROCESSOR_FULL
                        || cause == RejectionCause.LINES_BUSY
                        || exchange.number == pending.session.farEnd()
                                && outcome != InviteOutcome.NOT_SENT
                                && !pending.answerLost
                        || Math.max(now, pending.sendNotBefore)
                                > pending.session.arrivedAt() + callClass.postDialTarget
                        // A redial may have less time left than the release wait: after it, the
                        // caller would no longer get an answer.
                        || Math.max(now, pending.sendNotBefore) + MIN_TIME_LEFT_MICROS
                                > pending.session.deadline()
                        || pending.session.transit();
        if (hopeless) {
            return refuse(now, pending, readyExchange(pending.session.farEnd()));
        }
        return now < pending.sendNotBefore
                ? RoutingDecision.later(pending.sendNotBefore)
                : chooseRoute(now, pending);
    }

    // ---- the penalty rule

    /** Tests whether a group accepts a session: by free circuits, then by the penalty rule. */
    private TestResult test(long now, Group group, PendingSession pending) {
        Session session = pending.session;
        if (group.free < session.circuits()) {
            return TestResult.GROUP_FULL;
        }
        if (now >= group.refreshAt) {
            refreshTargets(now, group);
        } else if (targets.version() != group.targetsVersion) {
            // Applied at once: at the group's next refresh a plan would already be 5 s old.
            applyTargets(now, group, targets.currentTargets(now, group.number));
        }
        ClassState state = group.classStates[pending.classIndex];
        boolean freeRoom =
                session.transit() || pending.classIndex % 2 == 1
                        ? hasFreeRoom(group)
                        : group.free >= LOCAL_FREE_ROOM_SHARE * group.size;
        if (freeRoom || !state.hasTargets) {
            return TestResult.PASS;
        }
        if (state.c0 <= 0) {
            return TestResult.REFUSE;
        }
        if (state.c1 <= 0) {
            return TestResult.PASS;
        }
        int x = state.activeCalls;
        double y = state.phantomCalls.sum(now);
        int b = session.circuits();
        double bound = y / state.c1 + Math.log(state.c0 / state.c1) / (group.beta * b);
        return x / state.c0 <= bound ? TestResult.PASS : TestResult.REFUSE;
    }

    /** The time over which the load was measured: less than the load window after the start. */
    private long measuredTime(long now) {
        return Math.max(1, Math.min(LOAD_WINDOW_MICROS, now - startedAt));
    }

    private boolean hasFreeRoom(Group group) {
        return group.free >= FREE_ROOM_SHARE * group.size
                && group.free >= FREE_ROOM_WIDEST_CALLS * widest;
    }

    /**
     * Returns the logarithm of the penalty's slope along x, which is log(beta*b/c0) + beta*b/c0*x:
     * the less, the less another call adds to the penalty.
     */
    private static double logSlope(Group group, PendingSession pending) {
        ClassState state = group.classStates[pending.classIndex];
        if (!state.hasTargets || state.c0 <= 0 || group.beta <= 0) {
            return Double.NEGATIVE_INFINITY;
        }
        double exponentPerCall = group.beta * pending.session.circuits() / state.c0;
        return Math.log(exponentPerCall) + exponentPerCall * state.activeCalls;
    }

    /** Passes the measured load to the source of targets, and applies the targets it returns. */
    private void refreshTargets(long now, Group group) {
        group.refreshAt = now + TARGET_REFRESH_MICROS;
        double[] erlangs = new double[classes.length];
        for (int i = 0; i < erlangs.length; i++) {
            erlangs[i] =
                    group.classStates[i].offeredCalls.sum(now)
                            / measuredTime(now)
                            * classes[i].holdTime;
        }
        applyTargets(
                now,
                group,
                targets.targetsFor(now, new GroupLoad(now, group.number, group.size, erlangs)));
    }

    private void applyTargets(long now, Group group, GroupTargets plan) {
        group.targetsVersion = targets.version();
        for (int i = 0; i < group.classStates.length; i++) {
            ClassState state = group.classStates[i];
            boolean first = !state.hasTargets;
            state.hasTargets = plan != null && plan.hasLoad()[i];
            if (state.hasTargets) {
                state.c0 = plan.c0()[i];
                state.c1 = plan.c1()[i];
                if (first) {
                    state.phantomCalls.spread(now, plan.initialPhantoms()[i]);
                }
            }
        }
        group.beta = plan == null ? 0 : plan.beta();
    }

    // ---- processors

    /**
     * Returns the INVITEs in flight from here that may wait at the local processor. While few
     * answers are slow, one in flight for longer than the shortest target waits for a far end that
     * hangs or for a lost answer, and does not count towards the window.
     */
    private int queuedInvites(long now) {
        while (!sentInvites.isEmpty()
                && (sentInvites.peek().ended || now - sentInvites.peek().sentAt > shortestTarget)) {
            Invite invite = sentInvites.poll();
            invite.overdue = !invite.ended;
            overdueInvites += invite.overdue ? 1 : 0;
        }
        return slowShare < FEW_SLOW ? invitesInFlight - overdueInvites : invitesInFlight;
    }

    /**
     * Whether an exchange may get another set-up, by its cold budget, failures, requested wait and
     * the windows.
     */
    private boolean isOpen(long now, RemoteExchange exchange, double windowShare) {
        if (now < exchange.overloadedUntil || !isWithinColdBudget(now, exchange)) {
            return false;
        }
        if (exchange.failuresInARow >= FAILURES_TO_CLOSE) {
            return now >= exchange.trialAt && exchange.trial == null;
        }
        int queued = exchange.pendingSetUps - exchange.overtakenInvites;
        return queued
                        < Math.max(1, exchange.window * windowShare)
                                * windowScale(now, exchange.quickAnswers, MAX_WINDOW)
                && queuedInvites(now)
                        < Math.max(1, commonWindow * windowShare)
                                * windowScale(now, quickAnswers, MAX_COMMON_WINDOW);
    }

    /**
     * Returns how many set-ups one place of a window stands for. The windows are sized for some
     * dozens of set-ups a second; where hundreds are answered quickly, that many more are in flight
     * without a queue, and a short stall would fill the windows. The widest window holds what
     * arrives while an answer still counts as quick.
     */
    private double windowScale(long now, SlidingWindowSum quick, double maxWindow) {
        return Math.max(
                1,
                quick.sum(now)
                        / QUICK_ANSWER_WINDOW_MICROS
                        * SLOW_SET_UP_SHARE
                        * shortestTarget
                        / maxWindow);
    }

    /**
     * Adjusts the windows: they grow by one place for a window of quick answers, and shrink once
     * for a window of slow ones.
     */
    private void adjustWindows(
            long now, RemoteExchange exchange, Invite invite, boolean quick, boolean answered) {
        exchange.slow = !quick;
        exchange.noTandemUntil = quick ? 0 : now + SLOW_TANDEM_HOLD_MICROS;
        // The common window must not close because of a few hung or slow exchanges; if most are
        // slow, the local processor is. In a large fleet an exchange's last answer is old, so the
        // newest answers of all exchanges are used, one per exchange in turn.
        if (answered && exchange != lastAnswering) {
            slowShare += SLOW_WEIGHT * ((quick ? 0 : 1) - slowShare);
            lastAnswering = exchange;
        }
        if (quick) {
            quickAnswers.add(now, 1);
            exchange.quickAnswers.add(now, 1);
            double commonSize = commonWindow * windowScale(now, quickAnswers, MAX_COMMON_WINDOW);
            double exchangeSize =
                    exchange.window * windowScale(now, exchange.quickAnswers, MAX_WINDOW);
            commonWindow = Math.min(MAX_COMMON_WINDOW, commonWindow + 1 / commonSize);
            exchange.window = Math.min(MAX_WINDOW, exchange.window + 1 / exchangeSize);
            return;
        }
        if (invite.sentAt >= commonWindowCutAt && slowShare > MOSTLY_SLOW) {
            commonWindow = Math.max(MIN_COMMON_WINDOW, commonWindow * COMMON_WINDOW_DECREASE);
            commonWindowCutAt = now;
        }
        if (invite.sentAt >= exchange.windowCutAt) {
            exchange.window = Math.max(1, exchange.window * WINDOW_DECREASE);
            exchange.windowCutAt = now;
        }
    }

    /**
     * Marks the INVITEs that one with a quick answer overtook. A processor handles set-ups in
     * order, so an overtaken INVITE does not wait in its queue, but for a lost message that is sent
     * again. It says nothing about the processor, and once it is slow it takes no place in the
     * window.
     */
    private void markOvertaken(long now, RemoteExchange exchange, long sentAt) {
        exchange.latestQuickSentAt = Math.max(exchange.latestQuickSentAt, sentAt);
        while (!exchange.sentInvites.isEmpty()
                && (exchange.sentInvites.peek().ended
                        || exchange.sentInvites.peek().sentAt < sentAt
                                && now - exchange.sentInvites.peek().sentAt
                                        > SLOW_SET_UP_SHARE * shortestTarget)) {
            Invite invite = exchange.sentInvites.poll();
            invite.overtaken = !invite.ended;
            exchange.overtakenInvites += invite.overtaken ? 1 : 0;
        }
    }

    /**
     * Whether another set-up stays within this router's share of what a cold exchange can bear in
     * an overload window.
     */
    private boolean isWithinColdBudget(long now, RemoteExchange exchange) {
        if (exchange.startedAt <= 0 || now - exchange.startedAt >= warmUpTime) {
            return true;
        }
        double rate = localLoad.sum(now) / measuredTime(now) * 1e6;
        double budget = coldBudget * rate / Math.max(1, routers - 1);
        // In a large fleet one set-up per router and window would be too many together: a budget
        // below one means one set-up in several windows.
        return budget < 1
                ? now - exchange.lastSentAt >= overloadWindow / Math.max(MIN_COLD_BUDGET, budget)
                : exchange.recentInvites.sum(now) + 1 <= budget;
    }

    /** Updates the state of the exchange, the tandem and the called number by an outcome. */
    private void recordOutcome(
            long now,
            PendingSession pending,
            InviteOutcome outcome,
            RejectionCause cause,
            long took,
            long retryAfter) {
        RemoteExchange exchange = pending.invite.exchange;
        boolean wasSettingUp = !pending.invite.ended;
        boolean wasTrial = exchange.trial == pending.invite;
        exchange.trial = wasTrial ? null : exchange.trial;
        if (wasSettingUp) {
            pending.invite.ended = true;
            exchange.pendingSetUps--;
            exchange.overtakenInvites -= pending.invite.overtaken ? 1 : 0;
            invitesInFlight--;
            overdueInvites -= pending.invite.overdue ? 1 : 0;
        }
        if (outcome == InviteOutcome.ESTABLISHED && exchange.number != pending.session.farEnd()) {
            recordUnknownTandem(exchange.group, pending.session.farEnd(), 1);
            exchange.group.reachedFarEnds.add(pending.session.farEnd());
        }
        boolean answered =
                outcome == InviteOutcome.ESTABLISHED
                        || outcome == InviteOutcome.BUSY
                        || outcome == InviteOutcome.ERROR;
        CalledNumber called = calledNumbers.get(pending.session.calledNumber());
        if (outcome == InviteOutcome.ESTABLISHED && called != null) {
            called.busyLinesGap = 0;
        }
        if (answered && wasSettingUp) {
            lostShare -= LOSS_WEIGHT * lostShare;
            exchange.failuresInARow = 0;
            exchange.failedTrials = 0;
            // A busy reply is quick, but no sign of a quick processor: an overloaded one must not
            // widen its own window.
            if (outcome == InviteOutcome.ESTABLISHED || cause == RejectionCause.PROCESSOR_FULL) {
                boolean quick =
                        outcome == InviteOutcome.ESTABLISHED
                                && took
                                        < SLOW_SET_UP_SHARE
                                                * classes[pending.classIndex].postDialTarget;
                boolean queued =
                        exchange.number != pending.session.farEnd()
                                || pending.invite.sentAt >= exchange.latestQuickSentAt;
                if (quick) {
                    markOvertaken(now, exchange, pending.invite.sentAt);
                }
                if (quick || queued || outcome == InviteOutcome.BUSY) {
                    adjustWindows(now, exchange, pending.invite, quick, true);
                }
            }
        } else if (wasSettingUp
                && (outcome == InviteOutcome.TIMED_OUT
                        || outcome == InviteOutcome.UNREACHABLE
                        || outcome == InviteOutcome.RESET)) {
            // An exchange that has just answered does not hang, so its first failure counts as a
            // lost answer; a second one in a row says nothing about losses.
            lostShare +=
                    exchange.failuresInARow == 0 && !exchange.slow
                            ? LOSS_WEIGHT * (1 - lostShare)
                            : 0;
            exchange.failuresInARow++;
            // While answers get lost, shrinking the window at each would close the few routes of a
            // small mesh that works.
            if (exchange.slow || !losesAnswers()) {
                adjustWindows(now, exchange, pending.invite, false, false);
            }
            exchange.failedTrials += wasTrial ? 1 : 0;
            // INVITEs sent before the exchange was closed are no trials. They must not postpone the
            // next trial or lengthen its wait, or lost answers, some in flight for seconds, would
            // keep the only route to a far end closed.
            if (wasTrial || exchange.failuresInARow == FAILURES_TO_CLOSE) {
                exchange.trialAt =
                        now
                                + Math.min(
                                        MAX_TRIAL_DELAY_MICROS,
                                        FIRST_TRIAL_DELAY_MICROS
                                                << Math.min(8, exchange.failedTrials));
            }
        }
        if (cause == RejectionCause.PROCESSOR_FULL && outcome == InviteOutcome.BUSY) {
            exchange.overloadedUntil =
                    now + (retryAfter > 0 ? retryAfter : DEFAULT_OVERLOAD_WAIT_MICROS);
        }
        if (cause == RejectionCause.LINES_BUSY) {
            recordBusyLines(now, pending.session);
        }
        if (cause == RejectionCause.CRANKBACK || cause == RejectionCause.FAR_END_PROCESSOR_FULL) {
            recordCrankback(now, exchange.group, pending.session.farEnd());
        }
    }

    /** Counts a session over a tandem not known to reach the far end: 1 if established, else 0. */
    private void recordUnknownTandem(Group tandem, int farEnd, int established) {
        unknownTandemSuccess +=
                isKnownTandem(tandem, farEnd)
                        ? 0
                        : UNKNOWN_TANDEM_WEIGHT * (established - unknownTandemSuccess);
    }

    private void recordCrankback(long now, Group tandem, int farEnd) {
        recordUnknownTandem(tandem, farEnd, 0);
        int doublings =
                tandem.reachedFarEnds.contains(farEnd)
                        ? 0
                        : tandem.crankbacksInARow.merge(farEnd, 1, Integer::sum) - 1;
        tandem.crankbackUntil.put(
                farEnd,
                now + (CRANKBACK_HOLD_MICROS << Math.min(MAX_CRANKBACK_DOUBLINGS, doublings)));
    }

    private RemoteExchange readyExchange(int number) {
        Group group = groups.get(number);
        return group == null ? null : group.servedBy;
    }
}
