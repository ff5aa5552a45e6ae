package coralcove.bound;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * Upper bound on the served value for networks of any size, by Lagrangian relaxation. For any price
 * per circuit-second of each trunk group and slice, no routing serves more than the price of all
 * capacity plus, for each call, its value less the price of its cheapest route. A subgradient
 * method moves the prices towards the lowest such sum; the sum of every iteration is a valid bound,
 * and the lowest one is returned. Deterministic; does no I/O.
 */
public final class LagrangianBound {
    /**
     * Default number of iterations: the second half of them lowers the bound by less than a
     * thousandth.
     */
    public static final int ITERATIONS = 300;

    /** First step length, as a share of the highest value per circuit-second of any call. */
    private static final double INITIAL_STEP = 0.05;

    /** Iterations after which the step length has halved. */
    private static final double STEP_HALF_LIFE = 45;

    /** Excess demand, in multiples of a group's capacity, above which the step grows no longer. */
    private static final double MAX_RELATIVE_EXCESS = 20;

    /** In place of a tandem: the direct route. */
    private static final int DIRECT = -1;

    /** In place of a tandem: no route exists. */
    private static final int NO_ROUTE = -2;

    /**
     * Demands of one slice and hold time, by pair of exchanges, with the expected use of that slice
     * and each later one by a call. A route costs the same for all demands of a pair per circuit.
     */
    private record DemandGroup(int slice, double[] uses, List<List<Demand>> pairs) {}

    private final DemandNetwork network;
    private final int exchanges;
    private final double[][][] prices;
    private final double[][][] demandedUse;
    private final double[][] cost;
    private final List<DemandGroup> demandGroups = new ArrayList<>();

    public LagrangianBound(DemandNetwork network) {
        this.network = network;
        exchanges = network.exchanges();
        prices = new double[network.slices()][exchanges][exchanges];
        demandedUse = new double[network.slices()][exchanges][exchanges];
        cost = new double[exchanges][exchanges];
        TreeMap<Integer, TreeMap<Double, TreeMap<Integer, List<Demand>>>> bySliceHoldAndPair =
                new TreeMap<>();
        network.demands()
                .forEach(
                        d ->
                                bySliceHoldAndPair
                                        .computeIfAbsent(d.slice(), s -> new TreeMap<>())
                                        .computeIfAbsent(d.hold(), h -> new TreeMap<>())
                                        .computeIfAbsent(
                                                Math.min(d.from(), d.to()) * exchanges
                                                        + Math.max(d.from(), d.to()),
                                                p -> new ArrayList<>(2))
                                        .add(d));
        bySliceHoldAndPair.forEach(
                (slice, holds) ->
                        holds.forEach(
                                (hold, pairs) ->
                                        demandGroups.add(
                                                new DemandGroup(
                                                        slice,
                                                        uses(slice, hold),
                                                        List.copyOf(pairs.values())))));
    }

    private double[] uses(int slice, double hold) {
        double[] uses = new double[network.slices() - slice];
        Arrays.setAll(uses, later -> network.expectedUse(hold, later));
        return uses;
    }

    /** The bound after {@link #ITERATIONS} iterations. */
    public double value() {
        return value(ITERATIONS);
    }

    /** The lowest bound found in the given number of iterations. */
    public double value(int iterations) {
        double maxValueRate =
                network.demands().stream()
                        .mapToDouble(d -> d.value() / (d.width() * d.hold()))
                        .max()
                        .orElse(0);
        double best = Double.POSITIVE_INFINITY;
        for (int step = 0; step < iterations; step++) {
            best = Math.min(best, evaluateBound());
            double stepLength = INITIAL_STEP * maxValueRate * Math.pow(0.5, step / STEP_HALF_LIFE);
            for (int slice = 0; slice < network.slices(); slice++) {
                updatePrices(prices[slice], demandedUse[slice], stepLength);
            }
        }
        return best;
    }

