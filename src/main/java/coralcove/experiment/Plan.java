package coralcove.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.baseline.Policies;
import coralcove.config.BadConfig;
import coralcove.config.Toml;
import coralcove.rehearsal.DayFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An experiment's plan: a day, factors of it with their levels, and seeds. Each combination of
 * levels is played on each seed, so that policies meet the same callers. Decides what is run, and
 * in which order; no I/O but reading its files.
 */
public final class Plan {
    /** Runs at most: a plan of more is a slip of the pen. */
    private static final int MOST_RUNS = 200_000;

    private static final int MOST_FACTORS = 8;
    private static final int MOST_LEVELS = 100;
    static final String POLICY = "policy";
    static final String TROUBLES = "troubles";

    /**
     * What is changed, and what to: {@code policy}, {@code troubles} (a name of the plan's sets),
     * or a key of the day.
     */
    public record Factor(String key, List<JsonNode> levels) {}

    /**
     * Stops a combination's seeds once each difference from {@code base} is known to {@code
     * halfWidth} of the value offered.
     */
    public record Stop(String factor, String base, double halfWidth, int leastSeeds) {}

    /**
     * What must hold: the share of value, that of the worst ten seconds, and whether rules must be
     * kept.
     */
    public record Goal(double share, double worst, boolean rules) {
        /**
         * Why it does not hold, or "": any run that failed or broke rules, else the means of all.
         */
        public String missed(List<Outcome> outcomes) {
            for (Outcome each : outcomes) {
                if (each.failed()) {
                    return each.id() + ": the run failed: " + each.error();
                }
                if (rules && each.number("broken") > 0) {
                    return each.id() + ": " + (long) each.number("broken") + " rules broken";
                }
            }
            String low = under("value served", mean(outcomes, "share"), share);
            return low.isEmpty()
                    ? under("worst ten seconds", mean(outcomes, "worst_10s"), worst)
                    : low;
        }

        private static double mean(List<Outcome> outcomes, String figure) {
            return outcomes.stream().mapToDouble(o -> o.number(figure)).average().orElse(0);
        }

        private static String under(String what, double found, double least) {
            return found < least
                    ? String.format(java.util.Locale.ROOT, "%s %.4f under %.4f", what, found, least)
                    : "";
        }
    }

    /**
     * One run: the levels of all factors by key, its seed, its policy, and the day to be played.
     */
    public record Run(Map<String, String> levels, long seed, String policy, ObjectNode day) {
        /** Its name among a plan's runs, and the order in which results are told. */
        public String id() {
            StringBuilder id = new StringBuilder();
            levels.forEach((key, level) -> id.append(key).append('=').append(level).append(' '));
            return id + String.format("seed=%06d", seed);
        }
    }

    private final Toml toml;
    private final String name;
    private final Path dayFile;
    private final ObjectNode day;
    private final List<Factor> factors = new ArrayList<>();
    private final Map<String, ArrayNode> troubles = new LinkedHashMap<>();
    private final int firstSeed;
    private final int seeds;
    private final double patience;
    private final boolean bounded;
    private final long mostBytes;
    private final Stop stop;
    private final Goal goal;

    /** Reads it and the day it names; each combination is checked as a day of its own. */
    public static Plan read(Path path) throws BadConfig {
        return new Plan(Toml.read(path), path.toAbsolutePath().getParent());
    }

