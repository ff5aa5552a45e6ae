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
 * All decisions of one call router. The interface, and how it is called, is in CallRouter.java:
 * route() for a new session or one whose "later" is due, after() for news of an INVITE, waiting()
 * when a round is done; the rest tell facts. One object serves one exchange's router, on one
 * thread, with no clock or wire of its own.
 */
public final class Choice implements CallRouter {
    // The design's figures.
    /** µs: span over which a service's rate on a group is counted (design). */
    private static final long RATE_WINDOW = 10_000_000;

    /** µs: age at which a group's targets are worked out anew (design). */
    private static final long REFRESH = 5_000_000;

    /**
     * Share of a group, and multiples of the widest service, that must be free to take anything
     * (design).
     */
    private static final double FREE_SHARE = 0.2;

    private static final int FREE_WIDTHS = 2;

    /**
     * The same share for an own caller's session: the slack of the targets must not keep circuits
     * empty.
     */
    private static final double FREE_OWN = 0.06;

    /**
     * The share each leg of a two-group session must have free: thin groups hardly ever have a
     * fifth.
     */
    private static final double FREE_LEG = 0.1;

    /**
     * Buckets of the rings of load and of phantoms: steps of half a second and of a hold's
     * thirtieth.
     */
    private static final int LOAD_BUCKETS = 20;

    private static final int PHANTOM_BUCKETS = 30;

    // The guards' figures.
    /**
     * Share of the post-dial target past which a set-up is slow: the rest is for what queues up
     * then.
     */
    private static final double SLOW = 0.3;

    /**
     * Share of INVITEs unanswered by exchanges in order that tells of lost answers; weight of the
     * newest.
     */
    private static final double LOST_SHARE = 0.08;

    private static final double LOST_STEP = 0.02;

    /**
     * Share of the post-dial target that a set-up takes where nothing is slow, two legs and queues
     * too.
     */
    private static final double SET_UP = 0.2;

    /**
     * Share of a window open to a tandem's leg, to low value or what stands late, and to the
     * highest.
     */
    private static final double PRESS_TANDEM = 0.25;

    private static final double PRESS_LOW = 0.5;
    private static final double PRESS_HIGH = 1;

    /** Share of the common window in use from which peers are told of no ways on. */
    private static final double PRESS_TOLD = 0.4;

    /**
     * INVITEs in flight to one exchange: to start with, and the most; above this it is never the
     * limit.
     */
    private static final double WINDOW_FIRST = 4;

    private static final double WINDOW_MOST = 32;

    /** The same for all INVITEs in flight from here, which all pass the own processor. */
    private static final double OWN_FIRST = 16;

    private static final double OWN_MOST = 64;
    private static final double OWN_LEAST = 2;
    private static final double OWN_CUT = 0.85;

    /**
     * µs: span over which quick answers are counted, to tell what one place of a window is worth.
     */
    private static final long PLACE_SPAN = 1_000_000;

    private static final int PLACE_BUCKETS = 10;

    /**
     * Share of slow answers from which most are slow, and under which few are; weight of the
     * newest.
     */
    private static final double MOST = 0.5;

    private static final double FEW = 0.2;
    private static final double SLOW_STEP = 0.05;

    /** What a slow answer leaves of the window. */
    private static final double WINDOW_CUT = 0.5;

    /**
     * INVITEs in a row without an answer that close an exchange: two can be chance, more costs
     * circuits.
     */
    private static final int FAILURES = 3;

    /**
     * µs: a closed exchange's first wait for a trial, and the longest; near the length of a short
     * stall.
     */
    private static final long TRIAL_FIRST = 500_000;

    private static final long TRIAL_LONGEST = 2_000_000;

    /**
     * µs: hold-back after a full processor that names no wait: about what drains between two
     * answers.
     */
    private static final long FULL_HOLD = 300_000;

    /** µs: a tandem that turned a session back is not asked for that far end for this long. */
    private static final long TURNED_BACK_HOLD = 4_000_000;

    /**
     * Doublings of that hold at most, for a tandem that never led there: it may have no group to
     * it.
     */
    private static final int TURNED_BACK_DOUBLINGS = 4;

    /** µs: one that was slow, full or silent is no tandem for this long, or until it is quick. */
    private static final long SLOW_TANDEM_HOLD = 4_000_000;

    /**
     * Share of unknown tandems that must lead on to be asked beside known ones; weight of the
     * newest.
     */
    private static final double UNKNOWN_LEAD = 0.5;

    private static final double UNKNOWN_STEP = 0.1;

    /**
     * µs: how often peers are told of ways on, if changed; messages a second each hears: each is
     * work.
     */
    private static final long TELL_EVERY = 1_000_000;

    private static final long NEWS_A_SECOND = 10;

    /** Multiples of that gap for which news holds: two messages in a row may be lost. */
    private static final long NEWS_FRESH = 6;

    /**
     * Widest services that must fit into a group told as a way on: all who hear of it may send at
     * once.
     */
    private static final int TOLD_WIDTHS = 6;

