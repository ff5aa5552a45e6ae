package coralcove.experiment;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Mean and interval of some values, by resampling them (Efron 1979): no law of theirs is assumed.
 */
public record Sample(int count, double mean, double low, double high) {
    /** Resamples: the ends of the interval are then known to a few hundredths of its width. */
    private static final int RESAMPLES = 2000;

    /** Share left out at each end of the interval. */
    private static final double OUTSIDE = 0.025;

    private static final long SEED = 20_261_201;

    /**
     * The interval holds the mean 19 times of 20; of one value it is that value. Equal values,
     * equal intervals.
     */
    public static Sample of(double[] values) {
        if (values.length == 0) {
            return new Sample(0, Double.NaN, Double.NaN, Double.NaN);
        }
        double mean = Arrays.stream(values).average().orElse(0);
        SplittableRandom chance = new SplittableRandom(SEED);
        double[] means = new double[RESAMPLES];
        for (int r = 0; r < RESAMPLES; r++) {
            double sum = 0;
            for (int i = 0; i < values.length; i++) {
                sum += values[chance.nextInt(values.length)];
            }
            means[r] = sum / values.length;
        }
        Arrays.sort(means);
        return new Sample(
                values.length,
                mean,
                means[(int) (OUTSIDE * RESAMPLES)],
                means[(int) ((1 - OUTSIDE) * RESAMPLES) - 1]);
    }

    public double halfWidth() {
        return (high - low) / 2;
    }
}
