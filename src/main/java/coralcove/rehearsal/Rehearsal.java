package coralcove.rehearsal;

import coralcove.Choice;
import coralcove.GroupPlan;
import coralcove.PlanKeeper;
import coralcove.baseline.Policies;
import coralcove.directory.DirectoryCore;
import coralcove.dns.DnsStandIn;
import coralcove.edge.EdgeCore;
import coralcove.edge.EdgeSettings;
import coralcove.edge.NumberDesk;
import coralcove.exchange.Arrival;
import coralcove.exchange.ExchangeCore;
import coralcove.exchange.ExchangeSettings;
import coralcove.exchange.Stats;
import coralcove.judge.Judge;
import coralcove.judge.Witness;
import coralcove.network.Network;
import coralcove.network.VirtualNetwork;
import coralcove.numbers.NumberTable;
import coralcove.planner.EdgeLink;
import coralcove.portability.Portability;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sources.Roster;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;

/** Plays a day on a network, live or virtual: routers, stand-ins and troubles at their times. */
public final class Rehearsal {
    /** µs before the first caller: lists and group sizes are told by then. */
    private static final long LEAD = 2_000_000;

    /** µs after the last caller: the longest limit has passed and all is answered. */
    private static final long TAIL = 12_000_000;

    /** µs that a dying exchange has for the BYEs of the calls it cuts. */
    private static final long LAST_ACT = 100_000;

    /** µs that a process takes to start again. */
    private static final long RESTART = 300_000;

    /** Steps in which an ageing exchange grows slower. */
    private static final int AGE_STEPS = 20;

    /** µs into the day from which the ages of plans are looked at, and how often. */
    private static final long AGES_FROM = 10_000_000;

    private static final long AGES_EVERY = 1_000_000;

    /**
     * µs around a replacement in which a session may have either table: an INVITE read before is
     * looked at after.
     */
    private static final long TABLE_DOUBT = 1_000_000;

    /** Ports for strangers: one that forges. */
    private static final int STRANGERS = 1;

    private final Day day;
    private final long seed;
    private final String policy;
    private final Network network;
    private final int firstPort;
    private final Witness witness;
    private final Stats[] stats;
    private final Map<String, ExchangeCore> exchanges = new HashMap<>();
    private final Map<String, EdgeCore> edges = new LinkedHashMap<>();
    private final List<NumberDesk> desks = new ArrayList<>();
    private final Map<Integer, PlannerPipe> planners = new LinkedHashMap<>();
    private final Map<Integer, List<Roster.Said>> disks = new ConcurrentHashMap<>();
    private final DialPlan plan;
    private final Portability portability;
    private final Histogram planAges = new Histogram(PlanKeeper.STALE_FROM, 3);
    private DnsSource dns;
    private long tableVersion = 1;
    private final long[] ids;
    private int starts;
    private long zero;

    public Rehearsal(
            Day day,
            long seed,
            String policy,
            Network network,
            int firstPort,
            Witness witness,
            Portability portability) {
        this.day = day;
        this.seed = seed;
        this.policy = policy;
        this.network = network;
        this.firstPort = firstPort;
        this.witness = witness;
        this.portability = portability;
        plan = day.numbers() == null ? null : new DialPlan(day.exchanges(), day.numbers());
        stats = new Stats[day.exchanges()];
        ids = new long[day.exchanges()];
    }

    public static int ports(Day day) {
        return 3 * day.exchanges() + 2 + Day.MOST_DIRECTORIES + STRANGERS + 1;
    }

    private boolean tcp(int number) {
        return day.transport().equals("tcp") || day.transport().equals("mixed") && number % 2 == 1;
    }

    private Hop edge(int number) {
        return new Hop(tcp(number), "127.0.0.1", firstPort + 2 * number);
    }

    private Hop exchange(int number) {
        return new Hop(tcp(number), "127.0.0.1", firstPort + 2 * number + 1);
    }

    private Hop directory(int which) {
        return new Hop(false, "127.0.0.1", firstPort + 3 * day.exchanges() + 2 + which);
    }

