package coralcove.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import coralcove.GroupFacts;
import coralcove.GroupPlan;
import coralcove.Kept;
import coralcove.Plan;
import coralcove.PlanKeeper;
import coralcove.Planner;
import coralcove.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Edge and planner over a pipe in virtual time that delays, stalls, cuts and spoils. */
class LinkTest {
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

    private record Event(long at, long order, Runnable act) {}

    /**
     * One edge, any number of planners; connections are numbers, in each direction bytes keep their
     * order.
     */
    private static final class World {
        final StringBuilder told = new StringBuilder();
        final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        final SplittableRandom chance = new SplittableRandom(5);
        final Map<Long, End> open = new LinkedHashMap<>();
        FactsOut facts = new FactsOut(1000);
        PlanKeeper keeper = new PlanKeeper(settings(7), facts::add);
        EdgeLink edge = new EdgeLink(settings(7), keeper, facts, 1);
        boolean edgeUp = true;
        long delay = 500;

        /** Until when nothing arrives either way, though no connection closes. */
        long stalledUntil;

        long connections;
        long now;
        long order;

        final EdgeLink.Out edgeOut =
                new EdgeLink.Out() {
                    @Override
                    public void send(long connection, byte[] bytes) {
                        End end = open.get(connection);
                        if (end != null) {
                            end.backlog += bytes.length;
                            at(
                                    arrival(),
                                    () -> {
                                        end.backlog -= bytes.length;
                                        if (end.connection == connection && end.alive) {
                                            end.core.read(now + end.skew, bytes, end);
                                        }
                                    });
                        }
                    }

                    @Override
                    public void close(long connection) {
                        End end = open.remove(connection);
                        if (end != null) {
                            at(
                                    arrival(),
                                    () -> {
                                        if (end.connection == connection) {
                                            end.hungUp();
                                        }
                                    });
                        }
                    }

                    @Override
                    public long backlog(long connection) {
                        End end = open.get(connection);
                        return end == null ? 0 : end.backlog;
                    }

                    @Override
                    public void log(String event, String detail) {
                        say("edge: " + event + " " + detail);
                    }
                };

        /** A planner's process. */
        final class End implements PlannerCore.Out {
            final String name;
            final PlannerCore core;
            boolean alive = true;
            long connection = -1;
            long backlog;

            /** What this program's clock is ahead of the edge's. */
            long skew;

            End(String name, int number, long start) {
                this.name = name;
                core = new PlannerCore(settings(number), start, chance.split());
                beat();
            }

            void beat() {
                if (alive) {
                    core.tick(now + skew, this);
                    at(now + PlannerCore.every(), this::beat);
                }
            }

            void hungUp() {
                connection = -1;
                if (alive) {
                    core.closed(now + skew, this);
                }
            }

            void kill() {
                alive = false;
                close();
            }

            @Override
            public void connect() {
                at(
                        now + delay,
                        () -> {
                            if (!alive) {
                                return;
                            }
                            if (!edgeUp) {
                                hungUp();
                                return;
                            }
                            long made = ++connections;
                            connection = made;
                            open.put(made, this);
                            edge.opened(now, made, edgeOut);
                            if (connection == made) {
                                core.connected(now + skew, this);
                            }
                        });
            }

            @Override
            public void send(byte[] bytes) {
                long to = connection;
                at(
                        arrival(),
                        () -> {
                            if (open.get(to) == this && edgeUp) {
                                edge.read(now, to, bytes, edgeOut);
                            }
                        });
            }

            @Override
            public void close() {
                long old = connection;
                connection = -1;
                if (open.remove(old, this)) {
                    at(now + delay, () -> edge.closed(now, old, edgeOut));
                }
            }

            @Override
            public void log(String event, String detail) {
                say(name + ": " + event + " " + detail);
            }
        }

        World() {
            edgeBeat();
        }

        void edgeEnds(End planner) {
            edgeUp = false;
            open.clear();
            at(now + 500, planner::hungUp);
        }

        /** An edge that knows nothing; it is up once that is said. */
        void newEdge(Consumer<Plan> taken) {
            facts = new FactsOut(1000);
            keeper = new PlanKeeper(settings(7), facts::add);
            edge = new EdgeLink(settings(7), keeper, facts, 2, taken);
        }

