package coralcove.bound;

import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;

/**
 * The exact bound on the served value: a linear program solved by ojAlgo, for small networks only.
 */
public final class LinearProgramBound {
    /** Most exchanges accepted: the number of routes grows with their cube. */
    public static final int MAX_EXCHANGES = 16;

    private LinearProgramBound() {}

    /**
     * Most value that direct routes and routes through one tandem can carry, with calls as a fluid.
     *
     * @throws IllegalArgumentException if the network has more than {@link #MAX_EXCHANGES}
     *     exchanges
     */
    public static double solve(DemandNetwork network) {
        int n = network.exchanges();
        if (n > MAX_EXCHANGES) {
            throw new IllegalArgumentException(
                    n + " exchanges, and at most " + MAX_EXCHANGES + " are solved exactly");
        }
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Expression[][][] groups = new Expression[network.slices()][n][n];
        for (int slice = 0; slice < network.slices(); slice++) {
            for (int i = 0; i < n; i++) {
                for (int j = i + 1; j < n; j++) {
                    groups[slice][i][j] =
                            model.newExpression("group " + slice + " " + i + " " + j)
                                    .upper(network.capacity(i, j));
                    groups[slice][j][i] = groups[slice][i][j];
                }
            }
        }
        int index = 0;
        for (Demand demand : network.demands()) {
            Expression calls = model.newExpression("calls " + index++).upper(demand.calls());
            int from = demand.from();
            int to = demand.to();
            for (int tandem = -1; tandem < n; tandem++) {
                boolean direct = tandem < 0;
                if (tandem == from
                        || tandem == to
                        || (direct
                                ? network.capacity(from, to) <= 0
                                : network.capacity(from, tandem) <= 0
                                        || network.capacity(tandem, to) <= 0)) {
                    continue;
                }
                Variable route =
                        model.newVariable("route " + index + " " + tandem)
                                .lower(0)
                                .weight(demand.value());
                calls.set(route, 1);
                for (int slice = demand.slice(); slice < network.slices(); slice++) {
                    double use =
                            demand.width()
                                    * network.expectedUse(demand.hold(), slice - demand.slice());
                    if (direct) {
                        groups[slice][from][to].set(route, use);
                    } else {
                        groups[slice][from][tandem].set(route, use);
                        groups[slice][tandem][to].set(route, use);
                    }
                }
            }
        }
        Optimisation.Result result = model.maximise();
        if (!result.getState().isOptimal()) {
            throw new IllegalStateException(
                    "the linear program was not solved: " + result.getState());
        }
        return result.getValue();
    }
}
