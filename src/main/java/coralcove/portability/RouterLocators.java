package coralcove.portability;

import coralcove.dns.Questions;
import coralcove.edge.Locating;
import coralcove.edge.LocatorSettings;
import coralcove.network.Network;

/** Connects the core of a router to the DNS resolver with which it locates other routers. */
public final class RouterLocators {
    private RouterLocators() {}

    /**
     * Lets a core locate routers by DNS from now on. The results are passed to the core on its own
     * thread.
     */
    public static void connect(
            Network network,
            String node,
            Locating core,
            LocatorSettings settings,
            Questions questions) {
        network.on(
                node,
                (now, out) ->
                        core.locate(
                                now,
                                settings,
                                questions,
                                result ->
                                        network.on(
                                                node,
                                                (foundAt, foundOut) ->
                                                        core.found(foundAt, result, foundOut))));
    }
}
