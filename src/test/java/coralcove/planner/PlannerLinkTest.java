package coralcove.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import coralcove.GroupLoad;
import coralcove.GroupTargets;
import coralcove.Plan;
import coralcove.PlannedTargetSource;
import coralcove.Planner;
import coralcove.Settings;
import coralcove.TraceFiles;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * The link between an edge and its planners, simulated in virtual time with delays, stalls, lost
 * connections, restarts and corrupt frames.
 */
class PlannerLinkTest {
    private static final int CLASSES = 2;
    private static final int GROUPS = 200;

    private static Settings settings(int number) {
        return new Settings(
                3,
                number,
                false,
                List.of(new Settings.Service(1_500_000, 1, 0.1, 1, 11_000_000, true, List.of())),
                4,
                true,
                true,
                2_000_000,
                true,
                true,
                300_000,
                3,
                1_500_000,
                0.3,
                10_000_000);
    }

    private record Event(long at, long order, Runnable action) {}

    /**
     * One edge and any number of planner processes. Connections are identified by numbers, and
     * bytes keep their order in each direction.
     */
    private static final class LinkSimulation {
        final StringBuilder transcript = new StringBuilder();
        final PriorityQueue<Event> pendingEvents =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        final SplittableRandom random = new SplittableRandom(5);
        final Map<Long, PlannerProcess> openConnections = new LinkedHashMap<>();
        GroupLoadQueue queue = new GroupLoadQueue(1000);
        PlannedTargetSource plannedTargets = new PlannedTargetSource(settings(7), queue::add);
        EdgeLinkCore edge = new EdgeLinkCore(settings(7), plannedTargets, queue, 1);
        boolean edgeUp = true;
        long latency = 500;

        /** Until this time nothing arrives in either direction, though no connection closes. */
        long stalledUntil;

        long lastConnection;
        long now;
        long nextOrder;

        final EdgeLinkCore.Actions edgeActions =
                new EdgeLinkCore.Actions() {
                    @Override
                    public void send(long connection, byte[] bytes) {
                        PlannerProcess process = openConnections.get(connection);
                        if (process != null) {
                            process.pendingBytes += bytes.length;
                            schedule(
                                    arrivalTime(),
                                    () -> {
                                        process.pendingBytes -= bytes.length;
                                        if (process.connection == connection && process.alive) {
                                            process.core.bytesReceived(
                                                    now + process.clockOffset, bytes, process);
                                        }
                                    });
                        }
                    }

                    @Override
                    public void close(long connection) {
                        PlannerProcess process = openConnections.remove(connection);
                        if (process != null) {
                            schedule(
                                    arrivalTime(),
                                    () -> {
                                        if (process.connection == connection) {
                                            process.disconnected();
                                        }
                                    });
                        }
                    }

                    @Override
                    public long backlog(long connection) {
                        PlannerProcess process = openConnections.get(connection);
                        return process == null ? 0 : process.pendingBytes;
                    }

                    @Override
                    public void log(String event, String detail) {
                        record("edge: " + event + " " + detail);
                    }
                };

        /** A simulated planner process, with its end of the connection. */
        final class PlannerProcess implements PlannerCore.Actions {
            final String name;
            final PlannerCore core;
            boolean alive = true;
            long connection = -1;
            long pendingBytes;

            /** µs by which the clock of this process is ahead of the edge's. */
            long clockOffset;

            PlannerProcess(String name, int number, long startTag) {
                this.name = name;
                core = new PlannerCore(settings(number), startTag, random.split());
                tick();
            }

            void tick() {
                if (alive) {
                    core.tick(now + clockOffset, this);
                    schedule(now + PlannerCore.tickIntervalMicros(), this::tick);
                }
            }

            void disconnected() {
                connection = -1;
                if (alive) {
                    core.connectionClosed(now + clockOffset, this);
                }
            }

            void kill() {
                alive = false;
                close();
            }

            @Override
            public void connect() {
                schedule(
                        now + latency,
                        () -> {
                            if (!alive) {
                                return;
                            }
                            if (!edgeUp) {
                                disconnected();
                                return;
                            }
                            long opened = ++lastConnection;
                            connection = opened;
                            openConnections.put(opened, this);
                            edge.connectionOpened(now, opened, edgeActions);
                            if (connection == opened) {
                                core.connected(now + clockOffset, this);
                            }
                        });
            }

