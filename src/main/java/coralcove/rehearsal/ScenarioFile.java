package coralcove.rehearsal;

import coralcove.config.BadConfig;
import coralcove.config.ServiceTable;
import coralcove.config.TomlSettings;
import coralcove.edge.NumberAnalysisSettings;
import coralcove.exchange.Arrival;
import coralcove.exchange.ExchangeSettings;
import coralcove.judge.Rules;
import coralcove.network.VirtualNetwork.NetworkConditions;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Reads a scenario in TOML and draws from its seed what the file leaves open: destination weights,
 * group sizes and arrivals.
 */
public final class ScenarioFile {
    private static final int MAX_EXCHANGES = 500;

    private ScenarioFile() {}

    /** Reads a scenario file and draws it from {@code seed}; 0 takes the seed of the file. */
    public static Scenario read(Path path, long seed) throws BadConfig {
        return parse(TomlSettings.read(path), seed);
    }

    /**
     * Reads a scenario and draws it from {@code seed}; 0 takes the seed of the file.
     *
     * @throws BadConfig if a setting is missing, out of bounds or unknown
     */
    public static Scenario parse(TomlSettings toml, long seed) throws BadConfig {
        TomlSettings.Table day = toml.table("day");
        String name = day.text("name");
        long length = day.microsFromSeconds("length_s", 1, 3600);
        long fileSeed = day.integer("seed", 1, Integer.MAX_VALUE, 1);
        RandomGenerator random = new SplittableRandom(seed == 0 ? fileSeed : seed);
        TomlSettings.Table size = toml.table("size");
        int exchangeCount = size.integer("exchanges", 2, MAX_EXCHANGES);
        int districts = size.integer("districts", 1, exchangeCount, 1);
        int[] zones = new int[exchangeCount];
        for (int i = 0; i < exchangeCount; i++) {
            zones[i] = i % districts;
        }
        List<Scenario.Service> services = new ArrayList<>();
        List<TrafficGenerator.ServiceShare> serviceShares = new ArrayList<>();
        List<TomlSettings.Table> serviceTables = toml.list("service");
        Path directoryPath = Path.of(toml.file()).toAbsolutePath().getParent();
        for (ServiceTable each : ServiceTable.read(toml, true)) {
            services.add(
                    new Scenario.Service(
                            each.name(),
                            each.target(),
                            each.limit(),
                            each.value(),
                            each.lateValue(),
                            each.width(),
                            each.hold()));
            serviceShares.add(
                    new TrafficGenerator.ServiceShare(
                            each.share(),
                            each.hold(),
                            HoldTimeDistribution.read(
                                    serviceTables.get(serviceShares.size()), directoryPath)));
        }
        List<InjectedFault> faults = readFaults(toml, zones, length);
        TomlSettings.Table traffic = toml.table("traffic");
        double loadFactor = traffic.number("load", 0.01, 10, 1);
        double sessionsPerSecond = traffic.number("sessions_per_s", 0.01, 100_000);
        double missedCv = traffic.number("missed_cv", 0, 2, 0);
        double spare = traffic.number("spare", 0, 1000, 0.3);
        double unlinked = traffic.number("unlinked", 0, 0.9, 0);
        double[][] plannedWeights =
                drawDestinationWeights(
                        exchangeCount,
                        zones,
                        traffic.number("pair_cv", 0, 2, 0.3),
                        traffic.number("local", 0.1, 10, 1),
                        random);
        double exchangeRate = sessionsPerSecond / exchangeCount;
        int[][] groups =
                dimensionGroups(
                        plannedWeights,
                        exchangeRate,
                        serviceShares,
                        services,
                        spare,
                        unlinked,
                        random);
        double[][] destinationWeights = new double[exchangeCount][exchangeCount];
        for (int i = 0; i < exchangeCount; i++) {
            for (int j = 0; j < exchangeCount; j++) {
                destinationWeights[i][j] =
                        plannedWeights[i][j] * TrafficGenerator.lognormalFactor(random, missedCv);
            }
        }
        double[] rates = new double[exchangeCount];
        Arrays.fill(rates, exchangeRate * loadFactor);
        double[] profileFactors = traffic.numbers("profile", 0, 20);
        long profileStep = traffic.microsFromSeconds("profile_step_s", 0.1, 3600, 3600);
        if (profileFactors.length > 0 && profileFactors.length * profileStep < length) {
            throw traffic.invalid("profile", "ends before the day does");
        }
        TrafficGenerator generator =
                new TrafficGenerator(
                        random,
                        destinationWeights,
                        serviceShares,
                        faults,
                        length,
                        traffic.microsFromSeconds("drift_s", 0, 3600, 0),
                        traffic.number("drift_cv", 0, 2, 0),
                        profileFactors.length == 0
                                ? TrafficGenerator.RateProfile.FLAT
                                : new TrafficGenerator.RateProfile(profileFactors, profileStep));
        double[] speeds = new double[exchangeCount];
        Arrays.fill(speeds, 1);
        int hotNumberLines = traffic.integer("hot_lines", 1, 1000, 8);
        ExchangeSettings.ProcessingTimes times =
                readProcessingTimes(toml.table("processor"), exchangeRate);
        Scenario.RouterLimits routerLimits = readRouterLimits(toml.table("router"));
        TomlSettings.Table callers = toml.table("callers");
        ExchangeSettings.CallerModel callerModel =
                new ExchangeSettings.CallerModel(
                        callers.integer("redials", 0, 10, 2),
                        callers.number("try_share", 0.01, 1, 0.35),
                        callers.microsFromMillis("backoff_ms", 1, 60_000, 700),
                        callers.number("honour", 0, 1, 0.7),
                        routerLimits.redialsMarked());
        TomlSettings.Table directory = toml.table("directory");
        Scenario.DirectoryDelays directoryDelays =
                new Scenario.DirectoryDelays(
                        directory.microsFromMillis("notice_ms", 0, 60_000, 1000),
                        directory.microsFromMillis("silence_ms", 1500, 120_000, 8000),
                        directory.microsFromMillis("add_ms", 0, 60_000, 800));
        int directoryCount = directory.integer("count", 1, Scenario.MAX_DIRECTORIES, 1);
        long dnsTtl = directory.integer("dns_life_s", 0, 86_400, 0);
        if (dnsTtl == 0 && faults.stream().anyMatch(fault -> fault.kind().startsWith("dns"))) {
            throw directory.invalid("dns_life_s", "is 0 or missing, and a trouble of DNS needs it");
        }
        Rules rules = readRules(toml.table("rules"), times);
        TomlSettings.Table net = toml.table("net");
        NetworkConditions networkConditions =
                new NetworkConditions(
                        net.microsFromMillis("near_ms", 0.001, 1000, 0.1),
                        net.microsFromMillis("same_ms", 0.001, 1000, 1),
                        net.microsFromMillis("cross_ms", 0.001, 1000, 5),
                        net.number("jitter", 0, 0.9, 0.1),
                        net.number("loss", 0, 0.9, 0),
                        net.number("doubled", 0, 0.9, 0),
                        net.number("reordered", 0, 0.9, 0),
                        net.number("reset", 0, 0.5, 0));
        String transport = net.oneOf("transport", List.of("udp", "tcp", "mixed"), "udp");
        Scenario.NumberPlan numberPlan =
                toml.has("numbers") ? readNumberPlan(toml.table("numbers")) : null;
        if (numberPlan == null
                && faults.stream().anyMatch(fault -> fault.kind().startsWith("portability"))) {
            throw toml.table("numbers")
                    .invalid(
                            "ported",
                            "is missing, and a trouble of the portability server needs it");
        }
        TomlSettings.Table planner = toml.has("planner") ? toml.table("planner") : null;
        boolean planAhead = planner != null && planner.flag("ahead", false);
        Scenario.Planners planners =
                planner != null && planner.flag("apart", true)
                        ? new Scenario.Planners(planAhead)
                        : null;
        if (planners == null
                && faults.stream().anyMatch(fault -> fault.kind().startsWith("planner"))) {
            throw toml.table("planner")
                    .invalid("apart", "is not true, and a trouble of the planners needs it");
        }
        toml.rejectUnknownKeys();
        List<List<Arrival>> arrivals = generator.draw(rates);
        if (numberPlan != null) {
            DialPlan dialPlan = new DialPlan(exchangeCount, numberPlan);
            arrivals =
                    arrivals.stream()
                            .map(
                                    list ->
                                            list.stream()
                                                    .map(
                                                            a ->
                                                                    new Arrival(
                                                                            a.arrivalTime(),
                                                                            a.service(),
                                                                            a.farEnd(),
                                                                            a.calledNumber(),
                                                                            a.holdTime(),
                                                                            dialPlan.drawNumber(
                                                                                    a.farEnd(),
                                                                                    random)))
                                                    .toList())
                            .toList();
        }
        return new Scenario(
                name,
                length,
                zones,
                groups,
                arrivals,
                services,
                times,
                speeds,
                callerModel,
                hotNumberLines,
                directoryDelays,
                rules,
                routerLimits,
                networkConditions,
                transport,
                faults,
                List.of(),
                numberPlan,
                planners,
                directoryCount,
                dnsTtl);
    }