    private List<Hop> directories() {
        List<Hop> all = new ArrayList<>();
        for (int i = 0; i < day.directories(); i++) {
            all.add(directory(i));
        }
        return all;
    }

    private void addDirectory(int which) {
        Day.Late late = day.late();
        network.add(
                "directory-" + which,
                directory(which),
                new DirectoryCore(
                        directory(which),
                        new DirectoryCore.Late(late.notice(), late.silence(), late.add()),
                        start()),
                false);
    }

    /** Plays the day through its tail; returns what its callers saw, all exchanges together. */
    public Stats play() {
        zero = zero(network.now());
        for (int i = 0; i < day.directories(); i++) {
            addDirectory(i);
        }
        if (day.dnsLife() > 0) {
            dns =
                    new DnsSource(
                            network,
                            day.exchanges(),
                            firstPort,
                            day.dnsLife(),
                            network instanceof VirtualNetwork
                                    ? 0
                                    : firstPort
                                            + 3 * day.exchanges()
                                            + 2
                                            + Day.MOST_DIRECTORIES
                                            + STRANGERS,
                            seed);
        }
        for (int i = 0; i < day.exchanges(); i++) {
            stats[i] = new Stats();
            ids[i] = 100 + i;
            addExchange(i, 0);
        }
        for (int i = 0; i < day.exchanges(); i++) {
            addEdge(i);
        }
        day.troubles().forEach(this::schedule);
        if (plan != null && day.numbers().replaceEvery() > 0) {
            for (long at = day.numbers().replaceEvery();
                    at < day.length();
                    at += day.numbers().replaceEvery()) {
                network.at(zero + at, this::replaceTable);
            }
        }
        if (day.planners() != null) {
            for (long at = AGES_FROM; at < day.length(); at += AGES_EVERY) {
                network.at(zero + at, this::lookAtAges);
            }
        }
        network.run(zero + day.length() + TAIL);
        planners.values().forEach(PlannerPipe::halt);
        if (dns != null) {
            dns.close();
        }
        Stats all = new Stats();
        for (Stats each : stats) {
            all.add(each);
        }
        return all;
    }

    /**
     * The age of the plans that routers go by, µs, of all their groups that have one; empty without
     * planners.
     */
    public Histogram planAges() {
        return planAges;
    }

    private void lookAtAges() {
        planners.forEach(
                (number, pipe) ->
                        network.on(
                                "edge-" + number,
                                (now, out) -> {
                                    synchronized (planAges) {
                                        for (int group = 0; group < day.exchanges(); group++) {
                                            GroupPlan plan = pipe.keeper.held(now, group);
                                            if (plan != null) {
                                                planAges.recordValue(Math.max(0, now - plan.at()));
                                            }
                                        }
                                    }
                                }));
    }

    private String start() {
        starts++;
        return Long.toString(seed & 0xffffff, 36) + "x" + Integer.toString(starts, 36);
    }

    /**
     * What became of ported numbers at all routers, once the day has been played; empty where none
     * are dialled.
     */
    public long[] numbers() {
        long[] all = new long[desks.isEmpty() ? 0 : desks.get(0).counts().length];
        for (NumberDesk desk : desks) {
            long[] each = desk.counts();
            for (int i = 0; i < all.length; i++) {
                all[i] += each[i];
            }
        }
        return all;
    }

    /** Built here, off the routers' threads; each takes it by one reference. */
    private void replaceTable() {
        NumberTable table = plan.table(++tableVersion);
        edges.forEach(
                (name, core) -> network.on(name, (now, out) -> core.replace(now, table, out)));
    }

    /** What the judge holds the routers against. */
    static Judge.FarEnds farEnds(Day day, long zero) {
        DialPlan plan = new DialPlan(day.exchanges(), day.numbers());
        long every = day.numbers().replaceEvery();
        long last = every == 0 ? 1 : 1 + (day.length() - 1) / every;
        return (at, dialled) -> {
            long from =
                    every == 0
                            ? 1
                            : Math.max(1, Math.min(last, 1 + (at - TABLE_DOUBT - zero) / every));
            long to =
                    every == 0
                            ? 1
                            : Math.max(1, Math.min(last, 1 + (at + TABLE_DOUBT - zero) / every));
            return plan.farEnds(dialled, from, to);
        };
    }