            @Override
            public void send(byte[] bytes) {
                long target = connection;
                schedule(
                        arrivalTime(),
                        () -> {
                            if (openConnections.get(target) == this && edgeUp) {
                                edge.bytesReceived(now, target, bytes, edgeActions);
                            }
                        });
            }

            @Override
            public void close() {
                long closing = connection;
                connection = -1;
                if (openConnections.remove(closing, this)) {
                    schedule(now + latency, () -> edge.connectionClosed(now, closing, edgeActions));
                }
            }

            @Override
            public void log(String event, String detail) {
                record(name + ": " + event + " " + detail);
            }
        }

        LinkSimulation() {
            tickEdge();
        }

        void crashEdge(PlannerProcess planner) {
            edgeUp = false;
            openConnections.clear();
            schedule(now + 500, planner::disconnected);
        }

        /** Replaces the edge by one without plans; it accepts connections once edgeUp is set. */
        void resetEdge(Consumer<Plan> planAccepted) {
            queue = new GroupLoadQueue(1000);
            plannedTargets = new PlannedTargetSource(settings(7), queue::add);
            edge = new EdgeLinkCore(settings(7), plannedTargets, queue, 2, planAccepted);
        }

        long arrivalTime() {
            return Math.max(now + latency, stalledUntil);
        }

        void schedule(long time, Runnable action) {
            pendingEvents.add(new Event(time, nextOrder++, action));
        }

        void record(String text) {
            transcript
                    .append(now / 1000)
                    .append(" ms  ")
                    .append(text.replaceAll("in \\d+ ms", "in .. ms"))
                    .append('\n');
        }

        void tickEdge() {
            if (edgeUp) {
                edge.tick(now, edgeActions);
            }
            schedule(now + EdgeLinkCore.tickIntervalMicros(), this::tickEdge);
        }

        /** Schedules the load updates of the edge until the given time: each group every 5 s. */
        void scheduleLoadUpdates(long until) {
            for (long time = now; time < until; time += 5_000_000 / GROUPS) {
                long updateAt = time;
                schedule(
                        updateAt,
                        () -> {
                            if (edgeUp) {
                                plannedTargets.targetsFor(
                                        now,
                                        new GroupLoad(
                                                now,
                                                (int) (updateAt / (5_000_000 / GROUPS) % GROUPS),
                                                30,
                                                new double[] {20 + updateAt % 17, 3}));
                            }
                        });
            }
        }

        LinkSimulation advance(long seconds) {
            long end = now + seconds * 1_000_000;
            while (!pendingEvents.isEmpty() && pendingEvents.peek().at <= end) {
                Event event = pendingEvents.poll();
                now = event.at;
                event.action.run();
            }
            now = end;
            return this;
        }

        void recordFreshness(String label) {
            int[] counts = new int[PlannedTargetSource.Freshness.values().length];
            for (int i = 0; i < GROUPS; i++) {
                counts[plannedTargets.freshness(now, i).ordinal()]++;
            }
            record(
                    label
                            + ": fresh "
                            + counts[0]
                            + ", ageing "
                            + counts[1]
                            + ", stale "
                            + counts[2]
                            + ", "
                            + (edge.hasPlanner() ? "a planner" : "no planner"));
        }
    }

    @Test
    void plansOf200GroupsStayFreshAndAgeWhenThePlannerIsKilled() {
        LinkSimulation simulation = new LinkSimulation();
        simulation.scheduleLoadUpdates(300_000_000);
        LinkSimulation.PlannerProcess first = simulation.new PlannerProcess("planner", 7, 11);
        simulation.advance(7).recordFreshness("after the first refreshes");
        simulation.advance(20).recordFreshness("in steady work");
        first.kill();
        simulation.advance(14).recordFreshness("killed 14 s ago");
        simulation.advance(20).recordFreshness("killed 34 s ago");
        simulation.advance(30).recordFreshness("killed 64 s ago");
        simulation.new PlannerProcess("planner", 7, 12);
        simulation.advance(7).recordFreshness("7 s after a new start");
        assertThat(simulation.transcript.toString()).isEqualTo(TraceFiles.read("link-killed"));
    }

