package coralcove.portability;

import coralcove.dns.BadDns;
import coralcove.dns.DnsMessage;
import coralcove.dns.Enum;
import coralcove.dns.PortabilityServer;
import coralcove.dns.Resolver;
import coralcove.dns.transport.DnsClient;
import coralcove.dns.transport.DnsServer;
import coralcove.edge.EdgeCore;
import coralcove.edge.NumberDesk;
import coralcove.network.Network;
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

    void misbehave(PortabilityServer.Fault how, long by);

    @Override
    void close();

    /** Tells a router how its question ended. */
    private static void tell(Network network, String node, Supplier<EdgeCore> core, long number,
            Resolver.Result result) {
        Porting.Outcome outcome = Porting.Outcome.FAILED;
        long routing = 0;
        long life = 0;
        if (result.answer() != null) {
            try {
                Enum.Ported ported = Enum.ported(result.answer(), Digits.text(number));
                outcome = ported.routing().isEmpty() ? Porting.Outcome.NOT_MOVED : Porting.Outcome.MOVED;
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

    private static String name(long number) {
        return Enum.name(Digits.text(number), SUFFIX);
    }

    /** A router's way over this resolver, which its owner closes. */
    static NumberDesk.Asker over(DnsClient client, String suffix, Network network, String node,
            Supplier<EdgeCore> core) {
        return (now, number) -> client.ask(Enum.name(Digits.text(number), suffix), DnsMessage.NAPTR,
                result -> tell(network, node, core, number, result));
    }

    /** A stand-in server on loopback sockets, and a resolver for each router. */
    static Portability live(Network network, PortabilityServer server, String host, int port) throws IOException {
        DnsServer running = new DnsServer(host, port, server);
        List<DnsClient> clients = new ArrayList<>();
        return new Portability() {
            @Override
            public NumberDesk.Asker asker(String node, Supplier<EdgeCore> core) {
                DnsClient client = new DnsClient(new Resolver.Settings(List.of(new Resolver.Server(host, port)), TRY_FOR,
                        TRIES, SOCKETS, MOST_OUT), new SecureRandom());
                clients.add(client);
                return over(client, SUFFIX, network, node, core);
            }

            @Override
            public void misbehave(PortabilityServer.Fault how, long by) {
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
    static Portability virtual(Network network, PortabilityServer server, long seed) {
        return new Portability() {
            @Override
            public NumberDesk.Asker asker(String node, Supplier<EdgeCore> core) {
                return new Way(network, server, node, core, seed);
            }

            @Override
            public void misbehave(PortabilityServer.Fault how, long by) {
                server.misbehave(how, by);
            }

            @Override
            public void close() { }
        };
    }

    /** One router's resolver in virtual time. */
    final class Way implements NumberDesk.Asker, Resolver.Out {
        private final Network network;
        private final PortabilityServer server;
        private final String node;
        private final Supplier<EdgeCore> core;
        private final Resolver resolver;
        private long armed = Long.MAX_VALUE;

        private Way(Network network, PortabilityServer server, String node, Supplier<EdgeCore> core, long seed) {
            this.network = network;
            this.server = server;
            this.node = node;
            this.core = core;
            resolver = new Resolver(new Resolver.Settings(List.of(new Resolver.Server("portability", 53)), TRY_FOR,
                    TRIES, SOCKETS, MOST_OUT), new SplittableRandom(seed + node.hashCode()));
        }

        @Override
        public void ask(long now, long number) {
            resolver.ask(now, name(number), DnsMessage.NAPTR, number, this);
            arm();
        }

        private void arm() {
            long due = resolver.due();
            if (due < armed) {
                armed = due;
                network.at(due, () -> {
                    armed = Long.MAX_VALUE;
                    resolver.tick(network.now(), this);
                    arm();
                });
            }
        }

        @Override
        public void datagram(int socket, Resolver.Server to, byte[] bytes) {
            server.ask(bytes, false).forEach(packet -> network.at(network.now() + packet.delay(), () -> {
                resolver.datagram(network.now(), socket, to, packet.bytes(), this);
                arm();
            }));
        }

        @Override
        public void stream(long key, Resolver.Server to, byte[] bytes) {
            server.ask(bytes, true).forEach(packet -> network.at(network.now() + packet.delay(), () -> {
                resolver.stream(network.now(), key, packet.bytes(), this);
                arm();
            }));
        }

        @Override
        public void close(long key) { }

        @Override
        public void done(Object owner, Resolver.Result result) {
            tell(network, node, core, (Long) owner, result);
        }
    }
}
