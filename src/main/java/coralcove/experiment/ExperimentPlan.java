package coralcove.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.baseline.RoutingPolicies;
import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import coralcove.rehearsal.ScenarioFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The plan of an experiment: a day, factors with their levels, and seeds. Each combination of
 * levels is run with each seed, so that all policies serve the same callers. It determines the runs
 * and their order; its only I/O is reading its files.
 */
public final class ExperimentPlan {
    /** Greatest number of runs; a plan with more is taken for a mistake. */
    private static final int MAX_RUNS = 200_000;

    private static final int MAX_FACTORS = 8;
    private static final int MAX_LEVELS = 100;
    static final String POLICY_KEY = "policy";
    static final String TROUBLES_KEY = "troubles";

    /**
     * A factor and its levels. The key is {@code policy}, {@code troubles} (the levels name sets of
     * faults of the plan), or a key of the day.
     */
    public record Factor(String key, List<JsonNode> levels) {}

    /**
     * Ends the experiment before all seeds are run, once the confidence interval of each difference
     * from the base level has the half width {@code halfWidth}, as a share of the value offered.
     */
    public record StoppingRule(
            String factorKey, String baseLevel, double halfWidth, int minSeeds) {}

    /**
     * The goal that a search tests.
     *
     * @param minShare least mean share of the offered value that is served
     * @param minWorstShare least mean share of the worst ten seconds
     * @param rulesRequired whether no run may break a rule
     */
    public record Goal(double minShare, double minWorstShare, boolean rulesRequired) {
        /**
         * Returns why the outcomes miss the goal, or an empty string if they reach it. A run that
         * failed or broke rules misses it; otherwise the means over all runs decide.
         */
        public String violation(List<Outcome> outcomes) {
            for (Outcome outcome : outcomes) {
                if (outcome.failed()) {
                    return outcome.id() + ": the run failed: " + outcome.error();
                }
                if (rulesRequired && outcome.metric("broken") > 0) {
                    return outcome.id() + ": " + (long) outcome.metric("broken") + " rules broken";
                }
            }
            String reason = shortfall("value served", mean(outcomes, "share"), minShare);
            return reason.isEmpty()
                    ? shortfall("worst ten seconds", mean(outcomes, "worst_10s"), minWorstShare)
                    : reason;
        }

        private static double mean(List<Outcome> outcomes, String metric) {
            return outcomes.stream()
                    .mapToDouble(outcome -> outcome.metric(metric))
                    .average()
                    .orElse(0);
        }

        private static String shortfall(String name, double value, double min) {
            return value < min
                    ? String.format(java.util.Locale.ROOT, "%s %.4f under %.4f", name, value, min)
                    : "";
        }
    }

    /**
     * One run.
     *
     * @param levels levels of all factors, by the key of the factor
     * @param policy name of the routing policy
     * @param day settings of the day with the levels applied
     */
    public record Run(Map<String, String> levels, long seed, String policy, ObjectNode day) {
        /** Name of the run, unique in its plan; results are sorted by it. */
        public String id() {
            StringBuilder id = new StringBuilder();
            levels.forEach((key, level) -> id.append(key).append('=').append(level).append(' '));
            return id + String.format("seed=%06d", seed);
        }
    }

    private final TomlSettings toml;
    private final String name;
    private final Path dayFile;
    private final ObjectNode day;
    private final List<Factor> factors = new ArrayList<>();
    private final Map<String, ArrayNode> troubleSets = new LinkedHashMap<>();
    private final int firstSeed;
    private final int seeds;
    private final double runTimeoutSeconds;
    private final boolean boundRequired;
    private final long maxResultBytes;
    private final StoppingRule stoppingRule;
    private final Goal goal;

    /**
     * Reads a plan and the day that it names, and checks that each combination of levels makes a
     * valid day.
     */
    public static ExperimentPlan read(Path path) throws BadConfig {
        return new ExperimentPlan(TomlSettings.read(path), path.toAbsolutePath().getParent());
    }

