package coralcove.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import coralcove.config.BadConfig;
import coralcove.exchange.ExchangeSettings;
import coralcove.judge.Rules;
import coralcove.network.VirtualNetwork.NetworkConditions;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Reads a scenario in the JSON format of the operators' bench and maps its sizes, traffic and
 * faults to a {@link Scenario}. Settings without a counterpart are listed in {@link
 * Scenario#unmappedSettings}. Times are µs.
 */
public final class BenchScenario {
    /** One-way delay between a router and its local exchange, which the bench does not model. */
    private static final long LOCAL_DELAY_MICROS = 50;

    /** The bench's kinds of faults, each with the kind that it is mapped to. */
    private static final Map<String, String> FAULT_KINDS =
            Map.ofEntries(
                    Map.entry("burst", "surge"),
                    Map.entry("hot_caller", "swamped"),
                    Map.entry("neighbour", "other-work"),
                    Map.entry("answer_lost", "lost-answers"),
                    Map.entry("ageing", "ageing"),
                    Map.entry("crash", "death"),
                    Map.entry("mass_restart", "death"),
                    Map.entry("pauses", "stall"),
                    Map.entry("slow", "slow"),
                    Map.entry("shared_slow", "slow"),
                    Map.entry("hang", "silence"),
                    Map.entry("deploy", "drain"),
                    Map.entry("origin_slow", "lost-circuits"));

    private final JsonNode root;
    private final JsonNode family;
    private final TreeSet<String> unmapped = new TreeSet<>();
    private final int exchangeCount;
    private final int[] zones;

    private BenchScenario(JsonNode root) {
        this.root = root;
        family = root.path("fam");
        exchangeCount = family.path("n").asInt();
        zones = new int[exchangeCount];
        for (int i = 0; i < exchangeCount; i++) {
            zones[i] = root.path("servers").path(i).path("zone").asInt();
        }
    }

    /**
     * Reads a bench scenario and draws its traffic from {@code seed}.
     *
     * @throws BadConfig if the file is not JSON or does not describe a mesh of exchanges
     */
    public static Scenario read(Path path, long seed) throws BadConfig, IOException {
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(path.toFile());
        } catch (com.fasterxml.jackson.core.JacksonException e) {
            throw new BadConfig(
                    path
                            + ":"
                            + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
                            + ": invalid JSON: "
                            + e.getOriginalMessage());
        }
        return parse(path.toString(), root, seed);
    }

    static Scenario parse(String file, JsonNode root, long seed) throws BadConfig {
        if (!root.path("family").asText().equals("trunks")
                || root.path("fam").path("n").asInt() < 2
                || root.path("fam").path("pools").asBoolean()) {
            throw new BadConfig(file + ":1: family: not a scenario of a mesh of exchanges");
        }
        return new BenchScenario(root).toScenario(seed);
    }

    private Scenario toScenario(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Scenario.Service> services = new ArrayList<>();
        List<TrafficGenerator.ServiceShare> serviceShares = new ArrayList<>();
        int index = 0;
        for (JsonNode entry : root.path("classes")) {
            long meanHoldTime = family.path("hold").path(index).asLong();
            services.add(
                    new Scenario.Service(
                            entry.path("name").asText(),
                            entry.path("aim").asLong(),
                            entry.path("deadline").asLong(),
                            entry.path("worth").asDouble(),
                            entry.path("late_worth").asDouble(),
                            family.path("width").path(index).asInt(1),
                            meanHoldTime));
            serviceShares.add(
                    new TrafficGenerator.ServiceShare(
                            entry.path("share").asDouble(), meanHoldTime));
            index++;
        }
        List<InjectedFault> faults = readFaults();
        double totalWeight = 0;
        for (int i = 0; i < exchangeCount; i++) {
            totalWeight += trafficWeight(i);
        }
        double[] rates = new double[exchangeCount];
        double[] speeds = new double[exchangeCount];
        double[][] destinationWeights = new double[exchangeCount][exchangeCount];
        int[][] groupSizes = new int[exchangeCount][exchangeCount];
        double loadFactor = root.path("traffic").path("load").asDouble();
        for (int i = 0; i < exchangeCount; i++) {
            rates[i] =
                    family.path("capacity").asDouble()
                            * loadFactor
                            * trafficWeight(i)
                            / totalWeight;
            speeds[i] = root.path("servers").path(i).path("speed").asDouble(1);
            for (int j = 0; j < exchangeCount; j++) {
                destinationWeights[i][j] = family.path("pull").path(i).path(j).asDouble();
                // A trunk group is listed once, under the exchange with the lower number.
                groupSizes[i][j] =
                        family.path("size")
                                .path(Math.min(i, j) * exchangeCount + Math.max(i, j))
                                .asInt();
            }
        }
        long length = root.path("length").asLong();
        TrafficGenerator traffic =
                new TrafficGenerator(
                        random,
                        destinationWeights,
                        serviceShares,
                        faults,
                        length,
                        family.path("drift").asLong(),
                        family.path("drift_cv").asDouble());
        recordUnmappedSettings();
        JsonNode clients = root.path("clients");
        JsonNode discovery = root.path("discovery");
        JsonNode allowed = root.path("allow");
        boolean marksRedials = clients.path("marks_retry").asBoolean();
        ExchangeSettings.CallerModel callerModel =
                new ExchangeSettings.CallerModel(
                        clients.path("retries").asInt(),
                        clients.path("try_share").asDouble(),
                        Math.max(1, clients.path("backoff_us").asLong()),
                        clients.path("honour").asDouble(),
                        marksRedials);
        JsonNode tier = root.path("tiers").path(0);
        ExchangeSettings.ProcessingTimes times = processingTimes(tier);
        Rules rules =
                new Rules(
                        20_000,
                        root.path("drain_grace").asLong(),
                        family.path("release").asLong(),
                        root.path("fall_multiple").asDouble(),
                        root.path("fall_for").asLong(),
                        tier.path("stated_cold_from").asDouble(),
                        tier.path("stated_cold").asLong(),
                        1e6 / times.setUp() * mean(speeds));
        NetworkConditions networkConditions =
                new NetworkConditions(
                        LOCAL_DELAY_MICROS,
                        root.path("net").path("same").asLong(),
                        Math.max(1, root.path("net").path("cross").asLong()),
                        root.path("net").path("jitter").asDouble(),
                        0,
                        0,
                        0,
                        0);
        Scenario.RouterLimits routerLimits =
                new Scenario.RouterLimits(
                        allowed.path("max_attempts").asInt(),
                        allowed.path("retry_after").asBoolean()
                                ? clients.path("max_retry_after").asLong()
                                : 0,
                        allowed.path("peers").asBoolean(),
                        marksRedials,
                        20_000,
                        allowed.path("max_open").asInt(20_000));
        return new Scenario(
                root.path("site").asText() + " " + root.path("kind").asText(),
                length,
                zones,
                groupSizes,
                traffic.draw(rates),
                services,
                times,
                speeds,
                callerModel,
                Math.max(1, family.path("hot_lines").asInt()),
                new Scenario.DirectoryDelays(
                        discovery.path("notice").asLong(),
                        Math.max(1_500_000, discovery.path("silent_notice").asLong()),
                        discovery.path("add").asLong()),
                rules,
                routerLimits,
                networkConditions,
                "udp",
                faults,
                List.copyOf(unmapped),
                null,
                null,
                1,
                0);
    }

    private double trafficWeight(int i) {
        return root.path("balancers").path(i).path("weight").asDouble(1);
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }

    /**
     * Returns processing times in µs. The bench states them in multiples of a set-up, whose time is
     * that of the first class at speed 1.
     */
    private ExchangeSettings.ProcessingTimes processingTimes(JsonNode tier) {
        double setUp = root.path("classes").path(0).path("work").asDouble();
        return new ExchangeSettings.ProcessingTimes(
                (long) (setUp * family.path("look").asDouble()),
                (long) setUp,
                (long) (setUp * family.path("follow").asDouble()),
                (long) (setUp * family.path("follow").asDouble()),
                (long) (setUp * family.path("reject").asDouble()),
                (long) (setUp * family.path("repeat").asDouble()),
                tier.path("probe_work").asLong(),
                family.path("queue").asLong(),
                family.path("tells_wait").asBoolean(),
                family.path("resend").asLong());
    }

    private List<InjectedFault> readFaults() {
        List<InjectedFault> faults = new ArrayList<>();
        for (JsonNode entry : root.path("troubles")) {
            String kind = FAULT_KINDS.get(entry.path("kind").asText());
            long at = entry.path("at").asLong();
            long length = entry.path("len").asLong();
            double size = entry.path("size").asDouble();
            double extra = entry.path("extra").asDouble();
            List<Integer> on = exchangeNumbers(entry.path("on"));
            if (kind == null) {
                unmapped.add(
                        "trouble " + entry.path("kind").asText() + ": has no counterpart here");
            } else if (kind.equals("drain")) {
                for (JsonNode step : entry.path("steps")) {
                    // One fault of length 0 for each step: the machines of a step drain together.
                    faults.add(
                            new InjectedFault(
                                    kind,
                                    step.path("at").asLong(),
                                    0,
                                    exchangeNumbers(step.path("stop")),
                                    size,
                                    extra));
                }
            } else if (kind.equals("lost-circuits")) {
                for (int i = 0; i < exchangeCount; i++) {
                    if (zones[i] == entry.path("which").asInt()) {
                        on.add(i);
                    }
                }
                faults.add(new InjectedFault(kind, at, length, on, size, extra));
            } else {
                faults.add(new InjectedFault(kind, at, length, on, size, extra));
            }
        }
        return faults;
    }

    private List<Integer> exchangeNumbers(JsonNode list) {
        List<Integer> numbers = new ArrayList<>();
        for (JsonNode entry : list) {
            if (entry.asInt() < exchangeCount) {
                numbers.add(entry.asInt());
            } else {
                unmapped.add(
                        "trouble of machine "
                                + entry.asInt()
                                + ": a machine that replaces another keeps its "
                                + "number here");
            }
        }
        return numbers;
    }

    private void recordUnmappedSettings() {
        if (root.path("traffic").path("shape").size() > 1
                || root.path("traffic").path("burst_cv").asDouble() > 0) {
            unmapped.add(
                    "traffic.shape, burst_cv: the rate stays as planned but for troubles and"
                            + " drift");
        }
        if (root.path("tenants").size() > 0) {
            unmapped.add("tenants: all value counts, whoever's share it is of");
        }
        if (family.path("advice").asInt() > 0) {
            unmapped.add("fam.advice: no centre advises on tandems");
        }
        if (family.path("hot_redials").asInt() > 0) {
            unmapped.add("fam.hot_redials: numbers are drawn evenly, none is wanted by many");
        }
        unmapped.add("tiers.kinds.error_rate, pauses of machines: faults come from troubles alone");
        unmapped.add("allow.cpu_us_per_s: the router's own processor time is not limited");
    }
}
