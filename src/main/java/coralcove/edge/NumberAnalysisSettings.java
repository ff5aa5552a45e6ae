package coralcove.edge;

import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import coralcove.dns.Resolver;
import coralcove.numbers.PortabilityCache;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A router's settings of number analysis; docs/numbers.md describes the keys.
 *
 * @param table file with the number table
 * @param changes file with changes to the table, or null
 * @param maxTables maximum number tables held at once, including the one in service
 * @param porting settings of portability queries
 * @param suffix domain under which ported numbers are looked up
 * @param resolver settings of the resolver for portability queries
 */
public record NumberAnalysisSettings(
        Path table,
        Path changes,
        int maxTables,
        PortabilityCache.Settings porting,
        String suffix,
        Resolver.Settings resolver) {
    /** Source ports per server: with the id they make 20 bits that a forger must guess. */
    private static final int SOCKETS_PER_SERVER = 16;

    static NumberAnalysisSettings of(TomlSettings.Table table) throws BadConfig {
        PortabilityCache.Settings porting = porting(table);
        String changes = table.text("changes", "");
        List<Resolver.Server> servers = servers(table);
        return new NumberAnalysisSettings(
                Path.of(table.text("table")),
                changes.isEmpty() ? null : Path.of(changes),
                table.integer("most_tables", 1, 100, 4),
                porting,
                table.text("suffix", "e164.arpa"),
                new Resolver.Settings(
                        servers,
                        table.microsFromMillis("try_ms", 1, 10_000, 120),
                        table.integer("tries", 1, 10, 2),
                        SOCKETS_PER_SERVER,
                        porting.maxOutstandingQueries()));
    }

    /** Reads the key {@code servers}: HOST:PORT, or several of them separated by commas. */
    static List<Resolver.Server> servers(TomlSettings.Table table) throws BadConfig {
        List<Resolver.Server> servers = new ArrayList<>();
        for (String item : table.text("servers").split(",")) {
            String text = item.strip();
            int colon = text.lastIndexOf(':');
            if (colon < 1
                    || !text.substring(colon + 1).matches("[1-9]\\d{0,4}")
                    || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
                throw table.invalid("servers", "'" + text + "' is not HOST:PORT");
            }
            servers.add(
                    new Resolver.Server(
                            text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
        }
        return servers;
    }

    /** Reads the portability settings, which a router and a simulated day have in common. */
    public static PortabilityCache.Settings porting(TomlSettings.Table table) throws BadConfig {
        return new PortabilityCache.Settings(
                table.microsFromMillis("budget_ms", 1, 60_000, 300),
                table.number("budget_share", 0.01, 1, 0.2),
                table.microsFromSeconds("stale_s", 0, 604_800, 3600),
                table.integer("remembered", 1, 10_000_000, 200_000),
                table.integer("remembered_unknown", 1, 10_000_000, 50_000),
                table.integer("questions", 1, 50_000, 1000));
    }
}