        long arrival() {
            return Math.max(now + delay, stalledUntil);
        }

        void at(long time, Runnable act) {
            events.add(new Event(time, order++, act));
        }

        void say(String what) {
            told.append(now / 1000)
                    .append(" ms  ")
                    .append(what.replaceAll("in \\d+ ms", "in .. ms"))
                    .append('\n');
        }

        void edgeBeat() {
            if (edgeUp) {
                edge.tick(now, edgeOut);
            }
            at(now + EdgeLink.every(), this::edgeBeat);
        }

        /** The edge's refreshes: each group every 5 s. */
        void refreshes(long until) {
            for (long t = now; t < until; t += 5_000_000 / GROUPS) {
                long when = t;
                at(
                        when,
                        () -> {
                            if (edgeUp) {
                                keeper.of(
                                        now,
                                        new GroupFacts(
                                                now,
                                                (int) (when / (5_000_000 / GROUPS) % GROUPS),
                                                30,
                                                new double[] {20 + when % 17, 3}));
                            }
                        });
            }
        }

        World pass(long seconds) {
            long end = now + seconds * 1_000_000;
            while (!events.isEmpty() && events.peek().at <= end) {
                Event event = events.poll();
                now = event.at;
                event.act.run();
            }
            now = end;
            return this;
        }

        void ages(String what) {
            int[] counts = new int[PlanKeeper.Age.values().length];
            for (int i = 0; i < GROUPS; i++) {
                counts[keeper.age(now, i).ordinal()]++;
            }
            say(
                    what
                            + ": fresh "
                            + counts[0]
                            + ", ageing "
                            + counts[1]
                            + ", stale "
                            + counts[2]
                            + ", "
                            + (edge.planned() ? "a planner" : "no planner"));
        }
    }

    @Test
    void plansComeInTimeFor200GroupsAndAgeWhenThePlannerIsKilled() {
        World world = new World();
        world.refreshes(300_000_000);
        World.End first = world.new End("planner", 7, 11);
        world.pass(7).ages("after the first refreshes");
        world.pass(20).ages("in steady work");
        first.kill();
        world.pass(14).ages("killed 14 s ago");
        world.pass(20).ages("killed 34 s ago");
        world.pass(30).ages("killed 64 s ago");
        world.new End("planner", 7, 12);
        world.pass(7).ages("7 s after a new start");
        assertThat(world.told.toString()).isEqualTo(Kept.trace("link-killed"));
    }

    /**
     * Restarted every second, the planner still keeps the plans young: versions go on from the
     * edge's.
     */
    @Test
    void aPlannerRestartedEverySecond() {
        World world = new World();
        world.refreshes(60_000_000);
        for (int i = 0; i < 40; i++) {
            World.End end = world.new End("planner", 7, 100 + i);
            world.pass(1);
            end.kill();
        }
        world.told.setLength(0);
        world.ages("after 40 restarts");
        world.say(world.edge.report().toString());
        assertThat(world.told.toString()).isEqualTo(Kept.trace("link-restarts"));
    }

    @Test
    void theEdgeRestartsUnderARunningPlanner() {
        World world = new World();
        world.refreshes(100_000_000);
        World.End end = world.new End("planner", 7, 11);
        world.pass(10).ages("before");
        world.edgeEnds(end);
        world.pass(2).newEdge(plan -> {});
        world.edgeUp = true;
        world.ages("a new edge knows nothing");
        world.pass(10).ages("10 s later");
        assertThat(world.told.toString()).isEqualTo(Kept.trace("link-edge-restarts"));
    }

    /**
     * The planner's clock is set forward by an hour, then back by two. Facts keep the edge's age,
     * so that no plan is refused; set back, its timers wait so long that the edge takes it for
     * silent, and it connects anew.
     */
    @Test
    void thePlannersClockIsStepped() {
        World world = new World();
        world.refreshes(100_000_000);
        World.End end = world.new End("planner", 7, 11);
        world.pass(10).ages("before");
        end.skew += 3_600_000_000L;
        world.pass(8).ages("an hour ahead");
        end.skew -= 7_200_000_000L;
        world.pass(8).ages("an hour behind");
        assertThat(world.edge.report().toString())
                .doesNotContain("old_facts")
                .doesNotContain("future_facts");
        assertThat(world.told.toString()).isEqualTo(Kept.trace("link-clock"));
    }

