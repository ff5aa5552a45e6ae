package coralcove.planner;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.GroupFacts;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Looks ahead only where it is sure: a steady load is planned as counted, a surge is seen by all
 * groups together.
 */
class OutlookTest {
    private static final long HOLD = 10_000_000;
    private static final int GROUPS = 30;

    private static int poisson(SplittableRandom chance, double mean) {
        double left = Math.exp(-mean);
        int count = 0;
        for (double p = chance.nextDouble(); p > left; p *= chance.nextDouble()) {
            count++;
        }
        return count;
    }

    /**
     * Calls counted over ten seconds, each group every five, at a rate that may change; the factors
     * planned by.
     */
    private static double[] factors(double before, double after, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Outlook outlook = new Outlook(new long[] {HOLD}, 1000);
        int[][] halves = new int[GROUPS][2];
        double[] seen = new double[12];
        for (int step = 0; step < seen.length; step++) {
            double last = 1;
            for (int group = 0; group < GROUPS; group++) {
                halves[group][step % 2] = poisson(chance, step < 6 ? before : after);
                double calls = (halves[group][0] + halves[group][1]) * HOLD / 10_000_000.0;
                GroupFacts facts =
                        new GroupFacts(step * 5_000_000L + group, group, 30, new double[] {calls});
                GroupFacts planned = outlook.ahead(facts);
                last = calls == 0 ? last : planned.calls()[0] / calls;
            }
            seen[step] = last;
        }
        return seen;
    }

    @Test
    void aSteadyLoadIsPlannedAsCounted() {
        int changed = 0;
        for (int seed = 0; seed < 200; seed++) {
            double[] seen = factors(3, 3, seed);
            for (int step = 4; step < seen.length; step++) {
                changed += seen[step] == 1 ? 0 : 1;
                assertThat(seen[step]).isBetween(0.9, 1.15);
            }
        }
        // 1,600 looks, by chance wrong once in a hundred, and then by little.
        assertThat(changed).isLessThan(40);
    }

    @Test
    void aSurgeIsCarriedOnAndEndsWithTheRise() {
        for (int seed = 0; seed < 50; seed++) {
            double[] seen = factors(3, 6, seed);
            assertThat(seen[7]).isGreaterThan(1.1).isLessThanOrEqualTo(1.6);
            assertThat(seen[11]).isBetween(0.9, 1.15);
            assertThat(factors(6, 3, seed)[7]).isBetween(0.6, 0.95);
        }
    }

    @Test
    void tooManyGroupsAndOldFactsChangeNothing() {
        Outlook outlook = new Outlook(new long[] {HOLD}, 1);
        GroupFacts first = new GroupFacts(0, 1, 30, new double[] {5});
        assertThat(outlook.ahead(first).calls()).containsExactly(5);
        GroupFacts second = new GroupFacts(0, 2, 30, new double[] {5});
        assertThat(outlook.ahead(second)).isSameAs(second);
        outlook.ahead(new GroupFacts(11_000_000, 1, 30, new double[] {500}));
        assertThat(outlook.factor(0)).isEqualTo(1.6);
        // The same facts again, as after a reconnect, count once.
        outlook.ahead(new GroupFacts(11_000_000, 1, 30, new double[] {500}));
        outlook.ahead(new GroupFacts(5_000_000, 1, 30, new double[] {0}));
        assertThat(outlook.factor(0)).isEqualTo(1.6);
        // After a gap nothing is compared.
        outlook.ahead(new GroupFacts(60_000_000, 1, 30, new double[] {5}));
        assertThat(outlook.factor(0)).isEqualTo(1);
    }
}