    /**
     * A planner that is restarted every second still keeps all plans fresh: its versions continue
     * from the edge's, and loads that the last planner did not plan are sent again.
     */
    @Test
    void plannerRestartedEverySecondKeepsPlansFresh() {
        LinkSimulation simulation = new LinkSimulation();
        simulation.scheduleLoadUpdates(60_000_000);
        for (int i = 0; i < 40; i++) {
            LinkSimulation.PlannerProcess process =
                    simulation.new PlannerProcess("planner", 7, 100 + i);
            simulation.advance(1);
            process.kill();
        }
        simulation.transcript.setLength(0);
        simulation.recordFreshness("after 40 restarts");
        simulation.record(simulation.edge.allCounters().toString());
        assertThat(simulation.transcript.toString()).isEqualTo(TraceFiles.read("link-restarts"));
    }

    @Test
    void plannerReconnectsToARestartedEdge() {
        LinkSimulation simulation = new LinkSimulation();
        simulation.scheduleLoadUpdates(100_000_000);
        LinkSimulation.PlannerProcess process = simulation.new PlannerProcess("planner", 7, 11);
        simulation.advance(10).recordFreshness("before");
        simulation.crashEdge(process);
        simulation.advance(2).resetEdge(plan -> {});
        simulation.edgeUp = true;
        simulation.recordFreshness("a new edge knows nothing");
        simulation.advance(10).recordFreshness("10 s later");
        assertThat(simulation.transcript.toString())
                .isEqualTo(TraceFiles.read("link-edge-restarts"));
    }

    /**
     * The planner's clock is set forward by an hour, then back by two. The age of loads is measured
     * by the edge's clock, so no plan is rejected. After the step back the planner's timers do not
     * expire, so the edge finds it silent and closes the connection, and it reconnects.
     */
    @Test
    void steppedPlannerClockCostsAtMostAReconnect() {
        LinkSimulation simulation = new LinkSimulation();
        simulation.scheduleLoadUpdates(100_000_000);
        LinkSimulation.PlannerProcess process = simulation.new PlannerProcess("planner", 7, 11);
        simulation.advance(10).recordFreshness("before");
        process.clockOffset += 3_600_000_000L;
        simulation.advance(8).recordFreshness("an hour ahead");
        process.clockOffset -= 7_200_000_000L;
        simulation.advance(8).recordFreshness("an hour behind");
        assertThat(simulation.edge.allCounters().toString())
                .doesNotContain("old_facts")
                .doesNotContain("future_facts");
        assertThat(simulation.transcript.toString()).isEqualTo(TraceFiles.read("link-clock"));
    }

    /**
     * A restarted edge uses its stored plans at once, by the age of their loads, and its planner
     * continues from their version.
     */
    @Test
    void restartedEdgeUsesItsStoredPlans() {
        LinkSimulation simulation = new LinkSimulation();
        UnsavedPlans unsavedPlans = new UnsavedPlans();
        simulation.edge =
                new EdgeLinkCore(
                        settings(7),
                        simulation.plannedTargets,
                        simulation.queue,
                        1,
                        unsavedPlans::add);
        simulation.scheduleLoadUpdates(100_000_000);
        LinkSimulation.PlannerProcess process = simulation.new PlannerProcess("planner", 7, 11);
        simulation.advance(10).recordFreshness("before");
        List<Plan> stored = unsavedPlans.drain();
        assertThat(stored).hasSize(GROUPS);
        assertThat(unsavedPlans.drain()).isEmpty();
        long version = simulation.plannedTargets.version();
        simulation.crashEdge(process);
        simulation.advance(12).resetEdge(unsavedPlans::add);
        simulation.record(
                UnsavedPlans.restore(simulation.now, settings(7), simulation.plannedTargets, stored)
                        + " groups resumed");
        assertThat(simulation.plannedTargets.version()).isEqualTo(version);
        simulation.edgeUp = true;
        simulation.recordFreshness("12 s later, a new edge");
        simulation.advance(10).recordFreshness("10 s on");
        assertThat(simulation.edge.allCounters().toString()).doesNotContain("older_version");
        assertThat(simulation.transcript.toString())
                .isEqualTo(TraceFiles.read("link-edge-resumes"));
        // Plans of another router, plans older than a minute, and plans from the future after the
        // clock was set back are not restored.
        PlannedTargetSource otherRouter = new PlannedTargetSource(settings(8), load -> {});
        assertThat(UnsavedPlans.restore(simulation.now, settings(8), otherRouter, stored)).isZero();
        assertThat(
                        UnsavedPlans.restore(
                                simulation.now + 60_000_000,
                                settings(7),
                                new PlannedTargetSource(settings(7), load -> {}),
                                stored))
                .isZero();
        assertThat(
                        UnsavedPlans.restore(
                                1_000_000,
                                settings(7),
                                new PlannedTargetSource(settings(7), load -> {}),
                                stored))
                .isZero();
    }

