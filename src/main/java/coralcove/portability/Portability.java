package coralcove.portability;

import coralcove.dns.BadDns;
import coralcove.dns.DnsMessage;
import coralcove.dns.DnsStandIn;
import coralcove.dns.Enum;
import coralcove.dns.Questions;
import coralcove.dns.Resolver;
import coralcove.dns.transport.DnsClient;
import coralcove.dns.transport.DnsServer;
import coralcove.edge.EdgeCore;
import coralcove.edge.NumberDesk;
import coralcove.network.Network;
import coralcove.network.VirtualDns;
import coralcove.numbers.Digits;
import coralcove.numbers.Porting;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/** A portability server and each router's way to it: on sockets, or in a network's virtual time. */
public interface Portability extends AutoCloseable {
    /** Part of a name that says it is a number's (RFC 6116 section 3.2). */
    String SUFFIX = "e164.arpa";

    /** µs that one try may take; twice that is within what a session waits. */
    long TRY_FOR = 120_000;

    int TRIES = 2;
    int SOCKETS = 16;
    int MOST_OUT = 2000;

    /** The way of the router that runs as {@code node}. */
    NumberDesk.Asker asker(String node, Supplier<EdgeCore> core);

    void misbehave(DnsStandIn.Fault how, long by);

    @Override
    void close();

    /** Tells a router how its question ended. */
    private static void tell(
            Network network,
            String node,
            Supplier<EdgeCore> core,
            long number,
            Resolver.Result result) {
        Porting.Outcome outcome = Porting.Outcome.FAILED;
        long routing = 0;
        long life = 0;
        if (result.answer() != null) {
            try {
                Enum.Ported ported = Enum.ported(result.answer(), Digits.text(number));
                outcome =
                        ported.routing().isEmpty()
                                ? Porting.Outcome.NOT_MOVED
                                : Porting.Outcome.MOVED;
                routing = Digits.pack(ported.routing());
                life = ported.life() * 1_000_000;
            } catch (BadDns e) {
                outcome = Porting.Outcome.FAILED;
            }
        }
        Porting.Outcome ended = outcome;
        long found = routing;
        long lives = life;
        network.on(node, (now, out) -> core.get().ported(now, number, ended, found, lives, out));
    }

    /** A router's way over this resolver, which its owner closes. */
    static NumberDesk.Asker over(
            Questions client,
            String suffix,
            Network network,
            String node,
            Supplier<EdgeCore> core) {
        return (now, number) ->
                client.ask(
                        Enum.name(Digits.text(number), suffix),
                        DnsMessage.NAPTR,
                        result -> tell(network, node, core, number, result));
    }

    /** A stand-in server on loopback sockets, and a resolver for each router. */
    static Portability live(Network network, DnsStandIn server, String host, int port)
            throws IOException {
        DnsServer running = new DnsServer(host, port, server);
        List<DnsClient> clients = new ArrayList<>();
        return new Portability() {
            @Override
            public NumberDesk.Asker asker(String node, Supplier<EdgeCore> core) {
                DnsClient client =
                        new DnsClient(
                                new Resolver.Settings(
                                        List.of(new Resolver.Server(host, port)),
                                        TRY_FOR,
                                        TRIES,
                                        SOCKETS,
                                        MOST_OUT),
                                new SecureRandom());
                clients.add(client);
                return over(client, SUFFIX, network, node, core);
            }

            @Override
            public void misbehave(DnsStandIn.Fault how, long by) {
                running.misbehave(how, by);
            }

            @Override
            public void close() {
                clients.forEach(DnsClient::close);
                running.close();
            }
        };
    }

    /** In virtual time, over a network that loses nothing. */
    static Portability virtual(Network network, DnsStandIn server, long seed) {
        return new Portability() {
            @Override
            public NumberDesk.Asker asker(String node, Supplier<EdgeCore> core) {
                VirtualDns way =
                        new VirtualDns(
                                network,
                                server,
                                new Resolver.Settings(
                                        List.of(new Resolver.Server("portability", 53)),
                                        TRY_FOR,
                                        TRIES,
                                        SOCKETS,
                                        MOST_OUT),
                                new SplittableRandom(seed + node.hashCode()));
                return over(way, SUFFIX, network, node, core);
            }

            @Override
            public void misbehave(DnsStandIn.Fault how, long by) {
                server.misbehave(how, by);
            }

            @Override
            public void close() {}
        };
    }
}
