package coralcove.rehearsal;

import coralcove.dns.DnsQueryClient;
import coralcove.dns.Resolver;
import coralcove.dns.ServiceZone;
import coralcove.dns.SimulatedDnsServer;
import coralcove.dns.transport.DnsClient;
import coralcove.dns.transport.DnsServer;
import coralcove.edge.EdgeCore;
import coralcove.edge.LocatorSettings;
import coralcove.network.Network;
import coralcove.network.VirtualDnsClient;
import coralcove.portability.RouterLocators;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * DNS discovery in a scenario: a simulated name server with an SRV record for each router, and the
 * routers' DNS clients.
 */
final class DnsDiscovery implements AutoCloseable {
    private static final String HOST_PATTERN = "ex%d.hokkaido.example.org";

    /** Response time of the name server. */
    private static final long RESPONSE_DELAY_MICROS = 4000;

    /** A port without a listener, which stands for an exchange's former address. */
    private static final int UNUSED_PORT = 9;

    private final Network network;
    private final int exchangeCount;
    private final int firstPort;
    private final long seed;
    private final ServiceZone zone;
    private final SimulatedDnsServer nameServer;
    private final Resolver.Settings resolverSettings;
    private final List<DnsClient> clients = new ArrayList<>();
    private DnsServer liveServer;

    /**
     * Starts the name server. {@code ttl} is the time to live of its records in seconds; {@code
     * port} is its UDP and TCP port on loopback, 0 in virtual time.
     */
    DnsDiscovery(Network network, int exchangeCount, int firstPort, long ttl, int port, long seed) {
        this.network = network;
        this.exchangeCount = exchangeCount;
        this.firstPort = firstPort;
        this.seed = seed;
        zone = new ServiceZone("hokkaido.example.org", ttl);
        for (int number = 0; number < exchangeCount; number++) {
            zone.addAddress(hostName(number), 127, 0, 0, 1);
            publish(number, firstPort + 2 * number);
        }
        nameServer =
                new SimulatedDnsServer(zone, RESPONSE_DELAY_MICROS, new SplittableRandom(seed));
        resolverSettings =
                LocatorSettings.resolverSettingsFor(
                        List.of(new Resolver.Server("127.0.0.1", Math.max(1, port))));
        if (port > 0) {
            try {
                liveServer = new DnsServer("127.0.0.1", port, nameServer);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private static String hostName(int number) {
        return HOST_PATTERN.replace("%d", Integer.toString(number));
    }

    /** Replaces the SRV record of a router. */
    private void publish(int number, int port) {
        zone.replaceWithSrv("_sip._udp." + hostName(number), hostName(number), port);
    }

    /** Attaches DNS discovery to a router that starts as {@code node}. */
    void attach(String node, int number, EdgeCore core) {
        DnsQueryClient queryClient;
        if (liveServer == null) {
            queryClient =
                    new VirtualDnsClient(
                            network,
                            nameServer,
                            resolverSettings,
                            new SplittableRandom(seed + node.hashCode()));
        } else {
            DnsClient client = new DnsClient(resolverSettings, new SecureRandom());
            clients.add(client);
            queryClient = client;
        }
        LocatorSettings locatorSettings =
                new LocatorSettings(
                        IntStream.range(0, exchangeCount).filter(i -> i != number).boxed().toList(),
                        HOST_PATTERN,
                        "udp",
                        resolverSettings,
                        new SplittableRandom(seed * 31 + number));
        RouterLocators.connect(network, node, core, locatorSettings, queryClient);
    }

    /** Makes the name server fail in the given way, or recover. */
    void injectFault(SimulatedDnsServer.Fault fault) {
        if (liveServer == null) {
            nameServer.injectFault(fault, 0);
        } else {
            liveServer.injectFault(fault, 0);
        }
    }

    /** Publishes a former address of a router ({@code stale}), or its current one again. */
    void setStale(int number, boolean stale) {
        publish(number, stale ? UNUSED_PORT : firstPort + 2 * number);
    }

    @Override
    public void close() {
        clients.forEach(DnsClient::close);
        if (liveServer != null) {
            liveServer.close();
        }
    }
}
