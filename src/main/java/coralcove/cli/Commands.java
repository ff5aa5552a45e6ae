package coralcove.cli;

import coralcove.ExponentialPenaltyRouter;
import coralcove.GroupLoad;
import coralcove.Plan;
import coralcove.PlannedTargetSource;
import coralcove.Settings;
import coralcove.baseline.RoutingPolicies;
import coralcove.config.BadConfig;
import coralcove.config.StartTags;
import coralcove.config.TomlSettings;
import coralcove.directory.DirectorySettingsFile;
import coralcove.directory.SimulatedDirectory;
import coralcove.dns.transport.DnsClient;
import coralcove.edge.EdgeCore;
import coralcove.edge.EdgeSettingsFile;
import coralcove.edge.NumberAnalysisContext;
import coralcove.edge.NumberAnalysisSettings;
import coralcove.exchange.Arrival;
import coralcove.exchange.CallerStats;
import coralcove.exchange.ExchangeSettings;
import coralcove.exchange.ExchangeSettingsFile;
import coralcove.exchange.SimulatedExchange;
import coralcove.experiment.ProgramVersion;
import coralcove.judge.RuleChecker;
import coralcove.judge.RuleResult;
import coralcove.network.LiveNetwork;
import coralcove.numbers.CalendarCheck;
import coralcove.numbers.NumberTable;
import coralcove.numbers.file.TableFileWatcher;
import coralcove.numbers.file.TableReader;
import coralcove.planner.EdgeLinkCore;
import coralcove.planner.GroupLoadQueue;
import coralcove.planner.PlannerCore;
import coralcove.planner.UnsavedPlans;
import coralcove.planner.store.PlannerStores;
import coralcove.planner.transport.EdgeLinkServer;
import coralcove.planner.transport.PlannerClient;
import coralcove.portability.PortabilityService;
import coralcove.portability.RouterLocators;
import coralcove.rehearsal.BenchScenario;
import coralcove.rehearsal.CaptureFormat;
import coralcove.rehearsal.Scenario;
import coralcove.rehearsal.ScenarioFile;
import coralcove.rehearsal.ScenarioResult;
import coralcove.rehearsal.ScenarioRunner;
import coralcove.sip.SipCore;
import coralcove.sip.TransportAddress;
import coralcove.sources.store.RosterStore;
import coralcove.store.EntryStore;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line. Exit codes: 0 success, 1 invalid input, 2 usage error, 3 a rule was broken. */
@Command(
        name = "coralcove",
        mixinStandardHelpOptions = true,
        version = "coralcove " + ProgramVersion.RELEASE,
        description =
                "A call router for a private voice network, with simulated peers and rehearsals.",
        subcommands = {
            Commands.EdgeCommand.class,
            Commands.PlannerCommand.class,
            PairCommand.class,
            Commands.ExchangeCommand.class,
            Commands.DirectoryCommand.class,
            Commands.RehearseCommand.class,
            Commands.CompareCommand.class,
            Commands.JudgeCommand.class,
            Commands.CheckCommand.class,
            NumbersCommand.class,
            SourcesCommand.class,
            ExperimentCommand.class,
            StandaloneCommands.DrillHelp.class,
            StandaloneCommands.ServeHelp.class,
            StandaloneCommands.TrialHelp.class
        },
        footer = {
            "",
            "Exit codes: 0 success, 1 invalid input, 2 usage error, 3 a rule was broken.",
            "",
            "Examples:",
            "  coralcove rehearse days/bad-day.toml --virtual",
            "  coralcove check deploy/examples/edge-0.toml",
            "  coralcove edge deploy/examples/edge-0.toml"
        })
public final class Commands implements Runnable {
    static final int BAD_INPUT = 1;
    static final int RULE_BROKEN = 3;

    /** Longest wait on shutdown for the pending final answers: longer than any caller waits. */
    private static final long SHUTDOWN_TIMEOUT_MICROS = 30_000_000;

