package coralcove;

import java.util.Arrays;

/** Sums over a sliding span, kept in fixed buckets of time that are used again in a ring. */
final class Ring {
    private final long width;
    private final double[] sums;
    private long head;

    Ring(long span, int buckets) {
        width = Math.max(1, span / buckets);
        sums = new double[buckets];
    }

    void add(long now, double amount) {
        turn(now);
        sums[(int) (head % sums.length)] += amount;
    }

    /** Lays {@code amount} down as if it had come evenly over the whole span. */
    void spread(long now, double amount) {
        turn(now);
        for (int i = 0; i < sums.length; i++) {
            sums[i] += amount / sums.length;
        }
    }

    double sum(long now) {
        turn(now);
        double total = 0;
        for (double each : sums) {
            total += each;
        }
        return total;
    }

    private void turn(long now) {
        long to = now / width;
        if (to - head >= sums.length) {
            Arrays.fill(sums, 0);
            head = to;
        }
        while (head < to) {
            head++;
            sums[(int) (head % sums.length)] = 0;
        }
    }
}
