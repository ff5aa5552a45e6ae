package coralcove;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests which plans are accepted, and how their targets change with age. */
class PlannedTargetSourceTest {
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
    private final List<GroupLoad> reportedLoads = new ArrayList<>();
    private final PlannedTargetSource source =
            new PlannedTargetSource(SETTINGS, reportedLoads::add);
    private final Planner planner = new Planner(SETTINGS);

    private static GroupLoad load(long at, int number, int size, double... calls) {
        return new GroupLoad(at, number, size, calls);
    }

    private Plan plan(long version, GroupLoad... loads) {
        List<GroupTargets> groups = new ArrayList<>();
        for (GroupLoad load : loads) {
            groups.add(planner.targetsFor(load.measuredAt(), load));
        }
        return new Plan(7, version, groups);
    }

    @Test
    void planLosesWeightWithAge() {
        GroupLoad load = load(0, 3, 20, 5, 0, 12, 4);
        assertThat(source.targetsFor(0, load)).isNull();
        assertThat(source.offer(0, plan(1, load))).isEqualTo(PlannedTargetSource.Rejection.NONE);
        StringBuilder trace = new StringBuilder();
        for (long seconds : new long[] {0, 15, 16, 30, 45, 59, 60}) {
            GroupTargets targets = source.targetsFor(seconds * 1_000_000, load);
            trace.append(seconds).append(" s ").append(source.freshness(seconds * 1_000_000, 3));
            for (int i = 0; targets != null && i < CLASSES; i++) {
                trace.append(String.format(" %.2f/%.2f", targets.c0()[i], targets.c1()[i]));
            }
            trace.append(
                            targets == null
                                    ? " no targets"
                                    : String.format(" beta %.4f", targets.beta()))
                    .append('\n');
        }
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("plan-ages"));
        assertThat(reportedLoads).hasSize(8);
    }

    @Test
    void rejectsInvalidPlanAsAWhole() {
        GroupLoad validLoad = load(100_000_000, 3, 20, 5, 0, 12, 4);
        long now = 101_000_000;
        assertThat(source.offer(now, plan(5, validLoad)))
                .isEqualTo(PlannedTargetSource.Rejection.NONE);
        assertThat(source.offer(now, plan(5, validLoad)))
                .isEqualTo(PlannedTargetSource.Rejection.OLDER_VERSION);
        assertThat(source.offer(now, new Plan(8, 6, List.of())))
                .isEqualTo(PlannedTargetSource.Rejection.OTHER_ROUTER);
        assertThat(source.offer(now, plan(6, validLoad, load(now - 60_000_000, 4, 20, 1, 0, 0, 0))))
                .isEqualTo(PlannedTargetSource.Rejection.OLD_FACTS);
        assertThat(source.offer(now, plan(6, load(now + 1_000_001, 4, 20, 1, 0, 0, 0))))
                .isEqualTo(PlannedTargetSource.Rejection.FUTURE_FACTS);
        GroupTargets malformed = planner.targetsFor(now, validLoad);
        malformed.c0()[0] = Double.NaN;
        assertThat(source.offer(now, new Plan(7, 6, List.of(malformed))))
                .isEqualTo(PlannedTargetSource.Rejection.OUT_OF_RANGE);
        assertThat(source.version()).isEqualTo(5);
        assertThat(source.freshness(now, 4)).isEqualTo(PlannedTargetSource.Freshness.STALE);
        GroupTargets outOfRangeGroup =
                new GroupTargets(
                        now,
                        100_000,
                        1,
                        malformed.c0(),
                        malformed.c1(),
                        malformed.hasLoad(),
                        malformed.initialPhantoms());
        assertThat(source.offer(now, new Plan(7, 6, List.of(outOfRangeGroup))))
                .isEqualTo(PlannedTargetSource.Rejection.OUT_OF_RANGE);
    }

    /** Each session checks the version, and gets the targets of its group if a plan is new. */
    @Test
    void lookUpOfFreshPlanAllocatesNothing() {
        for (int group = 0; group < 300; group++) {
            source.offer(10_000_000, plan(1 + group, load(9_000_000, group, 20, 5, 0, 12, 4)));
        }
        com.sun.management.ThreadMXBean threads =
                (com.sun.management.ThreadMXBean)
                        java.lang.management.ManagementFactory.getThreadMXBean();
        long threadId = Thread.currentThread().getId();
        long checksum = 0;
        long allocated = 0;
        for (int round = 0; round < 2; round++) {
            // The first round loads the classes that the measurement itself needs.
            allocated = threads.getThreadAllocatedBytes(threadId);
            for (int i = 0; i < 100_000; i++) {
                checksum += source.version() + source.currentTargets(11_000_000, i % 300).number();
            }
            allocated = threads.getThreadAllocatedBytes(threadId) - allocated;
        }
        assertThat(checksum).isPositive();
        assertThat(allocated).isLessThan(1000);
    }

    /** A group is skipped if its load was measured before that of its current targets. */
    @Test
    void olderMeasurementsInNewerPlanDoNotReplaceNewerOnes() {
        source.offer(10_000_000, plan(1, load(9_000_000, 3, 20, 5, 0, 12, 4)));
        double c0 = source.targetsFor(10_000_000, load(10_000_000, 3, 20, 0, 0, 0, 0)).c0()[2];
        assertThat(source.offer(10_000_000, plan(2, load(1_000_000, 3, 20, 1, 0, 1, 0))))
                .isEqualTo(PlannedTargetSource.Rejection.NONE);
        assertThat(source.targetsFor(10_000_000, load(10_000_000, 3, 20, 0, 0, 0, 0)).c0()[2])
                .isEqualTo(c0);
    }

    /**
     * Whatever plan is offered, the targets that apply are within the bounds of the method, at any
     * age.
     */
    @Property(tries = 2000, seed = "17")
    void everyAcceptedPlanStaysWithinBounds(@ForAll @LongRange(min = 0) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] calls = new double[CLASSES];
        for (int i = 0; i < CLASSES; i++) {
            calls[i] = random.nextInt(3) == 0 ? 0 : random.nextDouble() * 40;
        }
        GroupTargets group = planner.targetsFor(0, load(0, 1, random.nextInt(60), calls));
        boolean corrupted = random.nextInt(3) > 0;
        for (int i = 0; corrupted && i < 1 + random.nextInt(2); i++) {
            double[] invalidValues = {Double.NaN, -1, Double.POSITIVE_INFINITY, 0, 1e-300, 7};
            double value = invalidValues[random.nextInt(invalidValues.length)];
            int index = random.nextInt(CLASSES);
            switch (random.nextInt(5)) {
                case 0 -> group.c0()[index] = value;
                case 1 -> group.c1()[index] = value;
                case 2 -> group.initialPhantoms()[index] = value;
                case 3 -> group.hasLoad()[index] = !group.hasLoad()[index];
                default ->
                        group =
                                new GroupTargets(
                                        0,
                                        1,
                                        value,
                                        group.c0(),
                                        group.c1(),
                                        group.hasLoad(),
                                        group.initialPhantoms());
            }
        }
        PlannedTargetSource.Rejection rejection =
                source.offer(0, new Plan(7, source.version() + 1, List.of(group)));
        assertThat(corrupted || rejection == PlannedTargetSource.Rejection.NONE).isTrue();
        if (rejection != PlannedTargetSource.Rejection.NONE) {
            return;
        }
        GroupTargets targets = source.targetsFor(0, load(0, 1, 1, calls));
        for (long age = 0;
                targets != null;
                age += 5_000_000, targets = source.targetsFor(age, load(0, 1, 1, calls))) {
            double least = Double.POSITIVE_INFINITY;
            double sum = 0;
            for (int i = 0; i < CLASSES; i++) {
                assertThat(targets.c0()[i]).isBetween(0.0, Double.MAX_VALUE);
                assertThat(targets.c1()[i]).isBetween(0.0, Double.MAX_VALUE);
                assertThat(targets.c0()[i] + targets.c1()[i] > 0).isEqualTo(targets.hasLoad()[i]);
                sum += targets.c0()[i];
                least =
                        targets.c0()[i] > 0
                                ? Math.min(
                                        least,
                                        targets.c1()[i] > 0
                                                ? Math.min(targets.c0()[i], targets.c1()[i])
                                                : targets.c0()[i])
                                : least;
            }
            assertThat(targets.beta()).isPositive();
            if (sum > 0) {
                assertThat(targets.beta()).isLessThanOrEqualTo(0.05 * least * (1 + 1e-6));
            }
        }
    }

    /** Returns how many of 60 simultaneous sessions are sent to the exchange. */
    private static int sent(ExponentialPenaltyRouter router, long now, long first) {
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
            sent += router.route(now, session).kind() == RoutingDecision.Kind.SEND ? 1 : 0;
        }
        return sent;
    }

    /**
     * A plan from before an exchange's restart or drain lifts neither the cold-start limit nor the
     * drain.
     */
    @Test
    void planFromBeforeRestartDoesNotLiftLimits() {
        long now = 100_000_000;
        PlannedTargetSource plannedTargets = new PlannedTargetSource(SETTINGS, f -> {});
        assertThat(
                        plannedTargets.offer(
                                now, plan(1, load(now - 10_000_000, 1, 1000, 0, 0, 400, 0))))
                .isEqualTo(PlannedTargetSource.Rejection.NONE);
        int[] cold = new int[2];
        int[] drained = new int[2];
        for (int i = 0; i < 2; i++) {
            ExponentialPenaltyRouter router =
                    new ExponentialPenaltyRouter(
                            SETTINGS, new SplittableRandom(1), i == 0 ? planner : plannedTargets);
            router.onExchangeList(
                    now, true, List.of(new Exchange(101, 1, Exchange.Phase.READY, now - 1000)));
            router.onCircuitUpdate(now, 101, 1000, 1000);
            cold[i] = sent(router, now, 1);
            router.onExchangeList(
                    now + 1000,
                    true,
                    List.of(new Exchange(101, 1, Exchange.Phase.DRAINING, now - 1000)));
            drained[i] = sent(router, now + 1000, 100);
        }
        assertThat(cold[1]).isEqualTo(cold[0]).isBetween(1, 5);
        assertThat(drained).containsExactly(0, 0);
    }

    /**
     * A plan that arrives between a session's INVITE and its retry changes targets, but not the
     * route of the retry.
     */
    @Test
    void planThatArrivesDuringRetryKeepsRoute() {
        for (boolean planArrives : new boolean[] {false, true}) {
            PlannedTargetSource plannedTargets = new PlannedTargetSource(SETTINGS, f -> {});
            ExponentialPenaltyRouter router =
                    new ExponentialPenaltyRouter(SETTINGS, new SplittableRandom(1), plannedTargets);
            router.onExchangeList(
                    1,
                    true,
                    List.of(
                            new Exchange(101, 1, Exchange.Phase.READY, 0),
                            new Exchange(102, 2, Exchange.Phase.READY, 0)));
            router.onCircuitUpdate(1, 101, 50, 50);
            router.onCircuitUpdate(1, 102, 50, 50);
            Session session = new Session(1, 1, 0, 1, 1, -1, false, 55, false, false, 1, 9_000_000);
            assertThat(router.route(1, session)).isEqualTo(RoutingDecision.send(101, 8_999_999));
            if (planArrives) {
                assertThat(
                                plannedTargets.offer(
                                        100_000,
                                        plan(
                                                1,
                                                load(1, 1, 50, 0, 0, 400, 0),
                                                load(1, 2, 50, 0, 0, 10, 0))))
                        .isEqualTo(PlannedTargetSource.Rejection.NONE);
            }
            assertThat(
                            router.onInviteOutcome(
                                    200_000,
                                    1,
                                    InviteOutcome.NOT_SENT,
                                    RejectionCause.NO_CIRCUIT,
                                    101,
                                    199_999,
                                    0,
                                    false))
                    .isEqualTo(RoutingDecision.send(102, 8_800_000));
        }
    }
}