    private static Scenario.NumberPlan readNumberPlan(TomlSettings.Table table) throws BadConfig {
        return new Scenario.NumberPlan(
                table.number("ported", 0, 1, 0),
                table.integer("lines", 1, 100_000, 1000),
                table.integer("beside", 0, 5_000_000, 0),
                table.microsFromSeconds("replace_s", 0, 3600, 0),
                table.microsFromMillis("server_ms", 0.001, 10_000, 4),
                table.integer("life_s", 1, 86_400, 300),
                table.integer("most_tables", 1, 100, 4),
                NumberAnalysisSettings.porting(table));
    }

    private static List<InjectedFault> readFaults(TomlSettings toml, int[] zones, long length)
            throws BadConfig {
        List<InjectedFault> faults = new ArrayList<>();
        for (TomlSettings.Table each : toml.list("trouble")) {
            List<Integer> on = new ArrayList<>();
            for (int number : each.integers("on", 0, zones.length - 1)) {
                on.add(number);
            }
            // All exchanges of a district fail together, as in a power cut, a cable cut or a flood.
            int lastDistrict = Arrays.stream(zones).max().orElse(0);
            int district = each.integer("district", 0, lastDistrict, -1);
            if (district >= 0 && !on.isEmpty()) {
                throw each.invalid(
                        "district", "and on are both set; only one may name the exchanges");
            }
            for (int number = 0; number < zones.length && district >= 0; number++) {
                if (zones[number] == district) {
                    on.add(number);
                }
            }
            String kind = each.oneOf("kind", InjectedFault.KINDS, "");
            long at = each.microsFromSeconds("at_s", 0, 3600);
            if (at >= length) {
                throw each.invalid("at_s", "is past the end of the day");
            }
            if (on.isEmpty()
                    && List.of("swamped", "death", "drain", "router-death", "ageing", "mass-call")
                            .contains(kind)) {
                throw each.invalid("on", "names no exchange, and a " + kind + " needs one");
            }
            double maxSize = List.of("lost-answers", "other-work").contains(kind) ? 1 : 1e6;
            faults.add(
                    new InjectedFault(
                            kind,
                            at,
                            each.microsFromSeconds("len_s", 0.01, 3600),
                            on,
                            each.number("size", 0, maxSize, 1),
                            each.number("extra", 0, 1e6, 0)));
        }
        return faults;
    }

