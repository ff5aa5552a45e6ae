package coralcove.rehearsal;

import coralcove.ExponentialPenaltyRouter;
import coralcove.GroupTargets;
import coralcove.PlannedTargetSource;
import coralcove.baseline.RoutingPolicies;
import coralcove.directory.SimulatedDirectory;
import coralcove.dns.SimulatedDnsServer;
import coralcove.edge.EdgeCore;
import coralcove.edge.EdgeSettings;
import coralcove.edge.NumberAnalysisContext;
import coralcove.exchange.Arrival;
import coralcove.exchange.CallerStats;
import coralcove.exchange.ExchangeSettings;
import coralcove.exchange.SimulatedExchange;
import coralcove.judge.RuleChecker;
import coralcove.judge.ScenarioListener;
import coralcove.network.Network;
import coralcove.network.VirtualNetwork;
import coralcove.numbers.NumberTable;
import coralcove.planner.EdgeLinkCore;
import coralcove.portability.PortabilityService;
import coralcove.sip.SipOutput;
import coralcove.sip.TransportAddress;
import coralcove.sources.Roster;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;

/**
 * Runs a scenario on a live or virtual network: starts the routers and the simulated exchanges,
 * directories and name servers, and injects the faults at their times.
 */
public final class ScenarioRun {
    /** Time before the first call, in which exchange lists and group sizes are notified. */
    private static final long LEAD_IN_MICROS = 2_000_000;

    /** Time after the last call; the longest timer limit has passed then and all is answered. */
    private static final long TAIL_MICROS = 12_000_000;

    /** Time that a failing exchange has to send the BYEs of the calls that it cuts off. */
    private static final long BYE_FLUSH_DELAY_MICROS = 100_000;

    /** Time that a process takes to restart. */
    private static final long RESTART_DELAY_MICROS = 300_000;

    /** Number of steps in which an ageing exchange becomes slower. */
    private static final int AGEING_STEPS = 20;

    /** Time from the start of the scenario at which sampling of the plans' ages begins. */
    private static final long PLAN_AGE_SAMPLING_START_MICROS = 10_000_000;

    /** Time between two samples of the plans' ages. */
    private static final long PLAN_AGE_SAMPLING_INTERVAL_MICROS = 1_000_000;

    /**
     * Time around the replacement of a number table in which a session may be routed by either
     * table: an INVITE received before it may be processed after it.
     */
    private static final long TABLE_CHANGE_TOLERANCE_MICROS = 1_000_000;

    /** Number of ports for senders of forged messages. */
    private static final int FORGED_SENDER_PORTS = 1;

    private final Scenario scenario;
    private final long seed;
    private final String policy;
    private final Network network;
    private final int firstPort;
    private final ScenarioListener listener;
    private final CallerStats[] stats;
    private final Map<String, SimulatedExchange> exchanges = new HashMap<>();
    private final Map<String, EdgeCore> edges = new LinkedHashMap<>();
    private final List<NumberAnalysisContext> numberContexts = new ArrayList<>();
    private final Map<Integer, RouterPlanner> planners = new LinkedHashMap<>();
    private final Map<Integer, List<Roster.SourceReport>> storedReports = new ConcurrentHashMap<>();
    private final DialPlan dialPlan;
    private final PortabilityService portability;
    private final Histogram planAges = new Histogram(PlannedTargetSource.STALE_AGE_MICROS, 3);
    private DnsDiscovery dnsDiscovery;
    private long tableVersion = 1;
    private final long[] exchangeIds;
    private int startCount;
    private long startTime;

    /** Prepares a run; the network's nodes are added by {@link #run}. */
    public ScenarioRun(
            Scenario scenario,
            long seed,
            String policy,
            Network network,
            int firstPort,
            ScenarioListener listener,
            PortabilityService portability) {
        this.scenario = scenario;
        this.seed = seed;
        this.policy = policy;
        this.network = network;
        this.firstPort = firstPort;
        this.listener = listener;
        this.portability = portability;
        dialPlan =
                scenario.numberPlan() == null
                        ? null
                        : new DialPlan(scenario.exchangeCount(), scenario.numberPlan());
        stats = new CallerStats[scenario.exchangeCount()];
        exchangeIds = new long[scenario.exchangeCount()];
    }