    /**
     * Share of a group that is enough instead: few send over a thin one, which hardly has so many
     * free.
     */
    private static final double TOLD_SHARE = 0.5;

    /**
     * Share of the common window in use up to which that holds: in trouble each tandem is work for
     * three.
     */
    private static final double PRESS_QUIET = 0.1;

    /** Bytes of the largest message. */
    private static final int NEWS_BYTES = 256;

    /**
     * µs: least wait and as much again by chance before a failed question to the directory is put
     * again.
     */
    private static final long SUBSCRIBE_AGAIN = 1_000_000;

    /** µs: a moment that does not come. */
    private static final long NEVER = Long.MAX_VALUE;

    /**
     * INVITEs in flight to a fresh exchange, to start with; its answers widen this like any window.
     */
    private static final double FRESH_WINDOW = 2;

    /**
     * Multiple of the budget reckoned from own callers' rate, which understates an exchange's
     * speed.
     */
    private static final double COLD_SHARE = 3;

    /** The least part of a set-up a window, for a router that has had no callers yet. */
    private static final double LEAST_PART = 0.05;

    /**
     * Share of the post-dial target after which a caller is asked back, to have a try left in time.
     */
    private static final double COME_BACK = 0.3;

    /**
     * Share of the post-dial target, since a caller's first try, past which a set-up would end
     * late.
     */
    private static final double LATE_SHARE = 0.8;

    /**
     * µs: first and longest gap between INVITEs to a number whose lines were busy: part of a hold.
     */
    private static final long LINES_GAP = 500_000;

    private static final long LINES_GAP_MOST = 2_000_000;

    /**
     * Callers of a number that may come within one come-back time: more are one that repeats at
     * once.
     */
    private static final int EARLY = 2;

    /** µs: how long a caller's first try is remembered: longer than callers go on trying. */
    private static final long MEMORY = 10_000_000;

    /**
     * µs: less than this before its timer limit a session is not sent any more; a set-up takes
     * longer.
     */
    private static final long TOO_LATE = 100_000;

    private final int ownNumber;
    private final int routers;
    private final boolean pools;
    private final int inviteLimit;
    private final long comeBack;
    private final long releaseWait;
    private final double coldBudget;
    private final long fallWindow;
    private final long warmUp;
    private final boolean subscribes;
    private final RandomGenerator chance;
    private final Targets targets;
    private final Service[] services;
    private final int widest;
    private final Ring ownLoad = new Ring(RATE_WINDOW, LOAD_BUCKETS);
    private final Map<Long, Far> exchanges = new LinkedHashMap<>();
    private final TreeMap<Integer, Group> groups = new TreeMap<>();
    private final Map<Long, Held> held = new HashMap<>();
    private double slowShare;
    private Far lastPaced;
    private double lostShare;
    private double unknownLead = UNKNOWN_LEAD;
    private int inFlight;
    private int overdues;
    private final ArrayDeque<Invite> out = new ArrayDeque<>();
    private final long overdue;
    private double ownWindow = OWN_FIRST;
    private final Ring ownQuick = new Ring(PLACE_SPAN, PLACE_BUCKETS);
    private long ownCutAt;
    private final boolean marks;
    private final Map<Long, Called> numbers = new LinkedHashMap<>();
    private long started = -1;
    private long subscribeAt;
    private final boolean peers;
    private final long tellEvery;
    private byte[] told = {};
    private long tellAt;
    private long tellAgainAt;

    /**
     * What a class is to the decisions: class 2n is service n at its first try, 2n + 1 its redials.
     */
    private record Service(
            long target,
            int width,
            long hold,
            boolean repeatable,
            double press,
            List<Integer> pools) {}

    /**
     * One service on one group: standing calls x, phantom calls y, and the targets of the last
     * refresh.
     */
    private static final class Load {
        final Ring calls = new Ring(RATE_WINDOW, LOAD_BUCKETS);
        final Ring phantoms;
        int standing;
        boolean aimed;
        double c0;
        double c1;

        Load(long hold) {
            phantoms = new Ring(hold, PHANTOM_BUCKETS);
        }
    }

    /** The circuits between here and one number, whichever machine serves that number now. */
    private static final class Group {
        final int number;
        final Load[] loads;
        final Map<Integer, Long> turnedBack = new HashMap<>();

        /** Far ends it has led to: a session stood, or a centre advised it. */
        final Set<Integer> leadsTo = new HashSet<>();

        final Map<Integer, Integer> turnsInARow = new HashMap<>();

        /** The last news its router told of its own ways on, and until when that holds. */
        byte[] news = {};

        long newsUntil;
        int free;
        int size;
        double beta;
        long refreshAt;
        long planned;

        /**
         * The machine that serves the number now, the ready one started last; every session asks
         * for it.
         */
        Far serving;

        Group(int number, Service[] services) {
            this.number = number;
            loads = new Load[services.length];
            for (int i = 0; i < loads.length; i++) {
                loads[i] = new Load(services[i].hold());
            }
        }
    }