    /**
     * Draws the share of each exchange's traffic by destination; each row sums to 1. Destinations
     * in the same zone weigh {@code local} times as much.
     */
    private static double[][] drawDestinationWeights(
            int exchangeCount, int[] zones, double cv, double local, RandomGenerator random) {
        double[][] weights = new double[exchangeCount][exchangeCount];
        for (int i = 0; i < exchangeCount; i++) {
            double sum = 0;
            for (int j = 0; j < exchangeCount; j++) {
                weights[i][j] =
                        i == j
                                ? 0
                                : TrafficGenerator.lognormalFactor(random, cv)
                                        * (zones[i] == zones[j] ? local : 1);
                sum += weights[i][j];
            }
            for (int j = 0; j < exchangeCount; j++) {
                weights[i][j] /= sum;
            }
        }
        return weights;
    }

    /**
     * Returns the circuits of each trunk group: the planned load in erlangs and {@code spare} times
     * its square root. The thinnest pairs, a share {@code unlinked} of all, get no group; their
     * load is added to the groups of a randomly drawn tandem.
     */
    private static int[][] dimensionGroups(
            double[][] plannedWeights,
            double exchangeRate,
            List<TrafficGenerator.ServiceShare> serviceShares,
            List<Scenario.Service> services,
            double spare,
            double unlinked,
            RandomGenerator random) {
        int exchangeCount = plannedWeights.length;
        double shares =
                serviceShares.stream().mapToDouble(TrafficGenerator.ServiceShare::share).sum();
        double erlangs = 0;
        for (int s = 0; s < serviceShares.size(); s++) {
            erlangs +=
                    exchangeRate
                            * serviceShares.get(s).share()
                            / shares
                            * serviceShares.get(s).meanHoldTime()
                            / 1e6
                            * services.get(s).width();
        }
        double[][] erlangsByPair = new double[exchangeCount][exchangeCount];
        List<int[]> pairs = new ArrayList<>();
        for (int i = 0; i < exchangeCount; i++) {
            for (int j = i + 1; j < exchangeCount; j++) {
                erlangsByPair[i][j] = (plannedWeights[i][j] + plannedWeights[j][i]) * erlangs;
                pairs.add(new int[] {i, j});
            }
        }
        pairs.sort((a, b) -> Double.compare(erlangsByPair[a[0]][a[1]], erlangsByPair[b[0]][b[1]]));
        int unlinkedPairs = exchangeCount < 3 ? 0 : (int) (unlinked * pairs.size());
        for (int[] pair : pairs.subList(0, unlinkedPairs)) {
            int tandem = random.nextInt(exchangeCount);
            while (tandem == pair[0] || tandem == pair[1]) {
                tandem = random.nextInt(exchangeCount);
            }
            double rerouted = erlangsByPair[pair[0]][pair[1]];
            erlangsByPair[pair[0]][pair[1]] = 0;
            erlangsByPair[Math.min(pair[0], tandem)][Math.max(pair[0], tandem)] += rerouted;
            erlangsByPair[Math.min(pair[1], tandem)][Math.max(pair[1], tandem)] += rerouted;
        }
        int[][] groups = new int[exchangeCount][exchangeCount];
        for (int[] pair : pairs) {
            double planned = erlangsByPair[pair[0]][pair[1]];
            int size = planned <= 0 ? 0 : (int) Math.ceil(planned + spare * Math.sqrt(planned));
            groups[pair[0]][pair[1]] = size;
            groups[pair[1]][pair[0]] = size;
        }
        return groups;
    }

