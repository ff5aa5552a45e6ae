package coralcove.theory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Against published and closed-form values. */
class TheoryTest {
    /**
     * Erlang's tables: 10 circuits lose 1% at 4.461 erlangs, 100 lose 1% at 84.06, 20 lose 5% at
     * 15.25.
     */
    @Test
    void erlangsTables() {
        assertThat(Erlang.blocking(4.461, 10)).isCloseTo(0.01, within(1e-5));
        assertThat(Erlang.blocking(84.06, 100)).isCloseTo(0.01, within(1e-4));
        assertThat(Erlang.blocking(15.25, 20)).isCloseTo(0.05, within(1e-4));
        assertThat(Erlang.blocking(0, 5)).isZero();
    }

    /**
     * One class of width 1 is Erlang B; of width 2 it is Erlang B of half the circuits; two kinds
     * by enumeration.
     */
    @Test
    void kaufmanRobertsInCasesThatCanBeCounted() {
        assertThat(Erlang.blocking(20, new int[] {1}, new double[] {15.25})[0])
                .isCloseTo(Erlang.blocking(15.25, 20), within(1e-12));
        assertThat(Erlang.blocking(20, new int[] {2}, new double[] {4.461})[0])
                .isCloseTo(Erlang.blocking(4.461, 10), within(1e-12));
        double[] weights = new double[7];
        double sum = 0;
        for (int a = 0; a <= 6; a++) {
            for (int b = 0; a + 3 * b <= 6; b++) {
                double weight = Math.pow(2.5, a) / factorial(a) * Math.pow(0.7, b) / factorial(b);
                weights[a + 3 * b] += weight;
                sum += weight;
            }
        }
        double[] blocked = Erlang.blocking(6, new int[] {1, 3}, new double[] {2.5, 0.7});
        assertThat(blocked[0]).isCloseTo(weights[6] / sum, within(1e-12));
        assertThat(blocked[1])
                .isCloseTo((weights[4] + weights[5] + weights[6]) / sum, within(1e-12));
    }

    private static double factorial(int n) {
        return n < 2 ? 1 : n * factorial(n - 1);
    }

    @Test
    void waits() {
        // M/M/1 at use 0.8 waits four services, M/D/1 half of that.
        assertThat(Queue.wait(0.8, 1, 2)).isCloseTo(4, within(1e-9));
        assertThat(Queue.wait(0.8, 1, 1)).isCloseTo(2, within(1e-9));
        assertThat(Queue.wait(1, 1, 1)).isInfinite();
    }

    /** Two stable solutions without reservation near load 1, one with it, and one far from it. */
    @Test
    void alternativeRoutingIsBistableWithoutReservation() {
        int apart = 0;
        for (int erlangs = 880; erlangs <= 1000; erlangs += 10) {
            Symmetric open = new Symmetric(1000, 0);
            apart += open.lost(erlangs, 1) - open.lost(erlangs, 0) > 0.02 ? 1 : 0;
            Symmetric reserved = new Symmetric(1000, 50);
            assertThat(reserved.lost(erlangs, 1))
                    .isCloseTo(reserved.lost(erlangs, 0), within(1e-6));
        }
        // Only in a range: below it both starts end in the same, and above it in the bad solution.
        assertThat(apart).isBetween(2, 11);
        assertThat(new Symmetric(1000, 0).lost(880, 1))
                .isCloseTo(new Symmetric(1000, 0).lost(880, 0), within(1e-6));
        assertThat(new Symmetric(1000, 50).lost(1000, 0))
                .isLessThan(new Symmetric(1000, 0).lost(1000, 0));
    }
}