    /** Number of consecutive ports that a live run of {@code scenario} needs. */
    public static int portCount(Scenario scenario) {
        return 3 * scenario.exchangeCount()
                + 2
                + Scenario.MAX_DIRECTORIES
                + FORGED_SENDER_PORTS
                + 1;
    }

    private boolean usesTcp(int number) {
        return scenario.transport().equals("tcp")
                || scenario.transport().equals("mixed") && number % 2 == 1;
    }

    private TransportAddress edgeAddress(int number) {
        return new TransportAddress(usesTcp(number), "127.0.0.1", firstPort + 2 * number);
    }

    private TransportAddress exchangeAddress(int number) {
        return new TransportAddress(usesTcp(number), "127.0.0.1", firstPort + 2 * number + 1);
    }

    private TransportAddress directoryAddress(int index) {
        return new TransportAddress(
                false, "127.0.0.1", firstPort + 3 * scenario.exchangeCount() + 2 + index);
    }

    private List<TransportAddress> directoryAddresses() {
        List<TransportAddress> addresses = new ArrayList<>();
        for (int i = 0; i < scenario.directoryCount(); i++) {
            addresses.add(directoryAddress(i));
        }
        return addresses;
    }

    private void addDirectory(int index) {
        Scenario.DirectoryDelays delays = scenario.directoryDelays();
        network.addNode(
                "directory-" + index,
                directoryAddress(index),
                new SimulatedDirectory(
                        directoryAddress(index),
                        new SimulatedDirectory.NotificationDelays(
                                delays.notice(), delays.silence(), delays.add()),
                        newStartTag()),
                false);
    }

    /** Runs the scenario to its end; returns the callers' statistics, summed over all exchanges. */
    public CallerStats run() {
        startTime = startTime(network.now());
        for (int i = 0; i < scenario.directoryCount(); i++) {
            addDirectory(i);
        }
        if (scenario.dnsTtl() > 0) {
            dnsDiscovery =
                    new DnsDiscovery(
                            network,
                            scenario.exchangeCount(),
                            firstPort,
                            scenario.dnsTtl(),
                            network instanceof VirtualNetwork
                                    ? 0
                                    : firstPort
                                            + 3 * scenario.exchangeCount()
                                            + 2
                                            + Scenario.MAX_DIRECTORIES
                                            + FORGED_SENDER_PORTS,
                            seed);
        }
        for (int i = 0; i < scenario.exchangeCount(); i++) {
            stats[i] = new CallerStats();
            exchangeIds[i] = 100 + i;
            addExchange(i, 0);
        }
        for (int i = 0; i < scenario.exchangeCount(); i++) {
            addEdge(i);
        }
        scenario.faults().forEach(this::scheduleFault);
        if (dialPlan != null && scenario.numberPlan().replaceInterval() > 0) {
            for (long at = scenario.numberPlan().replaceInterval();
                    at < scenario.duration();
                    at += scenario.numberPlan().replaceInterval()) {
                network.schedule(startTime + at, this::replaceNumberTable);
            }
        }
        if (scenario.planners() != null) {
            for (long at = PLAN_AGE_SAMPLING_START_MICROS;
                    at < scenario.duration();
                    at += PLAN_AGE_SAMPLING_INTERVAL_MICROS) {
                network.schedule(startTime + at, this::recordPlanAges);
            }
        }
        network.run(startTime + scenario.duration() + TAIL_MICROS);
        planners.values().forEach(RouterPlanner::kill);
        if (dnsDiscovery != null) {
            dnsDiscovery.close();
        }
        CallerStats total = new CallerStats();
        for (CallerStats each : stats) {
            total.add(each);
        }
        return total;
    }

    /** Ages in µs of the plans in use, for all groups with a plan; empty without planners. */
    public Histogram planAges() {
        return planAges;
    }

    private void recordPlanAges() {
        planners.forEach(
                (number, planner) ->
                        network.runOnNode(
                                "edge-" + number,
                                (now, out) -> {
                                    synchronized (planAges) {
                                        for (int group = 0;
                                                group < scenario.exchangeCount();
                                                group++) {
                                            GroupTargets groupPlan =
                                                    planner.plannedTargets.currentTargets(
                                                            now, group);
                                            if (groupPlan != null) {
                                                planAges.recordValue(
                                                        Math.max(0, now - groupPlan.measuredAt()));
                                            }
                                        }
                                    }
                                }));
    }

