package coralcove.drill;

import coralcove.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads a router's path=value settings into this project's words. Nothing is decided here. */
final class Boot {
    private final Map<String, String> pairs = new HashMap<>();

    private Boot(String text) {
        text.lines().forEach(line -> {
            int at = line.indexOf('=');
            if (at > 0) {
                pairs.put(line.substring(0, at).strip(), line.substring(at + 1).strip());
            }
        });
    }

    static Settings read(String text) throws BadFrame {
        Boot boot = new Boot(text);
        try {
            return boot.settings();
        } catch (NumberFormatException e) {
            throw new BadFrame("settings: not a number: " + e.getMessage());
        }
    }

    private Settings settings() throws BadFrame {
        List<Settings.Service> services = new ArrayList<>();
        List<String> holds = list("family_info.call_length");
        List<String> widths = list("family_info.class_width");
        int count = Integer.parseInt(need("classes.count"));
        if (count < 1 || holds.size() < count || widths.size() < count) {
            throw new BadFrame("settings: call_length or class_width is shorter than classes.count=" + count);
        }
        for (int i = 0; i < count; i++) {
            String at = "classes." + i + ".";
            services.add(new Settings.Service(down(need(at + "aim")), Double.parseDouble(need(at + "credit")),
                    number(at + "late_worth", 0), (int) Double.parseDouble(widths.get(i)),
                    Math.max(1, down(holds.get(i))), get(at + "effect", "repeatable").equals("repeatable"),
                    pools(i)));
        }
        return new Settings(Integer.parseInt(need("balancers")), Integer.parseInt(need("family_info.this_node")),
                get("family_info.layout", "mesh").equals("pools"), services,
                Integer.parseInt(need("limits.try_limit")), flag("clients.marks_retry"), flag("limits.retry_after"),
                down(get("limits.max_retry_after", "0")), flag("limits.peers"),
                get("discovery", "pushed").equals("on_request"), up(need("family_info.release_guard")),
                Double.parseDouble(need("contract.fall_multiple")),
                Math.max(1, up(need("contract.overload_for"))), Double.parseDouble(need("contract.cold_from")),
                up(need("contract.warm_up")));
    }

    /** The pools of service i; the list of lists comes flat per service, or as one path per service. */
    private List<Integer> pools(int i) {
        List<Integer> found = new ArrayList<>();
        for (String each : list("family_info.allowed_pools." + i)) {
            found.add(Integer.parseInt(each));
        }
        return found;
    }

    private String need(String path) throws BadFrame {
        String value = pairs.get(path);
        if (value == null || value.isEmpty()) {
            throw new BadFrame("settings: " + path + " is missing");
        }
        return value;
    }

    private String get(String path, String otherwise) {
        String value = pairs.get(path);
        return value == null || value.isEmpty() ? otherwise : value;
    }

    private boolean flag(String path) {
        return get(path, "false").equals("true");
    }

    private double number(String path, double otherwise) {
        return Double.parseDouble(get(path, Double.toString(otherwise)));
    }

    private List<String> list(String path) {
        String value = get(path, "");
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    /** Nanoseconds to microseconds: an allowance is never lengthened. */
    private static long down(String nanos) {
        return Math.floorDiv(Long.parseLong(nanos), 1000L);
    }

    /** Nanoseconds to microseconds: a wait is never shortened. */
    private static long up(String nanos) {
        return Line.up(Long.parseLong(nanos));
    }
}