    /** When the first caller comes, on a network whose time is {@code now}. */
    static long zero(long now) {
        return now + LEAD;
    }

    private void addEdge(int number) {
        EdgeSettings settings =
                new EdgeSettings(
                        number,
                        edge(number),
                        exchange(number),
                        directories(),
                        day.settings(number),
                        day.router().answerMargin(),
                        day.router().mostOpen(),
                        seed,
                        start());
        String name = "edge-" + number;
        PlannerPipe pipe =
                day.planners() == null || !policy.equals("choice")
                        ? null
                        : network instanceof VirtualNetwork
                                ? PlannerPipe.virtual(
                                        network,
                                        name,
                                        settings.module(),
                                        seed * 1000 + number,
                                        day.planners().ahead())
                                : PlannerPipe.live(
                                        network,
                                        name,
                                        settings.module(),
                                        seed * 1000 + number,
                                        day.planners().ahead(),
                                        firstPort + 2 * day.exchanges() + 2 + number);
        EdgeCore core =
                new EdgeCore(
                        settings,
                        pipe == null
                                ? Policies.router(policy, settings.module(), seed * 1000 + number)
                                : new Choice(
                                        settings.module(),
                                        new SplittableRandom(seed * 1000 + number),
                                        pipe.keeper));
        if (plan != null) {
            NumberDesk desk =
                    new NumberDesk(
                            day.numbers().mostTables(),
                            plan.table(tableVersion),
                            day.numbers().porting(),
                            portability.asker(name, () -> core));
            desks.add(desk);
            core.numbers(desk);
        }
        // What its disk would hold over a kill.
        core.resume(
                network.now(),
                disks.getOrDefault(number, List.of()),
                said -> disks.put(number, said));
        edges.put(name, core);
        network.add(name, edge(number), core, true);
        if (dns != null) {
            dns.serve(name, number, core);
        }
        if (pipe != null) {
            PlannerPipe last = planners.put(number, pipe);
            if (last != null) {
                last.halt();
            }
            EdgeLink.Out end = pipe.edgeEnd();
            network.on(name, (now, out) -> core.planner(now, pipe.link, end));
            pipe.start();
        }
    }

    private void addExchange(int number, long since) {
        Map<Integer, Integer> groups = new HashMap<>();
        for (int other = 0; other < day.exchanges(); other++) {
            if (other != number) {
                groups.put(other, day.groups()[number][other]);
            }
        }
        List<ExchangeSettings.Service> services =
                day.services().stream()
                        .map(
                                s ->
                                        new ExchangeSettings.Service(
                                                s.target(),
                                                s.limit(),
                                                s.value(),
                                                s.lateValue(),
                                                s.width()))
                        .toList();
        var rules = day.rules();
        double speed = day.speeds()[number];
        ExchangeSettings.Work work = day.work();
        ExchangeSettings.Work own =
                new ExchangeSettings.Work(
                        (long) (work.look() / speed),
                        (long) (work.setUp() / speed),
                        (long) (work.answer() / speed),
                        (long) (work.release() / speed),
                        (long) (work.refuse() / speed),
                        (long) (work.repeat() / speed),
                        work.probe(),
                        work.queueLimit(),
                        work.tellsWait(),
                        work.resend());
        ExchangeSettings settings =
                new ExchangeSettings(
                        number,
                        ids[number],
                        exchange(number),
                        edge(number),
                        directories(),
                        own,
                        services,
                        day.callers(),
                        new ExchangeSettings.Rules(
                                rules.fallMultiple(),
                                rules.fallWindow(),
                                rules.coldFrom(),
                                rules.warmUp()),
                        since,
                        groups,
                        day.hotLines(),
                        seed * 7919 + starts,
                        start());
        List<Arrival> arrivals =
                day.arrivals().get(number).stream().map(a -> a.after(zero)).toList();
        ExchangeCore core = new ExchangeCore(settings, arrivals, stats[number]);
        exchanges.put("exchange-" + number, core);
        if (since > 0) {
            witness.started(number, since);
        }
        network.add("exchange-" + number, exchange(number), core, false);
    }