    /** One exchange's processor as seen from here. */
    private static final class Far {
        final long id;
        final int number;
        final Group group;
        final Ring sends;
        int settingUp;
        boolean ready;
        long since;
        int failures;
        long trialAt;

        /** The one trial in flight while closed, and how many in a row had no answer. */
        Invite trial;

        int trials;
        long sentAt = -NEVER / 2;
        long holdUntil;
        double window = WINDOW_FIRST;
        long cutAt;
        final Ring quick = new Ring(PLACE_SPAN, PLACE_BUCKETS);

        /**
         * INVITEs out in the order sent; how many a quick answer overtook, and when that one was
         * sent.
         */
        final ArrayDeque<Invite> out = new ArrayDeque<>();

        int overtaken;
        long quickSentAt;
        boolean slow;

        /** A slow processor needs no sessions of others in transit, and there are many tandems. */
        long noTandemUntil;

        Far(long id, int number, Group group, Ring sends) {
            this.id = id;
            this.number = number;
            this.group = group;
            this.sends = sends;
        }
    }

    private static final class Invite {
        final Far far;
        final long sentAt;

        /** Whether its set-up is over, by an answer or without one. */
        boolean ended;

        boolean overdue;
        boolean overtaken;

        Invite(Far far, long sentAt) {
            this.far = far;
            this.sentAt = sentAt;
        }
    }

    /**
     * What is remembered of a number called: its caller's first try, and until when its lines seem
     * busy.
     */
    private static final class Called {
        long first = -NEVER / 2;
        long gap;
        long busyUntil;
        long touched;

        /** Until when a caller was asked to stay away, and how many came before. */
        long awayUntil;

        int early;
    }

    /** A session in hand, until nothing more can come for it. */
    private static final class Held {
        final Session session;
        final int kind;
        Invite invite;
        int sent;
        boolean lost;
        long notBefore;
        final List<Far> tried = new ArrayList<>();

        Held(Session session, int kind) {
            this.session = session;
            this.kind = kind;
        }
    }

    private enum Test {
        PASS,
        FULL,
        KEPT_BACK
    }

    public Choice(Settings settings, RandomGenerator chance) {
        this(settings, chance, new Planner(settings));
    }

    /** With targets from elsewhere: a planner of its own that may be late, restart or be gone. */
    public Choice(Settings settings, RandomGenerator chance, Targets targets) {
        this.chance = chance;
        this.targets = targets;
        ownNumber = settings.ownNumber();
        routers = settings.routers();
        pools = settings.pools();
        inviteLimit = settings.inviteLimit();
        comeBack = settings.comeBack() ? settings.longestComeBack() : 0;
        releaseWait = settings.releaseWait();
        fallWindow = settings.fallWindow();
        warmUp = settings.warmUp();
        coldBudget = COLD_SHARE * settings.fallMultiple() * settings.coldFrom() * fallWindow / 1e6;
        subscribes = settings.subscribe();
        subscribeAt = subscribes ? 0 : NEVER;
        peers = settings.peers() && !pools;
        // All tell all: at a fixed gap the work of listening would grow with the square of the
        // fleet.
        tellEvery = TELL_EVERY * Math.max(1, routers / NEWS_A_SECOND);
        marks = settings.redialsMarked();
        List<Settings.Service> given = settings.services();
        int dearest = Planner.order(given)[0];
        services = new Service[2 * given.size()];
        int most = 1;
        for (int i = 0; i < services.length; i++) {
            Settings.Service it = given.get(i / 2);
            services[i] =
                    new Service(
                            it.target(),
                            it.width(),
                            it.hold(),
                            it.repeatable(),
                            i == dearest && given.size() > 1 ? PRESS_HIGH : PRESS_LOW,
                            it.pools());
            most = Math.max(most, it.width());
        }
        widest = most;
        overdue = given.stream().mapToLong(Settings.Service::target).min().orElse(0);
    }

    // The class of a session: odd when it can only stand late. Where callers mark redials the mark
    // is asked
    // first, as many may call one number; the memory of numbers tells when its caller first came.
    private int kind(long now, Session session) {
        Called known = session.transit() ? null : numbers.get(session.number());
        known = known != null && now - known.first > MEMORY ? null : known;
        boolean tried = marks ? session.redialled() && !session.cut() : known != null;
        long target = services[2 * session.service()].target;
        boolean inTime = known != null && now <= known.first + LATE_SHARE * target;
        return 2 * session.service() + (tried && !inTime ? 1 : 0);
    }

    /**
     * What is known of a number, made if new; the one touched longest ago is dropped once it is
     * old.
     */
    private Called touch(long now, Session session) {
        Called known = numbers.remove(session.number());
        known = known == null ? new Called() : known;
        if (now - known.first > MEMORY) {
            known.first = session.arrived();
        }
        known.touched = now;
        numbers.put(session.number(), known);
        Iterator<Called> oldest = numbers.values().iterator();
        while (now - oldest.next().touched > MEMORY) {
            oldest.remove();
        }
        return known;
    }

