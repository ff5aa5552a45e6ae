package coralcove.network;

import coralcove.dns.DnsQueryClient;
import coralcove.dns.Resolver;
import coralcove.dns.SimulatedDnsServer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * One node's resolver in virtual time, connected to a simulated server over a network without loss.
 */
public final class VirtualDnsClient implements DnsQueryClient, Resolver.Actions {
    private final Network network;
    private final SimulatedDnsServer server;
    private final Resolver resolver;
    private long nextTickAt = Long.MAX_VALUE;

    public VirtualDnsClient(
            Network network,
            SimulatedDnsServer server,
            Resolver.Settings settings,
            RandomGenerator random) {
        this.network = network;
        this.server = server;
        resolver = new Resolver(settings, random);
    }

    @Override
    public void query(String name, int type, Consumer<Resolver.Result> callback) {
        resolver.query(network.now(), name, type, callback, this);
        scheduleTick();
    }

    private void scheduleTick() {
        long nextTick = resolver.nextTickAt();
        if (nextTick < nextTickAt) {
            nextTickAt = nextTick;
            network.schedule(
                    nextTick,
                    () -> {
                        nextTickAt = Long.MAX_VALUE;
                        resolver.tick(network.now(), this);
                        scheduleTick();
                    });
        }
    }

    @Override
    public void sendDatagram(int socket, Resolver.Server to, byte[] bytes) {
        server.handleQuery(bytes, false)
                .forEach(
                        packet ->
                                network.schedule(
                                        network.now() + packet.delay(),
                                        () -> {
                                            resolver.datagramReceived(
                                                    network.now(),
                                                    socket,
                                                    to,
                                                    packet.bytes(),
                                                    this);
                                            scheduleTick();
                                        }));
    }

    @Override
    public void sendOnStream(long key, Resolver.Server to, byte[] bytes) {
        server.handleQuery(bytes, true)
                .forEach(
                        packet ->
                                network.schedule(
                                        network.now() + packet.delay(),
                                        () -> {
                                            resolver.streamMessageReceived(
                                                    network.now(), key, packet.bytes(), this);
                                            scheduleTick();
                                        }));
    }

    @Override
    public void closeStream(long key) {}

    @Override
    @SuppressWarnings("unchecked")
    public void completed(Object owner, Resolver.Result result) {
        ((Consumer<Resolver.Result>) owner).accept(result);
    }
}