    /** Returns a tag that is unique to each start of a node. */
    private String newStartTag() {
        startCount++;
        return Long.toString(seed & 0xffffff, 36) + "x" + Integer.toString(startCount, 36);
    }

    /**
     * Returns the portability counters summed over all routers, as in {@link
     * ScenarioResult#portabilityCounts}; complete after {@link #run}. Empty if no numbers are
     * dialled.
     */
    public long[] portabilityCounts() {
        long[] total =
                new long
                        [numberContexts.isEmpty()
                                ? 0
                                : numberContexts.get(0).portabilityCounts().length];
        for (NumberAnalysisContext numberContext : numberContexts) {
            long[] each = numberContext.portabilityCounts();
            for (int i = 0; i < total.length; i++) {
                total[i] += each[i];
            }
        }
        return total;
    }

    /** Builds the next table outside the routers' threads; each router takes over the reference. */
    private void replaceNumberTable() {
        NumberTable table = dialPlan.table(++tableVersion);
        edges.forEach(
                (name, core) ->
                        network.runOnNode(
                                name, (now, out) -> core.replaceNumberTable(now, table, out)));
    }

    /** Returns the far ends that the rule checker accepts for a number dialled at a given time. */
    static RuleChecker.AllowedFarEnds farEnds(Scenario scenario, long startTime) {
        DialPlan dialPlan = new DialPlan(scenario.exchangeCount(), scenario.numberPlan());
        long interval = scenario.numberPlan().replaceInterval();
        long lastVersion = interval == 0 ? 1 : 1 + (scenario.duration() - 1) / interval;
        return (at, dialled) -> {
            long fromVersion =
                    interval == 0
                            ? 1
                            : Math.max(
                                    1,
                                    Math.min(
                                            lastVersion,
                                            1
                                                    + (at
                                                                    - TABLE_CHANGE_TOLERANCE_MICROS
                                                                    - startTime)
                                                            / interval));
            long toVersion =
                    interval == 0
                            ? 1
                            : Math.max(
                                    1,
                                    Math.min(
                                            lastVersion,
                                            1
                                                    + (at
                                                                    + TABLE_CHANGE_TOLERANCE_MICROS
                                                                    - startTime)
                                                            / interval));
            return dialPlan.farEnds(dialled, fromVersion, toVersion);
        };
    }

    /** Returns the start of the scenario on a network whose time is {@code now}. */
    static long startTime(long now) {
        return now + LEAD_IN_MICROS;
    }

    /** Starts a router, and its planner where the scenario has planners. */
    private void addEdge(int number) {
        EdgeSettings settings =
                new EdgeSettings(
                        number,
                        edgeAddress(number),
                        exchangeAddress(number),
                        directoryAddresses(),
                        scenario.settings(number),
                        scenario.routerLimits().answerMargin(),
                        scenario.routerLimits().maxOpenSessions(),
                        seed,
                        newStartTag());
        String name = "edge-" + number;
        RouterPlanner planner =
                scenario.planners() == null || !policy.equals("choice")
                        ? null
                        : network instanceof VirtualNetwork
                                ? RouterPlanner.virtual(
                                        network,
                                        name,
                                        settings.policySettings(),
                                        seed * 1000 + number,
                                        scenario.planners().planAhead())
                                : RouterPlanner.live(
                                        network,
                                        name,
                                        settings.policySettings(),
                                        seed * 1000 + number,
                                        scenario.planners().planAhead(),
                                        firstPort + 2 * scenario.exchangeCount() + 2 + number);
        EdgeCore core =
                new EdgeCore(
                        settings,
                        planner == null
                                ? RoutingPolicies.create(
                                        policy, settings.policySettings(), seed * 1000 + number)
                                : new ExponentialPenaltyRouter(
                                        settings.policySettings(),
                                        new SplittableRandom(seed * 1000 + number),
                                        planner.plannedTargets));
        if (dialPlan != null) {
            NumberAnalysisContext numberContext =
                    new NumberAnalysisContext(
                            scenario.numberPlan().maxTables(),
                            dialPlan.table(tableVersion),
                            scenario.numberPlan().porting(),
                            portability.clientFor(name, () -> core));
            numberContexts.add(numberContext);
            core.attachNumberAnalysis(numberContext);
        }
        // Reports that a router would find on its disk after a kill.
        core.restoreRoster(
                network.now(),
                storedReports.getOrDefault(number, List.of()),
                reports -> storedReports.put(number, reports));
        edges.put(name, core);
        network.addNode(name, edgeAddress(number), core, true);
        if (dnsDiscovery != null) {
            dnsDiscovery.attach(name, number, core);
        }
        if (planner != null) {
            RouterPlanner previous = planners.put(number, planner);
            if (previous != null) {
                previous.kill();
            }
            EdgeLinkCore.Actions edgeOutput = planner.openEdgeOutput();
            network.runOnNode(
                    name, (now, out) -> core.attachPlanner(now, planner.link, edgeOutput));
            planner.start();
        }
    }