    /**
     * A number whose lines are all busy is left alone for a growing while: each ask is work for
     * all.
     */
    private void linesBusy(long now, Session session) {
        if (session.number() != 0) {
            Called known = touch(now, session);
            known.gap = Math.min(LINES_GAP_MOST, Math.max(LINES_GAP, 2 * known.gap));
            known.busyUntil = now + known.gap;
        }
    }

    /**
     * Whether callers of a number were asked to stay away and keep coming: refused again, they are
     * no load.
     */
    private boolean early(long now, Session session) {
        Called known = session.transit() ? null : numbers.get(session.number());
        return known != null && now < known.awayUntil && ++known.early > EARLY;
    }

    private boolean linesBusyNow(long now, Session session) {
        Called known = numbers.get(session.number());
        return known != null && now < known.busyUntil;
    }

    // ---- the three questions

    @Override
    public Answer route(long now, Session session) {
        begin(now);
        Held it = held.get(session.id());
        if (it == null && early(now, session)) {
            return Answer.refuse(numbers.get(session.number()).awayUntil - now);
        }
        if (it == null) {
            it = new Held(session, kind(now, session));
            held.put(session.id(), it);
            if (!session.transit()) {
                ownLoad.add(now, 1);
                advised(session);
            }
            Far far = ready(session.farEnd());
            if (far != null) {
                far.group.loads[it.kind].calls.add(now, 1);
            }
        }
        return now < it.notBefore ? Answer.later(it.notBefore) : choose(now, it);
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
        begin(now);
        Held it = held.get(session);
        if (it == null || it.invite == null) {
            return over ? Answer.NOTHING : Answer.FAIL;
        }
        Far far = it.invite.far;
        settled(now, it, ending, cause, took, namedWait);
        if (ending == Ending.STANDS) {
            return Answer.NOTHING;
        }
        far.group.loads[it.kind].standing--;
        it.invite = null;
        if (over) {
            held.remove(session);
            return Answer.NOTHING;
        }
        return again(now, it, far, ending, cause);
    }

    @Override
    public Waiting waiting(long now) {
        begin(now);
        boolean subscribe = now >= subscribeAt;
        if (subscribe) {
            subscribeAt = NEVER;
        }
        List<byte[]> tell = List.of();
        if (peers && now >= tellAt) {
            byte[] news = waysOn(now);
            tellAt = now + tellEvery;
            if (!Arrays.equals(news, told) || now >= tellAgainAt) {
                tell = List.of(news);
                told = news;
                tellAgainAt = now + NEWS_FRESH / 2 * tellEvery;
            }
        }
        long until = Math.min(subscribeAt, peers ? tellAt : NEVER);
        return new Waiting(until == NEVER ? 0 : until, List.of(), tell, subscribe);
    }

    // ---- the facts

    @Override
    public void roster(long now, boolean whole, List<Exchange> list) {
        begin(now);
        exchanges.values().forEach(far -> far.ready &= !whole);
        for (Exchange each : list) {
            Group group = groups.computeIfAbsent(each.number(), n -> new Group(n, services));
            Far far =
                    exchanges.computeIfAbsent(
                            each.id(),
                            id ->
                                    new Far(
                                            id,
                                            each.number(),
                                            group,
                                            new Ring(fallWindow * 9 / 8, 9)));
            far.ready = each.phase() == READY;
            if (far.since != each.since()) {
                far.since = each.since();
                far.failures = 0;
                far.window = FRESH_WINDOW;
            }
        }
        // Exchanges are replaced under new ids all day: those that take nothing more are not kept.
        exchanges.values().removeIf(far -> !far.ready && far.settingUp == 0);
        groups.values().forEach(group -> group.serving = null);
        for (Far far : exchanges.values()) {
            Far other = far.group.serving;
            if (far.ready && (other == null || far.since > other.since)) {
                far.group.serving = far;
            }
        }
    }

    @Override
    public void rosterLost(long now) {
        // A directory that fails is pressed: all routers asking again at once would keep it so.
        subscribeAt = subscribes ? now + SUBSCRIBE_AGAIN + chance.nextLong(SUBSCRIBE_AGAIN) : NEVER;
    }

    @Override
    public void circuits(long now, long exchange, int free, int size) {
        Far far = exchanges.get(exchange);
        if (far != null) {
            far.group.free = free;
            far.group.size = size;
        }
    }

    @Override
    public void report(long now, long exchange, boolean passed, long took, float[] columns) {
        begin(now);
    }

    @Override
    public void peer(long now, int rank, byte[] body) {
        begin(now);
        Group tandem = body.length < 2 ? null : groups.get(body[0] & 0xff | (body[1] & 0xff) << 8);
        if (tandem == null) {
            return;
        }
        // News says more than the last turning back, either way; a lost message ends with
        // newsUntil.
        tandem.turnedBack.clear();
        tandem.news = body;
        tandem.newsUntil = now + NEWS_FRESH * tellEvery;
    }

