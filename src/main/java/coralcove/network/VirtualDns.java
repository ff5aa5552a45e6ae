package coralcove.network;

import coralcove.dns.DnsStandIn;
import coralcove.dns.Questions;
import coralcove.dns.Resolver;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** One node's resolver in virtual time, before a stand-in server over a path that loses nothing. */
public final class VirtualDns implements Questions, Resolver.Out {
    private final Network network;
    private final DnsStandIn server;
    private final Resolver resolver;
    private long armed = Long.MAX_VALUE;

    public VirtualDns(
            Network network,
            DnsStandIn server,
            Resolver.Settings settings,
            RandomGenerator chance) {
        this.network = network;
        this.server = server;
        resolver = new Resolver(settings, chance);
    }

    @Override
    public void ask(String name, int type, Consumer<Resolver.Result> done) {
        resolver.ask(network.now(), name, type, done, this);
        arm();
    }

    private void arm() {
        long due = resolver.due();
        if (due < armed) {
            armed = due;
            network.at(
                    due,
                    () -> {
                        armed = Long.MAX_VALUE;
                        resolver.tick(network.now(), this);
                        arm();
                    });
        }
    }

    @Override
    public void datagram(int socket, Resolver.Server to, byte[] bytes) {
        server.ask(bytes, false)
                .forEach(
                        packet ->
                                network.at(
                                        network.now() + packet.delay(),
                                        () -> {
                                            resolver.datagram(
                                                    network.now(),
                                                    socket,
                                                    to,
                                                    packet.bytes(),
                                                    this);
                                            arm();
                                        }));
    }

    @Override
    public void stream(long key, Resolver.Server to, byte[] bytes) {
        server.ask(bytes, true)
                .forEach(
                        packet ->
                                network.at(
                                        network.now() + packet.delay(),
                                        () -> {
                                            resolver.stream(
                                                    network.now(), key, packet.bytes(), this);
                                            arm();
                                        }));
    }

    @Override
    public void close(long key) {}

    @Override
    @SuppressWarnings("unchecked")
    public void done(Object owner, Resolver.Result result) {
        ((Consumer<Resolver.Result>) owner).accept(result);
    }
}