    Plan(Toml toml, Path folder) throws BadConfig {
        this.toml = toml;
        Toml.Table main = toml.table("experiment");
        name = main.text("name");
        dayFile = folder.resolve(main.text("day")).normalize();
        Toml dayToml = Toml.read(dayFile);
        DayFile.of(dayToml, 1);
        day = (ObjectNode) dayToml.root();
        firstSeed = main.whole("first_seed", 1, 1_000_000, 1);
        seeds = main.whole("seeds", 1, 100_000, 10);
        patience = main.number("patience_s", 0.1, 86_400, 600);
        bounded = main.flag("bound", true);
        mostBytes = Math.round(main.number("most_mb", 1, 1e6, 500) * 1e6);
        if (toml.has("troubles")) {
            Toml.Table sets = toml.table("troubles");
            for (String key : sets.keys()) {
                if (!(sets.node(key) instanceof ArrayNode list)) {
                    throw sets.bad(key, "is no list of troubles");
                }
                troubles.put(key, list);
            }
        }
        List<Toml.Table> tables = toml.list("factor");
        if (tables.size() > MOST_FACTORS) {
            throw tables.get(MOST_FACTORS)
                    .bad("key", "is a factor too many: " + MOST_FACTORS + " at most");
        }
        Set<String> keys = new HashSet<>();
        for (Toml.Table each : tables) {
            Factor factor = factor(each);
            if (!keys.add(factor.key)) {
                throw each.bad("key", factor.key + " is a factor twice");
            }
            for (String other : keys) {
                boolean within =
                        other.startsWith(factor.key + ".") || factor.key.startsWith(other + ".");
                boolean both =
                        other.equals(TROUBLES) && factor.key.startsWith("trouble.")
                                || factor.key.equals(TROUBLES) && other.startsWith("trouble.");
                if (within || both) {
                    throw each.bad(
                            "key",
                            factor.key + " and " + other + " change the same part of the day");
                }
            }
            factors.add(factor);
        }
        stop = readStop();
        goal = readGoal();
        long runs = seeds;
        for (Factor each : factors) {
            runs *= each.levels.size();
        }
        if (runs > MOST_RUNS) {
            throw main.bad(
                    "seeds", "make " + runs + " runs of all levels: " + MOST_RUNS + " at most");
        }
        toml.nothingElse();
        check(tables);
    }

    private Factor factor(Toml.Table table) throws BadConfig {
        String key = table.text("key");
        JsonNode list = table.node("levels");
        if (!(list instanceof ArrayNode levels)
                || levels.isEmpty()
                || levels.size() > MOST_LEVELS) {
            throw table.bad("levels", "is no list of 1 to " + MOST_LEVELS + " levels");
        }
        List<JsonNode> found = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (JsonNode level : levels) {
            if (!level.isValueNode()) {
                throw table.bad("levels", level + " is no single value");
            }
            if (!seen.add(level.asText())) {
                throw table.bad("levels", level + " is there twice");
            }
            if (key.equals(POLICY) && !Policies.NAMES.contains(level.asText())) {
                throw table.bad(
                        "levels", level + " is no policy: " + String.join(", ", Policies.NAMES));
            }
            if (key.equals(TROUBLES) && !troubles.containsKey(level.asText())) {
                throw table.bad("levels", level + " is no set of [troubles]");
            }
            found.add(level);
        }
        if (key.equals("day.seed") || key.equals("seed")) {
            throw table.bad("key", "is no factor: seeds are drawn for each combination alike");
        }
        if (!key.equals(POLICY)
                && !key.equals(TROUBLES)
                && !key.matches("[a-z_]+(\\.\\d+)?\\.[a-z0-9_]+")) {
            throw table.bad(
                    "key",
                    key
                            + " is neither policy, troubles nor TABLE.KEY of the day"
                            + " (service.0.share for a list)");
        }
        return new Factor(key, found);
    }

    private Stop readStop() throws BadConfig {
        if (!toml.has("stop")) {
            return null;
        }
        Toml.Table table = toml.table("stop");
        String key = table.text("factor");
        Factor factor = factors.stream().filter(f -> f.key.equals(key)).findFirst().orElse(null);
        if (factor == null) {
            throw table.bad("factor", key + " is no factor of this plan");
        }
        String base = table.node("base") == null ? "" : table.node("base").asText();
        if (factor.levels.stream().noneMatch(l -> l.asText().equals(base))) {
            throw table.bad("base", "\"" + base + "\" is no level of " + key);
        }
        int least = table.whole("least_seeds", 2, 10_000, 8);
        if (least > seeds) {
            throw table.bad("least_seeds", "are more than all " + seeds);
        }
        return new Stop(key, base, table.number("half_width", 1e-6, 1), least);
    }

    private Goal readGoal() throws BadConfig {
        if (!toml.has("goal")) {
            return null;
        }
        Toml.Table table = toml.table("goal");
        return new Goal(
                table.number("share", 0, 1, 0),
                table.number("worst_10s", 0, 1, 0),
                table.flag("rules", true));
    }