    /**
     * Starts a simulated exchange; {@code since} is the time of its cold start, 0 if it is warm.
     */
    private void addExchange(int number, long since) {
        Map<Integer, Integer> groups = new HashMap<>();
        for (int other = 0; other < scenario.exchangeCount(); other++) {
            if (other != number) {
                groups.put(other, scenario.groups()[number][other]);
            }
        }
        List<ExchangeSettings.Service> services =
                scenario.services().stream()
                        .map(
                                s ->
                                        new ExchangeSettings.Service(
                                                s.target(),
                                                s.limit(),
                                                s.value(),
                                                s.lateValue(),
                                                s.width()))
                        .toList();
        var rules = scenario.rules();
        double speed = scenario.speeds()[number];
        ExchangeSettings.ProcessingTimes baseTimes = scenario.processingTimes();
        ExchangeSettings.ProcessingTimes times =
                new ExchangeSettings.ProcessingTimes(
                        (long) (baseTimes.lookUp() / speed),
                        (long) (baseTimes.setUp() / speed),
                        (long) (baseTimes.answer() / speed),
                        (long) (baseTimes.release() / speed),
                        (long) (baseTimes.reject() / speed),
                        (long) (baseTimes.retransmission() / speed),
                        baseTimes.probe(),
                        baseTimes.maxQueueingDelay(),
                        baseTimes.sendsRetryAfter(),
                        baseTimes.retransmissionInterval());
        ExchangeSettings settings =
                new ExchangeSettings(
                        number,
                        exchangeIds[number],
                        exchangeAddress(number),
                        edgeAddress(number),
                        directoryAddresses(),
                        times,
                        services,
                        scenario.callerModel(),
                        new ExchangeSettings.ColdStartRules(
                                rules.overloadMultiple(),
                                rules.overloadWindow(),
                                rules.coldCapacityShare(),
                                rules.warmUp()),
                        since,
                        groups,
                        scenario.hotNumberLines(),
                        seed * 7919 + startCount,
                        newStartTag());
        List<Arrival> arrivals =
                scenario.arrivals().get(number).stream().map(a -> a.shiftedBy(startTime)).toList();
        SimulatedExchange core = new SimulatedExchange(settings, arrivals, stats[number]);
        exchanges.put("exchange-" + number, core);
        if (since > 0) {
            listener.coldStarted(number, since);
        }
        network.addNode("exchange-" + number, exchangeAddress(number), core, false);
    }

    private interface ExchangeAction {
        void run(long now, SimulatedExchange core, SipOutput out);
    }

    /** Schedules an action on a simulated exchange; {@code at} counts from the scenario's start. */
    private void scheduleOnExchange(long at, int number, ExchangeAction action) {
        network.schedule(
                startTime + at,
                () ->
                        network.runOnNode(
                                "exchange-" + number,
                                (now, out) ->
                                        action.run(now, exchanges.get("exchange-" + number), out)));
    }

    private void scheduleFault(InjectedFault fault) {
        if (fault.kind().startsWith("portability")) {
            SimulatedDnsServer.Fault serverFault =
                    fault.kind().equals("portability-dead")
                            ? SimulatedDnsServer.Fault.UNRESPONSIVE
                            : SimulatedDnsServer.Fault.SLOW;
            network.schedule(
                    startTime + fault.at(),
                    () -> portability.injectFault(serverFault, Math.round(fault.size() * 1000)));
            network.schedule(
                    startTime + fault.end(),
                    () -> portability.injectFault(SimulatedDnsServer.Fault.NONE, 0));
            return;
        }
        if (fault.kind().startsWith("dns")) {
            scheduleDnsFault(fault);
            return;
        }
        if (fault.kind().startsWith("directory")) {
            scheduleDirectoryFault(fault);
            return;
        }
        int ordinal = 0;
        for (int number = 0; number < scenario.exchangeCount(); number++) {
            if (fault.affects(number)) {
                scheduleExchangeFault(fault, number, ordinal++);
            }
        }
    }

