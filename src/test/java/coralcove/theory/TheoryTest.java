package coralcove.theory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Compares the formulas with published and closed-form values. */
class TheoryTest {
    /**
     * Values of published Erlang B tables: 10 circuits lose 1% at 4.461 erlangs, 100 lose 1% at
     * 84.06, 20 lose 5% at 15.25.
     */
    @Test
    void matchesErlangTables() {
        assertThat(Erlang.blockingProbability(4.461, 10)).isCloseTo(0.01, within(1e-5));
        assertThat(Erlang.blockingProbability(84.06, 100)).isCloseTo(0.01, within(1e-4));
        assertThat(Erlang.blockingProbability(15.25, 20)).isCloseTo(0.05, within(1e-4));
        assertThat(Erlang.blockingProbability(0, 5)).isZero();
    }

    /**
     * One class of width 1 equals Erlang B; one of width 2 equals Erlang B with half the circuits;
     * two classes are compared with an enumeration of all states.
     */
    @Test
    void kaufmanRobertsMatchesEnumeration() {
        assertThat(Erlang.blockingProbability(20, new int[] {1}, new double[] {15.25})[0])
                .isCloseTo(Erlang.blockingProbability(15.25, 20), within(1e-12));
        assertThat(Erlang.blockingProbability(20, new int[] {2}, new double[] {4.461})[0])
                .isCloseTo(Erlang.blockingProbability(4.461, 10), within(1e-12));
        double[] weights = new double[7];
        double sum = 0;
        for (int a = 0; a <= 6; a++) {
            for (int b = 0; a + 3 * b <= 6; b++) {
                double weight = Math.pow(2.5, a) / factorial(a) * Math.pow(0.7, b) / factorial(b);
                weights[a + 3 * b] += weight;
                sum += weight;
            }
        }
        double[] blocked = Erlang.blockingProbability(6, new int[] {1, 3}, new double[] {2.5, 0.7});
        assertThat(blocked[0]).isCloseTo(weights[6] / sum, within(1e-12));
        assertThat(blocked[1])
                .isCloseTo((weights[4] + weights[5] + weights[6]) / sum, within(1e-12));
    }

    private static double factorial(int n) {
        return n < 2 ? 1 : n * factorial(n - 1);
    }

    @Test
    void meanWaitOfSingleServerQueues() {
        // At a utilization of 0.8 the mean wait is four service times in M/M/1, two in M/D/1.
        assertThat(SingleServerQueue.meanWait(0.8, 1, 2)).isCloseTo(4, within(1e-9));
        assertThat(SingleServerQueue.meanWait(0.8, 1, 1)).isCloseTo(2, within(1e-9));
        assertThat(SingleServerQueue.meanWait(1, 1, 1)).isInfinite();
    }

    /**
     * Near load 1 there are two stable solutions without reserved circuits and one with them; far
     * from it there is one in both cases.
     */
    @Test
    void alternativeRoutingIsBistableWithoutReservation() {
        int bistableLoads = 0;
        for (int erlangs = 880; erlangs <= 1000; erlangs += 10) {
            SymmetricNetwork unreserved = new SymmetricNetwork(1000, 0);
            bistableLoads +=
                    unreserved.lossProbability(erlangs, 1) - unreserved.lossProbability(erlangs, 0)
                                    > 0.02
                            ? 1
                            : 0;
            SymmetricNetwork reserved = new SymmetricNetwork(1000, 50);
            assertThat(reserved.lossProbability(erlangs, 1))
                    .isCloseTo(reserved.lossProbability(erlangs, 0), within(1e-6));
        }
        // Below the range both starts reach the same solution, above it the one with high loss.
        assertThat(bistableLoads).isBetween(2, 11);
        assertThat(new SymmetricNetwork(1000, 0).lossProbability(880, 1))
                .isCloseTo(new SymmetricNetwork(1000, 0).lossProbability(880, 0), within(1e-6));
        assertThat(new SymmetricNetwork(1000, 50).lossProbability(1000, 0))
                .isLessThan(new SymmetricNetwork(1000, 0).lossProbability(1000, 0));
    }
}
