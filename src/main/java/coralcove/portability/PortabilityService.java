package coralcove.portability;

import coralcove.dns.DnsMessage;
import coralcove.dns.DnsQueryClient;
import coralcove.dns.EnumRecords;
import coralcove.dns.MalformedDnsException;
import coralcove.dns.Resolver;
import coralcove.dns.SimulatedDnsServer;
import coralcove.dns.transport.DnsClient;
import coralcove.dns.transport.DnsServer;
import coralcove.edge.EdgeCore;
import coralcove.edge.NumberAnalysisContext;
import coralcove.network.Network;
import coralcove.network.VirtualDnsClient;
import coralcove.numbers.Digits;
import coralcove.numbers.PortabilityCache;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * A number portability server with a client for each router, on sockets or in the virtual time of a
 * simulated network.
 */
public interface PortabilityService extends AutoCloseable {
    /** Domain suffix of a number in ENUM (RFC 6116 section 3.2). */
    String SUFFIX = "e164.arpa";

    /** Time-out of one attempt in µs; two attempts fit into the time that a session waits. */
    long ATTEMPT_TIMEOUT_MICROS = 120_000;

    /** Number of attempts for a query. */
    int MAX_ATTEMPTS = 2;

    /** Number of local ports of a resolver. */
    int SOCKET_COUNT = 16;

    /** Largest number of outstanding queries of a resolver. */
    int MAX_OUTSTANDING_QUERIES = 2000;

    /** Returns the portability client of the router that runs as {@code node}. */
    NumberAnalysisContext.PortabilityClient clientFor(String node, Supplier<EdgeCore> core);

    /**
     * Makes the server show a fault from now on, or answer correctly again.
     *
     * @param delay delay of each answer in µs if the fault is SLOW
     */
    void injectFault(SimulatedDnsServer.Fault fault, long delay);

    @Override
    void close();

    /** Reports the result of a query to the router's core, on its own thread. */
    private static void report(
            Network network,
            String node,
            Supplier<EdgeCore> core,
            long number,
            Resolver.Result result) {
        PortabilityCache.QueryOutcome outcome = PortabilityCache.QueryOutcome.FAILED;
        long routing = 0;
        long lifetime = 0;
        if (result.response() != null) {
            try {
                EnumRecords.Ported ported =
                        EnumRecords.readPortability(result.response(), Digits.unpack(number));
                outcome =
                        ported.routing().isEmpty()
                                ? PortabilityCache.QueryOutcome.NOT_MOVED
                                : PortabilityCache.QueryOutcome.MOVED;
                routing = Digits.pack(ported.routing());
                lifetime = ported.life() * 1_000_000;
            } catch (MalformedDnsException e) {
                outcome = PortabilityCache.QueryOutcome.FAILED;
            }
        }
        PortabilityCache.QueryOutcome finalOutcome = outcome;
        long finalRouting = routing;
        long finalLifetime = lifetime;
        network.runOnNode(
                node,
                (now, out) ->
                        core.get()
                                .portabilityAnswered(
                                        now,
                                        number,
                                        finalOutcome,
                                        finalRouting,
                                        finalLifetime,
                                        out));
    }

    /** Returns a portability client that uses this resolver; the caller closes the resolver. */
    static NumberAnalysisContext.PortabilityClient clientUsing(
            DnsQueryClient client,
            String suffix,
            Network network,
            String node,
            Supplier<EdgeCore> core) {
        return (now, number) ->
                client.query(
                        EnumRecords.domainName(Digits.unpack(number), suffix),
                        DnsMessage.NAPTR,
                        result -> report(network, node, core, number, result));
    }

    /**
     * Starts a stub server on sockets, with a resolver for each router.
     *
     * @throws IOException if the address cannot be bound
     */
    static PortabilityService live(
            Network network, SimulatedDnsServer server, String host, int port) throws IOException {
        DnsServer dnsServer = new DnsServer(host, port, server);
        List<DnsClient> clients = new ArrayList<>();
        return new PortabilityService() {
            @Override
            public NumberAnalysisContext.PortabilityClient clientFor(
                    String node, Supplier<EdgeCore> core) {
                DnsClient client =
                        new DnsClient(
                                new Resolver.Settings(
                                        List.of(new Resolver.Server(host, port)),
                                        ATTEMPT_TIMEOUT_MICROS,
                                        MAX_ATTEMPTS,
                                        SOCKET_COUNT,
                                        MAX_OUTSTANDING_QUERIES),
                                new SecureRandom());
                clients.add(client);
                return clientUsing(client, SUFFIX, network, node, core);
            }

            @Override
            public void injectFault(SimulatedDnsServer.Fault fault, long delay) {
                dnsServer.injectFault(fault, delay);
            }

            @Override
            public void close() {
                clients.forEach(DnsClient::close);
                dnsServer.close();
            }
        };
    }

    /** Returns a portability server in virtual time, over a network without loss. */
    static PortabilityService virtual(Network network, SimulatedDnsServer server, long seed) {
        return new PortabilityService() {
            @Override
            public NumberAnalysisContext.PortabilityClient clientFor(
                    String node, Supplier<EdgeCore> core) {
                VirtualDnsClient client =
                        new VirtualDnsClient(
                                network,
                                server,
                                new Resolver.Settings(
                                        List.of(new Resolver.Server("portability", 53)),
                                        ATTEMPT_TIMEOUT_MICROS,
                                        MAX_ATTEMPTS,
                                        SOCKET_COUNT,
                                        MAX_OUTSTANDING_QUERIES),
                                new SplittableRandom(seed + node.hashCode()));
                return clientUsing(client, SUFFIX, network, node, core);
            }

            @Override
            public void injectFault(SimulatedDnsServer.Fault fault, long delay) {
                server.injectFault(fault, delay);
            }

            @Override
            public void close() {}
        };
    }
}