    private interface OnExchange {
        void run(long now, ExchangeCore core, Out out);
    }

    /** {@code at} counts from the day's first moment. */
    private void act(long at, int number, OnExchange act) {
        network.at(
                zero + at,
                () ->
                        network.on(
                                "exchange-" + number,
                                (now, out) ->
                                        act.run(now, exchanges.get("exchange-" + number), out)));
    }

    private void schedule(Trouble trouble) {
        if (trouble.kind().startsWith("portability")) {
            DnsStandIn.Fault fault =
                    trouble.kind().equals("portability-dead")
                            ? DnsStandIn.Fault.DEAD
                            : DnsStandIn.Fault.SLOW;
            network.at(
                    zero + trouble.at(),
                    () -> portability.misbehave(fault, Math.round(trouble.size() * 1000)));
            network.at(zero + trouble.end(), () -> portability.misbehave(DnsStandIn.Fault.NONE, 0));
            return;
        }
        if (trouble.kind().startsWith("dns")) {
            dns(trouble);
            return;
        }
        if (trouble.kind().startsWith("directory")) {
            directory(trouble);
            return;
        }
        int place = 0;
        for (int number = 0; number < day.exchanges(); number++) {
            if (trouble.strikes(number)) {
                strike(trouble, number, place++);
            }
        }
    }

    private void dns(Trouble trouble) {
        if (trouble.kind().equals("dns-stale")) {
            for (int number = 0; number < day.exchanges(); number++) {
                if (trouble.strikes(number)) {
                    int struck = number;
                    network.at(zero + trouble.at(), () -> dns.stale(struck, true));
                    network.at(zero + trouble.end(), () -> dns.stale(struck, false));
                }
            }
            return;
        }
        DnsStandIn.Fault fault =
                trouble.kind().equals("dns-dead")
                        ? DnsStandIn.Fault.DEAD
                        : DnsStandIn.Fault.CUTS_ALL;
        network.at(zero + trouble.at(), () -> dns.misbehave(fault));
        network.at(zero + trouble.end(), () -> dns.misbehave(DnsStandIn.Fault.NONE));
    }

    /**
     * Troubles of directories strike the one that {@code extra} counts to from 0; cuts, for the
     * routers in {@code on}.
     */
    private void directory(Trouble trouble) {
        int which = (int) Math.min(day.directories() - 1, Math.round(trouble.extra()));
        String name = "directory-" + which;
        switch (trouble.kind()) {
            case "directory-death" -> {
                network.at(zero + trouble.at(), () -> network.kill(name));
                network.at(zero + trouble.end(), () -> addDirectory(which));
            }
            case "directory-restart" -> {
                network.at(zero + trouble.at(), () -> network.kill(name));
                network.at(zero + trouble.at() + RESTART, () -> addDirectory(which));
            }
            case "directory-cut" -> {
                for (int number = 0; number < day.exchanges(); number++) {
                    if (trouble.strikes(number)) {
                        String edge = "edge-" + number;
                        network.at(zero + trouble.at(), () -> network.cut(edge, name, true));
                        network.at(zero + trouble.end(), () -> network.cut(edge, name, false));
                    }
                }
            }
            case "directory-forged" -> {
                Hop self =
                        new Hop(
                                false,
                                "127.0.0.1",
                                firstPort + 3 * day.exchanges() + 2 + Day.MOST_DIRECTORIES);
                List<Hop> at = new ArrayList<>();
                for (int number = 0; number < day.exchanges(); number++) {
                    if (trouble.strikes(number)) {
                        at.add(edge(number).over(false));
                    }
                }
                network.at(
                        zero + trouble.at(),
                        () ->
                                network.add(
                                        "stranger",
                                        self,
                                        new Stranger(
                                                self,
                                                start(),
                                                at,
                                                trouble.size(),
                                                network.now() + trouble.length()),
                                        false));
                network.at(zero + trouble.end(), () -> network.kill("stranger"));
            }
            default -> throw new IllegalStateException(trouble.kind());
        }
    }

