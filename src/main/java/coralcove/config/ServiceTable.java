package coralcove.config;

import java.util.ArrayList;
import java.util.List;

/**
 * The {@code [[service]]} tables of a day, a router and an exchange, read in one place, so that
 * what one program refuses no other takes. Times in µs; {@code share} is the part of all sessions,
 * 0 where a program has no use for it.
 */
public record ServiceTable(
        String name,
        long target,
        long limit,
        double value,
        double lateValue,
        int width,
        long hold,
        double share) {
    /**
     * All services of a file, in its order; {@code shares} tells whether each must state its share.
     */
    public static List<ServiceTable> read(Toml toml, boolean shares) throws BadConfig {
        List<ServiceTable> services = new ArrayList<>();
        for (Toml.Table each : toml.list("service")) {
            long target = each.millis("target_ms", 1, 60_000);
            long limit = each.millis("limit_ms", 1, 600_000);
            if (limit < target) {
                throw each.bad("limit_ms", "is shorter than target_ms");
            }
            services.add(
                    new ServiceTable(
                            each.text("name"),
                            target,
                            limit,
                            each.number("value", 0, 1e6),
                            each.number("late_value", 0, 1, 0),
                            each.whole("width", 1, 64, 1),
                            each.seconds("hold_s", 0.001, 3600),
                            shares ? each.number("share", 0, 1e6) : 0));
        }
        if (services.isEmpty()) {
            throw toml.table("service").bad("name", "at least one [[service]] is needed");
        }
        return services;
    }
}
