package coralcove.bound;

import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;

/**
 * The bound as a linear programme, solved by ojAlgo: exact, and for networks of some dozens of
 * exchanges only.
 */
public final class ExactBound {
    /** Exchanges at most: ways grow with their cube. */
    public static final int MOST = 16;

    private ExactBound() {}

    /**
     * The most value that direct ways and ways through one tandem can carry, calls taken as a
     * fluid.
     */
    public static double of(Network network) {
        int n = network.exchanges();
        if (n > MOST) {
            throw new IllegalArgumentException(
                    n + " exchanges, and at most " + MOST + " are solved exactly");
        }
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Expression[][][] groups = new Expression[network.slices()][n][n];
        for (int slice = 0; slice < network.slices(); slice++) {
            for (int i = 0; i < n; i++) {
                for (int j = i + 1; j < n; j++) {
                    groups[slice][i][j] =
                            model.newExpression("group " + slice + " " + i + " " + j)
                                    .upper(network.room(i, j));
                    groups[slice][j][i] = groups[slice][i][j];
                }
            }
        }
        int at = 0;
        for (Demand demand : network.demands()) {
            Expression calls = model.newExpression("calls " + at++).upper(demand.calls());
            int from = demand.from();
            int to = demand.to();
            for (int tandem = -1; tandem < n; tandem++) {
                boolean direct = tandem < 0;
                if (tandem == from
                        || tandem == to
                        || (direct
                                ? network.room(from, to) <= 0
                                : network.room(from, tandem) <= 0
                                        || network.room(tandem, to) <= 0)) {
                    continue;
                }
                Variable way =
                        model.newVariable("way " + at + " " + tandem)
                                .lower(0)
                                .weight(demand.value());
                calls.set(way, 1);
                for (int slice = demand.slice(); slice < network.slices(); slice++) {
                    double use =
                            demand.width() * network.use(demand.hold(), slice - demand.slice());
                    if (direct) {
                        groups[slice][from][to].set(way, use);
                    } else {
                        groups[slice][from][tandem].set(way, use);
                        groups[slice][tandem][to].set(way, use);
                    }
                }
            }
        }
        Optimisation.Result result = model.maximise();
        if (!result.getState().isOptimal()) {
            throw new IllegalStateException("the programme was not solved: " + result.getState());
        }
        return result.getValue();
    }
}