    /**
     * An edge that kept its plans goes on by them from its first moment, as old as they are, and
     * the planner goes on.
     */
    @Test
    void anEdgeGoesOnByThePlansItKept() {
        World world = new World();
        PlanShelf shelf = new PlanShelf();
        world.edge = new EdgeLink(settings(7), world.keeper, world.facts, 1, shelf::taken);
        world.refreshes(100_000_000);
        World.End end = world.new End("planner", 7, 11);
        world.pass(10).ages("before");
        List<Plan> stored = shelf.drain();
        assertThat(stored).hasSize(GROUPS);
        assertThat(shelf.drain()).isEmpty();
        long version = world.keeper.version();
        world.edgeEnds(end);
        world.pass(12).newEdge(shelf::taken);
        world.say(
                PlanShelf.resume(world.now, settings(7), world.keeper, stored) + " groups resumed");
        assertThat(world.keeper.version()).isEqualTo(version);
        world.edgeUp = true;
        world.ages("12 s later, a new edge");
        world.pass(10).ages("10 s on");
        assertThat(world.edge.report().toString()).doesNotContain("older_version");
        assertThat(world.told.toString()).isEqualTo(Kept.trace("link-edge-resumes"));
        // For another router, older than a minute, from a clock that was set back: none of it
        // counts.
        PlanKeeper other = new PlanKeeper(settings(8), f -> {});
        assertThat(PlanShelf.resume(world.now, settings(8), other, stored)).isZero();
        assertThat(
                        PlanShelf.resume(
                                world.now + 60_000_000,
                                settings(7),
                                new PlanKeeper(settings(7), f -> {}),
                                stored))
                .isZero();
        assertThat(
                        PlanShelf.resume(
                                1_000_000,
                                settings(7),
                                new PlanKeeper(settings(7), f -> {}),
                                stored))
                .isZero();
    }

    /**
     * A link that stalls without closing: both ends give it up, and what arrives late is not heard.
     */
    @Test
    void aLinkThatStallsWithoutClosing() {
        World world = new World();
        world.refreshes(100_000_000);
        world.new End("planner", 7, 11);
        world.pass(10);
        world.stalledUntil = world.now + 10_000_000;
        world.pass(9).ages("stalled for 9 s");
        world.pass(8).ages("well again for 7 s");
        assertThat(world.edge.report().get("facts-dropped")).isZero();
        assertThat(world.told.toString()).isEqualTo(Kept.trace("link-stalls"));
    }

    /**
     * The second planner, one for another router and one of another make are turned away; the first
     * goes on.
     */
    @Test
    void onlyOnePlannerAndOnlyTheRightOne() {
        World world = new World();
        world.refreshes(60_000_000);
        World.End first = world.new End("first", 7, 11);
        world.pass(3);
        World.End second = world.new End("second", 7, 12);
        World.End other = world.new End("other", 8, 13);
        world.pass(5).ages("three planners");
        other.kill();
        first.kill();
        world.pass(12).ages("the second takes over");
        assertThat(second.core.agreed()).isTrue();
        assertThat(world.told.toString()).isEqualTo(Kept.trace("link-two"));
    }

    /**
     * Slow by ten seconds, a planner's plans rest on old facts, and are taken as long as those are
     * not stale.
     */
    @Test
    void aSlowPlannerIsAgeingNotWrong() {
        World world = new World();
        world.refreshes(100_000_000);
        world.new End("planner", 7, 11);
        world.pass(10);
        world.delay = 1_400_000;
        world.pass(20).ages("each way takes 1.4 s");
        assertThat(world.edge.report().toString())
                .doesNotContain("old_facts")
                .doesNotContain("silent");
    }

