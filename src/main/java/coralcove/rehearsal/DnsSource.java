package coralcove.rehearsal;

import coralcove.dns.DnsStandIn;
import coralcove.dns.Questions;
import coralcove.dns.Resolver;
import coralcove.dns.ServiceZone;
import coralcove.dns.transport.DnsClient;
import coralcove.dns.transport.DnsServer;
import coralcove.edge.EdgeCore;
import coralcove.edge.LocatorSettings;
import coralcove.network.Network;
import coralcove.network.VirtualDns;
import coralcove.portability.Locators;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** A stand-in name server that knows each router's SRV record, and each router's way to it. */
final class DnsSource implements AutoCloseable {
    private static final String PATTERN = "ex%d.hokkaido.example.org";

    /** µs that the server takes to answer. */
    private static final long USUAL = 4000;

    /** A port at which nobody listens: where an exchange was once. */
    private static final int NOBODY = 9;

    private final Network network;
    private final int exchanges;
    private final int firstPort;
    private final long seed;
    private final ServiceZone zone;
    private final DnsStandIn server;
    private final Resolver.Settings settings;
    private final List<DnsClient> clients = new ArrayList<>();
    private DnsServer running;

    /** {@code port} 0: in virtual time. */
    DnsSource(Network network, int exchanges, int firstPort, long life, int port, long seed) {
        this.network = network;
        this.exchanges = exchanges;
        this.firstPort = firstPort;
        this.seed = seed;
        zone = new ServiceZone("hokkaido.example.org", life);
        for (int number = 0; number < exchanges; number++) {
            zone.a(host(number), 127, 0, 0, 1);
            say(number, firstPort + 2 * number);
        }
        server = new DnsStandIn(zone, USUAL, new SplittableRandom(seed));
        settings =
                LocatorSettings.resolver(
                        List.of(new Resolver.Server("127.0.0.1", Math.max(1, port))));
        if (port > 0) {
            try {
                running = new DnsServer("127.0.0.1", port, server);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private static String host(int number) {
        return PATTERN.replace("%d", Integer.toString(number));
    }

    private void say(int number, int port) {
        zone.only("_sip._udp." + host(number), host(number), port);
    }

    /** Gives a router that starts as {@code node} DNS as a source. */
    void serve(String node, int number, EdgeCore core) {
        Questions questions;
        if (running == null) {
            questions =
                    new VirtualDns(
                            network,
                            server,
                            settings,
                            new SplittableRandom(seed + node.hashCode()));
        } else {
            DnsClient client = new DnsClient(settings, new SecureRandom());
            clients.add(client);
            questions = client;
        }
        LocatorSettings of =
                new LocatorSettings(
                        IntStream.range(0, exchanges).filter(i -> i != number).boxed().toList(),
                        PATTERN,
                        "udp",
                        settings,
                        new SplittableRandom(seed * 31 + number));
        Locators.join(network, node, core, of, questions);
    }

    void misbehave(DnsStandIn.Fault fault) {
        if (running == null) {
            server.misbehave(fault, 0);
        } else {
            running.misbehave(fault, 0);
        }
    }

    /** Names of a router the place it had long ago, or its own again. */
    void stale(int number, boolean on) {
        say(number, on ? NOBODY : firstPort + 2 * number);
    }

    @Override
    public void close() {
        clients.forEach(DnsClient::close);
        if (running != null) {
            running.close();
        }
    }
}
