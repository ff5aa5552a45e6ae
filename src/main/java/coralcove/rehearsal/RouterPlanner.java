package coralcove.rehearsal;

import coralcove.PlannedTargetSource;
import coralcove.Settings;
import coralcove.network.Network;
import coralcove.planner.EdgeLinkCore;
import coralcove.planner.GroupLoadQueue;
import coralcove.planner.PlannerCore;
import coralcove.planner.transport.EdgeLinkServer;
import coralcove.planner.transport.PlannerClient;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.SplittableRandom;

/**
 * The planner of one router in a run: the edge's plans and link, and the planner process, either in
 * the virtual time of the network or on loopback sockets.
 */
abstract class RouterPlanner {
    final Settings settings;
    final GroupLoadQueue facts = new GroupLoadQueue(PlannerCore.MAX_GROUPS);
    final PlannedTargetSource plannedTargets;
    final EdgeLinkCore link;
    private final SplittableRandom random;
    private final boolean planAhead;
    private long startCount;

    RouterPlanner(Settings settings, long seed, boolean planAhead) {
        this.settings = settings;
        this.planAhead = planAhead;
        plannedTargets = new PlannedTargetSource(settings, facts::add);
        link = new EdgeLinkCore(settings, plannedTargets, facts, seed);
        random = new SplittableRandom(seed);
    }

    /** Creates the core of a new planner process. */
    PlannerCore newCore() {
        return new PlannerCore(settings, ++startCount, random.split(), planAhead);
    }

    /** Opens the edge's end of the connection; called once the edge runs. */
    abstract EdgeLinkCore.Actions openEdgeOutput();

    /** Kills the planner process, if it runs. */
    abstract void kill();

    /** Starts a planner process without state. */
    abstract void start();

    /** Sets the one-way delay of messages in µs; has no effect in a live run. */
    abstract void setDelay(long delay);

    /** Creates a planner that is connected by loopback sockets. */
    static RouterPlanner live(
            Network network,
            String node,
            Settings settings,
            long seed,
            boolean planAhead,
            int port) {
        return new RouterPlanner(settings, seed, planAhead) {
            private PlannerClient planner;

            @Override
            EdgeLinkCore.Actions openEdgeOutput() {
                try {
                    return new EdgeLinkServer(
                            node,
                            "127.0.0.1",
                            port,
                            link,
                            action -> network.runOnNode(node, (now, out) -> action.accept(now)));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }

            @Override
            void kill() {
                if (planner != null) {
                    planner.shutDown();
                    planner = null;
                }
            }

            @Override
            void start() {
                planner =
                        new PlannerClient(
                                "planner-" + settings.localNumber(),
                                "127.0.0.1",
                                port,
                                newCore(),
                                null);
            }

            @Override
            void setDelay(long delay) {}
        };
    }

    /** Creates a planner in the virtual time of {@code network}. */
    static RouterPlanner virtual(
            Network network, String node, Settings settings, long seed, boolean planAhead) {
        return new VirtualPlanner(network, node, settings, seed, planAhead);
    }

    /**
     * A planner in virtual time. Bytes stay in order in each direction; the end of a connection is
     * notified after them.
     */
    private static final class VirtualPlanner extends RouterPlanner
            implements EdgeLinkCore.Actions {
        /** One-way delay on loopback. */
        private static final long LOOPBACK_DELAY_MICROS = 50;

        private final Network network;
        private final String node;
        private long delay = LOOPBACK_DELAY_MICROS;
        private long connectionCount;
        private PlannerProcess planner;

        VirtualPlanner(
                Network network, String node, Settings settings, long seed, boolean planAhead) {
            super(settings, seed, planAhead);
            this.network = network;
            this.node = node;
        }

        @Override
        EdgeLinkCore.Actions openEdgeOutput() {
            return this;
        }

        @Override
        void kill() {
            if (planner != null) {
                planner.alive = false;
                planner.close();
                planner = null;
            }
        }

        @Override
        void start() {
            planner = new PlannerProcess();
            planner.tickPeriodically();
        }

        @Override
        void setDelay(long newDelay) {
            delay = Math.max(LOOPBACK_DELAY_MICROS, newDelay);
        }

        private void runOnEdge(EdgeAction action) {
            network.schedule(
                    network.now() + delay,
                    () -> network.runOnNode(node, (now, out) -> action.run(now)));
        }

        private interface EdgeAction {
            void run(long now);
        }

        @Override
        public void send(long connection, byte[] bytes) {
            PlannerProcess target = planner;
            network.schedule(
                    network.now() + delay,
                    () -> {
                        if (target != null && target.alive && target.connection == connection) {
                            target.core.bytesReceived(network.now(), bytes, target);
                        }
                    });
        }

        @Override
        public void close(long connection) {
            PlannerProcess target = planner;
            network.schedule(
                    network.now() + delay,
                    () -> {
                        if (target != null && target.connection == connection) {
                            target.connection = -1;
                            if (target.alive) {
                                target.core.connectionClosed(network.now(), target);
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

        private final class PlannerProcess implements PlannerCore.Actions {
            private final PlannerCore core = newCore();
            private boolean alive = true;
            private long connection = -1;

            void tickPeriodically() {
                if (alive) {
                    core.tick(network.now(), this);
                    network.schedule(
                            network.now() + PlannerCore.tickIntervalMicros(),
                            this::tickPeriodically);
                }
            }

            @Override
            public void connect() {
                network.schedule(
                        network.now() + delay,
                        () -> {
                            if (alive) {
                                long newConnection = ++connectionCount;
                                connection = newConnection;
                                network.runOnNode(
                                        node,
                                        (now, out) ->
                                                link.connectionOpened(
                                                        now, newConnection, VirtualPlanner.this));
                                core.connected(network.now(), this);
                            }
                        });
            }

            @Override
            public void send(byte[] bytes) {
                long targetConnection = connection;
                runOnEdge(
                        now ->
                                link.bytesReceived(
                                        now, targetConnection, bytes, VirtualPlanner.this));
            }

            @Override
            public void close() {
                long closedConnection = connection;
                connection = -1;
                runOnEdge(now -> link.connectionClosed(now, closedConnection, VirtualPlanner.this));
            }

            @Override
            public void log(String event, String detail) {}
        }
    }
}