    /**
     * When a connection stalls without closing, both ends close it, and bytes that arrive late are
     * ignored.
     */
    @Test
    void stalledConnectionIsReplaced() {
        LinkSimulation simulation = new LinkSimulation();
        simulation.scheduleLoadUpdates(100_000_000);
        simulation.new PlannerProcess("planner", 7, 11);
        simulation.advance(10);
        simulation.stalledUntil = simulation.now + 10_000_000;
        simulation.advance(9).recordFreshness("stalled for 9 s");
        simulation.advance(8).recordFreshness("well again for 7 s");
        assertThat(simulation.edge.allCounters().get("facts-dropped")).isZero();
        assertThat(simulation.transcript.toString()).isEqualTo(TraceFiles.read("link-stalls"));
    }

    /** A second planner and one for another router are rejected; the first continues. */
    @Test
    void acceptsOnePlannerOfItsOwnRouterOnly() {
        LinkSimulation simulation = new LinkSimulation();
        simulation.scheduleLoadUpdates(60_000_000);
        LinkSimulation.PlannerProcess first = simulation.new PlannerProcess("first", 7, 11);
        simulation.advance(3);
        LinkSimulation.PlannerProcess second = simulation.new PlannerProcess("second", 7, 12);
        LinkSimulation.PlannerProcess otherRouter = simulation.new PlannerProcess("other", 8, 13);
        simulation.advance(5).recordFreshness("three planners");
        otherRouter.kill();
        first.kill();
        simulation.advance(12).recordFreshness("the second takes over");
        assertThat(second.core.handshakeComplete()).isTrue();
        assertThat(simulation.transcript.toString()).isEqualTo(TraceFiles.read("link-two"));
    }

    /**
     * Plans that come late, with a delay of 1.4 s each way, are based on older loads and accepted.
     */
    @Test
    void latePlansAreAccepted() {
        LinkSimulation simulation = new LinkSimulation();
        simulation.scheduleLoadUpdates(100_000_000);
        simulation.new PlannerProcess("planner", 7, 11);
        simulation.advance(10);
        simulation.latency = 1_400_000;
        simulation.advance(20).recordFreshness("each way takes 1.4 s");
        assertThat(simulation.edge.allCounters().toString())
                .doesNotContain("old_facts")
                .doesNotContain("silent");
    }

    /**
     * Stored loads are planned once the edge has sent a load, if they are still recent by its
     * clock; old ones never are.
     */
    @Test
    void restartedPlannerPlansRecentStoredLoads() {
        for (long age : new long[] {10_000_000, 50_000_000}) {
            LinkSimulation simulation = new LinkSimulation();
            simulation.now = 100_000_000;
            simulation.scheduleLoadUpdates(simulation.now + 1_000_000);
            LinkSimulation.PlannerProcess process = simulation.new PlannerProcess("planner", 7, 11);
            List<GroupLoad> stored = new ArrayList<>();
            for (int i = 0; i < GROUPS; i++) {
                stored.add(new GroupLoad(simulation.now - age, i, 30, new double[] {20, 3}));
            }
            process.core.restore(stored);
            simulation.transcript.setLength(0);
            simulation.advance(2).recordFreshness("stored");
            // The loads of 40 groups were updated meanwhile; the other groups have a plan from the
            // stored loads, or none.
            assertThat(simulation.transcript.toString())
                    .endsWith(
                            age < 45_000_000
                                    ? "fresh 200, ageing 0, stale 0, a planner\n"
                                    : "fresh 40, ageing 0, stale 160, a planner\n");
        }
    }

