package coralcove.portability;

import coralcove.dns.DnsQueryClient;
import coralcove.edge.DnsDiscoveryCore;
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
            DnsDiscoveryCore core,
            LocatorSettings settings,
            DnsQueryClient questions) {
        network.runOnNode(
                node,
                (now, out) ->
                        core.startDnsDiscovery(
                                now,
                                settings,
                                questions,
                                result ->
                                        network.runOnNode(
                                                node,
                                                (foundAt, foundOut) ->
                                                        core.dnsAnswered(
                                                                foundAt, result, foundOut))));
    }
}