    private void strike(Trouble trouble, int number, int place) {
        long at = trouble.at();
        long end = trouble.end();
        switch (trouble.kind()) {
            case "death" -> dies(number, at, trouble.length());
            case "drain" -> {
                long from = at + place * trouble.length() / Math.max(1, trouble.on().size());
                act(from, number, (now, core, out) -> core.drain(now, out));
                long stops = from + Math.round(trouble.extra() * 1e6);
                act(stops, number, (now, core, out) -> core.leave(now, out));
                network.at(zero + stops, () -> ids[number] += 1000);
                dies(number, stops, 0);
            }
            case "slow" -> {
                act(at, number, (now, core, out) -> core.slow(trouble.size()));
                act(end, number, (now, core, out) -> core.slow(1));
            }
            case "other-work" -> {
                long step = Math.max(100_000, Math.round(trouble.extra() * 1e6));
                for (long from = at; from < end; from += 2 * step) {
                    act(
                            from,
                            number,
                            (now, core, out) -> core.slow(1 / Math.max(0.01, 1 - trouble.size())));
                    act(Math.min(end, from + step), number, (now, core, out) -> core.slow(1));
                }
            }
            case "stall" -> {
                long every = Math.max(100_000, Math.round(trouble.extra() * 1e6));
                for (long from = at; from < end; from += every) {
                    act(
                            from,
                            number,
                            (now, core, out) ->
                                    core.stall(now, now + Math.round(trouble.size() * 1000)));
                }
            }
            case "silence" -> {
                act(at, number, (now, core, out) -> core.hang(true));
                act(end, number, (now, core, out) -> core.hang(false));
            }
            case "lost-answers" -> {
                act(at, number, (now, core, out) -> core.loseAnswers(trouble.size()));
                act(end, number, (now, core, out) -> core.loseAnswers(0));
            }
            case "lost-circuits" -> {
                circuits(at, number, trouble, 1 / Math.sqrt(Math.max(1, trouble.size())));
                circuits(end, number, trouble, 1);
            }
            case "ageing" -> {
                for (int step = 0; step < AGE_STEPS; step++) {
                    double factor = 1 + (trouble.size() - 1) * step / AGE_STEPS;
                    act(
                            at + step * trouble.length() / AGE_STEPS,
                            number,
                            (now, core, out) -> core.slow(factor));
                }
                dies(number, end, Math.round(trouble.extra() * 1e6));
            }
            case "router-death" -> {
                network.at(
                        zero + at,
                        () -> {
                            network.kill("edge-" + number);
                            witness.killed("edge-" + number);
                        });
                network.at(zero + end, () -> addEdge(number));
            }
            case "planner-halt" -> {
                network.at(zero + at, () -> planners.get(number).halt());
                network.at(zero + end, () -> planners.get(number).start());
            }
            case "planner-slow" -> {
                network.at(
                        zero + at,
                        () -> planners.get(number).slow(Math.round(trouble.size() * 1000)));
                network.at(zero + end, () -> planners.get(number).slow(0));
            }
            default -> {}
        }
    }

    private void dies(int number, long at, long back) {
        act(at, number, (now, core, out) -> core.cutAll(now, out));
        // Its last act, the BYEs of what it cuts, is on the sockets before it is gone.
        network.at(zero + at + LAST_ACT, () -> network.kill("exchange-" + number));
        network.at(zero + at + 2 * LAST_ACT + back, () -> addExchange(number, network.now()));
    }

    /**
     * Groups between the struck exchanges and all others keep a share of their circuits, at both
     * ends alike.
     */
    private void circuits(long at, int number, Trouble trouble, double keep) {
        for (int other = 0; other < day.exchanges(); other++) {
            if (trouble.on().contains(other)) {
                continue;
            }
            int size = (int) Math.floor(day.groups()[number][other] * keep);
            int far = other;
            act(at, number, (now, core, out) -> core.group(now, far, size, 1 - keep, out));
            act(at, other, (now, core, out) -> core.group(now, number, size, 1 - keep, out));
        }
    }
}