    /**
     * Returns processing times in µs, from the processor utilization at load 1 with all sessions on
     * direct routes.
     */
    private static ExchangeSettings.ProcessingTimes readProcessingTimes(
            TomlSettings.Table table, double exchangeRate) throws BadConfig {
        double utilization = table.number("use", 0.001, 0.99, 0.7);
        double lookUp = table.number("look", 0, 5, 0.2);
        double followUp = table.number("follow", 0, 5, 0.35);
        double setUp = 1e6 * utilization / (exchangeRate * (lookUp + 2 + 4 * followUp));
        return new ExchangeSettings.ProcessingTimes(
                (long) (lookUp * setUp),
                (long) setUp,
                (long) (followUp * setUp),
                (long) (followUp * setUp),
                (long) (table.number("reject", 0, 5, 0.2) * setUp),
                (long) (table.number("repeat", 0, 5, 0.4) * setUp),
                table.microsFromMillis("probe_ms", 0, 1000, 0.3),
                table.microsFromMillis("queue_ms", 1, 60_000, 2000),
                table.flag("tells_wait", true),
                table.microsFromMillis("resend_ms", 0, 60_000, 0));
    }

    private static Rules readRules(TomlSettings.Table table, ExchangeSettings.ProcessingTimes times)
            throws BadConfig {
        return new Rules(
                table.microsFromMillis("answer_grace_ms", 0, 10_000, 20),
                table.microsFromMillis("drain_grace_ms", 0, 60_000, 1000),
                table.microsFromMillis("release_ms", 0, 60_000, 300),
                table.number("fall_multiple", 1, 100, 3),
                table.microsFromMillis("fall_ms", 1, 60_000, 1500),
                table.number("cold_from", 0.01, 1, 0.32),
                table.microsFromSeconds("warm_s", 0.01, 600, 12),
                1e6 / times.setUp());
    }

    private static Scenario.RouterLimits readRouterLimits(TomlSettings.Table table)
            throws BadConfig {
        return new Scenario.RouterLimits(
                table.integer("invites", 1, 20, 4),
                table.microsFromMillis("come_back_ms", 0, 60_000, 2000),
                table.flag("peers", true),
                table.flag("redials_marked", true),
                table.microsFromMillis("answer_margin_ms", 0, 5000, 20),
                table.integer("max_open", 1, 1_000_000, 20_000));
    }
}
