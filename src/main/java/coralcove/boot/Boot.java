package coralcove.boot;

import coralcove.Micros;
import coralcove.Settings;
import coralcove.config.BadConfig;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A router's settings, as the simulator's first message and the platform's configuration both give
 * them: paths and values. Reads them into this project's words. Nothing is decided here.
 */
public final class Boot {
    private final Map<String, String> pairs;

    private Boot(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** From lines of path=value. */
    public static Boot read(String text) {
        Map<String, String> pairs = new HashMap<>();
        text.lines()
                .forEach(
                        line -> {
                            int at = line.indexOf('=');
                            if (at > 0) {
                                pairs.put(
                                        line.substring(0, at).strip(),
                                        line.substring(at + 1).strip());
                            }
                        });
        return new Boot(pairs);
    }

    /** From paths that are taken apart already. */
    public static Boot of(Map<String, String> pairs) {
        return new Boot(Map.copyOf(pairs));
    }

    public Settings settings() throws BadConfig {
        try {
            return read();
        } catch (NumberFormatException e) {
            throw new BadConfig("settings: not a number: " + e.getMessage());
        }
    }

    private Settings read() throws BadConfig {
        List<Settings.Service> services = new ArrayList<>();
        List<String> holds = list("family_info.call_length");
        List<String> widths = list("family_info.class_width");
        int count = Integer.parseInt(need("classes.count"));
        if (count < 1 || holds.size() < count || widths.size() < count) {
            throw new BadConfig(
                    "settings: call_length or class_width is shorter than classes.count=" + count);
        }
        for (int i = 0; i < count; i++) {
            String at = "classes." + i + ".";
            services.add(
                    new Settings.Service(
                            down(need(at + "aim")),
                            Double.parseDouble(need(at + "credit")),
                            number(at + "late_worth", 0),
                            (int) Double.parseDouble(widths.get(i)),
                            Math.max(1, down(holds.get(i))),
                            get(at + "effect", "repeatable").equals("repeatable"),
                            pools(i)));
        }
        atLeast("balancers", 1);
        atLeast("limits.try_limit", 1);
        atLeast("contract.fall_multiple", Double.MIN_VALUE);
        atLeast("contract.cold_from", Double.MIN_VALUE);
        return new Settings(
                Integer.parseInt(need("balancers")),
                Integer.parseInt(need("family_info.this_node")),
                get("family_info.layout", "mesh").equals("pools"),
                services,
                Integer.parseInt(need("limits.try_limit")),
                flag("clients.marks_retry"),
                flag("limits.retry_after"),
                down(get("limits.max_retry_after", "0")),
                flag("limits.peers"),
                get("discovery", "pushed").equals("on_request"),
                up(need("family_info.release_guard")),
                Double.parseDouble(need("contract.fall_multiple")),
                Math.max(1, up(need("contract.overload_for"))),
                Double.parseDouble(need("contract.cold_from")),
                up(need("contract.warm_up")));
    }

    /**
     * The pools of service i; the list of lists comes flat per service, or as one path per service.
     */
    private List<Integer> pools(int i) {
        List<Integer> found = new ArrayList<>();
        for (String each : list("family_info.allowed_pools." + i)) {
            found.add(Integer.parseInt(each));
        }
        return found;
    }

    public String need(String path) throws BadConfig {
        String value = pairs.get(path);
        if (value == null || value.isEmpty()) {
            throw new BadConfig("settings: " + path + " is missing");
        }
        return value;
    }

    public String get(String path, String otherwise) {
        String value = pairs.get(path);
        return value == null || value.isEmpty() ? otherwise : value;
    }

    /** True or false; what is not told is not allowed, what is neither is no setting. */
    public boolean flag(String path) throws BadConfig {
        String value = get(path, "false");
        if (!value.equals("true") && !value.equals("false")) {
            throw new BadConfig("settings: " + path + " is neither true nor false: " + value);
        }
        return value.equals("true");
    }

    private void atLeast(String path, double least) throws BadConfig {
        double value = Double.parseDouble(need(path));
        if (!(value >= least) || Double.isInfinite(value)) {
            throw new BadConfig("settings: " + path + " cannot be " + need(path));
        }
    }

    private double number(String path, double otherwise) {
        return Double.parseDouble(get(path, Double.toString(otherwise)));
    }

    public List<String> list(String path) {
        String value = get(path, "");
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    /** Nanoseconds to microseconds: an allowance is never lengthened. */
    private static long down(String nanos) {
        return Micros.down(Long.parseLong(nanos));
    }

    /** Nanoseconds to microseconds: a wait is never shortened. */
    private static long up(String nanos) {
        return Micros.up(Long.parseLong(nanos));
    }

    /** The same for one setting; {@code otherwise} is in µs. */
    public long up(String path, long otherwise) throws BadConfig {
        try {
            String value = get(path, "");
            return value.isEmpty() ? otherwise : up(value);
        } catch (NumberFormatException e) {
            throw new BadConfig("settings: " + path + " is not a number: " + e.getMessage());
        }
    }

    /** A whole number that counts something. */
    public long whole(String path, long otherwise) throws BadConfig {
        try {
            return Long.parseLong(get(path, Long.toString(otherwise)));
        } catch (NumberFormatException e) {
            throw new BadConfig("settings: " + path + " is no whole number: " + e.getMessage());
        }
    }
}
