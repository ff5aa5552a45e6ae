package coralcove;

import java.util.Arrays;

/**
 * The sum of what was added in a sliding window of time, kept in a ring of fixed-length buckets.
 */
final class SlidingWindowSum {
    private final long bucketLength;
    private final double[] sums;
    private long newestBucket;

    SlidingWindowSum(long window, int buckets) {
        bucketLength = Math.max(1, window / buckets);
        sums = new double[buckets];
    }

    void add(long now, double amount) {
        advance(now);
        sums[(int) (newestBucket % sums.length)] += amount;
    }

    /** Adds {@code amount} as if it had arrived evenly over the whole window. */
    void spread(long now, double amount) {
        advance(now);
        for (int i = 0; i < sums.length; i++) {
            sums[i] += amount / sums.length;
        }
    }

    double sum(long now) {
        advance(now);
        double total = 0;
        for (double sum : sums) {
            total += sum;
        }
        return total;
    }

    /** Clears the buckets that have left the window. */
    private void advance(long now) {
        long bucket = now / bucketLength;
        if (bucket - newestBucket >= sums.length) {
            Arrays.fill(sums, 0);
            newestBucket = bucket;
        }
        while (newestBucket < bucket) {
            newestBucket++;
            sums[(int) (newestBucket % sums.length)] = 0;
        }
    }
}
