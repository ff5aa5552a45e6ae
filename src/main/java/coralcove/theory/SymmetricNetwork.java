package coralcove.theory;

/**
 * A fully connected network of equal trunk groups where a call that finds its direct group full
 * tries one random alternative of two groups: the fixed point of Gibbens, Hunt and Kelly,
 * "Bistability in communication networks" (1990). Without circuits reserved for direct calls it has
 * two stable solutions over a range of loads: one with low loss, and one in which most circuits
 * carry calls that occupy two groups. Reserving one circuit in twenty removes the second solution.
 */
public final class SymmetricNetwork {
    /**
     * Number of steps of the damped iteration. The solution is accurate to nine decimal places
     * except at the very end of the range of loads with two solutions.
     */
    private static final int ITERATIONS = 2000;

    /** Share of the difference to the next iterate that one step applies. */
    private static final double DAMPING = 0.05;

    /** Sum of weights from which all weights are scaled down, to stay in the range of a double. */
    private static final double RESCALE_THRESHOLD = 1e200;

    private final int circuits;
    private final int reserved;

    public SymmetricNetwork(int circuits, int reserved) {
        this.circuits = circuits;
        this.reserved = reserved;
    }

    /**
     * Share of calls lost in the fixed point that is reached from {@code start}.
     *
     * @param erlangs load offered to each direct group
     * @param start initial share of the groups that are full, 0 to 1
     */
    public double lossProbability(double erlangs, double start) {
        double full = start;
        double closed = start;
        for (int i = 0; i < ITERATIONS; i++) {
            // Each blocked direct call tries two groups and is carried if both accept it.
            double overflow = 2 * erlangs * full * (1 - closed);
            double[] shares = solveGroup(erlangs, overflow);
            full += DAMPING * (shares[0] - full);
            closed += DAMPING * (shares[1] - closed);
        }
        return full * (1 - (1 - closed) * (1 - closed));
    }

    /** Shares of time that a group is full, and that it is closed to calls of two groups. */
    private double[] solveGroup(double direct, double overflow) {
        // Starts from the full group, so that the weights of large groups do not overflow.
        double weight = 1;
        double sum = 1;
        double full = 1;
        double closed = 1;
        for (int busy = circuits - 1; busy >= 0; busy--) {
            weight *= (busy + 1) / (busy < circuits - reserved ? direct + overflow : direct);
            sum += weight;
            closed += busy >= circuits - reserved ? weight : 0;
            if (sum > RESCALE_THRESHOLD) {
                weight /= RESCALE_THRESHOLD;
                sum /= RESCALE_THRESHOLD;
                full /= RESCALE_THRESHOLD;
                closed /= RESCALE_THRESHOLD;
            }
        }
        return new double[] {full / sum, closed / sum};
    }
}