    private void updatePrices(double[][] slicePrices, double[][] uses, double stepLength) {
        for (int i = 0; i < exchanges; i++) {
            for (int j = i + 1; j < exchanges; j++) {
                double capacity = network.capacity(i, j);
                if (capacity > 0) {
                    // The step is relative to the capacity, so that small groups adjust as fast as
                    // large ones.
                    double excess =
                            Math.min(MAX_RELATIVE_EXCESS, (uses[i][j] - capacity) / capacity);
                    slicePrices[i][j] = Math.max(0, slicePrices[i][j] + stepLength * excess);
                    slicePrices[j][i] = slicePrices[i][j];
                }
            }
        }
    }

    /**
     * The bound that the current prices prove. Leaves in {@link #demandedUse} the use of each group
     * if every call took its cheapest route at these prices.
     */
    private double evaluateBound() {
        double sum = 0;
        for (int slice = 0; slice < network.slices(); slice++) {
            for (int i = 0; i < exchanges; i++) {
                Arrays.fill(demandedUse[slice][i], 0);
                for (int j = i + 1; j < exchanges; j++) {
                    sum += prices[slice][i][j] * network.capacity(i, j);
                }
            }
        }
        for (DemandGroup group : demandGroups) {
            computeCosts(group);
            for (List<Demand> pair : group.pairs) {
                sum += netValue(group, pair);
            }
        }
        return sum;
    }

    /**
     * Computes the expected price of one circuit of each trunk group for a call of this demand
     * group, over all slices in which the call occupies it.
     */
    private void computeCosts(DemandGroup group) {
        for (double[] row : cost) {
            Arrays.fill(row, 0);
        }
        for (int slice = group.slice; slice < network.slices(); slice++) {
            double use = group.uses[slice - group.slice];
            for (int i = 0; i < exchanges; i++) {
                for (int j = 0; j < exchanges; j++) {
                    cost[i][j] += use * prices[slice][i][j];
                }
            }
        }
    }

    private double netValue(DemandGroup group, List<Demand> pair) {
        int from = Math.min(pair.get(0).from(), pair.get(0).to());
        int to = Math.max(pair.get(0).from(), pair.get(0).to());
        int tandem = cheapestRoute(from, to);
        if (tandem == NO_ROUTE) {
            return 0;
        }
        double routeCost =
                tandem == DIRECT ? cost[from][to] : cost[from][tandem] + cost[tandem][to];
        double sum = 0;
        for (Demand each : pair) {
            double net = each.value() - each.width() * routeCost;
            if (net > 0) {
                sum += each.calls() * net;
                for (int slice = group.slice; slice < network.slices(); slice++) {
                    double use = each.calls() * each.width() * group.uses[slice - group.slice];
                    addUse(demandedUse[slice], from, to, tandem, use);
                }
            }
        }
        return sum;
    }

    /**
     * The cheapest route: {@link #DIRECT}, the number of a tandem, or {@link #NO_ROUTE}. Ties go to
     * the direct route, then to the tandem with the lowest number.
     */
    private int cheapestRoute(int from, int to) {
        int best = network.capacity(from, to) > 0 ? DIRECT : NO_ROUTE;
        double lowestCost = best == DIRECT ? cost[from][to] : Double.POSITIVE_INFINITY;
        if (lowestCost == 0) {
            return DIRECT;
        }
        for (int tandem = 0; tandem < exchanges; tandem++) {
            double viaTandem = cost[from][tandem] + cost[tandem][to];
            if (viaTandem < lowestCost
                    && network.circuits()[from][tandem] > 0
                    && network.circuits()[tandem][to] > 0) {
                lowestCost = viaTandem;
                best = tandem;
            }
        }
        return best;
    }

    private static void addUse(double[][] uses, int from, int to, int tandem, double amount) {
        if (tandem < 0) {
            uses[from][to] += amount;
        } else {
            uses[Math.min(from, tandem)][Math.max(from, tandem)] += amount;
            uses[Math.min(to, tandem)][Math.max(to, tandem)] += amount;
        }
    }
}
