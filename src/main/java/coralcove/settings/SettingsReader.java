package coralcove.settings;

import coralcove.Micros;
import coralcove.Settings;
import coralcove.config.BadConfig;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a router's settings from pairs of path and value, as both the simulator's first message and
 * the platform's configuration contain them. Durations are given in nanoseconds and converted to
 * µs.
 */
public final class SettingsReader {
    private final Map<String, String> pairs;

    private SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** Reads lines of the form path=value; other lines are ignored. */
    public static SettingsReader parse(String text) {
        Map<String, String> pairs = new HashMap<>();
        text.lines()
                .forEach(
                        line -> {
                            int equalsAt = line.indexOf('=');
                            if (equalsAt > 0) {
                                pairs.put(
                                        line.substring(0, equalsAt).strip(),
                                        line.substring(equalsAt + 1).strip());
                            }
                        });
        return new SettingsReader(pairs);
    }

    /** Takes pairs that are already split into path and value. */
    public static SettingsReader of(Map<String, String> pairs) {
        return new SettingsReader(Map.copyOf(pairs));
    }

    /** The settings of the routing policy; fails if one is missing or out of range. */
    public Settings settings() throws BadConfig {
        try {
            return readSettings();
        } catch (NumberFormatException e) {
            throw new BadConfig("settings: not a number: " + e.getMessage());
        }
    }

    private Settings readSettings() throws BadConfig {
        List<Settings.Service> services = new ArrayList<>();
        List<String> holdTimes = list("family_info.call_length");
        List<String> widths = list("family_info.class_width");
        int count = Integer.parseInt(required("classes.count"));
        if (count < 1 || holdTimes.size() < count || widths.size() < count) {
            throw new BadConfig(
                    "settings: call_length or class_width is shorter than classes.count=" + count);
        }
        for (int i = 0; i < count; i++) {
            String prefix = "classes." + i + ".";
            services.add(
                    new Settings.Service(
                            microsRoundedDown(required(prefix + "aim")),
                            Double.parseDouble(required(prefix + "credit")),
                            decimal(prefix + "late_worth", 0),
                            (int) Double.parseDouble(widths.get(i)),
                            Math.max(1, microsRoundedDown(holdTimes.get(i))),
                            getOrDefault(prefix + "effect", "repeatable").equals("repeatable"),
                            allowedPools(i)));
        }
        requireAtLeast("balancers", 1);
        requireAtLeast("limits.try_limit", 1);
        requireAtLeast("contract.fall_multiple", Double.MIN_VALUE);
        requireAtLeast("contract.cold_from", Double.MIN_VALUE);
        return new Settings(
                Integer.parseInt(required("balancers")),
                Integer.parseInt(required("family_info.this_node")),
                getOrDefault("family_info.layout", "mesh").equals("pools"),
                services,
                Integer.parseInt(required("limits.try_limit")),
                flag("clients.marks_retry"),
                flag("limits.retry_after"),
                microsRoundedDown(getOrDefault("limits.max_retry_after", "0")),
                flag("limits.peers"),
                getOrDefault("discovery", "pushed").equals("on_request"),
                microsRoundedUp(required("family_info.release_guard")),
                Double.parseDouble(required("contract.fall_multiple")),
                Math.max(1, microsRoundedUp(required("contract.overload_for"))),
                Double.parseDouble(required("contract.cold_from")),
                microsRoundedUp(required("contract.warm_up")));
    }

    /** The pools that this service may use; a nested list is given as one path for each service. */
    private List<Integer> allowedPools(int service) {
        List<Integer> pools = new ArrayList<>();
        for (String pool : list("family_info.allowed_pools." + service)) {
            pools.add(Integer.parseInt(pool));
        }
        return pools;
    }

    /** The value of a required path; fails if it is missing or empty. */
    public String required(String path) throws BadConfig {
        String value = pairs.get(path);
        if (value == null || value.isEmpty()) {
            throw new BadConfig("settings: " + path + " is missing");
        }
        return value;
    }

    /** The value of a path, or {@code defaultValue} if it is missing or empty. */
    public String getOrDefault(String path, String defaultValue) {
        String value = pairs.get(path);
        return value == null || value.isEmpty() ? defaultValue : value;
    }

    /** A boolean, false if missing; fails on any value other than true and false. */
    public boolean flag(String path) throws BadConfig {
        String value = getOrDefault(path, "false");
        if (!value.equals("true") && !value.equals("false")) {
            throw new BadConfig("settings: " + path + " is neither true nor false: " + value);
        }
        return value.equals("true");
    }

    private void requireAtLeast(String path, double minimum) throws BadConfig {
        double value = Double.parseDouble(required(path));
        if (!(value >= minimum) || Double.isInfinite(value)) {
            throw new BadConfig("settings: " + path + " cannot be " + required(path));
        }
    }

    private double decimal(String path, double defaultValue) {
        return Double.parseDouble(getOrDefault(path, Double.toString(defaultValue)));
    }

    /** The elements of a comma-separated list, empty if it is missing. */
    public List<String> list(String path) {
        String value = getOrDefault(path, "");
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    /** Converts nanoseconds to µs, rounded down so that an allowance is never lengthened. */
    private static long microsRoundedDown(String nanos) {
        return Micros.floorFromNanos(Long.parseLong(nanos));
    }

    /** Converts nanoseconds to µs, rounded up so that a wait is never shortened. */
    private static long microsRoundedUp(String nanos) {
        return Micros.ceilFromNanos(Long.parseLong(nanos));
    }

    /**
     * A duration in nanoseconds as µs, rounded up; {@code defaultMicros} if it is missing. Fails if
     * it is not an integer.
     */
    public long durationMicros(String path, long defaultMicros) throws BadConfig {
        try {
            String value = getOrDefault(path, "");
            return value.isEmpty() ? defaultMicros : microsRoundedUp(value);
        } catch (NumberFormatException e) {
            throw new BadConfig("settings: " + path + " is not a number: " + e.getMessage());
        }
    }

    /** An integer, {@code defaultValue} if it is missing; fails on any other value. */
    public long integer(String path, long defaultValue) throws BadConfig {
        try {
            return Long.parseLong(getOrDefault(path, Long.toString(defaultValue)));
        } catch (NumberFormatException e) {
            throw new BadConfig("settings: " + path + " is not an integer: " + e.getMessage());
        }
    }
}