    /**
     * Facts from a store are planned once the edge has told its time, if they are still young; old
     * ones never.
     */
    @Test
    void aNewPlannerPlansWhatWasStored() {
        for (long age : new long[] {10_000_000, 50_000_000}) {
            World world = new World();
            world.now = 100_000_000;
            world.refreshes(world.now + 1_000_000);
            World.End end = world.new End("planner", 7, 11);
            List<GroupFacts> stored = new ArrayList<>();
            for (int i = 0; i < GROUPS; i++) {
                stored.add(new GroupFacts(world.now - age, i, 30, new double[] {20, 3}));
            }
            end.core.learn(stored);
            world.told.setLength(0);
            world.pass(2).ages("stored");
            // 40 groups were refreshed meanwhile; the others have their plan from the store, or
            // none.
            assertThat(world.told.toString())
                    .endsWith(
                            age < 45_000_000
                                    ? "fresh 200, ageing 0, stale 0, a planner\n"
                                    : "fresh 40, ageing 0, stale 160, a planner\n");
        }
    }

    @Test
    void framesAreReadAsTheyWereWrittenAndSpoiltOnesAreNot() throws Exception {
        SplittableRandom chance = new SplittableRandom(4);
        Planner planner = new Planner(settings(7));
        List<GroupFacts> facts = new ArrayList<>();
        List<GroupPlan> plans = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            facts.add(
                    new GroupFacts(
                            i,
                            i,
                            20 + i,
                            new double[] {chance.nextDouble() * 30, chance.nextDouble()}));
            plans.add(planner.of(i, facts.get(i)));
        }
        List<Frame> frames =
                List.of(
                        new Frame.Hello(true, 7, CLASSES, 5, 6),
                        new Frame.Refused("no"),
                        new Frame.Facts(facts),
                        new Frame.Planned(new Plan(7, 9, plans)),
                        new Frame.Taken(9, "NONE"),
                        new Frame.Alive());
        byte[] stream = new byte[0];
        for (Frame frame : frames) {
            byte[] bytes = frame.bytes();
            stream = Arrays.copyOf(stream, stream.length + bytes.length);
            System.arraycopy(bytes, 0, stream, stream.length - bytes.length, bytes.length);
        }
        for (int step : new int[] {1, 7, 100, stream.length}) {
            Frame.Framer framer = new Frame.Framer();
            List<byte[]> read = new ArrayList<>();
            for (int at = 0; at < stream.length; at += step) {
                read.addAll(
                        framer.take(
                                Arrays.copyOfRange(
                                        stream, at, Math.min(stream.length, at + step))));
            }
            for (int i = 0; i < frames.size(); i++) {
                assertThat(Frame.read(read.get(i)).bytes()).isEqualTo(frames.get(i).bytes());
            }
        }
        byte[] good = new Frame.Planned(new Plan(7, 9, plans)).bytes();
        byte[] body = Arrays.copyOfRange(good, 4, good.length);
        for (int i = 0; i < 3000; i++) {
            byte[] spoilt = body.clone();
            spoilt[chance.nextInt(spoilt.length)] ^= (byte) (1 << chance.nextInt(8));
            assertThatThrownBy(() -> Frame.read(spoilt)).isInstanceOf(Frame.Bad.class);
        }
        assertThatThrownBy(() -> new Frame.Framer().take(new byte[] {0x7f, 0, 0, 0}))
                .hasMessage("a frame of 2130706432 bytes");
    }

    /** The pressed groups come first, the rest in turn, and nobody waits for ever. */
    @Test
    void pressedGroupsFirstAndTheRestInTurn() {
        Schedule schedule = new Schedule(new int[] {1}, 100);
        for (int i = 0; i < 40; i++) {
            schedule.told(new GroupFacts(1000 + i, i, 10, new double[] {i % 2 == 0 ? 20 + i : 1}));
        }
        assertThat(schedule.told(new GroupFacts(5, 3, 10, new double[] {1}))).isFalse();
        assertThat(schedule.told(new GroupFacts(5, 300, 10, new double[] {1, 2}))).isFalse();
        StringBuilder order = new StringBuilder();
        while (!schedule.idle()) {
            for (GroupFacts each : schedule.next(2000, 8)) {
                order.append(each.number()).append(' ');
            }
            order.append("| ");
        }
        assertThat(order.toString())
                .isEqualTo(
                        "38 36 34 32 30 28 0 1 | 26 24 22 20 18 16 2 3 | 14 12 10 8 6 4 5 7 | "
                                + "9 11 13 15 17 19 21 23 | 25 27 29 31 33 35 37 39 | ");
        assertThat(schedule.next(2000, 8)).isEmpty();
    }
}
