package coralcove.edge;

import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import coralcove.dns.Resolver;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Settings for finding routers through DNS.
 *
 * @param numbers exchange numbers whose routers are looked up
 * @param namePattern domain name with one %d for the number; the SRV record of _sip._{transport}.
 *     and this name is queried
 * @param transport udp or tcp
 * @param resolverSettings settings of the resolver, with the name servers
 * @param random source of randomness for the times of queries and the choice of targets
 */
public record LocatorSettings(
        List<Integer> numbers,
        String namePattern,
        String transport,
        Resolver.Settings resolverSettings,
        RandomGenerator random) {
    /** Time-out of one try. No session waits for these look-ups, so it may be long. */
    private static final long TRY_TIMEOUT_MICROS = 1_000_000;

    private static final int MAX_TRIES = 3;

    /** Source ports per server: with the id they make 20 bits that a forger must guess. */
    private static final int SOCKETS_PER_SERVER = 16;

    private static final int MAX_PENDING_QUERIES = 1000;

    String name(int number) {
        return namePattern.replace("%d", Integer.toString(number));
    }

    /** Resolver settings for looking up routers at these name servers. */
    public static Resolver.Settings resolverSettingsFor(List<Resolver.Server> servers) {
        return new Resolver.Settings(
                servers, TRY_TIMEOUT_MICROS, MAX_TRIES, SOCKETS_PER_SERVER, MAX_PENDING_QUERIES);
    }

    /**
     * Reads the table [dns] of a router's settings file. Unless the table lists numbers, the first
     * {@code routerCount} numbers from 0 are looked up; the local number never is.
     */
    static LocatorSettings of(
            TomlSettings.Table table, int localNumber, int routerCount, RandomGenerator random)
            throws BadConfig {
        String pattern = table.text("name");
        if (pattern.indexOf("%d") < 0
                || pattern.indexOf("%d") != pattern.lastIndexOf("%d")
                || !pattern.replace("%d", "0")
                        .matches("([A-Za-z0-9_-]{1,63}\\.)*[A-Za-z0-9-]{1,63}")) {
            throw table.invalid(
                    "name", "\"" + pattern + "\" is not a domain name with one %d for the number");
        }
        List<Integer> numbers = new ArrayList<>();
        for (int number : table.integers("numbers", 0, 65_535)) {
            numbers.add(number);
        }
        for (int i = 0; numbers.isEmpty() && !table.has("numbers") && i < routerCount; i++) {
            numbers.add(i);
        }
        numbers.removeIf(number -> number == localNumber);
        return new LocatorSettings(
                List.copyOf(numbers),
                pattern,
                table.oneOf("transport", List.of("udp", "tcp"), "udp"),
                resolverSettingsFor(NumberAnalysisSettings.servers(table)),
                random);
    }
}
