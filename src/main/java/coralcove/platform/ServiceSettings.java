package coralcove.platform;

import coralcove.Settings;
import coralcove.config.BadConfig;
import coralcove.settings.SettingsReader;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of the core: those of the routing policy, and what is needed besides. Times are in
 * µs.
 *
 * @param routing settings of the routing policy
 * @param serviceNames names of the services as callers send them, in the policy's order
 * @param serviceWidths circuits that a call of each service takes
 * @param serviceDeadlines longest time that a caller of each service waits for its call
 * @param reportColumns names of the columns of exchanges' load reports, free circuits and size
 *     first
 * @param connectTimeout time after which a connection attempt has failed
 * @param drainGrace time in which new INVITEs to an exchange must end once it is told to drain
 * @param maxPendingSessions sessions without a final answer above which set-ups are refused
 * @param mayProbe whether exchanges may be sent OPTIONS requests
 * @param descriptorLimit the process's limit of open descriptors
 */
public record ServiceSettings(
        Settings routing,
        List<String> serviceNames,
        List<Integer> serviceWidths,
        List<Long> serviceDeadlines,
        List<String> reportColumns,
        long connectTimeout,
        long drainGrace,
        int maxPendingSessions,
        boolean mayProbe,
        int descriptorLimit) {
    /** Connect time-out if the settings have none. */
    private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 500_000;

    /**
     * Upper bound of pending sessions, whatever the settings allow: each stores a session
     * description of up to 16 KiB.
     */
    private static final int MAX_PENDING_SESSIONS = 4_000;

    /**
     * Reads the settings.
     *
     * @throws BadConfig if a setting is missing or malformed
     */
    public static ServiceSettings of(SettingsReader boot, int descriptors) throws BadConfig {
        Settings routing = boot.settings();
        List<String> services = new ArrayList<>();
        List<Integer> widths = new ArrayList<>();
        List<Long> deadlines = new ArrayList<>();
        for (int i = 0; i < routing.services().size(); i++) {
            services.add(boot.required("classes." + i + ".name"));
            widths.add(routing.services().get(i).circuits());
            deadlines.add(boot.durationMicros("classes." + i + ".deadline", Long.MAX_VALUE));
        }
        List<String> columns = boot.list("report.columns");
        if (columns.size() < 2) {
            throw new BadConfig(
                    "settings: report.columns has fewer than two columns (free circuits, size)");
        }
        return new ServiceSettings(
                routing,
                services,
                widths,
                deadlines,
                columns,
                boot.durationMicros("limits.connect_timeout", DEFAULT_CONNECT_TIMEOUT_MICROS),
                boot.durationMicros("contract.stop_sending_within", 0),
                (int)
                        Math.min(
                                MAX_PENDING_SESSIONS,
                                boot.integer("limits.max_open", MAX_PENDING_SESSIONS)),
                boot.flag("limits.may_probe"),
                descriptors);
    }
}