    private void scheduleDnsFault(InjectedFault fault) {
        if (fault.kind().equals("dns-stale")) {
            for (int number = 0; number < scenario.exchangeCount(); number++) {
                if (fault.affects(number)) {
                    int affected = number;
                    network.schedule(
                            startTime + fault.at(), () -> dnsDiscovery.setStale(affected, true));
                    network.schedule(
                            startTime + fault.end(), () -> dnsDiscovery.setStale(affected, false));
                }
            }
            return;
        }
        SimulatedDnsServer.Fault serverFault =
                fault.kind().equals("dns-dead")
                        ? SimulatedDnsServer.Fault.UNRESPONSIVE
                        : SimulatedDnsServer.Fault.TRUNCATED_WITHOUT_TCP;
        network.schedule(startTime + fault.at(), () -> dnsDiscovery.injectFault(serverFault));
        network.schedule(
                startTime + fault.end(),
                () -> dnsDiscovery.injectFault(SimulatedDnsServer.Fault.NONE));
    }

    /**
     * Schedules a fault of the directory with the index {@code extra}, which counts from 0. A cut
     * separates it from the routers in {@code on}.
     */
    private void scheduleDirectoryFault(InjectedFault fault) {
        int index = (int) Math.min(scenario.directoryCount() - 1, Math.round(fault.extra()));
        String name = "directory-" + index;
        switch (fault.kind()) {
            case "directory-death" -> {
                network.schedule(startTime + fault.at(), () -> network.killNode(name));
                network.schedule(startTime + fault.end(), () -> addDirectory(index));
            }
            case "directory-restart" -> {
                network.schedule(startTime + fault.at(), () -> network.killNode(name));
                network.schedule(
                        startTime + fault.at() + RESTART_DELAY_MICROS, () -> addDirectory(index));
            }
            case "directory-cut" -> {
                for (int number = 0; number < scenario.exchangeCount(); number++) {
                    if (fault.affects(number)) {
                        String edge = "edge-" + number;
                        network.schedule(
                                startTime + fault.at(),
                                () -> network.setPartitioned(edge, name, true));
                        network.schedule(
                                startTime + fault.end(),
                                () -> network.setPartitioned(edge, name, false));
                    }
                }
            }
            case "directory-forged" -> {
                TransportAddress senderAddress =
                        new TransportAddress(
                                false,
                                "127.0.0.1",
                                firstPort
                                        + 3 * scenario.exchangeCount()
                                        + 2
                                        + Scenario.MAX_DIRECTORIES);
                List<TransportAddress> targets = new ArrayList<>();
                for (int number = 0; number < scenario.exchangeCount(); number++) {
                    if (fault.affects(number)) {
                        targets.add(edgeAddress(number).withTransport(false));
                    }
                }
                network.schedule(
                        startTime + fault.at(),
                        () ->
                                network.addNode(
                                        "stranger",
                                        senderAddress,
                                        new ForgedNotifySender(
                                                senderAddress,
                                                newStartTag(),
                                                targets,
                                                fault.size(),
                                                network.now() + fault.length()),
                                        false));
                network.schedule(startTime + fault.end(), () -> network.killNode("stranger"));
            }
            default -> throw new IllegalStateException(fault.kind());
        }
    }

