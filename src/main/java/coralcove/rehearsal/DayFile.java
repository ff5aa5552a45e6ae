package coralcove.rehearsal;

import coralcove.config.BadConfig;
import coralcove.config.ServiceTable;
import coralcove.config.Toml;
import coralcove.edge.NumbersFile;
import coralcove.exchange.Arrival;
import coralcove.exchange.ExchangeSettings;
import coralcove.judge.Rules;
import coralcove.network.VirtualNetwork.Weather;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Reads a TOML day and draws from its seed what the file leaves to chance: pulls, group sizes,
 * callers.
 */
public final class DayFile {
    private static final int MOST_EXCHANGES = 500;

    private DayFile() {}

    public static Day read(Path path, long seed) throws BadConfig {
        return of(Toml.read(path), seed);
    }

    /** A seed of 0 takes the file's own. */
    public static Day of(Toml toml, long seed) throws BadConfig {
        Toml.Table day = toml.table("day");
        String name = day.text("name");
        long length = day.seconds("length_s", 1, 3600);
        long own = day.whole("seed", 1, Integer.MAX_VALUE, 1);
        RandomGenerator chance = new SplittableRandom(seed == 0 ? own : seed);
        Toml.Table size = toml.table("size");
        int n = size.whole("exchanges", 2, MOST_EXCHANGES);
        int districts = size.whole("districts", 1, n, 1);
        int[] zones = new int[n];
        for (int i = 0; i < n; i++) {
            zones[i] = i % districts;
        }
        List<Day.Service> services = new ArrayList<>();
        List<Traffic.Mix> mix = new ArrayList<>();
        List<Toml.Table> tables = toml.list("service");
        Path folder = Path.of(toml.file()).toAbsolutePath().getParent();
        for (ServiceTable each : ServiceTable.read(toml, true)) {
            services.add(
                    new Day.Service(
                            each.name(),
                            each.target(),
                            each.limit(),
                            each.value(),
                            each.lateValue(),
                            each.width(),
                            each.hold()));
            mix.add(
                    new Traffic.Mix(
                            each.share(),
                            each.hold(),
                            HoldLaw.read(tables.get(mix.size()), folder)));
        }
        List<Trouble> troubles = troubles(toml, zones, length);
        Toml.Table traffic = toml.table("traffic");
        double load = traffic.number("load", 0.01, 10, 1);
        double perSecond = traffic.number("sessions_per_s", 0.01, 100_000);
        double missed = traffic.number("missed_cv", 0, 2, 0);
        double spare = traffic.number("spare", 0, 1000, 0.3);
        double unlinked = traffic.number("unlinked", 0, 0.9, 0);
        double[][] plan =
                pulls(
                        n,
                        zones,
                        traffic.number("pair_cv", 0, 2, 0.3),
                        traffic.number("local", 0.1, 10, 1),
                        chance);
        double each = perSecond / n;
        int[][] groups = groups(plan, each, mix, services, spare, unlinked, chance);
        double[][] pull = new double[n][n];
        for (int i = 0; i < n; i++) {
            for (int j = 0; j < n; j++) {
                pull[i][j] = plan[i][j] * Traffic.spread(chance, missed);
            }
        }
        double[] rates = new double[n];
        Arrays.fill(rates, each * load);
        double[] factors = traffic.numbers("profile", 0, 20);
        long step = traffic.seconds("profile_step_s", 0.1, 3600, 3600);
        if (factors.length > 0 && factors.length * step < length) {
            throw traffic.bad("profile", "ends before the day does");
        }
        Traffic drawn =
                new Traffic(
                        chance,
                        pull,
                        mix,
                        troubles,
                        length,
                        traffic.seconds("drift_s", 0, 3600, 0),
                        traffic.number("drift_cv", 0, 2, 0),
                        factors.length == 0
                                ? Traffic.Shape.FLAT
                                : new Traffic.Shape(factors, step));
        double[] speeds = new double[n];
        Arrays.fill(speeds, 1);
        int hotLines = traffic.whole("hot_lines", 1, 1000, 8);
        ExchangeSettings.Work work = work(toml.table("processor"), each);
        Day.Router router = router(toml.table("router"));
        Toml.Table callers = toml.table("callers");
        ExchangeSettings.Callers habits =
                new ExchangeSettings.Callers(
                        callers.whole("redials", 0, 10, 2),
                        callers.number("try_share", 0.01, 1, 0.35),
                        callers.millis("backoff_ms", 1, 60_000, 700),
                        callers.number("honour", 0, 1, 0.7),
                        router.redialsMarked());
        Toml.Table late = toml.table("directory");
        Day.Late lateness =
                new Day.Late(
                        late.millis("notice_ms", 0, 60_000, 1000),
                        late.millis("silence_ms", 1500, 120_000, 8000),
                        late.millis("add_ms", 0, 60_000, 800));
        int directories = late.whole("count", 1, Day.MOST_DIRECTORIES, 1);
        long dnsLife = late.whole("dns_life_s", 0, 86_400, 0);
        if (dnsLife == 0 && troubles.stream().anyMatch(t -> t.kind().startsWith("dns"))) {
            throw late.bad("dns_life_s", "is 0 or missing, and a trouble of DNS needs it");
        }
        Rules rules = rules(toml.table("rules"), work);
        Toml.Table net = toml.table("net");
        Weather weather =
                new Weather(
                        net.millis("near_ms", 0.001, 1000, 0.1),
                        net.millis("same_ms", 0.001, 1000, 1),
                        net.millis("cross_ms", 0.001, 1000, 5),
                        net.number("jitter", 0, 0.9, 0.1),
                        net.number("loss", 0, 0.9, 0),
                        net.number("doubled", 0, 0.9, 0),
                        net.number("reordered", 0, 0.9, 0),
                        net.number("reset", 0, 0.5, 0));
        String transport = net.oneOf("transport", List.of("udp", "tcp", "mixed"), "udp");
        Day.Numbers numbers = toml.has("numbers") ? numbers(toml.table("numbers")) : null;
        if (numbers == null
                && troubles.stream().anyMatch(t -> t.kind().startsWith("portability"))) {
            throw toml.table("numbers")
                    .bad("ported", "is missing, and a trouble of the portability server needs it");
        }
        Toml.Table apart = toml.has("planner") ? toml.table("planner") : null;
        boolean ahead = apart != null && apart.flag("ahead", false);
        Day.Planners planners =
                apart != null && apart.flag("apart", true) ? new Day.Planners(ahead) : null;
        if (planners == null && troubles.stream().anyMatch(t -> t.kind().startsWith("planner"))) {
            throw toml.table("planner")
                    .bad("apart", "is not true, and a trouble of the planners needs it");
        }
        toml.nothingElse();
        List<List<Arrival>> arrivals = drawn.draw(rates);
        if (numbers != null) {
            DialPlan dials = new DialPlan(n, numbers);
            arrivals =
                    arrivals.stream()
                            .map(
                                    list ->
                                            list.stream()
                                                    .map(
                                                            a ->
                                                                    new Arrival(
                                                                            a.at(),
                                                                            a.service(),
                                                                            a.farEnd(),
                                                                            a.number(),
                                                                            a.hold(),
                                                                            dials.dial(
                                                                                    a.farEnd(),
                                                                                    chance)))
                                                    .toList())
                            .toList();
        }
        return new Day(
                name,
                length,
                zones,
                groups,
                arrivals,
                services,
                work,
                speeds,
                habits,
                hotLines,
                lateness,
                rules,
                router,
                weather,
                transport,
                troubles,
                List.of(),
                numbers,
                planners,
                directories,
                dnsLife);
    }

