package coralcove.rehearsal;

import coralcove.PlanKeeper;
import coralcove.Settings;
import coralcove.network.Network;
import coralcove.planner.EdgeLink;
import coralcove.planner.FactsOut;
import coralcove.planner.PlannerCore;
import coralcove.planner.transport.EdgePort;
import coralcove.planner.transport.PlannerPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.SplittableRandom;

/**
 * One router's planner in a rehearsal: in the network's virtual time over a pipe, or live on
 * loopback sockets.
 */
abstract class PlannerPipe {
    final Settings settings;
    final FactsOut facts = new FactsOut(PlannerCore.MOST_GROUPS);
    final PlanKeeper keeper;
    final EdgeLink link;
    private final SplittableRandom chance;
    private final boolean ahead;
    private long starts;

    PlannerPipe(Settings settings, long seed, boolean ahead) {
        this.settings = settings;
        this.ahead = ahead;
        keeper = new PlanKeeper(settings, facts::add);
        link = new EdgeLink(settings, keeper, facts, seed);
        chance = new SplittableRandom(seed);
    }

    PlannerCore fresh() {
        return new PlannerCore(settings, ++starts, chance.split(), ahead);
    }

    /** The edge's end, once the edge runs. */
    abstract EdgeLink.Out edgeEnd();

    /** Ends the planner as a kill does. */
    abstract void halt();

    /** Starts a planner that knows nothing. */
    abstract void start();

    /** µs that a message takes each way; of no effect live. */
    abstract void slow(long delay);

    /** On loopback sockets. */
    static PlannerPipe live(
            Network network, String node, Settings settings, long seed, boolean ahead, int port) {
        return new PlannerPipe(settings, seed, ahead) {
            private PlannerPort planner;

            @Override
            EdgeLink.Out edgeEnd() {
                try {
                    return new EdgePort(
                            node,
                            "127.0.0.1",
                            port,
                            link,
                            act -> network.on(node, (now, out) -> act.accept(now)));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }

            @Override
            void halt() {
                if (planner != null) {
                    planner.end();
                    planner = null;
                }
            }

            @Override
            void start() {
                planner =
                        new PlannerPort(
                                "planner-" + settings.ownNumber(),
                                "127.0.0.1",
                                port,
                                fresh(),
                                null);
            }

            @Override
            void slow(long delay) {}
        };
    }

    static PlannerPipe virtual(
            Network network, String node, Settings settings, long seed, boolean ahead) {
        return new Virtual(network, node, settings, seed, ahead);
    }

    /** Bytes keep their order in each direction; a connection that ends is told after them. */
    private static final class Virtual extends PlannerPipe implements EdgeLink.Out {
        /** µs one way on loopback. */
        private static final long NEAR = 50;

        private final Network network;
        private final String node;
        private long delay = NEAR;
        private long connections;
        private Planner planner;

        Virtual(Network network, String node, Settings settings, long seed, boolean ahead) {
            super(settings, seed, ahead);
            this.network = network;
            this.node = node;
        }

        @Override
        EdgeLink.Out edgeEnd() {
            return this;
        }

        @Override
        void halt() {
            if (planner != null) {
                planner.alive = false;
                planner.close();
                planner = null;
            }
        }

        @Override
        void start() {
            planner = new Planner();
            planner.beat();
        }

        @Override
        void slow(long by) {
            delay = Math.max(NEAR, by);
        }

        private void edge(EdgeAct act) {
            network.at(network.now() + delay, () -> network.on(node, (now, out) -> act.run(now)));
        }

        private interface EdgeAct {
            void run(long now);
        }

        @Override
        public void send(long connection, byte[] bytes) {
            Planner to = planner;
            network.at(
                    network.now() + delay,
                    () -> {
                        if (to != null && to.alive && to.connection == connection) {
                            to.core.read(network.now(), bytes, to);
                        }
                    });
        }

        @Override
        public void close(long connection) {
            Planner to = planner;
            network.at(
                    network.now() + delay,
                    () -> {
                        if (to != null && to.connection == connection) {
                            to.connection = -1;
                            if (to.alive) {
                                to.core.closed(network.now(), to);
                            }
                        }
                    });
        }

        @Override
        public long backlog(long connection) {
            return 0;
        }

        @Override
        public void log(String event, String detail) {}

        private final class Planner implements PlannerCore.Out {
            private final PlannerCore core = fresh();
            private boolean alive = true;
            private long connection = -1;

            void beat() {
                if (alive) {
                    core.tick(network.now(), this);
                    network.at(network.now() + PlannerCore.every(), this::beat);
                }
            }

            @Override
            public void connect() {
                network.at(
                        network.now() + delay,
                        () -> {
                            if (alive) {
                                long made = ++connections;
                                connection = made;
                                network.on(
                                        node, (now, out) -> link.opened(now, made, Virtual.this));
                                core.connected(network.now(), this);
                            }
                        });
            }

            @Override
            public void send(byte[] bytes) {
                long to = connection;
                edge(now -> link.read(now, to, bytes, Virtual.this));
            }

            @Override
            public void close() {
                long old = connection;
                connection = -1;
                edge(now -> link.closed(now, old, Virtual.this));
            }

            @Override
            public void log(String event, String detail) {}
        }
    }
}