    /** A centre's advice is old, but it had room on both legs: the tandem leads there. */
    private void advised(Session session) {
        Group tandem = groups.get(session.advice());
        if (tandem != null) {
            tandem.leadsTo.add(session.farEnd());
        }
    }

    @Override
    public void ended(long now, long session) {
        Held it = held.get(session);
        if (it != null && it.invite == null) {
            held.remove(session);
        }
    }

    /**
     * Own number in two bytes, then a bit a number: whether a session in transit there would go on.
     */
    private byte[] waysOn(long now) {
        byte[] out =
                new byte[Math.min(NEWS_BYTES, groups.isEmpty() ? 2 : 3 + groups.lastKey() / 8)];
        out[0] = (byte) ownNumber;
        out[1] = (byte) (ownNumber >> 8);
        // A pressed processor turns transit back only after two have worked on it: it tells of no
        // ways.
        if (inFlight(now) >= ownWindow * PRESS_TOLD * place(now, ownQuick, OWN_MOST)) {
            return out;
        }
        boolean quiet = slowShare < FEW && !lossy() && inFlight(now) < PRESS_QUIET * ownWindow;
        groups.forEach(
                (number, group) -> {
                    if (2 + number / 8 < out.length
                            && group.serving != null
                            && roomy(group)
                            && group.free
                                    >= (quiet
                                            ? Math.min(
                                                    TOLD_WIDTHS * widest, TOLD_SHARE * group.size)
                                            : TOLD_WIDTHS * widest)) {
                        out[2 + number / 8] |= (byte) (1 << number % 8);
                    }
                });
        return out;
    }

    private static boolean bit(byte[] news, int number) {
        return number >= 0
                && 2 + number / 8 < news.length
                && (news[2 + number / 8] & 1 << number % 8) != 0;
    }

    private void begin(long now) {
        if (started < 0) {
            started = now;
        }
    }

    // ---- routes

    private Answer choose(long now, Held it) {
        Session session = it.session;
        Far direct = ready(session.farEnd());
        if (it.sent >= inviteLimit
                || session.limit() - now < TOO_LATE
                || linesBusyNow(now, session)) {
            return refuse(now, it, direct);
        }
        if (direct == null || !open(now, direct, services[it.kind].press)) {
            // In a mesh every way ends at the far end; another pool can serve what the first choice
            // cannot.
            return pools ? overflow(now, it, direct) : refuse(now, it, direct);
        }
        if (session.transit() && direct.group.free < FREE_LEG * direct.group.size) {
            return refuse(now, it, direct);
        }
        if (!session.transit() && it.sent > 0 && !it.lost) {
            return overflow(now, it, direct);
        }
        return switch (test(now, direct.group, it)) {
            case PASS -> send(now, it, direct);
            case KEPT_BACK -> refuse(now, it, direct);
            case FULL -> session.transit() ? refuse(now, it, direct) : overflow(now, it, direct);
        };
    }

    /**
     * A session whose direct group is full tries the tandem whose first leg passes with the least
     * slope.
     */
    private Answer overflow(long now, Held it, Far direct) {
        Session session = it.session;
        Service service = services[it.kind];
        Far best = null;
        double least = Double.POSITIVE_INFINITY;
        boolean knownOnly = unknownLead < UNKNOWN_LEAD && wayKnown(session.farEnd());
        for (Group group : groups.values()) {
            Far far = direct != null && group == direct.group ? null : group.serving;
            if (far == null
                    || far.number == ownNumber
                    || it.tried.contains(far)
                    || !allowed(service, far)
                    || knownOnly && !leads(group, session.farEnd())
                    || closedBeyond(now, group, session.farEnd())
                    || now < far.noTandemUntil
                    || !open(now, far, PRESS_TANDEM)
                    || group.free < FREE_LEG * group.size
                    || test(now, group, it) != Test.PASS) {
                continue;
            }
            double slope = slope(group, it);
            if (best == null || betterLeg(slope, group, least, best.group)) {
                least = slope;
                best = far;
            }
        }
        if (best == null) {
            return refuse(now, it, direct);
        }
        best.group.loads[it.kind].calls.add(now, 1);
        return send(now, it, best);
    }

    // A slope tells of the first leg only; a tandem without a way on loads three processors for
    // nothing.
    // While few unknown ones lead on, they are asked only where none is known, also if the known
    // are closed.
    private boolean wayKnown(int farEnd) {
        for (Group group : groups.values()) {
            if (leads(group, farEnd)) {
                return true;
            }
        }
        return false;
    }

    private static boolean leads(Group tandem, int farEnd) {
        return bit(tandem.news, farEnd) || tandem.leadsTo.contains(farEnd);
    }

    private static boolean closedBeyond(long now, Group tandem, int farEnd) {
        return tandem.turnedBack.getOrDefault(farEnd, 0L) > now
                || now < tandem.newsUntil && !bit(tandem.news, farEnd);
    }

    /**
     * Equal slopes, as of groups not used yet, go by circuits free: no order for all to pile up on.
     */
    private static boolean betterLeg(double slope, Group group, double least, Group best) {
        return slope < least || slope == least && group.free > best.free;
    }

