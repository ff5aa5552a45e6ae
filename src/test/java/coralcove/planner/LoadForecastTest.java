package coralcove.planner;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.GroupLoad;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Only significant changes of load are extrapolated: a steady load is planned as measured, and a
 * surge is detected from all groups together.
 */
class LoadForecastTest {
    private static final long HOLD_TIME = 10_000_000;
    private static final int GROUPS = 30;

    private static int poisson(SplittableRandom random, double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = random.nextDouble();
                product > limit;
                product *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    /**
     * Simulates twelve load updates of all groups, five seconds apart, each with the calls of the
     * last ten seconds; the call rate per five seconds changes at half time. Returns the factor of
     * the last group at each update.
     */
    private static double[] factors(double rateBefore, double rateAfter, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LoadForecast forecast = new LoadForecast(new long[] {HOLD_TIME}, 1000);
        int[][] callsPerHalf = new int[GROUPS][2];
        double[] factors = new double[12];
        for (int step = 0; step < factors.length; step++) {
            double last = 1;
            for (int group = 0; group < GROUPS; group++) {
                callsPerHalf[group][step % 2] = poisson(random, step < 6 ? rateBefore : rateAfter);
                double calls =
                        (callsPerHalf[group][0] + callsPerHalf[group][1])
                                * HOLD_TIME
                                / 10_000_000.0;
                GroupLoad measured =
                        new GroupLoad(step * 5_000_000L + group, group, 30, new double[] {calls});
                GroupLoad planned = forecast.forecast(measured);
                last = calls == 0 ? last : planned.erlangs()[0] / calls;
            }
            factors[step] = last;
        }
        return factors;
    }

    @Test
    void steadyLoadIsPlannedAsMeasured() {
        int changed = 0;
        for (int seed = 0; seed < 200; seed++) {
            double[] factors = factors(3, 3, seed);
            for (int step = 4; step < factors.length; step++) {
                changed += factors[step] == 1 ? 0 : 1;
                assertThat(factors[step]).isBetween(0.9, 1.15);
            }
        }
        // About one in a hundred of the 1,600 forecasts is a false alarm, and a small one.
        assertThat(changed).isLessThan(40);
    }

    @Test
    void surgeIsExtrapolatedWhileTheLoadRises() {
        for (int seed = 0; seed < 50; seed++) {
            double[] factors = factors(3, 6, seed);
            assertThat(factors[7]).isGreaterThan(1.1).isLessThanOrEqualTo(1.6);
            assertThat(factors[11]).isBetween(0.9, 1.15);
            assertThat(factors(6, 3, seed)[7]).isBetween(0.6, 0.95);
        }
    }

    @Test
    void excessGroupsAndOldLoadsChangeNothing() {
        LoadForecast forecast = new LoadForecast(new long[] {HOLD_TIME}, 1);
        GroupLoad first = new GroupLoad(0, 1, 30, new double[] {5});
        assertThat(forecast.forecast(first).erlangs()).containsExactly(5);
        GroupLoad second = new GroupLoad(0, 2, 30, new double[] {5});
        assertThat(forecast.forecast(second)).isSameAs(second);
        forecast.forecast(new GroupLoad(11_000_000, 1, 30, new double[] {500}));
        assertThat(forecast.changeFactor(0)).isEqualTo(1.6);
        // The same load again, as after a reconnect, is counted once.
        forecast.forecast(new GroupLoad(11_000_000, 1, 30, new double[] {500}));
        forecast.forecast(new GroupLoad(5_000_000, 1, 30, new double[] {0}));
        assertThat(forecast.changeFactor(0)).isEqualTo(1.6);
        // After a gap there is no recent load to compare with.
        forecast.forecast(new GroupLoad(60_000_000, 1, 30, new double[] {5}));
        assertThat(forecast.changeFactor(0)).isEqualTo(1);
    }
}