    /** Levels that make no day together are told now, not after an hour of runs. */
    private void check(List<Toml.Table> tables) throws BadConfig {
        // Policies play the same day: drawing it once for each of them would make every start
        // longer.
        Set<ObjectNode> drawn = new HashSet<>();
        for (Run run : runs(firstSeed, 1)) {
            if (!drawn.add(run.day)) {
                continue;
            }
            try {
                DayFile.of(Toml.of(dayFile.toString(), run.day), run.seed);
            } catch (BadConfig e) {
                String why = e.getMessage().replaceFirst("^.*?:\\d+: ", "");
                // The factor that the reason names, or the first.
                int at = 0;
                for (int i = 0; i < factors.size(); i++) {
                    String last =
                            factors.get(i).key.substring(factors.get(i).key.lastIndexOf('.') + 1);
                    at = why.contains(last) ? i : at;
                }
                if (tables.isEmpty()) {
                    throw toml.table("experiment").bad("day", why);
                }
                throw tables.get(at)
                        .bad(
                                "levels",
                                "make no day with "
                                        + run.id().replaceAll(" seed=.*", "")
                                        + ": "
                                        + why);
            }
        }
    }

    public String name() {
        return name;
    }

    public List<Factor> factors() {
        return factors;
    }

    public int seeds() {
        return seeds;
    }

    public int firstSeed() {
        return firstSeed;
    }

    /** Seconds that a run may take. */
    public double patience() {
        return patience;
    }

    public boolean bounded() {
        return bounded;
    }

    /** Bytes that the store of results may grow to. */
    public long mostBytes() {
        return mostBytes;
    }

    /** Null where all seeds are run. */
    public Stop stop() {
        return stop;
    }

    /** Null where none is stated. */
    public Goal goal() {
        return goal;
    }

    public Toml toml() {
        return toml;
    }

    /**
     * All runs of {@code count} seeds from {@code first} on: seed by seed, so that a part of them
     * is a whole experiment.
     */
    public List<Run> runs(int first, int count) {
        List<Run> runs = new ArrayList<>();
        for (int seed = first; seed < first + count; seed++) {
            combine(0, new LinkedHashMap<>(), seed, runs);
        }
        return runs;
    }

    private void combine(int at, Map<String, JsonNode> chosen, int seed, List<Run> runs) {
        if (at == factors.size()) {
            runs.add(run(chosen, seed));
            return;
        }
        Factor factor = factors.get(at);
        for (JsonNode level : factor.levels) {
            chosen.put(factor.key, level);
            combine(at + 1, chosen, seed, runs);
        }
        chosen.remove(factor.key);
    }

    private Run run(Map<String, JsonNode> chosen, long seed) {
        ObjectNode changed = day.deepCopy();
        Map<String, String> levels = new LinkedHashMap<>();
        String policy = "choice";
        for (Map.Entry<String, JsonNode> each : chosen.entrySet()) {
            levels.put(each.getKey(), each.getValue().asText());
            if (each.getKey().equals(POLICY)) {
                policy = each.getValue().asText();
            } else if (each.getKey().equals(TROUBLES)) {
                changed.set("trouble", troubles.get(each.getValue().asText()).deepCopy());
            } else {
                set(changed, each.getKey(), each.getValue());
            }
        }
        return new Run(levels, seed, policy, changed);
    }

    /** This run's day with one value changed; for a search along a key that is no factor. */
    public Run with(Run run, String key, double value) {
        ObjectNode changed = run.day.deepCopy();
        set(changed, key, changed.numberNode(value));
        return varied(run, key, Double.toString(value), changed);
    }

    /** This run's day with these of its troubles only. */
    public Run with(Run run, List<Integer> kept) {
        ObjectNode changed = run.day.deepCopy();
        ArrayNode all = run.day.withArray("trouble");
        ArrayNode some = changed.putArray("trouble");
        kept.forEach(each -> some.add(all.get(each)));
        return varied(run, "kept", kept.toString(), changed);
    }

    private static Run varied(Run run, String key, String level, ObjectNode day) {
        Map<String, String> levels = new LinkedHashMap<>(run.levels);
        levels.put(key, level);
        return new Run(levels, run.seed, run.policy, day);
    }

    private static void set(ObjectNode day, String key, JsonNode value) {
        String[] path = key.split("\\.");
        JsonNode table = day.get(path[0]);
        if (path.length == 3) {
            int place = Integer.parseInt(path[1]);
            if (table instanceof ArrayNode list
                    && place < list.size()
                    && list.get(place) instanceof ObjectNode entry) {
                entry.set(path[2], value);
                return;
            }
            // A key that nothing knows: the day's own check tells it.
            day.putObject(path[0] + "." + path[1]).set(path[2], value);
            return;
        }
        ObjectNode to = table instanceof ObjectNode object ? object : day.putObject(path[0]);
        to.set(path[1], value);
    }
}
