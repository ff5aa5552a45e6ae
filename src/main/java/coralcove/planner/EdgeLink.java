package coralcove.planner;

import coralcove.Plan;
import coralcove.PlanKeeper;
import coralcove.Settings;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The edge's end of the link, without sockets and clock: it listens, takes one planner, tells it
 * facts and takes its plans. What a planner does or fails to do never reaches the sessions but
 * through {@link PlanKeeper}.
 */
public final class EdgeLink {
    /** What it does. */
    public interface Out {
        void send(long connection, byte[] bytes);

        void close(long connection);

        /** Bytes that this connection has not taken yet. */
        long backlog(long connection);

        void log(String event, String detail);
    }

    /**
     * µs between two batches of facts: a refresh comes each 5 s a group, and a plan a second later
     * is as good.
     */
    private static final long EVERY = 250_000;

    /** µs of silence after which the other end is taken for dead: three of its signs of life. */
    private static final long SILENT = 3_000_000;

    /** µs between two signs of life. */
    private static final long ALIVE = 1_000_000;

    /** Groups in one batch; more wait for the next, the newest of each group only. */
    private static final int BATCH = 256;

    /**
     * Bytes waiting from which no more facts are sent: a planner that reads no faster gets newer
     * ones later.
     */
    private static final long BACKLOG = 256 << 10;

    /** Connections that have not said who they are, at most: past it a new one is closed. */
    private static final int UNKNOWN = 8;

    private static final class Peer {
        final Frame.Framer framer = new Frame.Framer();
        long heard;

        Peer(long heard) {
            this.heard = heard;
        }
    }

    private final Settings settings;
    private final PlanKeeper keeper;
    private final FactsOut facts;
    private final long start;
    private final Consumer<Plan> taken;
    private final Map<Long, Peer> peers = new TreeMap<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private long planner = -1;
    private long factsAt;
    private long aliveAt;

    /** {@code start} tells this start from others. */
    public EdgeLink(Settings settings, PlanKeeper keeper, FactsOut facts, long start) {
        this(settings, keeper, facts, start, plan -> {});
    }

    /** {@code taken} hears of each plan that is in force from now on. */
    public EdgeLink(
            Settings settings,
            PlanKeeper keeper,
            FactsOut facts,
            long start,
            Consumer<Plan> taken) {
        this.taken = taken;
        this.settings = settings;
        this.keeper = keeper;
        this.facts = facts;
        this.start = start;
    }

    public boolean planned() {
        return planner >= 0;
    }

    /**
     * What happened how often: plans taken and refused by reason, planners turned away, bad frames,
     * silences.
     */
    public Map<String, Long> counts() {
        return counts;
    }

    public void opened(long now, long connection, Out out) {
        long unknown = peers.size() - (planner >= 0 ? 1 : 0);
        if (unknown >= UNKNOWN) {
            count("too-many");
            out.close(connection);
            return;
        }
        peers.put(connection, new Peer(now));
    }

    public void closed(long now, long connection, Out out) {
        peers.remove(connection);
        if (connection == planner) {
            planner = -1;
            out.log("planner-gone", "connection closed");
        }
    }

    public void read(long now, long connection, byte[] bytes, Out out) {
        Peer peer = peers.get(connection);
        if (peer == null) {
            return;
        }
        peer.heard = now;
        try {
            for (byte[] each : peer.framer.take(bytes)) {
                if (!peers.containsKey(connection)) {
                    return;
                }
                take(now, connection, Frame.read(each), out);
            }
        } catch (Frame.Bad e) {
            count("bad-frame");
            drop(connection, "bad frame: " + e.getMessage(), out);
        }
    }

    private void take(long now, long connection, Frame frame, Out out) {
        if (frame instanceof Frame.Hello hello) {
            hello(now, connection, hello, out);
        } else if (connection != planner) {
            count("unknown-peer");
            drop(connection, "spoke before it said who it is", out);
        } else if (frame instanceof Frame.Planned planned) {
            PlanKeeper.Refusal refusal = keeper.offer(now, planned.plan());
            count(
                    refusal == PlanKeeper.Refusal.NONE
                            ? "taken"
                            : refusal.name().toLowerCase(java.util.Locale.ROOT));
            if (refusal == PlanKeeper.Refusal.NONE) {
                taken.accept(planned.plan());
                planned.plan().groups().forEach(group -> facts.planned(group.number(), group.at()));
            } else {
                out.log("plan-refused", "version " + planned.plan().version() + " " + refusal);
            }
            send(connection, new Frame.Taken(planned.plan().version(), refusal.name()), out);
        }
    }

    private void hello(long now, long connection, Frame.Hello hello, Out out) {
        String reason =
                !hello.planner()
                        ? "not a planner"
                        : hello.router() != settings.ownNumber()
                                ? "a planner for router " + hello.router()
                                : hello.classes() != 2 * settings.services().size()
                                        ? "a planner of " + hello.classes() + " classes"
                                        : planner >= 0 && planner != connection
                                                ? "another planner is there"
                                                : "";
        if (!reason.isEmpty()) {
            count("turned-away");
            send(connection, new Frame.Refused(reason), out);
            drop(connection, reason, out);
            return;
        }
        planner = connection;
        factsAt = now;
        aliveAt = now + ALIVE;
        // What the last planner heard and did not plan would be missing until the next refresh, or
        // the one after.
        facts.again();
        out.log(
                "planner-here",
                "start " + hello.start() + ", plan " + keeper.version() + " in force");
        send(
                connection,
                new Frame.Hello(
                        false, settings.ownNumber(), hello.classes(), start, keeper.version()),
                out);
    }

    public void tick(long now, Out out) {
        for (long connection : java.util.List.copyOf(peers.keySet())) {
            // A link that stalls without closing is as good as none, and holds the place of a
            // planner that is well.
            if (now - peers.get(connection).heard >= SILENT) {
                count("silent");
                drop(connection, "silent for " + SILENT / 1000 + " ms", out);
            }
        }
        if (planner < 0) {
            return;
        }
        if (now >= factsAt && facts.waiting() > 0 && out.backlog(planner) < BACKLOG) {
            factsAt = now + EVERY;
            send(planner, new Frame.Facts(facts.take(BATCH)), out);
            aliveAt = now + ALIVE;
        }
        if (now >= aliveAt) {
            aliveAt = now + ALIVE;
            send(planner, new Frame.Alive(), out);
        }
    }

    /** µs between two looks of {@link #tick}. */
    public static long every() {
        return EVERY;
    }

    private void drop(long connection, String reason, Out out) {
        peers.remove(connection);
        out.close(connection);
        out.log(connection == planner ? "planner-gone" : "peer-dropped", reason);
        planner = connection == planner ? -1 : planner;
    }

    private static void send(long connection, Frame frame, Out out) {
        out.send(connection, frame.bytes());
    }

    private void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    /** Counters for a report. */
    public Map<String, Long> report() {
        Map<String, Long> all = new TreeMap<>(counts);
        all.put("facts-dropped", facts.counts()[0]);
        all.put("facts-thinned", facts.counts()[1]);
        return all;
    }
}
