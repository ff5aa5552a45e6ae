package coralcove;

import java.util.ArrayList;
import java.util.List;

/**
 * Computes the targets of the penalty rule by a fractional knapsack, over seconds and apart from
 * the decision for a session. In a single process the router calls it directly; with a separate
 * planner it runs there.
 */
public final class Planner implements TargetSource {
    /**
     * ε, the slack of the targets as a share: the largest that the method allows, which gives the
     * steepest penalty.
     */
    public static final double EPSILON = 0.05;

    private record CallClass(int circuits, long holdTime) {}

    private final int[] classesByValue;
    private final CallClass[] classes;

    public Planner(Settings settings) {
        List<Settings.Service> services = settings.services();
        classesByValue = classesByValuePerCircuit(services);
        classes = new CallClass[2 * services.size()];
        for (int i = 0; i < classes.length; i++) {
            classes[i] =
                    new CallClass(services.get(i / 2).circuits(), services.get(i / 2).holdTime());
        }
    }

    /**
     * Returns the classes by descending value per circuit; equal ones in the order of the settings.
     * Class 2n is service n at its first try, class 2n + 1 its late redials.
     */
    public static int[] classesByValuePerCircuit(List<Settings.Service> services) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 2 * services.size(); i++) {
            order.add(i);
        }
        order.sort(
                (a, b) ->
                        Double.compare(valuePerCircuit(services, b), valuePerCircuit(services, a)));
        return order.stream().mapToInt(Integer::intValue).toArray();
    }

    /**
     * Value per circuit of class i: a service's first tries, or its redials, which can only be
     * established late.
     */
    private static double valuePerCircuit(List<Settings.Service> services, int i) {
        Settings.Service service = services.get(i / 2);
        return service.value() / service.circuits() * (i % 2 == 0 ? 1 : service.lateValue());
    }

    /**
     * Fills size/(1+4ε) circuits by descending value per circuit. α is the part of a class's load ρ
     * that finds room; with b circuits a call, c0 = (1+4ε)·α·b·ρ and c1 = (1+4ε)·(1−α)·b·ρ. β is ε
     * times the least of c0/b, and of c1/b where 0 &lt; α &lt; 1.
     */
    @Override
    public GroupTargets targetsFor(long now, GroupLoad load) {
        int n = classes.length;
        GroupTargets plan =
                new GroupTargets(
                        load.measuredAt(),
                        load.number(),
                        0,
                        new double[n],
                        new double[n],
                        new boolean[n],
                        new double[n]);
        double left = load.size() / (1 + 4 * EPSILON);
        double least = Double.POSITIVE_INFINITY;
        for (int i : classesByValue) {
            double rho = load.erlangs()[i];
            int b = classes[i].circuits;
            double need = rho * b;
            plan.hasLoad()[i] = need > 0;
            if (need <= 0) {
                continue;
            }
            double alpha = Math.min(1, Math.max(0, left) / need);
            left -= alpha * need;
            plan.c0()[i] = (1 + 4 * EPSILON) * alpha * need;
            plan.c1()[i] = (1 + 4 * EPSILON) * (1 - alpha) * need;
            if (alpha > 0) {
                least = Math.min(least, plan.c0()[i] / b);
            }
            if (alpha > 0 && alpha < 1) {
                least = Math.min(least, plan.c1()[i] / b);
            }
            plan.initialPhantoms()[i] = (1 - alpha) * rho;
        }
        return new GroupTargets(
                plan.measuredAt(),
                plan.number(),
                EPSILON * least,
                plan.c0(),
                plan.c1(),
                plan.hasLoad(),
                plan.initialPhantoms());
    }
}
