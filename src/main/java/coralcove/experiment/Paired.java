package coralcove.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One level against the base of its factor, all other levels equal, on the same seeds: callers are
 * the same, so that the differences seed by seed vary far less than the values.
 */
public record Paired(Map<String, String> others, String level, double[] differences) {
    /** All pairs of results that are both there, in the order in which the levels first come. */
    public static List<Paired> of(
            List<Outcome> outcomes, String factor, String base, String figure) {
        Map<Map<String, String>, Map<String, Map<Long, Double>>> values = new LinkedHashMap<>();
        for (Outcome each : outcomes) {
            if (each == null || each.failed() || !each.levels().containsKey(factor)) {
                continue;
            }
            Map<String, String> others = new LinkedHashMap<>(each.levels());
            String level = others.remove(factor);
            values.computeIfAbsent(others, o -> new LinkedHashMap<>())
                    .computeIfAbsent(level, l -> new TreeMap<>())
                    .put(each.seed(), each.number(figure));
        }
        List<Paired> pairs = new ArrayList<>();
        values.forEach(
                (others, levels) -> {
                    Map<Long, Double> of = levels.getOrDefault(base, Map.of());
                    levels.forEach(
                            (level, bySeed) -> {
                                if (!level.equals(base)) {
                                    pairs.add(
                                            new Paired(
                                                    others,
                                                    level,
                                                    bySeed.entrySet().stream()
                                                            .filter(e -> of.containsKey(e.getKey()))
                                                            .mapToDouble(
                                                                    e ->
                                                                            e.getValue()
                                                                                    - of.get(
                                                                                            e
                                                                                                    .getKey()))
                                                            .toArray()));
                                }
                            });
                });
        return pairs;
    }

    public Sample sample() {
        return Sample.of(differences);
    }

    public double halfWidth() {
        return sample().halfWidth();
    }
}