    private boolean allowed(Service service, Far far) {
        return !pools || service.pools.isEmpty() || service.pools.contains(far.number);
    }

    private Answer send(long now, Held it, Far far) {
        Session session = it.session;
        boolean trial = far.failures >= FAILURES;
        it.invite = new Invite(far, now);
        far.trial = trial ? it.invite : far.trial;
        it.sent++;
        it.tried.add(far);
        far.group.free -= session.width();
        far.group.loads[it.kind].standing++;
        far.settingUp++;
        inFlight++;
        out.add(it.invite);
        // Only quick answers look at it: what ended must not gather at an exchange that is slow for
        // hours.
        while (!far.out.isEmpty() && far.out.peek().ended) {
            far.out.poll();
        }
        far.out.add(it.invite);
        far.sends.add(now, 1);
        far.sentAt = now;
        long left = session.limit() - now;
        return Answer.send(
                far.id,
                trial ? Math.min(left, services[it.kind].target) : patience(now, it, far, left));
    }

    // While answers get lost, an exchange whose last answer was quick answers soon or not at all:
    // waiting to
    // the caller's time earns nothing and holds circuits. What is left of the target must pay for
    // the release
    // wait and a new set-up; a slow exchange, a session in transit or one past its target is waited
    // for.
    private long patience(long now, Held it, Far far, long left) {
        long target = services[it.kind].target;
        long wait = it.session.arrived() + target - now - releaseWait - (long) (SET_UP * target);
        boolean resend = it.kind % 2 == 0 && services[it.kind].repeatable && it.sent < inviteLimit;
        boolean early =
                lossy() && resend && !far.slow && !it.session.transit() && wait >= SLOW * target;
        return early ? Math.min(left, wait) : left;
    }

    private boolean lossy() {
        return lostShare > LOST_SHARE;
    }

    private Answer refuse(long now, Held it, Far direct) {
        held.remove(it.session.id());
        // What can only stand late may as well come late: each try is work for a pressed processor.
        long wait = it.kind % 2 == 0 ? (long) (COME_BACK * services[it.kind].target) : comeBack;
        if (!it.session.transit() && it.session.number() != 0) {
            Called known = touch(now, it.session);
            known.early = now < known.awayUntil ? known.early : 0;
            known.awayUntil = now + Math.min(comeBack, wait);
        }
        if (direct != null) {
            direct.group.loads[it.kind].phantoms.add(now, 1);
        }
        return Answer.refuse(Math.min(comeBack, wait));
    }

    private Answer again(long now, Held it, Far far, Ending ending, Cause cause) {
        Service service = services[it.kind];
        boolean ran =
                ending == Ending.TIMED_OUT || ending == Ending.RESET || ending == Ending.CANCELLED;
        if (ran) {
            it.notBefore = now + releaseWait;
            it.lost = ending != Ending.CANCELLED && lossy();
        }
        if ((ran || ending == Ending.ERROR) && !service.repeatable) {
            held.remove(it.session.id());
            return Answer.FAIL;
        }
        // The own processor down: each INVITE comes back at once; a session would spend them all in
        // a moment.
        boolean ownDown = ending == Ending.NOT_SENT && cause == Cause.PROCESSOR_FULL;
        boolean hopeless =
                ownDown
                        || cause == Cause.FULL_BEYOND
                        || cause == Cause.LINES_BUSY
                        || far.number == it.session.farEnd()
                                && ending != Ending.NOT_SENT
                                && !it.lost
                        || Math.max(now, it.notBefore) > it.session.arrived() + service.target
                        // A redial may be left less time than the release wait: waiting would lose
                        // its answer.
                        || Math.max(now, it.notBefore) + TOO_LATE > it.session.limit()
                        || it.session.transit();
        if (hopeless) {
            return refuse(now, it, ready(it.session.farEnd()));
        }
        return now < it.notBefore ? Answer.later(it.notBefore) : choose(now, it);
    }

    // ---- the penalty test

    private Test test(long now, Group group, Held it) {
        Session session = it.session;
        if (group.free < session.width()) {
            return Test.FULL;
        }
        if (now >= group.refreshAt) {
            refresh(now, group);
        } else if (targets.version() != group.planned) {
            // A plan that waits for the next refresh is five seconds old when it is first gone by.
            follow(now, group, targets.held(now, group.number));
        }
        Load load = group.loads[it.kind];
        boolean room =
                session.transit() || it.kind % 2 == 1
                        ? roomy(group)
                        : group.free >= FREE_OWN * group.size;
        if (room || !load.aimed) {
            return Test.PASS;
        }
        if (load.c0 <= 0) {
            return Test.KEPT_BACK;
        }
        if (load.c1 <= 0) {
            return Test.PASS;
        }
        double bound =
                load.phantoms.sum(now) / load.c1
                        + Math.log(load.c0 / load.c1) / (group.beta * session.width());
        return load.standing / load.c0 <= bound ? Test.PASS : Test.KEPT_BACK;
    }

