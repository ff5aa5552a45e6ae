package coralcove.theory;

/**
 * A fully joined network of equal groups where a call that finds its direct group full tries one
 * alternative of two groups, drawn by chance: the fixed point of Gibbens, Hunt and Kelly,
 * "Bistability in communication networks" (1990). Without circuits reserved for direct calls it has
 * two stable solutions over a range of loads: a good one, and one in which most circuits carry
 * calls of two groups. One reserved circuit in twenty ends that.
 */
public final class Symmetric {
    /**
     * Steps of the damped iteration, and its damping: the solutions are reached to nine places but
     * at a range's very end.
     */
    private static final int STEPS = 2000;

    private static final double DAMPING = 0.05;

    /** Sums of weights are scaled down from here. */
    private static final double LARGE = 1e200;

    private final int circuits;
    private final int reserved;

    public Symmetric(int circuits, int reserved) {
        this.circuits = circuits;
        this.reserved = reserved;
    }

    /** The share of calls lost, from a start at which {@code start} of the groups are full. */
    public double lost(double erlangs, double start) {
        double full = start;
        double closed = start;
        for (int i = 0; i < STEPS; i++) {
            // Each lost direct call tries two groups, and is carried if both are open to it.
            double overflow = 2 * erlangs * full * (1 - closed);
            double[] found = group(erlangs, overflow);
            full += DAMPING * (found[0] - full);
            closed += DAMPING * (found[1] - closed);
        }
        return full * (1 - (1 - closed) * (1 - closed));
    }

    /** Shares of time that a group is full, and closed to calls of two groups. */
    private double[] group(double direct, double overflow) {
        // From the full group down, so that large groups do not leave the range of numbers.
        double weight = 1;
        double sum = 1;
        double full = 1;
        double closed = 1;
        for (int busy = circuits - 1; busy >= 0; busy--) {
            weight *= (busy + 1) / (busy < circuits - reserved ? direct + overflow : direct);
            sum += weight;
            closed += busy >= circuits - reserved ? weight : 0;
            if (sum > LARGE) {
                weight /= LARGE;
                sum /= LARGE;
                full /= LARGE;
                closed /= LARGE;
            }
        }
        return new double[] {full / sum, closed / sum};
    }
}
