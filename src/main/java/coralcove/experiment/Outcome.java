package coralcove.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * Outcome of one run.
 *
 * @param id name of the run
 * @param version version of the program that executed the run
 * @param levels levels of all factors, by the key of the factor
 * @param seed seed of the run
 * @param result metrics of the run, or null if it failed
 * @param error why the run failed
 */
public record Outcome(
        String id,
        String version,
        Map<String, String> levels,
        long seed,
        ObjectNode result,
        String error) {
    /** Whether the run has no result. */
    public boolean failed() {
        return result == null;
    }

    /** Returns a metric of the result; 0 if there is none of this key. */
    public double metric(String key) {
        JsonNode value = result == null ? null : result.get(key);
        return value == null ? 0 : value.asDouble();
    }

    /** Returns a metric that is broken down by name; empty if there is none of this key. */
    public Map<String, Double> breakdown(String key) {
        Map<String, Double> parts = new TreeMap<>();
        if (result != null && result.get(key) instanceof ObjectNode object) {
            object.properties()
                    .forEach(entry -> parts.put(entry.getKey(), entry.getValue().asDouble()));
        }
        return parts;
    }
}
