package coralcove.portability;

import coralcove.dns.Questions;
import coralcove.edge.Locating;
import coralcove.edge.LocatorSettings;
import coralcove.network.Network;

/**
 * Joins a core and the resolver it finds routers by: what is answered comes back on the core's own
 * thread.
 */
public final class Locators {
    private Locators() {}

    public static void join(
            Network network, String node, Locating core, LocatorSettings of, Questions questions) {
        network.on(
                node,
                (now, out) ->
                        core.locate(
                                now,
                                of,
                                questions,
                                result -> network.on(node, (at, o) -> core.found(at, result, o))));
    }
}
