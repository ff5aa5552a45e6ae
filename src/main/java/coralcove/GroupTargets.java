package coralcove;

/**
 * The targets of one trunk group; the arrays have one entry per class.
 *
 * @param measuredAt time of the measurements that the targets rest on
 * @param number number of the exchange that the group leads to
 * @param beta β, the exponent of the penalty
 * @param c0 target for accepted calls, in circuits
 * @param c1 target for refused calls, in circuits
 * @param hasLoad whether the class has any load
 * @param initialPhantoms phantom calls that a class starts with when it gets its first targets
 */
public record GroupTargets(
        long measuredAt,
        int number,
        double beta,
        double[] c0,
        double[] c1,
        boolean[] hasLoad,
        double[] initialPhantoms) {}
