package coralcove.config;

import java.util.ArrayList;
import java.util.List;

/**
 * One {@code [[service]]} table of a settings file. Scenarios, routers and exchanges all read it
 * here, so that they accept the same values.
 *
 * @param name name of the service
 * @param target post-dial target in µs
 * @param limit timer limit in µs
 * @param value value of a session that is established within the target
 * @param lateValue factor of the value, from 0 to 1, for a session established after the target
 * @param width number of circuits of a session
 * @param hold mean hold time in µs
 * @param share weight among all sessions, or 0 if the program does not use it
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
     * Reads all services of a file, in file order.
     *
     * @param shares whether each table must contain its share
     * @throws BadConfig if there is no service or a value is invalid
     */
    public static List<ServiceTable> read(TomlSettings toml, boolean shares) throws BadConfig {
        List<ServiceTable> services = new ArrayList<>();
        for (TomlSettings.Table table : toml.list("service")) {
            long target = table.microsFromMillis("target_ms", 1, 60_000);
            long limit = table.microsFromMillis("limit_ms", 1, 600_000);
            if (limit < target) {
                throw table.invalid("limit_ms", "is shorter than target_ms");
            }
            services.add(
                    new ServiceTable(
                            table.text("name"),
                            target,
                            limit,
                            table.number("value", 0, 1e6),
                            table.number("late_value", 0, 1, 0),
                            table.integer("width", 1, 64, 1),
                            table.microsFromSeconds("hold_s", 0.001, 3600),
                            shares ? table.number("share", 0, 1e6) : 0));
        }
        if (services.isEmpty()) {
            throw toml.table("service").invalid("name", "at least one [[service]] is needed");
        }
        return services;
    }
}
