package coralcove.theory;

/**
 * What theory says of one group of circuits offered Poisson calls, whatever the law of their holds:
 * Erlang's B formula, and the Kaufman-Roberts recursion where calls of several widths share the
 * group.
 */
public final class Erlang {
    private Erlang() {}

    /**
     * Share of calls that find all {@code circuits} busy at {@code erlangs} offered (Erlang B, by
     * its recursion).
     */
    public static double blocking(double erlangs, int circuits) {
        double blocking = 1;
        for (int i = 1; i <= circuits; i++) {
            blocking = erlangs * blocking / (i + erlangs * blocking);
        }
        return blocking;
    }

    /**
     * Share blocked of each class: class k is offered {@code erlangs[k]} calls standing at once,
     * each of {@code widths[k]} circuits (Kaufman 1981, Roberts 1981).
     */
    public static double[] blocking(int circuits, int[] widths, double[] erlangs) {
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
