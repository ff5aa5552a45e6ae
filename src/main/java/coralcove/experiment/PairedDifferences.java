package coralcove.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Differences of a metric between one level of a factor and the factor's base level, seed by seed,
 * with all other factors equal. Runs of the same seed have the same callers, so the differences
 * vary far less than the values.
 *
 * @param otherLevels levels of the other factors, by key
 * @param level the level compared with the base level
 * @param differences one difference for each seed that both levels have a result of
 */
public record PairedDifferences(
        Map<String, String> otherLevels, String level, double[] differences) {
    /** Pairs all successful outcomes, in the order in which their levels first occur. */
    public static List<PairedDifferences> of(
            List<Outcome> outcomes, String factorKey, String baseLevel, String metric) {
        Map<Map<String, String>, Map<String, Map<Long, Double>>> values = new LinkedHashMap<>();
        for (Outcome outcome : outcomes) {
            if (outcome == null || outcome.failed() || !outcome.levels().containsKey(factorKey)) {
                continue;
            }
            Map<String, String> otherLevels = new LinkedHashMap<>(outcome.levels());
            String level = otherLevels.remove(factorKey);
            values.computeIfAbsent(otherLevels, key -> new LinkedHashMap<>())
                    .computeIfAbsent(level, key -> new TreeMap<>())
                    .put(outcome.seed(), outcome.metric(metric));
        }
        List<PairedDifferences> pairs = new ArrayList<>();
        values.forEach(
                (otherLevels, byLevel) -> {
                    Map<Long, Double> baseBySeed = byLevel.getOrDefault(baseLevel, Map.of());
                    byLevel.forEach(
                            (level, bySeed) -> {
                                if (!level.equals(baseLevel)) {
                                    pairs.add(
                                            new PairedDifferences(
                                                    otherLevels,
                                                    level,
                                                    bySeed.entrySet().stream()
                                                            .filter(
                                                                    e ->
                                                                            baseBySeed.containsKey(
                                                                                    e.getKey()))
                                                            .mapToDouble(
                                                                    e ->
                                                                            e.getValue()
                                                                                    - baseBySeed
                                                                                            .get(
                                                                                                    e
                                                                                                            .getKey()))
                                                            .toArray()));
                                }
                            });
                });
        return pairs;
    }

    /** Estimates the mean difference. */
    public MeanEstimate estimate() {
        return MeanEstimate.of(differences);
    }

    /** Half the width of the confidence interval of the mean difference. */
    public double halfWidth() {
        return estimate().halfWidth();
    }
}