    private static Day.Numbers numbers(Toml.Table table) throws BadConfig {
        return new Day.Numbers(
                table.number("ported", 0, 1, 0),
                table.whole("lines", 1, 100_000, 1000),
                table.whole("beside", 0, 5_000_000, 0),
                table.seconds("replace_s", 0, 3600, 0),
                table.millis("server_ms", 0.001, 10_000, 4),
                table.whole("life_s", 1, 86_400, 300),
                table.whole("most_tables", 1, 100, 4),
                NumbersFile.porting(table));
    }

    private static List<Trouble> troubles(Toml toml, int[] zones, long length) throws BadConfig {
        List<Trouble> troubles = new ArrayList<>();
        for (Toml.Table each : toml.list("trouble")) {
            List<Integer> on = new ArrayList<>();
            for (int number : each.wholes("on", 0, zones.length - 1)) {
                on.add(number);
            }
            // All of a district fail together: a power cut, a cable, a flood.
            int last = Arrays.stream(zones).max().orElse(0);
            int district = each.whole("district", 0, last, -1);
            if (district >= 0 && !on.isEmpty()) {
                throw each.bad("district", "and on are both there: which exchanges are meant?");
            }
            for (int number = 0; number < zones.length && district >= 0; number++) {
                if (zones[number] == district) {
                    on.add(number);
                }
            }
            String kind = each.oneOf("kind", Trouble.KINDS, "");
            long at = each.seconds("at_s", 0, 3600);
            if (at >= length) {
                throw each.bad("at_s", "is past the end of the day");
            }
            if (on.isEmpty()
                    && List.of("swamped", "death", "drain", "router-death", "ageing", "mass-call")
                            .contains(kind)) {
                throw each.bad("on", "names no exchange, and a " + kind + " needs one");
            }
            double most = List.of("lost-answers", "other-work").contains(kind) ? 1 : 1e6;
            troubles.add(
                    new Trouble(
                            kind,
                            at,
                            each.seconds("len_s", 0.01, 3600),
                            on,
                            each.number("size", 0, most, 1),
                            each.number("extra", 0, 1e6, 0)));
        }
        return troubles;
    }

