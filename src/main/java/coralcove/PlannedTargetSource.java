package coralcove;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Supplies the targets of a planner's last plan: validates each plan, and reduces its weight with
 * the age of its measurements. Fresh targets apply as planned; ageing ones move towards accepting
 * any call that fits; stale ones do not apply, as before the first plan. The router's own counts
 * and limits never come from a planner. Not thread-safe: one thread owns it.
 */
public final class PlannedTargetSource implements TargetSource {
    /** How far the plan of a group applies. */
    public enum Freshness {
        FRESH,
        AGEING,
        STALE
    }

    /** Why a plan was rejected. The names are sent to the planner, logged and counted. */
    public enum Rejection {
        NONE,
        OTHER_ROUTER,
        OLDER_VERSION,
        OUT_OF_RANGE,
        OLD_FACTS,
        FUTURE_FACTS
    }

    /**
     * Age in µs up to which a plan is fresh: longer than two refreshes and the round trip to the
     * planner; loads change little in it.
     */
    public static final long FRESH_AGE_MICROS = 15_000_000;

    /**
     * Age in µs from which a plan is stale: a load may have doubled meanwhile, as the router itself
     * measures load over 10 s.
     */
    public static final long STALE_AGE_MICROS = 60_000_000;

    /**
     * µs by which measurements may lie in the future: of two programs on one machine, one may not
     * have seen a clock step yet.
     */
    private static final long MAX_CLOCK_LEAD_MICROS = 1_000_000;

    /** Exclusive limit of group numbers: an exchange's number has at most five digits. */
    private static final int GROUP_NUMBER_LIMIT = 100_000;

    /** Relative rounding error that a transmitted sum may have. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final int router;
    private final int classCount;

    /** Indexed by group number, so that a look-up allocates nothing. */
    private GroupTargets[] plans = {};

    private final Consumer<GroupLoad> loadListener;
    private long version;

    /** Passes the load of each group on to {@code loadListener}. */
    public PlannedTargetSource(Settings settings, Consumer<GroupLoad> loadListener) {
        router = settings.localNumber();
        classCount = 2 * settings.services().size();
        this.loadListener = loadListener;
    }

    @Override
    public GroupTargets targetsFor(long now, GroupLoad load) {
        loadListener.accept(load);
        return currentTargets(now, load.number());
    }

    @Override
    public GroupTargets currentTargets(long now, int number) {
        GroupTargets plan = plan(number);
        return plan == null ? null : applyAge(plan, now - plan.measuredAt());
    }

    private GroupTargets plan(int number) {
        return number >= 0 && number < plans.length ? plans[number] : null;
    }

    // ---- plans from the planner

    @Override
    public long version() {
        return version;
    }

    /**
     * Applies a plan as a whole or rejects it as a whole. In an applied plan, a group whose
     * measurements are older than those of the current targets is skipped.
     */
    public Rejection offer(long now, Plan plan) {
        if (plan.router() != router) {
            return Rejection.OTHER_ROUTER;
        }
        if (plan.version() <= version) {
            return Rejection.OLDER_VERSION;
        }
        for (GroupTargets group : plan.groups()) {
            if (!isInRange(group)) {
                return Rejection.OUT_OF_RANGE;
            }
            if (group.measuredAt() > now + MAX_CLOCK_LEAD_MICROS) {
                return Rejection.FUTURE_FACTS;
            }
            if (now - group.measuredAt() >= STALE_AGE_MICROS) {
                return Rejection.OLD_FACTS;
            }
        }
        version = plan.version();
        for (GroupTargets group : plan.groups()) {
            GroupTargets previous = plan(group.number());
            if (group.number() >= plans.length) {
                plans = Arrays.copyOf(plans, 2 * group.number() + 1);
            }
            if (previous == null || group.measuredAt() >= previous.measuredAt()) {
                plans[group.number()] = group;
            }
        }
        return Rejection.NONE;
    }

    /**
     * Checks the bounds of the method: no target is negative, each class with load has one above 0,
     * and β is at most ε times the least target.
     */
    private boolean isInRange(GroupTargets plan) {
        if (plan.c0().length != classCount
                || plan.c1().length != classCount
                || plan.hasLoad().length != classCount
                || plan.initialPhantoms().length != classCount
                || plan.number() < 0
                || plan.number() >= GROUP_NUMBER_LIMIT) {
            return false;
        }
        boolean anySeen = false;
        boolean anyAccepted = false;
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < classCount; i++) {
            double c0 = plan.c0()[i];
            double c1 = plan.c1()[i];
            double phantoms = plan.initialPhantoms()[i];
            boolean finite =
                    c0 >= 0 && c1 >= 0 && phantoms >= 0 && Double.isFinite(c0 + c1 + phantoms);
            if (!finite || plan.hasLoad()[i] != c0 + c1 > 0) {
                return false;
            }
            anySeen |= plan.hasLoad()[i];
            anyAccepted |= c0 > 0;
            least = Math.min(least, leastTarget(c0, c1));
        }
        // β is ε times the least target per circuit, so a class of several circuits makes it
        // smaller than this bound.
        boolean betaInRange =
                plan.beta() > 0
                        && plan.beta() <= Planner.EPSILON * least * (1 + ROUNDING_TOLERANCE);
        return !anySeen || (anyAccepted ? betaInRange : plan.beta() == Double.POSITIVE_INFINITY);
    }

    /**
     * Returns the lesser of a class's targets above 0, or infinity for a class that is not accepted
     * at all.
     */
    private static double leastTarget(double c0, double c1) {
        return c0 <= 0 ? Double.POSITIVE_INFINITY : c1 > 0 ? Math.min(c0, c1) : c0;
    }

    // ---- age

    /** Returns how fresh a group's targets are; a group without any is stale. */
    public Freshness freshness(long now, int number) {
        GroupTargets plan = plan(number);
        long age = plan == null ? STALE_AGE_MICROS : now - plan.measuredAt();
        return age >= STALE_AGE_MICROS
                ? Freshness.STALE
                : age > FRESH_AGE_MICROS ? Freshness.AGEING : Freshness.FRESH;
    }

    /**
     * Moves, from fresh to stale, a growing part of each class's c1 to its c0, until any call that
     * fits is accepted. Returns null for a stale plan.
     */
    private static GroupTargets applyAge(GroupTargets plan, long age) {
        if (age <= FRESH_AGE_MICROS) {
            return plan;
        }
        if (age >= STALE_AGE_MICROS) {
            return null;
        }
        double movedShare =
                (double) (age - FRESH_AGE_MICROS) / (STALE_AGE_MICROS - FRESH_AGE_MICROS);
        double[] c0 = plan.c0().clone();
        double[] c1 = plan.c1().clone();
        double beta = plan.beta();
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < c0.length; i++) {
            // A class with c0 = 0 stays refused: with a first, tiny c0 it would be accepted at
            // once,
            // as one call is its whole target, and β would become tiny for all classes.
            double moved = c0[i] > 0 ? movedShare * c1[i] : 0;
            c0[i] += moved;
            c1[i] -= moved;
            least = Math.min(least, leastTarget(c0[i], c1[i]));
        }
        beta = Math.min(beta, Planner.EPSILON * least);
        return new GroupTargets(
                plan.measuredAt(),
                plan.number(),
                beta,
                c0,
                c1,
                plan.hasLoad(),
                plan.initialPhantoms());
    }
}
