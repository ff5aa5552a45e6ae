package coralcove;

/**
 * The targets of one trunk group. Per class: c0 for accepted calls, c1 for refused calls, whether
 * any load of the class was seen, and the number of phantom calls that a class starts with when it
 * gets its first targets. β applies to the whole group. {@code at} is the time of the measurements.
 */
public record GroupPlan(
        long at,
        int number,
        double beta,
        double[] c0,
        double[] c1,
        boolean[] seen,
        double[] phantoms) {}