    ExperimentPlan(TomlSettings toml, Path folder) throws BadConfig {
        this.toml = toml;
        TomlSettings.Table experiment = toml.table("experiment");
        name = experiment.text("name");
        dayFile = folder.resolve(experiment.text("day")).normalize();
        TomlSettings dayToml = TomlSettings.read(dayFile);
        ScenarioFile.parse(dayToml, 1);
        day = (ObjectNode) dayToml.root();
        firstSeed = experiment.integer("first_seed", 1, 1_000_000, 1);
        seeds = experiment.integer("seeds", 1, 100_000, 10);
        runTimeoutSeconds = experiment.number("patience_s", 0.1, 86_400, 600);
        boundRequired = experiment.flag("bound", true);
        maxResultBytes = Math.round(experiment.number("most_mb", 1, 1e6, 500) * 1e6);
        if (toml.has("troubles")) {
            TomlSettings.Table sets = toml.table("troubles");
            for (String key : sets.keys()) {
                if (!(sets.node(key) instanceof ArrayNode list)) {
                    throw sets.invalid(key, "is no list of troubles");
                }
                troubleSets.put(key, list);
            }
        }
        List<TomlSettings.Table> tables = toml.list("factor");
        if (tables.size() > MAX_FACTORS) {
            throw tables.get(MAX_FACTORS)
                    .invalid("key", "is a factor too many: " + MAX_FACTORS + " at most");
        }
        Set<String> keys = new HashSet<>();
        for (TomlSettings.Table table : tables) {
            Factor factor = readFactor(table);
            if (!keys.add(factor.key)) {
                throw table.invalid("key", factor.key + " is a factor twice");
            }
            for (String other : keys) {
                boolean oneContainsOther =
                        other.startsWith(factor.key + ".") || factor.key.startsWith(other + ".");
                boolean bothChangeTroubles =
                        other.equals(TROUBLES_KEY) && factor.key.startsWith("trouble.")
                                || factor.key.equals(TROUBLES_KEY) && other.startsWith("trouble.");
                if (oneContainsOther || bothChangeTroubles) {
                    throw table.invalid(
                            "key",
                            factor.key + " and " + other + " change the same part of the day");
                }
            }
            factors.add(factor);
        }
        stoppingRule = readStoppingRule();
        goal = readGoal();
        long runs = seeds;
        for (Factor factor : factors) {
            runs *= factor.levels.size();
        }
        if (runs > MAX_RUNS) {
            throw experiment.invalid(
                    "seeds", "make " + runs + " runs of all levels: " + MAX_RUNS + " at most");
        }
        toml.rejectUnknownKeys();
        checkDays(tables);
    }

    private Factor readFactor(TomlSettings.Table table) throws BadConfig {
        String key = table.text("key");
        JsonNode list = table.node("levels");
        if (!(list instanceof ArrayNode levels) || levels.isEmpty() || levels.size() > MAX_LEVELS) {
            throw table.invalid("levels", "is no list of 1 to " + MAX_LEVELS + " levels");
        }
        List<JsonNode> accepted = new ArrayList<>();
        Set<String> distinct = new HashSet<>();
        for (JsonNode level : levels) {
            if (!level.isValueNode()) {
                throw table.invalid("levels", level + " is no single value");
            }
            if (!distinct.add(level.asText())) {
                throw table.invalid("levels", level + " is there twice");
            }
            if (key.equals(POLICY_KEY) && !RoutingPolicies.NAMES.contains(level.asText())) {
                throw table.invalid(
                        "levels",
                        level + " is no policy: " + String.join(", ", RoutingPolicies.NAMES));
            }
            if (key.equals(TROUBLES_KEY) && !troubleSets.containsKey(level.asText())) {
                throw table.invalid("levels", level + " is no set of [troubles]");
            }
            accepted.add(level);
        }
        if (key.equals("day.seed") || key.equals("seed")) {
            throw table.invalid("key", "is no factor: seeds are drawn for each combination alike");
        }
        if (!key.equals(POLICY_KEY)
                && !key.equals(TROUBLES_KEY)
                && !key.matches("[a-z_]+(\\.\\d+)?\\.[a-z0-9_]+")) {
            throw table.invalid(
                    "key",
                    key
                            + " is neither policy, troubles nor TABLE.KEY of the day"
                            + " (service.0.share for a list)");
        }
        return new Factor(key, accepted);
    }

    private StoppingRule readStoppingRule() throws BadConfig {
        if (!toml.has("stop")) {
            return null;
        }
        TomlSettings.Table table = toml.table("stop");
        String key = table.text("factor");
        Factor factor =
                factors.stream().filter(each -> each.key.equals(key)).findFirst().orElse(null);
        if (factor == null) {
            throw table.invalid("factor", key + " is no factor of this plan");
        }
        String baseLevel = table.node("base") == null ? "" : table.node("base").asText();
        if (factor.levels.stream().noneMatch(level -> level.asText().equals(baseLevel))) {
            throw table.invalid("base", "\"" + baseLevel + "\" is no level of " + key);
        }
        int minSeeds = table.integer("least_seeds", 2, 10_000, 8);
        if (minSeeds > seeds) {
            throw table.invalid("least_seeds", "are more than all " + seeds);
        }
        return new StoppingRule(key, baseLevel, table.number("half_width", 1e-6, 1), minSeeds);
    }

    private Goal readGoal() throws BadConfig {
        if (!toml.has("goal")) {
            return null;
        }
        TomlSettings.Table table = toml.table("goal");
        return new Goal(
                table.number("share", 0, 1, 0),
                table.number("worst_10s", 0, 1, 0),
                table.flag("rules", true));
    }