    private static double[][] pulls(
            int n, int[] zones, double cv, double local, RandomGenerator chance) {
        double[][] pull = new double[n][n];
        for (int i = 0; i < n; i++) {
            double sum = 0;
            for (int j = 0; j < n; j++) {
                pull[i][j] =
                        i == j
                                ? 0
                                : Traffic.spread(chance, cv) * (zones[i] == zones[j] ? local : 1);
                sum += pull[i][j];
            }
            for (int j = 0; j < n; j++) {
                pull[i][j] /= sum;
            }
        }
        return pull;
    }

    /**
     * Planned circuits and a share of their root to spare; thin pairs are left without, their load
     * on others.
     */
    private static int[][] groups(
            double[][] plan,
            double each,
            List<Traffic.Mix> mix,
            List<Day.Service> services,
            double spare,
            double unlinked,
            RandomGenerator chance) {
        int n = plan.length;
        double shares = mix.stream().mapToDouble(Traffic.Mix::share).sum();
        double erlangs = 0;
        for (int s = 0; s < mix.size(); s++) {
            erlangs +=
                    each
                            * mix.get(s).share()
                            / shares
                            * mix.get(s).hold()
                            / 1e6
                            * services.get(s).width();
        }
        double[][] load = new double[n][n];
        List<int[]> pairs = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            for (int j = i + 1; j < n; j++) {
                load[i][j] = (plan[i][j] + plan[j][i]) * erlangs;
                pairs.add(new int[] {i, j});
            }
        }
        pairs.sort((a, b) -> Double.compare(load[a[0]][a[1]], load[b[0]][b[1]]));
        int cut = n < 3 ? 0 : (int) (unlinked * pairs.size());
        for (int[] pair : pairs.subList(0, cut)) {
            int over = chance.nextInt(n);
            while (over == pair[0] || over == pair[1]) {
                over = chance.nextInt(n);
            }
            double moved = load[pair[0]][pair[1]];
            load[pair[0]][pair[1]] = 0;
            load[Math.min(pair[0], over)][Math.max(pair[0], over)] += moved;
            load[Math.min(pair[1], over)][Math.max(pair[1], over)] += moved;
        }
        int[][] groups = new int[n][n];
        for (int[] pair : pairs) {
            double planned = load[pair[0]][pair[1]];
            int size = planned <= 0 ? 0 : (int) Math.ceil(planned + spare * Math.sqrt(planned));
            groups[pair[0]][pair[1]] = size;
            groups[pair[1]][pair[0]] = size;
        }
        return groups;
    }

    /** Work in µs from the use of the processor at load 1, all sessions direct. */
    private static ExchangeSettings.Work work(Toml.Table table, double each) throws BadConfig {
        double use = table.number("use", 0.001, 0.99, 0.7);
        double look = table.number("look", 0, 5, 0.2);
        double follow = table.number("follow", 0, 5, 0.35);
        double setUp = 1e6 * use / (each * (look + 2 + 4 * follow));
        return new ExchangeSettings.Work(
                (long) (look * setUp),
                (long) setUp,
                (long) (follow * setUp),
                (long) (follow * setUp),
                (long) (table.number("reject", 0, 5, 0.2) * setUp),
                (long) (table.number("repeat", 0, 5, 0.4) * setUp),
                table.millis("probe_ms", 0, 1000, 0.3),
                table.millis("queue_ms", 1, 60_000, 2000),
                table.flag("tells_wait", true),
                table.millis("resend_ms", 0, 60_000, 0));
    }

    private static Rules rules(Toml.Table table, ExchangeSettings.Work work) throws BadConfig {
        return new Rules(
                table.millis("answer_grace_ms", 0, 10_000, 20),
                table.millis("drain_grace_ms", 0, 60_000, 1000),
                table.millis("release_ms", 0, 60_000, 300),
                table.number("fall_multiple", 1, 100, 3),
                table.millis("fall_ms", 1, 60_000, 1500),
                table.number("cold_from", 0.01, 1, 0.32),
                table.seconds("warm_s", 0.01, 600, 12),
                1e6 / work.setUp());
    }

    private static Day.Router router(Toml.Table table) throws BadConfig {
        return new Day.Router(
                table.whole("invites", 1, 20, 4),
                table.millis("come_back_ms", 0, 60_000, 2000),
                table.flag("peers", true),
                table.flag("redials_marked", true),
                table.millis("answer_margin_ms", 0, 5000, 20),
                table.whole("max_open", 1, 1_000_000, 20_000));
    }
}
