package coralcove.planner;

import coralcove.Plan;
import coralcove.PlannedTargetSource;
import coralcove.Settings;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The edge's end of the link to its planner, without sockets and clock: it accepts one planner,
 * sends it group loads and receives its plans. A planner affects sessions only through {@link
 * PlannedTargetSource}, however it behaves or fails.
 */
public final class EdgeLinkCore {
    /** Actions of the link on its connections and its log. */
    public interface Actions {
        /** Sends bytes on a connection. */
        void send(long connection, byte[] bytes);

        /** Closes a connection. */
        void close(long connection);

        /** Bytes sent on a connection that it has not accepted yet. */
        long backlog(long connection);

        /** Logs an event. */
        void log(String event, String detail);
    }

    /**
     * µs between two batches of group loads, and between two ticks. Each group's load is updated
     * every 5 s, so a plan that comes a second later is as useful.
     */
    private static final long SEND_INTERVAL_MICROS = 250_000;

    /** µs of silence after which a connection is closed: three heartbeat intervals. */
    private static final long SILENCE_TIMEOUT_MICROS = 3_000_000;

    /** µs without anything sent after which a heartbeat is sent. */
    private static final long HEARTBEAT_INTERVAL_MICROS = 1_000_000;

    /** Greatest number of groups in one batch; the others wait for the next batch. */
    private static final int MAX_BATCH = 256;

    /**
     * Bytes of backlog from which no more loads are sent, so that a slow planner gets newer ones.
     */
    private static final long MAX_BACKLOG_BYTES = 256 << 10;

    /** Greatest number of connections without an accepted hello; further ones are closed. */
    private static final int MAX_UNIDENTIFIED = 8;

    /** An open connection. */
    private static final class Peer {
        final Frame.FrameDecoder decoder = new Frame.FrameDecoder();
        long lastReceivedAt;

        Peer(long lastReceivedAt) {
            this.lastReceivedAt = lastReceivedAt;
        }
    }

    private static final long NO_CONNECTION = -1;

    private final Settings settings;
    private final PlannedTargetSource plannedTargets;
    private final GroupLoadQueue loadQueue;
    private final long startTag;
    private final Consumer<Plan> planAccepted;
    private final Map<Long, Peer> peers = new TreeMap<>();
    private final Map<String, Long> counters = new TreeMap<>();

    /** Connection of the planner, or {@link #NO_CONNECTION}. */
    private long plannerConnection = NO_CONNECTION;

    private long nextLoadsAt;
    private long nextHeartbeatAt;

    /** Creates a link; {@code startTag} distinguishes this start of the edge from others. */
    public EdgeLinkCore(
            Settings settings,
            PlannedTargetSource plannedTargets,
            GroupLoadQueue loadQueue,
            long startTag) {
        this(settings, plannedTargets, loadQueue, startTag, plan -> {});
    }

    /** Creates a link that passes each plan that comes into force to {@code planAccepted}. */
    public EdgeLinkCore(
            Settings settings,
            PlannedTargetSource plannedTargets,
            GroupLoadQueue loadQueue,
            long startTag,
            Consumer<Plan> planAccepted) {
        this.planAccepted = planAccepted;
        this.settings = settings;
        this.plannedTargets = plannedTargets;
        this.loadQueue = loadQueue;
        this.startTag = startTag;
    }

    /** Whether a planner is connected and has been accepted. */
    public boolean hasPlanner() {
        return plannerConnection >= 0;
    }

    /**
     * Counters by event: plans accepted, plans rejected by reason, planners rejected, malformed
     * frames, silent connections.
     */
    public Map<String, Long> counters() {
        return counters;
    }

    /** A connection has been opened to the edge. */
    public void connectionOpened(long now, long connection, Actions actions) {
        long unidentified = peers.size() - (plannerConnection >= 0 ? 1 : 0);
        if (unidentified >= MAX_UNIDENTIFIED) {
            count("too-many");
            actions.close(connection);
            return;
        }
        peers.put(connection, new Peer(now));
    }

    /** A connection has been closed by the other end or has failed. */
    public void connectionClosed(long now, long connection, Actions actions) {
        peers.remove(connection);
        if (connection == plannerConnection) {
            plannerConnection = NO_CONNECTION;
            actions.log("planner-gone", "connection closed");
        }
    }

    /** Bytes have been received on a connection. */
    public void bytesReceived(long now, long connection, byte[] bytes, Actions actions) {
        Peer peer = peers.get(connection);
        if (peer == null) {
            return;
        }
        peer.lastReceivedAt = now;
        try {
            for (byte[] frame : peer.decoder.feed(bytes)) {
                if (!peers.containsKey(connection)) {
                    return;
                }
                handle(now, connection, Frame.decode(frame), actions);
            }
        } catch (Frame.MalformedFrameException e) {
            count("bad-frame");
            drop(connection, "malformed frame: " + e.getMessage(), actions);
        }
    }

