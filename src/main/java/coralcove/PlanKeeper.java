package coralcove;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * The last plan of a planner, as the deciding side goes by it: which plan is taken, and how it
 * loses its say with the age of its facts. Fresh: as planned. Ageing: the targets widen towards
 * plain room. Stale: none, as at the start. The module's own counts and guards never come from a
 * planner. One thread owns it.
 */
public final class PlanKeeper implements Targets {
    /** How much say the plan of a group has. */
    public enum Age {
        FRESH,
        AGEING,
        STALE
    }

    /** Why a plan was not taken. */
    public enum Refusal {
        NONE,
        OTHER_ROUTER,
        OLDER_VERSION,
        OUT_OF_RANGE,
        OLD_FACTS,
        FUTURE_FACTS
    }

    /**
     * µs: two refreshes and the way to the planner and back are under this age; loads move little
     * in it.
     */
    public static final long FRESH_FOR = 15_000_000;

    /** µs: a load may have doubled meanwhile; the design's own count of load looks back 10 s. */
    public static final long STALE_FROM = 60_000_000;

    /**
     * µs: the clocks of two programs of one machine may differ by a step that one has not seen yet.
     */
    private static final long AHEAD = 1_000_000;

    /** Numbers of groups end below this: an exchange's number has five digits. */
    private static final int MOST_NUMBERS = 100_000;

    /** Share by which a sum may be off by rounding on its way. */
    private static final double ROUNDING = 1e-9;

    private final int router;
    private final int classes;

    /** By number; a look-up makes nothing. */
    private GroupPlan[] plans = {};

    private final Consumer<GroupFacts> facts;
    private long version;

    /** What is told of a group goes to {@code facts} as well. */
    public PlanKeeper(Settings settings, Consumer<GroupFacts> facts) {
        router = settings.ownNumber();
        classes = 2 * settings.services().size();
        this.facts = facts;
    }

    @Override
    public GroupPlan of(long now, GroupFacts told) {
        facts.accept(told);
        return held(now, told.number());
    }

    @Override
    public GroupPlan held(long now, int number) {
        GroupPlan plan = plan(number);
        return plan == null ? null : aged(plan, now - plan.at());
    }

    private GroupPlan plan(int number) {
        return number >= 0 && number < plans.length ? plans[number] : null;
    }

    // ---- plans from the planner

    @Override
    public long version() {
        return version;
    }

    /** Takes a plan whole, or none of it. */
    public Refusal offer(long now, Plan plan) {
        if (plan.router() != router) {
            return Refusal.OTHER_ROUTER;
        }
        if (plan.version() <= version) {
            return Refusal.OLDER_VERSION;
        }
        for (GroupPlan each : plan.groups()) {
            if (!inRange(each)) {
                return Refusal.OUT_OF_RANGE;
            }
            if (each.at() > now + AHEAD) {
                return Refusal.FUTURE_FACTS;
            }
            if (now - each.at() >= STALE_FROM) {
                return Refusal.OLD_FACTS;
            }
        }
        version = plan.version();
        for (GroupPlan each : plan.groups()) {
            GroupPlan before = plan(each.number());
            if (each.number() >= plans.length) {
                plans = Arrays.copyOf(plans, 2 * each.number() + 1);
            }
            if (before == null || each.at() >= before.at()) {
                plans[each.number()] = each;
            }
        }
        return Refusal.NONE;
    }

    /**
     * The design's bounds: targets from 0, one above 0 for each class seen, β at most ε times the
     * least.
     */
    private boolean inRange(GroupPlan plan) {
        if (plan.c0().length != classes
                || plan.c1().length != classes
                || plan.seen().length != classes
                || plan.phantoms().length != classes
                || plan.number() < 0
                || plan.number() >= MOST_NUMBERS) {
            return false;
        }
        boolean any = false;
        boolean some = false;
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < classes; i++) {
            double c0 = plan.c0()[i];
            double c1 = plan.c1()[i];
            double phantoms = plan.phantoms()[i];
            boolean finite =
                    c0 >= 0 && c1 >= 0 && phantoms >= 0 && Double.isFinite(c0 + c1 + phantoms);
            if (!finite || plan.seen()[i] != c0 + c1 > 0) {
                return false;
            }
            any |= plan.seen()[i];
            some |= c0 > 0;
            least = Math.min(least, least(c0, c1));
        }
        // β is ε times the least target a circuit; a class of more circuits than one makes it
        // smaller.
        boolean bound = plan.beta() > 0 && plan.beta() <= Planner.EPSILON * least * (1 + ROUNDING);
        return !any || (some ? bound : plan.beta() == Double.POSITIVE_INFINITY);
    }

    /**
     * The lesser of a class's targets that are not 0; one that is not taken at all counts for
     * nothing.
     */
    private static double least(double c0, double c1) {
        return c0 <= 0 ? Double.POSITIVE_INFINITY : c1 > 0 ? Math.min(c0, c1) : c0;
    }

    // ---- age

    public Age age(long now, int number) {
        GroupPlan plan = plan(number);
        long age = plan == null ? STALE_FROM : now - plan.at();
        return age >= STALE_FROM ? Age.STALE : age > FRESH_FOR ? Age.AGEING : Age.FRESH;
    }

    /**
     * From fresh to stale what was to be refused moves over to what is taken, until plain room
     * decides.
     */
    private static GroupPlan aged(GroupPlan plan, long age) {
        if (age <= FRESH_FOR) {
            return plan;
        }
        if (age >= STALE_FROM) {
            return null;
        }
        double moved = (double) (age - FRESH_FOR) / (STALE_FROM - FRESH_FOR);
        double[] c0 = plan.c0().clone();
        double[] c1 = plan.c1().clone();
        double beta = plan.beta();
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < c0.length; i++) {
            // A class that was not to be taken at all would come in at once: one call is all its
            // target.
            double over = c0[i] > 0 ? moved * c1[i] : 0;
            c0[i] += over;
            c1[i] -= over;
            least = Math.min(least, least(c0[i], c1[i]));
        }
        beta = Math.min(beta, Planner.EPSILON * least);
        return new GroupPlan(plan.at(), plan.number(), beta, c0, c1, plan.seen(), plan.phantoms());
    }
}
