package coralcove.bound;

import java.util.List;

/**
 * Input of a bound on the value that any routing could have served in a period. {@code
 * circuits[i][j]} is the size of the trunk group between i and j, the same in both directions, 0
 * for no group; a call is routed directly or through one tandem. The period is divided into {@code
 * slices} of {@code seconds} each. The network starts empty, and calls accepted late continue past
 * the end of the period.
 */
public record DemandNetwork(int[][] circuits, int slices, double seconds, List<Demand> demands) {
    /** Number of exchanges. */
    public int exchanges() {
        return circuits.length;
    }

    /** Capacity of the trunk group between i and j in one slice, in circuit-seconds. */
    public double capacity(int i, int j) {
        return circuits[i][j] * seconds;
    }

    /**
     * Expected seconds for which a call occupies a circuit in the slice that is {@code later}
     * slices after the one it arrives in. Arrivals are uniform over a slice and hold times
     * exponential.
     */
    public double expectedUse(double hold, int later) {
        double remaining = Math.exp(-seconds / hold);
        return later == 0
                ? hold - hold * hold / seconds * (1 - remaining)
                : hold
                        * hold
                        / seconds
                        * (1 - remaining)
                        * (1 - remaining)
                        * Math.pow(remaining, later - 1);
    }

    /** Value of all offered calls. */
    public double offeredValue() {
        return demands.stream().mapToDouble(demand -> demand.calls() * demand.value()).sum();
    }
}