    /** The span that rates are counted over: less than the window at the start. */
    private long rateSpan(long now) {
        return Math.max(1, Math.min(RATE_WINDOW, now - started));
    }

    private boolean roomy(Group group) {
        return group.free >= FREE_SHARE * group.size && group.free >= FREE_WIDTHS * widest;
    }

    /** The logarithm of the penalty's slope along x: low where one more call weighs least. */
    private static double slope(Group group, Held it) {
        Load load = group.loads[it.kind];
        if (!load.aimed || load.c0 <= 0 || group.beta <= 0) {
            return Double.NEGATIVE_INFINITY;
        }
        double per = group.beta * it.session.width() / load.c0;
        return Math.log(per) + per * load.standing;
    }

    /** The targets anew: what was counted goes to the planner, what it makes of it is gone by. */
    private void refresh(long now, Group group) {
        group.refreshAt = now + REFRESH;
        double[] calls = new double[services.length];
        for (int i = 0; i < calls.length; i++) {
            calls[i] = group.loads[i].calls.sum(now) / rateSpan(now) * services[i].hold;
        }
        follow(now, group, targets.of(now, new GroupFacts(now, group.number, group.size, calls)));
    }

    private void follow(long now, Group group, GroupPlan plan) {
        group.planned = targets.version();
        for (int i = 0; i < group.loads.length; i++) {
            Load load = group.loads[i];
            boolean first = !load.aimed;
            load.aimed = plan != null && plan.seen()[i];
            if (load.aimed) {
                load.c0 = plan.c0()[i];
                load.c1 = plan.c1()[i];
                if (first) {
                    load.phantoms.spread(now, plan.phantoms()[i]);
                }
            }
        }
        group.beta = plan == null ? 0 : plan.beta();
    }

    // ---- what a processor shows

    // INVITEs in flight from here that may wait at the own processor. While few answers are slow,
    // one out for
    // longer than the shortest target waits for a far end that hangs or a lost answer, and fills no
    // window.
    private int inFlight(long now) {
        while (!out.isEmpty() && (out.peek().ended || now - out.peek().sentAt > overdue)) {
            Invite invite = out.poll();
            invite.overdue = !invite.ended;
            overdues += invite.overdue ? 1 : 0;
        }
        return slowShare < FEW ? inFlight - overdues : inFlight;
    }

    /** Whether a processor may get one more set-up: by budget, failures, named wait and windows. */
    private boolean open(long now, Far far, double press) {
        if (now < far.holdUntil || !withinBudget(now, far)) {
            return false;
        }
        if (far.failures >= FAILURES) {
            return now >= far.trialAt && far.trial == null;
        }
        int queued = far.settingUp - far.overtaken;
        return queued < Math.max(1, far.window * press) * place(now, far.quick, WINDOW_MOST)
                && inFlight(now) < Math.max(1, ownWindow * press) * place(now, ownQuick, OWN_MOST);
    }

    // Set-ups that one place of a window stands for. The windows are cut for some dozens a second;
    // where
    // hundreds are answered quickly, that many more are in flight without a queue, and a short
    // stall would
    // fill them. The widest window holds what comes while an answer still counts as quick.
    private double place(long now, Ring quick, double most) {
        return Math.max(1, quick.sum(now) / PLACE_SPAN * SLOW * overdue / most);
    }

    /** Grows by one for a window of quick answers, and is cut once for a window of slow ones. */
    private void pace(long now, Far far, Invite invite, boolean quick, boolean answered) {
        far.slow = !quick;
        far.noTandemUntil = quick ? 0 : now + SLOW_TANDEM_HOLD;
        // A few hung or slow exchanges must not close the way to the others; most slow is the own
        // processor.
        // In a large fleet an exchange's last answer is old: the newest of all tell more, one each
        // in turn.
        if (answered && far != lastPaced) {
            slowShare += SLOW_STEP * ((quick ? 0 : 1) - slowShare);
            lastPaced = far;
        }
        if (quick) {
            ownQuick.add(now, 1);
            far.quick.add(now, 1);
            double own = ownWindow * place(now, ownQuick, OWN_MOST);
            double all = far.window * place(now, far.quick, WINDOW_MOST);
            ownWindow = Math.min(OWN_MOST, ownWindow + 1 / own);
            far.window = Math.min(WINDOW_MOST, far.window + 1 / all);
            return;
        }
        if (invite.sentAt >= ownCutAt && slowShare > MOST) {
            ownWindow = Math.max(OWN_LEAST, ownWindow * OWN_CUT);
            ownCutAt = now;
        }
        if (invite.sentAt >= far.cutAt) {
            far.window = Math.max(1, far.window * WINDOW_CUT);
            far.cutAt = now;
        }
    }

