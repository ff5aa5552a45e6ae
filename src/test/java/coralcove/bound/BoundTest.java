package coralcove.bound;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class BoundTest {
    /**
     * Three exchanges with a known optimum: the direct group first, then the alternative route as
     * far as both of its groups have capacity.
     */
    @Test
    void threeExchangesWithKnownOptimum() {
        int[][] circuits = {{0, 10, 10}, {10, 0, 5}, {10, 5, 0}};
        // The hold time is so short that a call ends in the slice in which it starts.
        List<Demand> demands =
                List.of(
                        new Demand(0, 1, 0, 1, 0.01, 3000, 2),
                        new Demand(0, 1, 0, 1, 0.01, 3000, 1));
        DemandNetwork network = new DemandNetwork(circuits, 1, 1, demands);
        double use = network.expectedUse(0.01, 0);
        assertThat(use).isCloseTo(0.0099, within(1e-6));
        // Direct route and tandem: 15 circuits for a second, all used by the calls of value 2.
        assertThat(LinearProgramBound.solve(network)).isCloseTo(2 * 15 / use, within(1e-3));
        assertThat(new LagrangianBound(network).value())
                .isBetween(2 * 15 / use - 1e-6, 1.01 * 2 * 15 / use);
        assertThat(network.offeredValue()).isEqualTo(9000);
    }

    /** Expected use sums to the hold time over all slices, and matches sampling in each slice. */
    @Test
    void expectedUseSumsToHoldTime() {
        DemandNetwork network = new DemandNetwork(new int[2][2], 50, 10, List.of());
        SplittableRandom random = new SplittableRandom(2);
        for (double hold : new double[] {3, 11, 40}) {
            double sum = 0;
            for (int later = 0; later < 50; later++) {
                sum += network.expectedUse(hold, later);
            }
            assertThat(sum).isCloseTo(hold, within(1e-3));
            double[] sampled = new double[3];
            int count = 300_000;
            for (int i = 0; i < count; i++) {
                double from = 10 * random.nextDouble();
                double to = from - Math.log(1 - random.nextDouble()) * hold;
                for (int later = 0; later < 3; later++) {
                    sampled[later] +=
                            Math.max(0, Math.min(to, 10 * later + 10) - Math.max(from, 10 * later))
                                    / count;
                }
            }
            for (int later = 0; later < 3; later++) {
                assertThat(sampled[later])
                        .isCloseTo(network.expectedUse(hold, later), within(0.03 * hold / 3));
            }
        }
    }

    private static DemandNetwork randomNetwork(SplittableRandom random, int n) {
        int[][] circuits = new int[n][n];
        List<Demand> demands = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            for (int j = i + 1; j < n; j++) {
                circuits[i][j] = random.nextInt(10) < 2 ? 0 : 5 + random.nextInt(40);
                circuits[j][i] = circuits[i][j];
            }
            for (int j = 0; j < n; j++) {
                for (int slice = 0; i != j && slice < 3; slice++) {
                    demands.add(new Demand(i, j, slice, 1, 11, random.nextInt(50), 1));
                    demands.add(
                            new Demand(
                                    i, j, slice, 1 + random.nextInt(2), 16, random.nextInt(15), 2));
                }
            }
        }
        return new DemandNetwork(circuits, 3, 10, demands);
    }

    /** The bound by prices is never below the exact one and exceeds it by less than 2%. */
    @Test
    void pricedBoundIsCloseToLinearProgram() {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 12; i++) {
            DemandNetwork network = randomNetwork(random, 4 + i % 5);
            double exact = LinearProgramBound.solve(network);
            double priced = new LagrangianBound(network).value();
            assertThat(priced).isGreaterThanOrEqualTo(exact * (1 - 1e-9));
            assertThat(priced).isLessThan(1.02 * exact);
            assertThat(exact).isLessThanOrEqualTo(network.offeredValue() + 1e-6);
        }
    }

    @Test
    void rejectsTooManyExchangesForLinearProgram() {
        DemandNetwork network =
                randomNetwork(new SplittableRandom(1), LinearProgramBound.MAX_EXCHANGES + 1);
        assertThatThrownBy(() -> LinearProgramBound.solve(network))
                .hasMessage("17 exchanges, and at most 16 are solved exactly");
    }
}
