package coralcove.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import coralcove.config.BadConfig;
import coralcove.exchange.ExchangeSettings;
import coralcove.judge.Rules;
import coralcove.network.VirtualNetwork.Weather;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Reads a day as the operators' bench draws it and maps sizes, traffic and troubles to a day of
 * ours; what has no counterpart here is listed in {@link Day#unmapped}. Its times are µs.
 */
public final class BenchDay {
    /** µs: distance of a router's own exchange, which the bench does not model. */
    private static final long NEAR = 50;

    private static final Map<String, String> KINDS =
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
    private final JsonNode fam;
    private final TreeSet<String> unmapped = new TreeSet<>();
    private final int n;
    private final int[] zones;

    private BenchDay(JsonNode root) {
        this.root = root;
        fam = root.path("fam");
        n = fam.path("n").asInt();
        zones = new int[n];
        for (int i = 0; i < n; i++) {
            zones[i] = root.path("servers").path(i).path("zone").asInt();
        }
    }

    public static Day read(Path path, long seed) throws BadConfig, IOException {
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(path.toFile());
        } catch (com.fasterxml.jackson.core.JacksonException e) {
            throw new BadConfig(
                    path
                            + ":"
                            + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
                            + ": no JSON: "
                            + e.getOriginalMessage());
        }
        return of(path.toString(), root, seed);
    }

    static Day of(String file, JsonNode root, long seed) throws BadConfig {
        if (!root.path("family").asText().equals("trunks")
                || root.path("fam").path("n").asInt() < 2
                || root.path("fam").path("pools").asBoolean()) {
            throw new BadConfig(file + ":1: family: no day of a mesh of exchanges");
        }
        return new BenchDay(root).day(seed);
    }

    private Day day(long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        List<Day.Service> services = new ArrayList<>();
        List<Traffic.Mix> mix = new ArrayList<>();
        int at = 0;
        for (JsonNode each : root.path("classes")) {
            long hold = fam.path("hold").path(at).asLong();
            services.add(
                    new Day.Service(
                            each.path("name").asText(),
                            each.path("aim").asLong(),
                            each.path("deadline").asLong(),
                            each.path("worth").asDouble(),
                            each.path("late_worth").asDouble(),
                            fam.path("width").path(at).asInt(1),
                            hold));
            mix.add(new Traffic.Mix(each.path("share").asDouble(), hold));
            at++;
        }
        List<Trouble> troubles = troubles();
        double weights = 0;
        for (int i = 0; i < n; i++) {
            weights += weight(i);
        }
        double[] rates = new double[n];
        double[] speeds = new double[n];
        double[][] pull = new double[n][n];
        int[][] groups = new int[n][n];
        double load = root.path("traffic").path("load").asDouble();
        for (int i = 0; i < n; i++) {
            rates[i] = fam.path("capacity").asDouble() * load * weight(i) / weights;
            speeds[i] = root.path("servers").path(i).path("speed").asDouble(1);
            for (int j = 0; j < n; j++) {
                pull[i][j] = fam.path("pull").path(i).path(j).asDouble();
                // A group is listed once, at the end with the lower number.
                groups[i][j] = fam.path("size").path(Math.min(i, j) * n + Math.max(i, j)).asInt();
            }
        }
        long length = root.path("length").asLong();
        Traffic traffic =
                new Traffic(
                        chance,
                        pull,
                        mix,
                        troubles,
                        length,
                        fam.path("drift").asLong(),
                        fam.path("drift_cv").asDouble());
        left();
        JsonNode clients = root.path("clients");
        JsonNode list = root.path("discovery");
        JsonNode allow = root.path("allow");
        boolean marks = clients.path("marks_retry").asBoolean();
        ExchangeSettings.Callers callers =
                new ExchangeSettings.Callers(
                        clients.path("retries").asInt(),
                        clients.path("try_share").asDouble(),
                        Math.max(1, clients.path("backoff_us").asLong()),
                        clients.path("honour").asDouble(),
                        marks);
        JsonNode tier = root.path("tiers").path(0);
        ExchangeSettings.Work work = work(tier);
        Rules rules =
                new Rules(
                        20_000,
                        root.path("drain_grace").asLong(),
                        fam.path("release").asLong(),
                        root.path("fall_multiple").asDouble(),
                        root.path("fall_for").asLong(),
                        tier.path("stated_cold_from").asDouble(),
                        tier.path("stated_cold").asLong(),
                        1e6 / work.setUp() * mean(speeds));
        Weather weather =
                new Weather(
                        NEAR,
                        root.path("net").path("same").asLong(),
                        Math.max(1, root.path("net").path("cross").asLong()),
                        root.path("net").path("jitter").asDouble(),
                        0,
                        0,
                        0,
                        0);
        Day.Router router =
                new Day.Router(
                        allow.path("max_attempts").asInt(),
                        allow.path("retry_after").asBoolean()
                                ? clients.path("max_retry_after").asLong()
                                : 0,
                        allow.path("peers").asBoolean(),
                        marks,
                        20_000,
                        allow.path("max_open").asInt(20_000));
        return new Day(
                root.path("site").asText() + " " + root.path("kind").asText(),
                length,
                zones,
                groups,
                traffic.draw(rates),
                services,
                work,
                speeds,
                callers,
                Math.max(1, fam.path("hot_lines").asInt()),
                new Day.Late(
                        list.path("notice").asLong(),
                        Math.max(1_500_000, list.path("silent_notice").asLong()),
                        list.path("add").asLong()),
                rules,
                router,
                weather,
                "udp",
                troubles,
                List.copyOf(unmapped),
                null,
                null,
                1,
                0);
    }

    private double weight(int i) {
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
     * The bench counts work in set-ups; a set-up's own work is that of the first class at speed 1.
     */
    private ExchangeSettings.Work work(JsonNode tier) {
        double setUp = root.path("classes").path(0).path("work").asDouble();
        return new ExchangeSettings.Work(
                (long) (setUp * fam.path("look").asDouble()),
                (long) setUp,
                (long) (setUp * fam.path("follow").asDouble()),
                (long) (setUp * fam.path("follow").asDouble()),
                (long) (setUp * fam.path("reject").asDouble()),
                (long) (setUp * fam.path("repeat").asDouble()),
                tier.path("probe_work").asLong(),
                fam.path("queue").asLong(),
                fam.path("tells_wait").asBoolean(),
                fam.path("resend").asLong());
    }

    private List<Trouble> troubles() {
        List<Trouble> found = new ArrayList<>();
        for (JsonNode each : root.path("troubles")) {
            String kind = KINDS.get(each.path("kind").asText());
            long at = each.path("at").asLong();
            long length = each.path("len").asLong();
            double size = each.path("size").asDouble();
            double extra = each.path("extra").asDouble();
            List<Integer> on = numbers(each.path("on"));
            if (kind == null) {
                unmapped.add("trouble " + each.path("kind").asText() + ": has no counterpart here");
            } else if (kind.equals("drain")) {
                for (JsonNode step : each.path("steps")) {
                    // One trouble a step, of no length: the machines of a step drain together.
                    found.add(
                            new Trouble(
                                    kind,
                                    step.path("at").asLong(),
                                    0,
                                    numbers(step.path("stop")),
                                    size,
                                    extra));
                }
            } else if (kind.equals("lost-circuits")) {
                for (int i = 0; i < n; i++) {
                    if (zones[i] == each.path("which").asInt()) {
                        on.add(i);
                    }
                }
                found.add(new Trouble(kind, at, length, on, size, extra));
            } else {
                found.add(new Trouble(kind, at, length, on, size, extra));
            }
        }
        return found;
    }

    private List<Integer> numbers(JsonNode list) {
        List<Integer> numbers = new ArrayList<>();
        for (JsonNode each : list) {
            if (each.asInt() < n) {
                numbers.add(each.asInt());
            } else {
                unmapped.add(
                        "trouble of machine "
                                + each.asInt()
                                + ": a machine that replaces another keeps its "
                                + "number here");
            }
        }
        return numbers;
    }

    private void left() {
        if (root.path("traffic").path("shape").size() > 1
                || root.path("traffic").path("burst_cv").asDouble() > 0) {
            unmapped.add(
                    "traffic.shape, burst_cv: the rate stays as planned but for troubles and"
                            + " drift");
        }
        if (root.path("tenants").size() > 0) {
            unmapped.add("tenants: all value counts, whoever's share it is of");
        }
        if (fam.path("advice").asInt() > 0) {
            unmapped.add("fam.advice: no centre advises on tandems");
        }
        if (fam.path("hot_redials").asInt() > 0) {
            unmapped.add("fam.hot_redials: numbers are drawn evenly, none is wanted by many");
        }
        unmapped.add("tiers.kinds.error_rate, pauses of machines: faults come from troubles alone");
        unmapped.add("allow.cpu_us_per_s: the router's own processor time is not limited");
    }
}
