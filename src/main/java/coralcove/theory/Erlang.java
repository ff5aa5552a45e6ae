package coralcove.theory;

/**
 * Blocking probability of one trunk group offered Poisson calls: Erlang's B formula, and the
 * Kaufman-Roberts recursion where calls of several widths share the group. Both hold for any
 * distribution of hold times.
 */
public final class Erlang {
    private Erlang() {}

    /**
     * Probability that a call finds all {@code circuits} busy at an offered load of {@code erlangs}
     * (Erlang B, computed by its recursion).
     */
    public static double blockingProbability(double erlangs, int circuits) {
        double blocking = 1;
        for (int i = 1; i <= circuits; i++) {
            blocking = erlangs * blocking / (i + erlangs * blocking);
        }
        return blocking;
    }

    /**
     * Blocking probability of each class: class k offers {@code erlangs[k]} erlangs of calls that
     * occupy {@code widths[k]} circuits each (Kaufman 1981, Roberts 1981).
     */
    public static double[] blockingProbability(int circuits, int[] widths, double[] erlangs) {
        double[] weight = new double[circuits + 1];
        weight[0] = 1;
        double sum = 1;
        for (int busy = 1; busy <= circuits; busy++) {
            for (int k = 0; k < widths.length; k++) {
                weight[busy] +=
                        busy < widths[k]
                                ? 0
                                : erlangs[k] * widths[k] * weight[busy - widths[k]] / busy;
            }
            sum += weight[busy];
        }
        double[] blocked = new double[widths.length];
        for (int k = 0; k < widths.length; k++) {
            for (int busy = Math.max(0, circuits - widths[k] + 1); busy <= circuits; busy++) {
                blocked[k] += weight[busy] / sum;
            }
        }
        return blocked;
    }
}