    /** Interval at which the files of the number table are checked for changes. */
    private static final long TABLE_POLL_INTERVAL_MICROS = 1_000_000;

    /**
     * Interval at which plans are stored. A kill loses at most one interval, and the planner sends
     * its next plan as soon.
     */
    private static final long PLAN_WRITE_INTERVAL_MILLIS = 1000;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    static int run(String[] args) {
        CommandLine line = new CommandLine(new Commands());
        line.setExecutionExceptionHandler(
                (e, command, result) -> {
                    Throwable cause = e instanceof UncheckedIOException ? e.getCause() : e;
                    if (cause instanceof BadConfig || cause instanceof IOException) {
                        System.err.println("coralcove: " + cause.getMessage());
                        return BAD_INPUT;
                    }
                    throw e;
                });
        return line.execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** A command that runs one node from its settings file until the process is stopped. */
    abstract static class NodeCommand implements Callable<Integer> {
        @Parameters(paramLabel = "CONFIG", description = "settings file, TOML")
        private Path config;

        @Option(
                names = "--log",
                paramLabel = "LEVEL",
                defaultValue = "INFO",
                description =
                        "log level of the JSON lines on standard error: ERROR, WARN, INFO"
                                + " (default) or OFF")
        private String level;

        abstract void serve(TomlSettings toml) throws BadConfig, InterruptedException;

        @Override
        public Integer call() throws Exception {
            System.setProperty("coralcove.log", level);
            serve(TomlSettings.read(config));
            return 0;
        }
    }

    private static void run(
            TomlSettings toml, String table, String name, TransportAddress self, SipCore core)
            throws BadConfig {
        run(toml, table, name, self, core, null, null);
    }

    private static void run(
            TomlSettings toml,
            String table,
            String name,
            TransportAddress self,
            SipCore core,
            EdgeSettingsFile file,
            EdgeLinkCore link)
            throws BadConfig {
        NumberAnalysisSettings numbers = file == null ? null : file.numbers();
        AtomicBoolean stop = new AtomicBoolean();
        CountDownLatch ended = new CountDownLatch(1);
        LiveNetwork network = new LiveNetwork(null);
        TableFileWatcher watch = null;
        if (numbers != null && core instanceof EdgeCore edge) {
            watch =
                    new TableFileWatcher(
                            numbers.table(),
                            numbers.changes(),
                            edge::mayReach,
                            error ->
                                    LoggerFactory.getLogger(name).warn("table-refused: {}", error));
            try {
                DnsClient client = new DnsClient(numbers.resolver(), new SecureRandom());
                edge.attachNumberAnalysis(
                        new NumberAnalysisContext(
                                numbers.maxTables(),
                                watch.readInitial(),
                                numbers.porting(),
                                PortabilityService.clientUsing(
                                        client, numbers.suffix(), network, name, () -> edge)));
            } catch (IOException | TableReader.InvalidTableException e) {
                throw toml.table("numbers").invalid("table", e.getMessage());
            }
        }
        try {
            network.addNode(name, self, core, false);
        } catch (UncheckedIOException e) {
            throw toml.table(table).invalid("listen", e.getCause().getMessage());
        }
        if (file != null && file.dns() != null && core instanceof EdgeCore edge) {
            RouterLocators.connect(
                    network,
                    name,
                    edge,
                    file.dns(),
                    new DnsClient(file.dns().resolverSettings(), new SecureRandom()));
        }
        if (link != null && core instanceof EdgeCore edge) {
            try {
                EdgeLinkServer port =
                        new EdgeLinkServer(
                                name,
                                file.planner().host(),
                                file.planner().port(),
                                link,
                                action ->
                                        network.runOnNode(name, (now, out) -> action.accept(now)));
                network.runOnNode(name, (now, out) -> edge.attachPlanner(now, link, port));
            } catch (IOException e) {
                throw toml.table("planner").invalid("listen", e.getMessage());
            }
        }
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    stop.set(true);
                                    try {
                                        ended.await(SHUTDOWN_TIMEOUT_MICROS, TimeUnit.MICROSECONDS);
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                    network.close();
                                    Runtime.getRuntime().halt(0);
                                }));
        System.err.println(
                "coralcove: "
                        + name
                        + " listens on "
                        + self.host()
                        + ":"
                        + self.port()
                        + " (UDP and TCP)");
        boolean stopLogged = false;
        long nextPollAt = network.now() + TABLE_POLL_INTERVAL_MICROS;
        while (true) {
            network.run(network.now() + 50_000);
            if (watch != null && network.now() >= nextPollAt) {
                nextPollAt = network.now() + TABLE_POLL_INTERVAL_MICROS;
                NumberTable next = watch.poll();
                if (next != null) {
                    network.runOnNode(
                            name,
                            (now, out) -> ((EdgeCore) core).replaceNumberTable(now, next, out));
                }
            }
            if (stop.get() && core instanceof EdgeCore edge) {
                boolean first = !stopLogged;
                stopLogged = true;
                network.runOnNode(
                        name,
                        (now, out) -> {
                            if (first) {
                                out.log("stopping", "", "");
                                edge.stopAccepting();
                            } else if (edge.isIdle()) {
                                ended.countDown();
                            }
                        });
            } else if (stop.get()) {
                ended.countDown();
            }
        }
    }

    @Command(
            name = "edge",
            mixinStandardHelpOptions = true,
            description = "Runs one call router.",
            footer = {
                "",
                "Stops on SIGTERM once all pending sessions have their final answer.",
                "Example:",
                "  coralcove edge deploy/examples/edge-0.toml"
            })
    static final class EdgeCommand extends NodeCommand {
        @Override
        void serve(TomlSettings toml) throws BadConfig {
            EdgeSettingsFile file = EdgeSettingsFile.of(toml);
            Settings policySettings = file.settings().policySettings();
            GroupLoadQueue facts = new GroupLoadQueue(PlannerCore.MAX_GROUPS);
            PlannedTargetSource targetSource = new PlannedTargetSource(policySettings, facts::add);
            EdgeCore core =
                    new EdgeCore(
                            file.settings(),
                            file.planner() == null
                                    ? RoutingPolicies.create(
                                            file.policy(), policySettings, file.settings().seed())
                                    : new ExponentialPenaltyRouter(
                                            policySettings,
                                            new SplittableRandom(file.settings().seed()),
                                            targetSource));
            if (file.rosterStore() != null) {
                RosterStore.restoreAndStore(
                        file.rosterStore(),
                        "edge-" + file.settings().number(),
                        (entries, store) ->
                                core.restoreRoster(
                                        LiveNetwork.currentTimeMicros(), entries, store));
            }
            EdgeLinkCore link =
                    file.planner() == null
                            ? null
                            : new EdgeLinkCore(
                                    policySettings,
                                    targetSource,
                                    facts,
                                    System.currentTimeMillis(),
                                    restoreAndStorePlans(file, targetSource));
            Commands.run(
                    toml,
                    "edge",
                    "edge-" + file.settings().number(),
                    file.settings().listenAddress(),
                    core,
                    file,
                    link);
        }
    }

    /**
     * Restores the plans that the previous run stored, and starts a thread that stores new ones.
     *
     * @return receives each new plan; ignores it where the settings name no plan store
     */
    private static Consumer<Plan> restoreAndStorePlans(
            EdgeSettingsFile file, PlannedTargetSource targetSource) {
        if (file.planStore() == null) {
            return plan -> {};
        }
        UnsavedPlans pendingPlans = new UnsavedPlans();
        var log = LoggerFactory.getLogger("edge-" + file.settings().number());
        EntryStore<Integer, Plan> store =
                PlannerStores.openPlanStore(
                        file.planStore(), message -> log.warn("plans: {}", message));
        List<Plan> stored = store.read();
        int groups =
                UnsavedPlans.restore(
                        LiveNetwork.currentTimeMicros(),
                        file.settings().policySettings(),
                        targetSource,
                        stored);
        log.info(
                "plans: {} of {} stored groups resumed, version {}",
                groups,
                stored.size(),
                targetSource.version());
        Thread writer =
                new Thread(
                        () -> {
                            while (true) {
                                try {
                                    Thread.sleep(PLAN_WRITE_INTERVAL_MILLIS);
                                } catch (InterruptedException e) {
                                    return;
                                }
                                store.write(pendingPlans.drain());
                            }
                        },
                        "plans");
        writer.setDaemon(true);
        writer.start();
        return pendingPlans::add;
    }

    @Command(
            name = "planner",
            mixinStandardHelpOptions = true,
            description = "Runs the planner of one call router, from the router's own settings.",
            footer = {
                "",
                "The edge serves without its planner too: plans expire within a minute.",
                "Example:",
                "  coralcove planner deploy/examples/edge-0.toml"
            })
    static final class PlannerCommand extends NodeCommand {
        @Override
        void serve(TomlSettings toml) throws BadConfig, InterruptedException {
            EdgeSettingsFile file = EdgeSettingsFile.of(toml);
            if (file.planner() == null) {
                throw toml.table("planner")
                        .invalid("listen", "is missing: this router has no planner");
            }
            long start = System.currentTimeMillis();
            PlannerCore core =
                    new PlannerCore(
                            file.settings().policySettings(),
                            start,
                            new SplittableRandom(start),
                            file.planAhead());
            String name = "planner-" + file.settings().number();
            EntryStore<Integer, GroupLoad> store =
                    file.plannerStore() == null
                            ? null
                            : PlannerStores.openLoadStore(
                                    file.plannerStore(),
                                    message ->
                                            LoggerFactory.getLogger(name)
                                                    .warn("store: {}", message));
            PlannerClient port =
                    new PlannerClient(
                            name, file.planner().host(), file.planner().port(), core, store);
            Runtime.getRuntime().addShutdownHook(new Thread(port::shutDown));
            System.err.println(
                    "coralcove: planner-"
                            + file.settings().number()
                            + " plans for the edge at "
                            + file.planner().host()
                            + ":"
                            + file.planner().port());
            new CountDownLatch(1).await();
        }
    }

    @Command(
            name = "exchange",
            mixinStandardHelpOptions = true,
            description = "Runs a simulated exchange.",
            footer = {"", "Example:", "  coralcove exchange deploy/examples/exchange-0.toml"})
    static final class ExchangeCommand extends NodeCommand {
        @Override
        void serve(TomlSettings toml) throws BadConfig {
            ExchangeSettingsFile file = ExchangeSettingsFile.read(toml);
            long now = LiveNetwork.currentTimeMicros();
            ExchangeSettings settings =
                    file.startsCold() ? file.settings().withColdStart(now) : file.settings();
            List<Arrival> arrivals =
                    file.arrivals().stream().map(arrival -> arrival.shiftedBy(now)).toList();
            Commands.run(
                    toml,
                    "exchange",
                    "exchange-" + settings.number(),
                    settings.listenAddress(),
                    new SimulatedExchange(settings, arrivals, new CallerStats()));
        }
    }

    @Command(
            name = "directory",
            mixinStandardHelpOptions = true,
            description = "Runs the simulated directory.",
            footer = {"", "Example:", "  coralcove directory deploy/examples/directory.toml"})
    static final class DirectoryCommand extends NodeCommand {
        @Override
        void serve(TomlSettings toml) throws BadConfig {
            DirectorySettingsFile file = DirectorySettingsFile.read(toml);
            Commands.run(
                    toml,
                    "directory",
                    "directory",
                    file.listenAddress(),
                    new SimulatedDirectory(
                            file.listenAddress(), file.delays(), StartTags.newTag()));
        }
    }

    /** Options that select a day and its seed. */
    static final class DayOptions {
        @Parameters(paramLabel = "DAY", arity = "0..1", description = "the day's file, TOML")
        private Path day;

        @Option(
                names = "--from",
                paramLabel = "DAY.json",
                description = "a day in the format of the operators' bench")
        private Path from;

        @Option(
                names = "--seed",
                paramLabel = "N",
                defaultValue = "1",
                description = "seed of all random numbers (default 1)")
        long seed;

        Scenario read() throws BadConfig, IOException {
            if (day == null == (from == null)) {
                throw new BadConfig("give either DAY or --from DAY.json");
            }
            return from == null ? ScenarioFile.read(day, seed) : BenchScenario.read(from, seed);
        }
    }

    @Command(
            name = "rehearse",
            mixinStandardHelpOptions = true,
            description =
                    "Starts routers and simulated peers, plays a day, and checks the five rules in"
                            + " the captured traffic.",
            footer = {
                "",
                "Examples:",
                "  coralcove rehearse days/bad-day.toml",
                "  coralcove rehearse days/bad-day.toml --virtual --seed 7 --policy direct"
                        + " --summary out.json",
                "  coralcove rehearse --from day.json --virtual"
            })
    static final class RehearseCommand implements Callable<Integer> {
        @CommandLine.Mixin private DayOptions day;

        @Option(
                names = "--virtual",
                description = "run in virtual time on a simulated network instead of sockets")
        private boolean virtual;

        @Option(
                names = "--policy",
                paramLabel = "NAME",
                defaultValue = "choice",
                description =
                        "choice (default) or a baseline: direct, first-tandem, reserved,"
                                + " least-busy")
        private String policy;

        @Option(
                names = "--summary",
                paramLabel = "FILE",
                description = "write the summary there, one JSON object")
        private Path summary;

        @Option(
                names = "--capture",
                paramLabel = "FILE",
                description = "write the routers' traffic there, JSON lines")
        private Path capture;

        @Option(
                names = "--log",
                paramLabel = "LEVEL",
                defaultValue = "WARN",
                description = "log level of live runs, JSON lines on standard error (default WARN)")
        private String level;

        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            System.setProperty("coralcove.log", level);
            if (!RoutingPolicies.NAMES.contains(policy)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "--policy: "
                                + policy
                                + " is none of "
                                + String.join(", ", RoutingPolicies.NAMES));
            }
            Scenario selected = day.read();
            selected.unmappedSettings().forEach(line -> System.out.println("not mapped: " + line));
            ScenarioResult result =
                    virtual
                            ? ScenarioRunner.runVirtual(selected, day.seed, policy, capture, null)
                            : ScenarioRunner.runLive(selected, day.seed, policy, capture);
            print(result);
            if (summary != null) {
                Files.writeString(summary, result.toJson().toPrettyString() + "\n");
            }
            return result.allRulesKept() ? 0 : RULE_BROKEN;
        }

        private static void print(ScenarioResult result) {
            CallerStats stats = result.stats();
            System.out.printf(
                    Locale.ROOT,
                    "%s, policy %s, seed %d, %s%n",
                    result.scenario(),
                    result.policy(),
                    result.seed(),
                    result.virtualTime() ? "virtual time" : "live on loopback");
            System.out.printf(
                    Locale.ROOT,
                    "value served %.0f of %.0f: %.3f%n",
                    stats.valueServed,
                    result.offeredValue(),
                    result.servedShare());
            System.out.printf(
                    Locale.ROOT,
                    "sessions %d: stood %d (cut later %d), busy-replied %d, terminated %d, "
                            + "gave up %d%n",
                    stats.sessions,
                    stats.established,
                    stats.cutOff,
                    stats.busyReplied,
                    stats.terminated,
                    stats.abandoned);
            System.out.printf(
                    Locale.ROOT,
                    "set-up p50 %.0f ms, p99 %.0f ms; added by one router p50 %.2f ms, "
                            + "p99 %.2f ms%n",
                    stats.postDialDelay.getValueAtPercentile(50) / 1e3,
                    stats.postDialDelay.getValueAtPercentile(99) / 1e3,
                    result.addedDelay().getValueAtPercentile(50) / 1e3,
                    result.addedDelay().getValueAtPercentile(99) / 1e3);
            if (result.lastInviteDelays().getTotalCount() > 0) {
                System.out.printf(
                        Locale.ROOT,
                        "last INVITE after a drain or an end was told: p99 %.0f ms, most %.0f ms,"
                                + " of %d tellings%n",
                        result.lastInviteDelays().getValueAtPercentile(99) / 1e3,
                        result.lastInviteDelays().getMaxValue() / 1e3,
                        result.lastInviteDelays().getTotalCount());
            }
            result.ruleResults().values().forEach(Commands::print);
        }
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description =
                    "Plays a day in virtual time under several policies with the same seeds, and"
                            + " prints a table of the results.",
            footer = {"", "Example:", "  coralcove compare days/bad-day.toml --seeds 50"})
    static final class CompareCommand implements Callable<Integer> {
        @Parameters(
                paramLabel = "DAY",
                description =
                        "the day's file, TOML, or in the format of the bench (.json); several may"
                                + " be given",
                arity = "1..*")
        private List<Path> days;

        @Option(
                names = "--seeds",
                paramLabel = "N",
                defaultValue = "10",
                description = "seeds 1 to N (default 10)")
        private int seeds;

        @Option(
                names = "--policies",
                split = ",",
                paramLabel = "NAME",
                defaultValue = "choice,direct,first-tandem",
                description =
                        "policies (default choice,direct,first-tandem; also reserved, least-busy)")
        private List<String> policies;

        @Option(
                names = "--jobs",
                paramLabel = "N",
                defaultValue = "4",
                description = "number of parallel runs (default 4)")
        private int jobs;

        @Override
        public Integer call() throws Exception {
            System.setProperty("coralcove.log", "WARN");
            boolean rulesKept = true;
            for (Path day : days) {
                for (String policy : policies) {
                    rulesKept &= printTable(day, policy) || !policy.equals("choice");
                }
            }
            return rulesKept ? 0 : RULE_BROKEN;
        }

        private boolean printTable(Path path, String policy) throws Exception {
            java.util.concurrent.ExecutorService pool =
                    java.util.concurrent.Executors.newFixedThreadPool(jobs);
            try {
                List<java.util.concurrent.Future<ScenarioResult>> runs =
                        new java.util.ArrayList<>();
                for (int i = 1; i <= seeds; i++) {
                    long seed = i;
                    runs.add(
                            pool.submit(
                                    () ->
                                            ScenarioRunner.runVirtual(
                                                    path.toString().endsWith(".json")
                                                            ? BenchScenario.read(path, seed)
                                                            : ScenarioFile.read(path, seed),
                                                    seed,
                                                    policy,
                                                    null,
                                                    null)));
                }
                double[] shares = new double[seeds];
                java.util.TreeMap<String, long[]> rules = new java.util.TreeMap<>();
                for (int i = 0; i < seeds; i++) {
                    ScenarioResult result = runs.get(i).get();
                    shares[i] = result.servedShare();
                    result.ruleResults()
                            .forEach(
                                    (name, verdict) -> {
                                        long[] sum = rules.computeIfAbsent(name, n -> new long[2]);
                                        sum[0] += verdict.checked();
                                        sum[1] += verdict.broken();
                                    });
                    result.ruleResults().values().stream()
                            .flatMap(verdict -> verdict.breaches().stream())
                            .limit(3)
                            .forEach(
                                    line ->
                                            System.out.println(
                                                    "  seed " + result.seed() + " " + line));
                }
                java.util.Arrays.sort(shares);
                System.out.printf(
                        Locale.ROOT,
                        "%s %s: value served mean %.3f, least %.3f, median %.3f, most %.3f;",
                        path.getFileName(),
                        policy,
                        java.util.Arrays.stream(shares).average().orElse(0),
                        shares[0],
                        shares[seeds / 2],
                        shares[seeds - 1]);
                rules.forEach(
                        (name, sum) ->
                                System.out.printf(Locale.ROOT, " %s %d/%d", name, sum[1], sum[0]));
                System.out.println(" (broken/checked)");
                return rules.values().stream().allMatch(sum -> sum[1] == 0);
            } finally {
                pool.shutdownNow();
            }
        }
    }

    private static void print(RuleResult verdict) {
        System.out.printf(
                Locale.ROOT,
                "rule %-13s %s: checked %d, broken %d%n",
                verdict.rule,
                verdict.broken() == 0 ? "kept" : "BROKEN",
                verdict.checked(),
                verdict.broken());
        verdict.breaches().forEach(line -> System.out.println("  " + line));
    }

    @Command(
            name = "judge",
            mixinStandardHelpOptions = true,
            description =
                    "Checks the rules in a capture, with the parameters of its day; knows of kills"
                            + " and cold starts only what the capture shows.",
            footer = {
                "",
                "Example:",
                "  coralcove judge days/bad-day.toml --capture capture.jsonl"
            })
    static final class JudgeCommand implements Callable<Integer> {
        @CommandLine.Mixin private DayOptions day;

        @Option(
                names = "--capture",
                paramLabel = "FILE",
                required = true,
                description = "the capture, JSON lines")
        private Path capture;

        @Override
        public Integer call() throws Exception {
            RuleChecker judge = new RuleChecker(day.read().rules());
            judge.finish(CaptureFormat.replay(capture, judge));
            judge.verdicts().values().forEach(Commands::print);
            return judge.verdicts().values().stream().allMatch(verdict -> verdict.broken() == 0)
                    ? 0
                    : RULE_BROKEN;
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Checks a settings file or a day; an error names file, line, key and reason.",
            footer = {"", "Example:", "  coralcove check days/bad-day.toml"})
    static final class CheckCommand implements Callable<Integer> {
        @Parameters(
                paramLabel = "CONFIG",
                description = "settings file of any kind, or a day, TOML")
        private Path config;

        @Override
        public Integer call() throws Exception {
            TomlSettings toml = TomlSettings.read(config);
            String kind;
            if (toml.has("day")) {
                kind = "a day of " + ScenarioFile.parse(toml, 0).exchangeCount() + " exchanges";
            } else if (toml.has("edge")) {
                EdgeSettingsFile file = EdgeSettingsFile.of(toml);
                kind = "call router " + file.settings().number();
                if (file.numbers() != null) {
                    NumberTable table = NumbersCommand.read(file.numbers().table(), n -> true);
                    kind +=
                            ", table "
                                    + table.version()
                                    + " of "
                                    + table.trie().size()
                                    + " prefixes";
                    CalendarCheck.findProblems(table, System.currentTimeMillis() * 1000)
                            .forEach(
                                    warning ->
                                            System.out.println(
                                                    file.numbers().table()
                                                            + ": warning: "
                                                            + warning));
                }
            } else if (toml.has("exchange")) {
                kind = "stand-in exchange " + ExchangeSettingsFile.read(toml).settings().number();
            } else if (toml.has("directory")) {
                kind = "stand-in directory at " + DirectorySettingsFile.read(toml).listenAddress();
            } else {
                throw new BadConfig(
                        config
                                + ":1: none of [day], [edge], [exchange], [directory] is in the"
                                + " file");
            }
            System.out.println(config + ": good: " + kind);
            return 0;
        }
    }
}
