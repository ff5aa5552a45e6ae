package coralcove;

import java.util.ArrayList;
import java.util.List;

/**
 * What is worked out over seconds, apart from what is decided for a session: the targets of the
 * design's fractional knapsack. In one process it is asked by the module itself, in two it runs in
 * the planner.
 */
public final class Planner implements Targets {
    /**
     * Share: the design's bound on the slack of the targets; the largest gives the steepest allowed
     * test.
     */
    public static final double EPSILON = 0.05;

    private record Class(int width, long hold) {}

    private final int[] byWorth;
    private final Class[] classes;

    public Planner(Settings settings) {
        List<Settings.Service> given = settings.services();
        byWorth = order(given);
        classes = new Class[2 * given.size()];
        for (int i = 0; i < classes.length; i++) {
            classes[i] = new Class(given.get(i / 2).width(), given.get(i / 2).hold());
        }
    }

    /** Classes by falling value per circuit; equal ones in the order of the settings. */
    public static int[] order(List<Settings.Service> given) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 2 * given.size(); i++) {
            order.add(i);
        }
        order.sort((a, b) -> Double.compare(worth(given, b), worth(given, a)));
        return order.stream().mapToInt(Integer::intValue).toArray();
    }

    /**
     * Value per circuit of class i: a service's first tries, or its redials, which can only stand
     * late.
     */
    private static double worth(List<Settings.Service> given, int i) {
        Settings.Service it = given.get(i / 2);
        return it.value() / it.width() * (i % 2 == 0 ? 1 : it.lateValue());
    }

    /** The fractional knapsack by falling value per circuit, and what follows from it. */
    @Override
    public GroupPlan of(long now, GroupFacts facts) {
        int n = classes.length;
        GroupPlan plan =
                new GroupPlan(
                        facts.at(),
                        facts.number(),
                        0,
                        new double[n],
                        new double[n],
                        new boolean[n],
                        new double[n]);
        double left = facts.size() / (1 + 4 * EPSILON);
        double least = Double.POSITIVE_INFINITY;
        for (int index : byWorth) {
            double rho = facts.calls()[index];
            int width = classes[index].width;
            double need = rho * width;
            plan.seen()[index] = need > 0;
            if (need <= 0) {
                continue;
            }
            double alpha = Math.min(1, Math.max(0, left) / need);
            left -= alpha * need;
            plan.c0()[index] = (1 + 4 * EPSILON) * alpha * need;
            plan.c1()[index] = (1 + 4 * EPSILON) * (1 - alpha) * need;
            if (alpha > 0) {
                least = Math.min(least, plan.c0()[index] / width);
            }
            if (alpha > 0 && alpha < 1) {
                least = Math.min(least, plan.c1()[index] / width);
            }
            plan.phantoms()[index] = (1 - alpha) * rho;
        }
        return new GroupPlan(
                plan.at(),
                plan.number(),
                EPSILON * least,
                plan.c0(),
                plan.c1(),
                plan.seen(),
                plan.phantoms());
    }
}