    /**
     * A processor takes set-ups in turn: what a later one has overtaken does not wait in its queue,
     * but for a message that was lost and is sent again. It tells nothing of the processor, and
     * slow it fills no place.
     */
    private void overtake(long now, Far far, long sentAt) {
        far.quickSentAt = Math.max(far.quickSentAt, sentAt);
        while (!far.out.isEmpty()
                && (far.out.peek().ended
                        || far.out.peek().sentAt < sentAt
                                && now - far.out.peek().sentAt > SLOW * overdue)) {
            Invite invite = far.out.poll();
            invite.overtaken = !invite.ended;
            far.overtaken += invite.overtaken ? 1 : 0;
        }
    }

    /** Rule 4: this router's part of what a fresh exchange can bear, per window. */
    private boolean withinBudget(long now, Far far) {
        if (far.since <= 0 || now - far.since >= warmUp) {
            return true;
        }
        double rate = ownLoad.sum(now) / rateSpan(now) * 1e6;
        double budget = coldBudget * rate / Math.max(1, routers - 1);
        // In a large fleet one set-up each a window would be too many together: less means more
        // windows.
        return budget < 1
                ? now - far.sentAt >= fallWindow / Math.max(LEAST_PART, budget)
                : far.sends.sum(now) + 1 <= budget;
    }

    private void settled(long now, Held it, Ending ending, Cause cause, long took, long namedWait) {
        Far far = it.invite.far;
        boolean wasSettingUp = !it.invite.ended;
        boolean wasTrial = far.trial == it.invite;
        far.trial = wasTrial ? null : far.trial;
        if (wasSettingUp) {
            it.invite.ended = true;
            far.settingUp--;
            far.overtaken -= it.invite.overtaken ? 1 : 0;
            inFlight--;
            overdues -= it.invite.overdue ? 1 : 0;
        }
        if (ending == Ending.STANDS && far.number != it.session.farEnd()) {
            learnUnknown(far.group, it.session.farEnd(), 1);
            far.group.leadsTo.add(it.session.farEnd());
        }
        boolean answered =
                ending == Ending.STANDS || ending == Ending.BUSY || ending == Ending.ERROR;
        Called called = numbers.get(it.session.number());
        if (ending == Ending.STANDS && called != null) {
            called.gap = 0;
        }
        if (answered && wasSettingUp) {
            lostShare -= LOST_STEP * lostShare;
            far.failures = 0;
            far.trials = 0;
            // A busy reply is quick and says nothing good: a full processor must not widen its own
            // window.
            if (ending == Ending.STANDS || cause == Cause.PROCESSOR_FULL) {
                boolean quick = ending == Ending.STANDS && took < SLOW * services[it.kind].target;
                boolean queued =
                        far.number != it.session.farEnd() || it.invite.sentAt >= far.quickSentAt;
                if (quick) {
                    overtake(now, far, it.invite.sentAt);
                }
                if (quick || queued || ending == Ending.BUSY) {
                    pace(now, far, it.invite, quick, true);
                }
            }
        } else if (wasSettingUp
                && (ending == Ending.TIMED_OUT
                        || ending == Ending.UNREACHABLE
                        || ending == Ending.RESET)) {
            // One that just answered does not hang: a second failure in a row tells nothing of
            // losses.
            lostShare += far.failures == 0 && !far.slow ? LOST_STEP * (1 - lostShare) : 0;
            far.failures++;
            // While answers get lost, narrowing at each would shut the few ways of a small mesh
            // that is well.
            if (far.slow || !lossy()) {
                pace(now, far, it.invite, false, false);
            }
            far.trials += wasTrial ? 1 : 0;
            // INVITEs older than the closing are no trials: they must not put the next one off nor
            // lengthen
            // its wait, or lost answers, some out for seconds, keep the only way to a far end shut.
            if (wasTrial || far.failures == FAILURES) {
                far.trialAt = now + Math.min(TRIAL_LONGEST, TRIAL_FIRST << Math.min(8, far.trials));
            }
        }
        if (cause == Cause.PROCESSOR_FULL && ending == Ending.BUSY) {
            far.holdUntil = now + (namedWait > 0 ? namedWait : FULL_HOLD);
        }
        if (cause == Cause.LINES_BUSY) {
            linesBusy(now, it.session);
        }
        if (cause == Cause.TURNED_BACK || cause == Cause.FULL_BEYOND) {
            turnedBack(now, far.group, it.session.farEnd());
        }
    }

    private void learnUnknown(Group tandem, int farEnd, int led) {
        unknownLead += leads(tandem, farEnd) ? 0 : UNKNOWN_STEP * (led - unknownLead);
    }

    private void turnedBack(long now, Group tandem, int farEnd) {
        learnUnknown(tandem, farEnd, 0);
        int turns =
                tandem.leadsTo.contains(farEnd)
                        ? 0
                        : tandem.turnsInARow.merge(farEnd, 1, Integer::sum) - 1;
        tandem.turnedBack.put(
                farEnd, now + (TURNED_BACK_HOLD << Math.min(TURNED_BACK_DOUBLINGS, turns)));
    }

    private Far ready(int number) {
        Group group = groups.get(number);
        return group == null ? null : group.serving;
    }
}
