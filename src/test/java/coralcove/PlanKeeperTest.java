package coralcove;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Which plans are taken, what they keep, and how they lose their say. */
class PlanKeeperTest {
    static final Settings SETTINGS =
            new Settings(
                    3,
                    7,
                    false,
                    List.of(
                            new Settings.Service(
                                    1_500_000, 2, 0.25, 2, 16_500_000, true, List.of()),
                            new Settings.Service(
                                    1_500_000, 1, 0.1, 1, 11_000_000, true, List.of())),
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
    private static final int CLASSES = 4;
    private final List<GroupFacts> told = new ArrayList<>();
    private final PlanKeeper keeper = new PlanKeeper(SETTINGS, told::add);
    private final Planner planner = new Planner(SETTINGS);

    private static GroupFacts facts(long at, int number, int size, double... calls) {
        return new GroupFacts(at, number, size, calls);
    }

    private Plan plan(long version, GroupFacts... facts) {
        List<GroupPlan> groups = new ArrayList<>();
        for (GroupFacts each : facts) {
            groups.add(planner.of(each.at(), each));
        }
        return new Plan(7, version, groups);
    }

    @Test
    void aPlanLosesItsSayByStatedSteps() {
        GroupFacts facts = facts(0, 3, 20, 5, 0, 12, 4);
        assertThat(keeper.of(0, facts)).isNull();
        assertThat(keeper.offer(0, plan(1, facts))).isEqualTo(PlanKeeper.Refusal.NONE);
        StringBuilder trace = new StringBuilder();
        for (long s : new long[] {0, 15, 16, 30, 45, 59, 60}) {
            GroupPlan now = keeper.of(s * 1_000_000, facts);
            trace.append(s).append(" s ").append(keeper.age(s * 1_000_000, 3));
            for (int i = 0; now != null && i < CLASSES; i++) {
                trace.append(String.format(" %.2f/%.2f", now.c0()[i], now.c1()[i]));
            }
            trace.append(now == null ? " no targets" : String.format(" beta %.4f", now.beta()))
                    .append('\n');
        }
        assertThat(trace.toString()).isEqualTo(Kept.trace("plan-ages"));
        assertThat(told).hasSize(8);
    }

    @Test
    void whatIsNotForThisRouterOrTooOldOrOutOfRangeIsRefusedWhole() {
        GroupFacts good = facts(100_000_000, 3, 20, 5, 0, 12, 4);
        long now = 101_000_000;
        assertThat(keeper.offer(now, plan(5, good))).isEqualTo(PlanKeeper.Refusal.NONE);
        assertThat(keeper.offer(now, plan(5, good))).isEqualTo(PlanKeeper.Refusal.OLDER_VERSION);
        assertThat(keeper.offer(now, new Plan(8, 6, List.of())))
                .isEqualTo(PlanKeeper.Refusal.OTHER_ROUTER);
        assertThat(keeper.offer(now, plan(6, good, facts(now - 60_000_000, 4, 20, 1, 0, 0, 0))))
                .isEqualTo(PlanKeeper.Refusal.OLD_FACTS);
        assertThat(keeper.offer(now, plan(6, facts(now + 1_000_001, 4, 20, 1, 0, 0, 0))))
                .isEqualTo(PlanKeeper.Refusal.FUTURE_FACTS);
        GroupPlan bad = planner.of(now, good);
        bad.c0()[0] = Double.NaN;
        assertThat(keeper.offer(now, new Plan(7, 6, List.of(bad))))
                .isEqualTo(PlanKeeper.Refusal.OUT_OF_RANGE);
        assertThat(keeper.version()).isEqualTo(5);
        assertThat(keeper.age(now, 4)).isEqualTo(PlanKeeper.Age.STALE);
        GroupPlan far =
                new GroupPlan(now, 100_000, 1, bad.c0(), bad.c1(), bad.seen(), bad.phantoms());
        assertThat(keeper.offer(now, new Plan(7, 6, List.of(far))))
                .isEqualTo(PlanKeeper.Refusal.OUT_OF_RANGE);
    }

    /**
     * What a session looks at: whether a plan has come, and the plan of its group while it is
     * fresh.
     */
    @Test
    void aLookAtAFreshPlanMakesNothing() {
        for (int group = 0; group < 300; group++) {
            keeper.offer(10_000_000, plan(1 + group, facts(9_000_000, group, 20, 5, 0, 12, 4)));
        }
        com.sun.management.ThreadMXBean threads =
                (com.sun.management.ThreadMXBean)
                        java.lang.management.ManagementFactory.getThreadMXBean();
        long me = Thread.currentThread().getId();
        long seen = 0;
        long before = 0;
        for (int round = 0; round < 2; round++) {
            // The first round loads what the counting itself needs.
            before = threads.getThreadAllocatedBytes(me);
            for (int i = 0; i < 100_000; i++) {
                seen += keeper.version() + keeper.held(11_000_000, i % 300).number();
            }
            before = threads.getThreadAllocatedBytes(me) - before;
        }
        assertThat(seen).isPositive();
        assertThat(before).isLessThan(1000);
    }

    /** Facts older than those of the plan in force take nothing back. */
    @Test
    void olderFactsInANewerPlanDoNotReplaceNewerOnes() {
        keeper.offer(10_000_000, plan(1, facts(9_000_000, 3, 20, 5, 0, 12, 4)));
        double c0 = keeper.of(10_000_000, facts(10_000_000, 3, 20, 0, 0, 0, 0)).c0()[2];
        assertThat(keeper.offer(10_000_000, plan(2, facts(1_000_000, 3, 20, 1, 0, 1, 0))))
                .isEqualTo(PlanKeeper.Refusal.NONE);
        assertThat(keeper.of(10_000_000, facts(10_000_000, 3, 20, 0, 0, 0, 0)).c0()[2])
                .isEqualTo(c0);
    }

    /**
     * Whatever is offered, what the decisions then go by is within the design's bounds, at any age.
     */
    @Property(tries = 2000, seed = "17")
    void everyPlanTakenKeepsTheBounds(@ForAll @LongRange(min = 0) long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        double[] calls = new double[CLASSES];
        for (int i = 0; i < CLASSES; i++) {
            calls[i] = chance.nextInt(3) == 0 ? 0 : chance.nextDouble() * 40;
        }
        GroupPlan group = planner.of(0, facts(0, 1, chance.nextInt(60), calls));
        boolean spoilt = chance.nextInt(3) > 0;
        for (int i = 0; spoilt && i < 1 + chance.nextInt(2); i++) {
            double[] odd = {Double.NaN, -1, Double.POSITIVE_INFINITY, 0, 1e-300, 7};
            double value = odd[chance.nextInt(odd.length)];
            int at = chance.nextInt(CLASSES);
            switch (chance.nextInt(5)) {
                case 0 -> group.c0()[at] = value;
                case 1 -> group.c1()[at] = value;
                case 2 -> group.phantoms()[at] = value;
                case 3 -> group.seen()[at] = !group.seen()[at];
                default ->
                        group =
                                new GroupPlan(
                                        0,
                                        1,
                                        value,
                                        group.c0(),
                                        group.c1(),
                                        group.seen(),
                                        group.phantoms());
            }
        }
        PlanKeeper.Refusal refusal =
                keeper.offer(0, new Plan(7, keeper.version() + 1, List.of(group)));
        assertThat(spoilt || refusal == PlanKeeper.Refusal.NONE).isTrue();
        if (refusal != PlanKeeper.Refusal.NONE) {
            return;
        }
        GroupPlan now = keeper.of(0, facts(0, 1, 1, calls));
        for (long age = 0;
                now != null;
                age += 5_000_000, now = keeper.of(age, facts(0, 1, 1, calls))) {
            double least = Double.POSITIVE_INFINITY;
            double sum = 0;
            for (int i = 0; i < CLASSES; i++) {
                assertThat(now.c0()[i]).isBetween(0.0, Double.MAX_VALUE);
                assertThat(now.c1()[i]).isBetween(0.0, Double.MAX_VALUE);
                assertThat(now.c0()[i] + now.c1()[i] > 0).isEqualTo(now.seen()[i]);
                sum += now.c0()[i];
                least =
                        now.c0()[i] > 0
                                ? Math.min(
                                        least,
                                        now.c1()[i] > 0
                                                ? Math.min(now.c0()[i], now.c1()[i])
                                                : now.c0()[i])
                                : least;
            }
            assertThat(now.beta()).isPositive();
            if (sum > 0) {
                assertThat(now.beta()).isLessThanOrEqualTo(0.05 * least * (1 + 1e-6));
            }
        }
    }

    /** How many of 60 sessions at one moment go to the exchange. */
    private static int sent(Choice choice, long now, long first) {
        int sent = 0;
        for (int i = 0; i < 60; i++) {
            Session session =
                    new Session(
                            first + i,
                            1,
                            0,
                            1,
                            1,
                            -1,
                            false,
                            1000 + first + i,
                            false,
                            false,
                            now,
                            now + 9_000_000);
            sent += choice.route(now, session).kind() == Answer.Kind.SEND ? 1 : 0;
        }
        return sent;
    }

    /**
     * A plan from before an exchange's restart, or its drain, undoes neither the cold guard nor the
     * drain.
     */
    @Test
    void aPlanFromBeforeARestartUndoesNoGuard() {
        long now = 100_000_000;
        PlanKeeper planned = new PlanKeeper(SETTINGS, f -> {});
        assertThat(planned.offer(now, plan(1, facts(now - 10_000_000, 1, 1000, 0, 0, 400, 0))))
                .isEqualTo(PlanKeeper.Refusal.NONE);
        int[] cold = new int[2];
        int[] drained = new int[2];
        for (int i = 0; i < 2; i++) {
            Choice choice =
                    new Choice(SETTINGS, new SplittableRandom(1), i == 0 ? planner : planned);
            choice.roster(
                    now, true, List.of(new Exchange(101, 1, Exchange.Phase.READY, now - 1000)));
            choice.circuits(now, 101, 1000, 1000);
            cold[i] = sent(choice, now, 1);
            choice.roster(
                    now + 1000,
                    true,
                    List.of(new Exchange(101, 1, Exchange.Phase.DRAINING, now - 1000)));
            drained[i] = sent(choice, now + 1000, 100);
        }
        assertThat(cold[1]).isEqualTo(cold[0]).isBetween(1, 5);
        assertThat(drained).containsExactly(0, 0);
    }

    /**
     * A plan that comes between a session's INVITE and its retry changes targets, not where the
     * session goes on.
     */
    @Test
    void aPlanInTheMiddleOfARetry() {
        for (boolean comes : new boolean[] {false, true}) {
            PlanKeeper planned = new PlanKeeper(SETTINGS, f -> {});
            Choice choice = new Choice(SETTINGS, new SplittableRandom(1), planned);
            choice.roster(
                    1,
                    true,
                    List.of(
                            new Exchange(101, 1, Exchange.Phase.READY, 0),
                            new Exchange(102, 2, Exchange.Phase.READY, 0)));
            choice.circuits(1, 101, 50, 50);
            choice.circuits(1, 102, 50, 50);
            Session session = new Session(1, 1, 0, 1, 1, -1, false, 55, false, false, 1, 9_000_000);
            assertThat(choice.route(1, session)).isEqualTo(Answer.send(101, 8_999_999));
            if (comes) {
                assertThat(
                                planned.offer(
                                        100_000,
                                        plan(
                                                1,
                                                facts(1, 1, 50, 0, 0, 400, 0),
                                                facts(1, 2, 50, 0, 0, 10, 0))))
                        .isEqualTo(PlanKeeper.Refusal.NONE);
            }
            assertThat(
                            choice.after(
                                    200_000,
                                    1,
                                    Ending.NOT_SENT,
                                    Cause.NO_CIRCUIT,
                                    101,
                                    199_999,
                                    0,
                                    false))
                    .isEqualTo(Answer.send(102, 8_800_000));
        }
    }
}
