package coralcove.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one run came to: its result, or why there is none. {@code version} is the program's that ran
 * it.
 */
public record Outcome(
        String id,
        String version,
        Map<String, String> levels,
        long seed,
        ObjectNode result,
        String error) {
    public boolean failed() {
        return result == null;
    }

    /** A number of the result; 0 where it has none. */
    public double number(String key) {
        JsonNode value = result == null ? null : result.get(key);
        return value == null ? 0 : value.asDouble();
    }

    /** Parts under a key, by name. */
    public Map<String, Double> parts(String key) {
        Map<String, Double> parts = new TreeMap<>();
        if (result != null && result.get(key) instanceof ObjectNode object) {
            object.properties()
                    .forEach(each -> parts.put(each.getKey(), each.getValue().asDouble()));
        }
        return parts;
    }
}
