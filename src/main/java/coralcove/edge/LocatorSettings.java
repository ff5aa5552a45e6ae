package coralcove.edge;

import coralcove.config.BadConfig;
import coralcove.config.Toml;
import coralcove.dns.Resolver;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * DNS as a source of where routers are: {@code pattern} is a name with one %d for the number, and
 * {@code servers} are asked for the SRV record of _sip._{transport}. before it.
 */
public record LocatorSettings(
        List<Integer> numbers,
        String pattern,
        String transport,
        Resolver.Settings servers,
        RandomGenerator chance) {
    /** µs that one question may take, and how often it is asked: a look-up is in nobody's way. */
    private static final long TRY_FOR = 1_000_000;

    private static final int TRIES = 3;

    /** Ports of the resolver to one server: with the id 20 bits that a forger must guess. */
    private static final int SOCKETS = 16;

    private static final int MOST_OUT = 1000;

    String name(int number) {
        return pattern.replace("%d", Integer.toString(number));
    }

    public static Resolver.Settings resolver(List<Resolver.Server> servers) {
        return new Resolver.Settings(servers, TRY_FOR, TRIES, SOCKETS, MOST_OUT);
    }

    /**
     * [dns] of a router's settings; {@code routers} numbers from 0 on are asked for, unless it
     * lists others.
     */
    static LocatorSettings of(Toml.Table table, int own, int routers, RandomGenerator chance)
            throws BadConfig {
        String pattern = table.text("name");
        if (pattern.indexOf("%d") < 0
                || pattern.indexOf("%d") != pattern.lastIndexOf("%d")
                || !pattern.replace("%d", "0")
                        .matches("([A-Za-z0-9_-]{1,63}\\.)*[A-Za-z0-9-]{1,63}")) {
            throw table.bad(
                    "name",
                    "\"" + pattern + "\" is no name with one %d in the place of the number");
        }
        List<Integer> numbers = new ArrayList<>();
        for (int each : table.wholes("numbers", 0, 65_535)) {
            numbers.add(each);
        }
        for (int i = 0; numbers.isEmpty() && !table.has("numbers") && i < routers; i++) {
            numbers.add(i);
        }
        numbers.removeIf(each -> each == own);
        return new LocatorSettings(
                List.copyOf(numbers),
                pattern,
                table.oneOf("transport", List.of("udp", "tcp"), "udp"),
                resolver(NumbersFile.servers(table)),
                chance);
    }
}
