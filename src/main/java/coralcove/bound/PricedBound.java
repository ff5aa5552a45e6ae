package coralcove.bound;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * The bound for networks of any size: whatever a circuit-second of each group is said to cost in
 * each slice, no routing serves more than the price of all room and, of each call, its value less
 * the price of its cheapest way. Prices are moved by subgradients towards the least such figure;
 * each step's figure is a bound, and the least one seen is told. No I/O, no chance.
 */
public final class PricedBound {
    /**
     * Steps; the bound falls by under a thousandth in the last half of them on the networks
     * measured.
     */
    public static final int STEPS = 300;

    /**
     * The first step, as a part of the dearest call's value a circuit-second, and steps after which
     * it has halved.
     */
    private static final double FIRST_STEP = 0.05;

    private static final double HALVED_AFTER = 45;

    /** Multiples of a group's room past which more makes no longer step. */
    private static final double MOST_OVER = 20;

    private static final int DIRECT = -1;
    private static final int NO_WAY = -2;

    /**
     * Demands of one slice and hold, and what a call of theirs uses of that and each later slice: a
     * way costs the same for each of a pair's, but for its width.
     */
    private record Bucket(int slice, double[] uses, List<List<Demand>> pairs) {}

    private final Network network;
    private final int n;
    private final double[][][] price;
    private final double[][][] used;
    private final double[][] cost;
    private final List<Bucket> buckets = new ArrayList<>();

    public PricedBound(Network network) {
        this.network = network;
        n = network.exchanges();
        price = new double[network.slices()][n][n];
        used = new double[network.slices()][n][n];
        cost = new double[n][n];
        TreeMap<Integer, TreeMap<Double, TreeMap<Integer, List<Demand>>>> sorted = new TreeMap<>();
        network.demands()
                .forEach(
                        d ->
                                sorted.computeIfAbsent(d.slice(), s -> new TreeMap<>())
                                        .computeIfAbsent(d.hold(), h -> new TreeMap<>())
                                        .computeIfAbsent(
                                                Math.min(d.from(), d.to()) * n
                                                        + Math.max(d.from(), d.to()),
                                                p -> new ArrayList<>(2))
                                        .add(d));
        sorted.forEach(
                (slice, holds) ->
                        holds.forEach(
                                (hold, pairs) ->
                                        buckets.add(
                                                new Bucket(
                                                        slice,
                                                        uses(slice, hold),
                                                        List.copyOf(pairs.values())))));
    }

    private double[] uses(int slice, double hold) {
        double[] uses = new double[network.slices() - slice];
        Arrays.setAll(uses, later -> network.use(hold, later));
        return uses;
    }

    /** The bound after {@link #STEPS} steps. */
    public double value() {
        return value(STEPS);
    }

    /** The least bound of this many steps. */
    public double value(int steps) {
        double dearest =
                network.demands().stream()
                        .mapToDouble(d -> d.value() / (d.width() * d.hold()))
                        .max()
                        .orElse(0);
        double best = Double.POSITIVE_INFINITY;
        for (int step = 0; step < steps; step++) {
            best = Math.min(best, figure());
            double length = FIRST_STEP * dearest * Math.pow(0.5, step / HALVED_AFTER);
            for (int slice = 0; slice < network.slices(); slice++) {
                move(price[slice], used[slice], length);
            }
        }
        return best;
    }

    private void move(double[][] prices, double[][] uses, double length) {
        for (int i = 0; i < n; i++) {
            for (int j = i + 1; j < n; j++) {
                double room = network.room(i, j);
                if (room > 0) {
                    // Each group's step by how far it is over or under its room, so that thin ones
                    // count as thick ones.
                    double over = Math.min(MOST_OVER, (uses[i][j] - room) / room);
                    prices[i][j] = Math.max(0, prices[i][j] + length * over);
                    prices[j][i] = prices[i][j];
                }
            }
        }
    }

    /**
     * What the present prices prove, and in {@link #used} what calls would use of each group by
     * them.
     */
    private double figure() {
        double sum = 0;
        for (int slice = 0; slice < network.slices(); slice++) {
            for (int i = 0; i < n; i++) {
                Arrays.fill(used[slice][i], 0);
                for (int j = i + 1; j < n; j++) {
                    sum += price[slice][i][j] * network.room(i, j);
                }
            }
        }
        for (Bucket bucket : buckets) {
            costs(bucket);
            for (List<Demand> pair : bucket.pairs) {
                sum += gain(bucket, pair);
            }
        }
        return sum;
    }

    /**
     * What a call of this bucket pays for a circuit of each group, over all slices that it holds it
     * in.
     */
    private void costs(Bucket bucket) {
        for (double[] row : cost) {
            Arrays.fill(row, 0);
        }
        for (int slice = bucket.slice; slice < network.slices(); slice++) {
            double use = bucket.uses[slice - bucket.slice];
            for (int i = 0; i < n; i++) {
                for (int j = 0; j < n; j++) {
                    cost[i][j] += use * price[slice][i][j];
                }
            }
        }
    }

    private double gain(Bucket bucket, List<Demand> pair) {
        int from = Math.min(pair.get(0).from(), pair.get(0).to());
        int to = Math.max(pair.get(0).from(), pair.get(0).to());
        int tandem = way(from, to);
        if (tandem == NO_WAY) {
            return 0;
        }
        double paid = tandem == DIRECT ? cost[from][to] : cost[from][tandem] + cost[tandem][to];
        double sum = 0;
        for (Demand each : pair) {
            double gain = each.value() - each.width() * paid;
            if (gain > 0) {
                sum += each.calls() * gain;
                for (int slice = bucket.slice; slice < network.slices(); slice++) {
                    double use = each.calls() * each.width() * bucket.uses[slice - bucket.slice];
                    use(used[slice], from, to, tandem, use);
                }
            }
        }
        return sum;
    }

    /**
     * The cheapest way: direct, a tandem, or none; of equal ones the direct, then the lowest
     * number.
     */
    private int way(int from, int to) {
        int best = network.room(from, to) > 0 ? DIRECT : NO_WAY;
        double least = best == DIRECT ? cost[from][to] : Double.POSITIVE_INFINITY;
        if (least == 0) {
            return DIRECT;
        }
        for (int t = 0; t < n; t++) {
            double over = cost[from][t] + cost[t][to];
            if (over < least && network.circuits()[from][t] > 0 && network.circuits()[t][to] > 0) {
                least = over;
                best = t;
            }
        }
        return best;
    }

    private static void use(double[][] uses, int from, int to, int tandem, double by) {
        if (tandem < 0) {
            uses[from][to] += by;
        } else {
            uses[Math.min(from, tandem)][Math.max(from, tandem)] += by;
            uses[Math.min(to, tandem)][Math.max(to, tandem)] += by;
        }
    }
}