    @Test
    void framesAreDecodedAsEncodedAndCorruptOnesAreRejected() throws Exception {
        SplittableRandom random = new SplittableRandom(4);
        Planner planner = new Planner(settings(7));
        List<GroupLoad> loads = new ArrayList<>();
        List<GroupTargets> plans = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            loads.add(
                    new GroupLoad(
                            i,
                            i,
                            20 + i,
                            new double[] {random.nextDouble() * 30, random.nextDouble()}));
            plans.add(planner.targetsFor(i, loads.get(i)));
        }
        List<Frame> frames =
                List.of(
                        new Frame.Hello(true, 7, CLASSES, 5, 6),
                        new Frame.HelloRejected("no"),
                        new Frame.GroupLoads(loads),
                        new Frame.PlanOffer(new Plan(7, 9, plans)),
                        new Frame.PlanReply(9, "NONE"),
                        new Frame.Heartbeat());
        byte[] stream = new byte[0];
        for (Frame frame : frames) {
            byte[] bytes = frame.encode();
            stream = Arrays.copyOf(stream, stream.length + bytes.length);
            System.arraycopy(bytes, 0, stream, stream.length - bytes.length, bytes.length);
        }
        for (int chunkSize : new int[] {1, 7, 100, stream.length}) {
            Frame.FrameDecoder decoder = new Frame.FrameDecoder();
            List<byte[]> decoded = new ArrayList<>();
            for (int start = 0; start < stream.length; start += chunkSize) {
                decoded.addAll(
                        decoder.feed(
                                Arrays.copyOfRange(
                                        stream,
                                        start,
                                        Math.min(stream.length, start + chunkSize))));
            }
            for (int i = 0; i < frames.size(); i++) {
                assertThat(Frame.decode(decoded.get(i)).encode()).isEqualTo(frames.get(i).encode());
            }
        }
        byte[] valid = new Frame.PlanOffer(new Plan(7, 9, plans)).encode();
        byte[] withoutLength = Arrays.copyOfRange(valid, 4, valid.length);
        for (int i = 0; i < 3000; i++) {
            byte[] corrupt = withoutLength.clone();
            corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 << random.nextInt(8));
            assertThatThrownBy(() -> Frame.decode(corrupt))
                    .isInstanceOf(Frame.MalformedFrameException.class);
        }
        assertThatThrownBy(() -> new Frame.FrameDecoder().feed(new byte[] {0x7f, 0, 0, 0}))
                .hasMessage("invalid frame length 2130706432");
    }

    /** Highly loaded groups come first, the others in order of arrival, and none starves. */
    @Test
    void highlyLoadedGroupsAreFirstAndTheOthersInOrderOfArrival() {
        PlanningSchedule schedule = new PlanningSchedule(new int[] {1}, 100);
        for (int i = 0; i < 40; i++) {
            schedule.add(new GroupLoad(1000 + i, i, 10, new double[] {i % 2 == 0 ? 20 + i : 1}));
        }
        assertThat(schedule.add(new GroupLoad(5, 3, 10, new double[] {1}))).isFalse();
        assertThat(schedule.add(new GroupLoad(5, 300, 10, new double[] {1, 2}))).isFalse();
        StringBuilder order = new StringBuilder();
        while (!schedule.isEmpty()) {
            for (GroupLoad load : schedule.takeNext(2000, 8)) {
                order.append(load.number()).append(' ');
            }
            order.append("| ");
        }
        assertThat(order.toString())
                .isEqualTo(
                        "38 36 34 32 30 28 0 1 | 26 24 22 20 18 16 2 3 | 14 12 10 8 6 4 5 7 | "
                                + "9 11 13 15 17 19 21 23 | 25 27 29 31 33 35 37 39 | ");
        assertThat(schedule.takeNext(2000, 8)).isEmpty();
    }
}
