package coralcove.experiment;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Mean of a sample with its 95% confidence interval from {@code low} to {@code high}, by the
 * bootstrap (Efron 1979), which assumes no distribution of the values.
 */
public record MeanEstimate(int count, double mean, double low, double high) {
    /** Enough to determine the ends of the interval to a few hundredths of its width. */
    private static final int RESAMPLES = 2000;

    /** Share of the resampled means outside each end of the interval. */
    private static final double TAIL_SHARE = 0.025;

    private static final long SEED = 20_261_201;

    /**
     * Estimates the mean of some values. A single value is its own interval, and equal values give
     * equal intervals, since the seed is fixed. Without values all results are NaN.
     */
    public static MeanEstimate of(double[] values) {
        if (values.length == 0) {
            return new MeanEstimate(0, Double.NaN, Double.NaN, Double.NaN);
        }
        double mean = Arrays.stream(values).average().orElse(0);
        SplittableRandom random = new SplittableRandom(SEED);
        double[] means = new double[RESAMPLES];
        for (int resample = 0; resample < RESAMPLES; resample++) {
            double sum = 0;
            for (int i = 0; i < values.length; i++) {
                sum += values[random.nextInt(values.length)];
            }
            means[resample] = sum / values.length;
        }
        Arrays.sort(means);
        return new MeanEstimate(
                values.length,
                mean,
                means[(int) (TAIL_SHARE * RESAMPLES)],
                means[(int) ((1 - TAIL_SHARE) * RESAMPLES) - 1]);
    }

    /** Half the width of the interval. */
    public double halfWidth() {
        return (high - low) / 2;
    }
}