    /**
     * Checks that each combination of levels makes a valid day, so that an error is reported before
     * the first run.
     */
    private void checkDays(List<TomlSettings.Table> tables) throws BadConfig {
        // Runs that differ in the policy only have the same day, which is checked once, since it
        // takes time to generate.
        Set<ObjectNode> checkedDays = new HashSet<>();
        for (Run run : runs(firstSeed, 1)) {
            if (!checkedDays.add(run.day)) {
                continue;
            }
            try {
                ScenarioFile.parse(TomlSettings.from(dayFile.toString(), run.day), run.seed);
            } catch (BadConfig e) {
                String reason = e.getMessage().replaceFirst("^.*?:\\d+: ", "");
                // The error is reported for the factor that the reason names, or for the first one.
                int factorIndex = 0;
                for (int i = 0; i < factors.size(); i++) {
                    String lastPart =
                            factors.get(i).key.substring(factors.get(i).key.lastIndexOf('.') + 1);
                    factorIndex = reason.contains(lastPart) ? i : factorIndex;
                }
                if (tables.isEmpty()) {
                    throw toml.table("experiment").invalid("day", reason);
                }
                throw tables.get(factorIndex)
                        .invalid(
                                "levels",
                                "make no day with "
                                        + run.id().replaceAll(" seed=.*", "")
                                        + ": "
                                        + reason);
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

    /** Seconds after which a run is aborted. */
    public double runTimeoutSeconds() {
        return runTimeoutSeconds;
    }

    /** Whether the upper bound of each run's demand is computed. */
    public boolean boundRequired() {
        return boundRequired;
    }

    /** Size of the result store, in bytes, from which no more runs are executed. */
    public long maxResultBytes() {
        return maxResultBytes;
    }

    /** Returns the stopping rule, or null if all seeds are run. */
    public StoppingRule stoppingRule() {
        return stoppingRule;
    }

    /** Returns the goal, or null if the plan has none. */
    public Goal goal() {
        return goal;
    }

    /** Returns the source of the plan, for errors that name a line of it. */
    public TomlSettings toml() {
        return toml;
    }

    /**
     * Returns the runs of {@code count} seeds from {@code firstSeed} on. They are ordered by seed,
     * so that the first ones make up a complete experiment with fewer seeds.
     */
    public List<Run> runs(int firstSeed, int count) {
        List<Run> runs = new ArrayList<>();
        for (int seed = firstSeed; seed < firstSeed + count; seed++) {
            addCombinations(0, new LinkedHashMap<>(), seed, runs);
        }
        return runs;
    }

    /** Adds a run for each combination of levels of the factors from {@code factorIndex} on. */
    private void addCombinations(
            int factorIndex, Map<String, JsonNode> chosen, int seed, List<Run> runs) {
        if (factorIndex == factors.size()) {
            runs.add(createRun(chosen, seed));
            return;
        }
        Factor factor = factors.get(factorIndex);
        for (JsonNode level : factor.levels) {
            chosen.put(factor.key, level);
            addCombinations(factorIndex + 1, chosen, seed, runs);
        }
        chosen.remove(factor.key);
    }

    private Run createRun(Map<String, JsonNode> chosen, long seed) {
        ObjectNode changedDay = day.deepCopy();
        Map<String, String> levels = new LinkedHashMap<>();
        String policy = "choice";
        for (Map.Entry<String, JsonNode> entry : chosen.entrySet()) {
            levels.put(entry.getKey(), entry.getValue().asText());
            if (entry.getKey().equals(POLICY_KEY)) {
                policy = entry.getValue().asText();
            } else if (entry.getKey().equals(TROUBLES_KEY)) {
                changedDay.set("trouble", troubleSets.get(entry.getValue().asText()).deepCopy());
            } else {
                setValue(changedDay, entry.getKey(), entry.getValue());
            }
        }
        return new Run(levels, seed, policy, changedDay);
    }

    /** Returns the run with one value of its day changed, for a search over any key of the day. */
    public Run variant(Run run, String key, double value) {
        ObjectNode changedDay = run.day.deepCopy();
        setValue(changedDay, key, changedDay.numberNode(value));
        return createVariant(run, key, Double.toString(value), changedDay);
    }

    /**
     * Returns the run with some of the faults of its day.
     *
     * @param kept indexes of the faults that remain
     */
    public Run variant(Run run, List<Integer> kept) {
        ObjectNode changedDay = run.day.deepCopy();
        ArrayNode all = run.day.withArray("trouble");
        ArrayNode remaining = changedDay.putArray("trouble");
        kept.forEach(index -> remaining.add(all.get(index)));
        return createVariant(run, "kept", kept.toString(), changedDay);
    }

    private static Run createVariant(Run run, String key, String level, ObjectNode day) {
        Map<String, String> levels = new LinkedHashMap<>(run.levels);
        levels.put(key, level);
        return new Run(levels, run.seed, run.policy, day);
    }

    /** Sets TABLE.KEY of a day, or LIST.INDEX.KEY for an entry of a list. */
    private static void setValue(ObjectNode day, String key, JsonNode value) {
        String[] path = key.split("\\.");
        JsonNode table = day.get(path[0]);
        if (path.length == 3) {
            int index = Integer.parseInt(path[1]);
            if (table instanceof ArrayNode list
                    && index < list.size()
                    && list.get(index) instanceof ObjectNode entry) {
                entry.set(path[2], value);
                return;
            }
            // There is no such entry; the check of the day reports the unknown key.
            day.putObject(path[0] + "." + path[1]).set(path[2], value);
            return;
        }
        ObjectNode target = table instanceof ObjectNode object ? object : day.putObject(path[0]);
        target.set(path[1], value);
    }
}
