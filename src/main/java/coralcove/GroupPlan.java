package coralcove;

/**
 * The targets of one group, per class: c0 for calls taken, c1 for calls refused, whether the class
 * was seen at all, and the phantoms that a class seen for the first time begins with. β is the
 * group's; {@code at} is the moment of the facts.
 */
public record GroupPlan(
        long at,
        int number,
        double beta,
        double[] c0,
        double[] c1,
        boolean[] seen,
        double[] phantoms) {}