    private void handle(long now, long connection, Frame frame, Actions actions) {
        if (frame instanceof Frame.Hello hello) {
            handleHello(now, connection, hello, actions);
        } else if (connection != plannerConnection) {
            count("unknown-peer");
            drop(connection, "message received before a hello", actions);
        } else if (frame instanceof Frame.PlanOffer offer) {
            PlannedTargetSource.Rejection result = plannedTargets.offer(now, offer.plan());
            count(
                    result == PlannedTargetSource.Rejection.NONE
                            ? "taken"
                            : result.name().toLowerCase(java.util.Locale.ROOT));
            if (result == PlannedTargetSource.Rejection.NONE) {
                planAccepted.accept(offer.plan());
                offer.plan()
                        .groups()
                        .forEach(
                                group ->
                                        loadQueue.planAccepted(group.number(), group.measuredAt()));
            } else {
                actions.log("plan-refused", "version " + offer.plan().version() + " " + result);
            }
            send(connection, new Frame.PlanReply(offer.plan().version(), result.name()), actions);
        }
    }

    private void handleHello(long now, long connection, Frame.Hello hello, Actions actions) {
        String rejection =
                !hello.fromPlanner()
                        ? "not a planner"
                        : hello.router() != settings.localNumber()
                                ? "a planner for router " + hello.router()
                                : hello.classCount() != 2 * settings.services().size()
                                        ? "a planner of " + hello.classCount() + " classes"
                                        : plannerConnection >= 0 && plannerConnection != connection
                                                ? "another planner is there"
                                                : "";
        if (!rejection.isEmpty()) {
            count("turned-away");
            send(connection, new Frame.HelloRejected(rejection), actions);
            drop(connection, rejection, actions);
            return;
        }
        plannerConnection = connection;
        nextLoadsAt = now;
        nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MICROS;
        // Groups whose loads the last planner received and did not plan would have no plan until
        // the next load update, or the one after.
        loadQueue.requeueUnplanned();
        actions.log(
                "planner-here",
                "start " + hello.startTag() + ", plan " + plannedTargets.version() + " in force");
        send(
                connection,
                new Frame.Hello(
                        false,
                        settings.localNumber(),
                        hello.classCount(),
                        startTag,
                        plannedTargets.version()),
                actions);
    }

    /**
     * Closes silent connections, sends queued loads and heartbeats; called at each tick interval.
     */
    public void tick(long now, Actions actions) {
        for (long connection : java.util.List.copyOf(peers.keySet())) {
            // A connection that stalls without closing is useless, and would block a planner that
            // works from being accepted.
            if (now - peers.get(connection).lastReceivedAt >= SILENCE_TIMEOUT_MICROS) {
                count("silent");
                drop(connection, "silent for " + SILENCE_TIMEOUT_MICROS / 1000 + " ms", actions);
            }
        }
        if (plannerConnection < 0) {
            return;
        }
        if (now >= nextLoadsAt
                && loadQueue.queuedCount() > 0
                && actions.backlog(plannerConnection) < MAX_BACKLOG_BYTES) {
            nextLoadsAt = now + SEND_INTERVAL_MICROS;
            send(plannerConnection, new Frame.GroupLoads(loadQueue.drain(MAX_BATCH)), actions);
            nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MICROS;
        }
        if (now >= nextHeartbeatAt) {
            nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MICROS;
            send(plannerConnection, new Frame.Heartbeat(), actions);
        }
    }

    /** µs between two calls of {@link #tick}. */
    public static long tickIntervalMicros() {
        return SEND_INTERVAL_MICROS;
    }

    private void drop(long connection, String reason, Actions actions) {
        peers.remove(connection);
        actions.close(connection);
        actions.log(connection == plannerConnection ? "planner-gone" : "peer-dropped", reason);
        plannerConnection = connection == plannerConnection ? NO_CONNECTION : plannerConnection;
    }

    private static void send(long connection, Frame frame, Actions actions) {
        actions.send(connection, frame.encode());
    }

    private void count(String event) {
        counters.merge(event, 1L, Long::sum);
    }

    /** The counters of the link and of its queue of loads. */
    public Map<String, Long> allCounters() {
        Map<String, Long> all = new TreeMap<>(counters);
        all.put("facts-dropped", loadQueue.counters()[0]);
        all.put("facts-thinned", loadQueue.counters()[1]);
        return all;
    }
}
