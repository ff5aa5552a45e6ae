package coralcove.planner;

import coralcove.GroupLoad;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Extrapolates changing loads. A measured load covers the last ten seconds, so on average it is
 * five seconds old, and the targets based on it are in use for another five. A single group has too
 * few calls to show a trend in that time, so the trend is taken from the sum over all groups of the
 * router. As long as no change is statistically significant, loads stay as measured. No I/O, no
 * clock of its own.
 */
public final class LoadForecast {
    /** µs over which a load is measured; loads at least this far apart have no call in common. */
    static final long MEASUREMENT_WINDOW_MICROS = 10_000_000;

    /** µs of extrapolation: half the measurement window plus half the time a target is in use. */
    static final long HORIZON_MICROS = 7_500_000;

    /**
     * Standard deviations of a Poisson count beyond which a change is significant: about one false
     * alarm in a hundred.
     */
    private static final double SIGNIFICANT_DEVIATIONS = 2.6;

    /** Least factor by which a load is extrapolated; a deeper fall has to be measured. */
    private static final double MIN_FACTOR = 0.6;

    /** Greatest factor by which a load is extrapolated; a steeper rise has to be measured. */
    private static final double MAX_FACTOR = 1.6;

    /** µs: loads older than this are not compared. */
    private static final long MAX_HISTORY_AGE_MICROS = 25_000_000;

    /** Loads stored per group: those of two measurement windows, updated every five seconds. */
    private static final int MAX_HISTORY_SIZE = 5;

    /** Recent loads of one group and its current contribution to the totals. */
    private static final class GroupHistory {
        final ArrayDeque<GroupLoad> loads = new ArrayDeque<>();

        /** Number of calls per class in the latest window; null without an earlier window. */
        double[] currentCalls;

        /** Number of calls per class at least one window earlier; null without such a window. */
        double[] previousCalls;
    }

    private final long[] holdTimes;
    private final int maxGroups;
    private final Map<Integer, GroupHistory> histories = new HashMap<>();
    private final double[] currentTotals;
    private final double[] previousTotals;

    /**
     * Creates a forecast for classes with the mean hold times {@code holdTimes}, µs. Loads of
     * groups beyond {@code maxGroups} are returned as measured.
     */
    public LoadForecast(long[] holdTimes, int maxGroups) {
        this.holdTimes = holdTimes.clone();
        this.maxGroups = maxGroups;
        currentTotals = new double[holdTimes.length];
        previousTotals = new double[holdTimes.length];
    }

    /** Records a measured load and returns the load to plan for. */
    public GroupLoad forecast(GroupLoad measured) {
        GroupHistory history = histories.get(measured.number());
        if (history == null) {
            if (histories.size() >= maxGroups) {
                return measured;
            }
            history = new GroupHistory();
            histories.put(measured.number(), history);
        }
        record(history, measured);
        double[] calls = measured.erlangs().clone();
        for (int i = 0; i < calls.length; i++) {
            calls[i] *= changeFactor(i);
        }
        return new GroupLoad(measured.measuredAt(), measured.number(), measured.size(), calls);
    }

    private void record(GroupHistory history, GroupLoad measured) {
        if (!history.loads.isEmpty()
                && history.loads.peekLast().measuredAt() >= measured.measuredAt()) {
            return;
        }
        addToTotals(history, -1);
        history.loads.add(measured);
        while (history.loads.size() > MAX_HISTORY_SIZE
                || measured.measuredAt() - history.loads.peek().measuredAt()
                        > MAX_HISTORY_AGE_MICROS) {
            history.loads.poll();
        }
        history.currentCalls = null;
        history.previousCalls = null;
        for (Iterator<GroupLoad> newestFirst = history.loads.descendingIterator();
                newestFirst.hasNext(); ) {
            GroupLoad earlier = newestFirst.next();
            if (measured.measuredAt() - earlier.measuredAt() >= MEASUREMENT_WINDOW_MICROS) {
                history.currentCalls = callsInWindow(measured);
                history.previousCalls = callsInWindow(earlier);
                break;
            }
        }
        addToTotals(history, 1);
    }

    /** Adds the calls of a group to the totals (sign 1) or subtracts them (sign -1). */
    private void addToTotals(GroupHistory history, int sign) {
        for (int i = 0; history.currentCalls != null && i < holdTimes.length; i++) {
            currentTotals[i] += sign * history.currentCalls[i];
            previousTotals[i] += sign * history.previousCalls[i];
        }
    }

    private double[] callsInWindow(GroupLoad load) {
        double[] counts = new double[holdTimes.length];
        Arrays.setAll(counts, i -> load.erlangs()[i] * MEASUREMENT_WINDOW_MICROS / holdTimes[i]);
        return counts;
    }

    /**
     * Factor by which the load of a class is expected to change within the horizon, from the change
     * of all groups together; 1 where the change is not significant.
     */
    double changeFactor(int classIndex) {
        double current = currentTotals[classIndex];
        double previous = previousTotals[classIndex];
        double change = current - previous;
        if (previous <= 0
                || Math.abs(change) <= SIGNIFICANT_DEVIATIONS * Math.sqrt(current + previous)) {
            return 1;
        }
        // Only the part of the change that exceeds random variation is extrapolated.
        double significant =
                change
                        - Math.copySign(
                                SIGNIFICANT_DEVIATIONS * Math.sqrt(current + previous), change);
        return Math.max(
                MIN_FACTOR,
                Math.min(
                        MAX_FACTOR,
                        1 + significant / current * HORIZON_MICROS / MEASUREMENT_WINDOW_MICROS));
    }
}
