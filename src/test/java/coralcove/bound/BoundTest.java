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
     * Three exchanges whose best can be seen: the direct group first, then the way round as far as
     * both legs have room.
     */
    @Test
    void theBestOfThree() {
        int[][] circuits = {{0, 10, 10}, {10, 0, 5}, {10, 5, 0}};
        // So short a hold beside the slice that it ends in it.
        List<Demand> demands =
                List.of(
                        new Demand(0, 1, 0, 1, 0.01, 3000, 2),
                        new Demand(0, 1, 0, 1, 0.01, 3000, 1));
        Network network = new Network(circuits, 1, 1, demands);
        double use = network.use(0.01, 0);
        assertThat(use).isCloseTo(0.0099, within(1e-6));
        // Direct and over the tandem: 15 circuits for a second, all of it for the calls of value 2.
        assertThat(ExactBound.of(network)).isCloseTo(2 * 15 / use, within(1e-3));
        assertThat(new PricedBound(network).value())
                .isBetween(2 * 15 / use - 1e-6, 1.01 * 2 * 15 / use);
        assertThat(network.offered()).isEqualTo(9000);
    }

    /** A call's use over all slices is its hold, and of each slice what sampling says. */
    @Test
    void usesOfSlicesSumUpToTheHold() {
        Network network = new Network(new int[2][2], 50, 10, List.of());
        SplittableRandom chance = new SplittableRandom(2);
        for (double hold : new double[] {3, 11, 40}) {
            double sum = 0;
            for (int later = 0; later < 50; later++) {
                sum += network.use(hold, later);
            }
            assertThat(sum).isCloseTo(hold, within(1e-3));
            double[] seen = new double[3];
            int count = 300_000;
            for (int i = 0; i < count; i++) {
                double from = 10 * chance.nextDouble();
                double to = from - Math.log(1 - chance.nextDouble()) * hold;
                for (int later = 0; later < 3; later++) {
                    seen[later] +=
                            Math.max(0, Math.min(to, 10 * later + 10) - Math.max(from, 10 * later))
                                    / count;
                }
            }
            for (int later = 0; later < 3; later++) {
                assertThat(seen[later])
                        .isCloseTo(network.use(hold, later), within(0.03 * hold / 3));
            }
        }
    }

    private static Network random(SplittableRandom chance, int n) {
        int[][] circuits = new int[n][n];
        List<Demand> demands = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            for (int j = i + 1; j < n; j++) {
                circuits[i][j] = chance.nextInt(10) < 2 ? 0 : 5 + chance.nextInt(40);
                circuits[j][i] = circuits[i][j];
            }
            for (int j = 0; j < n; j++) {
                for (int slice = 0; i != j && slice < 3; slice++) {
                    demands.add(new Demand(i, j, slice, 1, 11, chance.nextInt(50), 1));
                    demands.add(
                            new Demand(
                                    i, j, slice, 1 + chance.nextInt(2), 16, chance.nextInt(15), 2));
                }
            }
        }
        return new Network(circuits, 3, 10, demands);
    }

    /** Never below the exact one, and within two hundredths of it. */
    @Test
    void pricesComeCloseToTheProgramme() {
        SplittableRandom chance = new SplittableRandom(5);
        for (int i = 0; i < 12; i++) {
            Network network = random(chance, 4 + i % 5);
            double exact = ExactBound.of(network);
            double priced = new PricedBound(network).value();
            assertThat(priced).isGreaterThanOrEqualTo(exact * (1 - 1e-9));
            assertThat(priced).isLessThan(1.02 * exact);
            assertThat(exact).isLessThanOrEqualTo(network.offered() + 1e-6);
        }
    }

    @Test
    void tooLargeForTheProgramme() {
        Network network = random(new SplittableRandom(1), ExactBound.MOST + 1);
        assertThatThrownBy(() -> ExactBound.of(network))
                .hasMessage("17 exchanges, and at most 16 are solved exactly");
    }
}
