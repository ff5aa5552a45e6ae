package coralcove.platform;

import coralcove.Settings;
import coralcove.boot.Boot;
import coralcove.config.BadConfig;
import java.util.ArrayList;
import java.util.List;

/** What the core needs besides the module's settings; times in µs. */
public record ServiceSettings(
        Settings module,
        List<String> services,
        List<Integer> widths,
        List<String> columns,
        long connectTimeout,
        int mostOpen,
        boolean mayTest,
        int descriptors) {
    /** µs until a connection counts as not coming up, where the settings say nothing. */
    private static final long CONNECT_TIMEOUT = 500_000;

    /**
     * Sessions in hand at most, whatever the settings allow: each holds a description of up to 16
     * KiB.
     */
    private static final int MOST_OPEN = 4_000;

    public static ServiceSettings of(Boot boot, int descriptors) throws BadConfig {
        Settings module = boot.settings();
        List<String> services = new ArrayList<>();
        List<Integer> widths = new ArrayList<>();
        for (int i = 0; i < module.services().size(); i++) {
            services.add(boot.need("classes." + i + ".name"));
            widths.add(module.services().get(i).width());
        }
        List<String> columns = boot.list("report.columns");
        if (columns.size() < 2) {
            throw new BadConfig("settings: report.columns names no free circuits and size");
        }
        return new ServiceSettings(
                module,
                services,
                widths,
                columns,
                boot.up("limits.connect_timeout", CONNECT_TIMEOUT),
                (int) Math.min(MOST_OPEN, boot.whole("limits.max_open", MOST_OPEN)),
                boot.flag("limits.may_probe"),
                descriptors);
    }
}