    /**
     * Schedules a fault at one of its exchanges; {@code ordinal} is the place of the exchange among
     * them, from 0.
     */
    private void scheduleExchangeFault(InjectedFault fault, int number, int ordinal) {
        long at = fault.at();
        long end = fault.end();
        switch (fault.kind()) {
            case "death" -> scheduleExchangeRestart(number, at, fault.length());
            case "drain" -> {
                long from = at + ordinal * fault.length() / Math.max(1, fault.on().size());
                scheduleOnExchange(from, number, (now, core, out) -> core.drain(now, out));
                long stopTime = from + Math.round(fault.extra() * 1e6);
                scheduleOnExchange(stopTime, number, (now, core, out) -> core.leave(now, out));
                network.schedule(startTime + stopTime, () -> exchangeIds[number] += 1000);
                scheduleExchangeRestart(number, stopTime, 0);
            }
            case "slow" -> {
                scheduleOnExchange(at, number, (now, core, out) -> core.slowDown(fault.size()));
                scheduleOnExchange(end, number, (now, core, out) -> core.slowDown(1));
            }
            case "other-work" -> {
                long step = Math.max(100_000, Math.round(fault.extra() * 1e6));
                for (long from = at; from < end; from += 2 * step) {
                    scheduleOnExchange(
                            from,
                            number,
                            (now, core, out) ->
                                    core.slowDown(1 / Math.max(0.01, 1 - fault.size())));
                    scheduleOnExchange(
                            Math.min(end, from + step),
                            number,
                            (now, core, out) -> core.slowDown(1));
                }
            }
            case "stall" -> {
                long interval = Math.max(100_000, Math.round(fault.extra() * 1e6));
                for (long from = at; from < end; from += interval) {
                    scheduleOnExchange(
                            from,
                            number,
                            (now, core, out) ->
                                    core.stall(now, now + Math.round(fault.size() * 1000)));
                }
            }
            case "silence" -> {
                scheduleOnExchange(at, number, (now, core, out) -> core.setHung(true));
                scheduleOnExchange(end, number, (now, core, out) -> core.setHung(false));
            }
            case "lost-answers" -> {
                scheduleOnExchange(
                        at, number, (now, core, out) -> core.setAnswerLossShare(fault.size()));
                scheduleOnExchange(end, number, (now, core, out) -> core.setAnswerLossShare(0));
            }
            case "lost-circuits" -> {
                scheduleGroupSizes(at, number, fault, 1 / Math.sqrt(Math.max(1, fault.size())));
                scheduleGroupSizes(end, number, fault, 1);
            }
            case "ageing" -> {
                for (int step = 0; step < AGEING_STEPS; step++) {
                    double factor = 1 + (fault.size() - 1) * step / AGEING_STEPS;
                    scheduleOnExchange(
                            at + step * fault.length() / AGEING_STEPS,
                            number,
                            (now, core, out) -> core.slowDown(factor));
                }
                scheduleExchangeRestart(number, end, Math.round(fault.extra() * 1e6));
            }
            case "router-death" -> {
                network.schedule(
                        startTime + at,
                        () -> {
                            network.killNode("edge-" + number);
                            listener.routerKilled("edge-" + number);
                        });
                network.schedule(startTime + end, () -> addEdge(number));
            }
            case "planner-halt" -> {
                network.schedule(startTime + at, () -> planners.get(number).kill());
                network.schedule(startTime + end, () -> planners.get(number).start());
            }
            case "planner-slow" -> {
                network.schedule(
                        startTime + at,
                        () -> planners.get(number).setDelay(Math.round(fault.size() * 1000)));
                network.schedule(startTime + end, () -> planners.get(number).setDelay(0));
            }
            default -> {}
        }
    }

    /** Schedules the failure of an exchange and its cold start {@code downtime} µs later. */
    private void scheduleExchangeRestart(int number, long at, long downtime) {
        scheduleOnExchange(at, number, (now, core, out) -> core.cutOffAllCalls(now, out));
        // The BYEs of the calls that it cuts off are sent before it is killed.
        network.schedule(
                startTime + at + BYE_FLUSH_DELAY_MICROS,
                () -> network.killNode("exchange-" + number));
        network.schedule(
                startTime + at + 2 * BYE_FLUSH_DELAY_MICROS + downtime,
                () -> addExchange(number, network.now()));
    }

    /**
     * Schedules a resizing of the groups between the affected exchanges and all others to a share
     * of their circuits, at both ends.
     */
    private void scheduleGroupSizes(
            long at, int number, InjectedFault fault, double remainingShare) {
        for (int other = 0; other < scenario.exchangeCount(); other++) {
            if (fault.on().contains(other)) {
                continue;
            }
            int size = (int) Math.floor(scenario.groups()[number][other] * remainingShare);
            int farEnd = other;
            scheduleOnExchange(
                    at,
                    number,
                    (now, core, out) ->
                            core.resizeGroup(now, farEnd, size, 1 - remainingShare, out));
            scheduleOnExchange(
                    at,
                    other,
                    (now, core, out) ->
                            core.resizeGroup(now, number, size, 1 - remainingShare, out));
        }
    }
}
