package coralcove.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleFunction;
import java.util.function.Function;

/**
 * Finds the smallest change that breaks a goal, by choosing the trials to make. No I/O: the caller
 * executes the trials.
 */
public final class GoalSearch {
    /** Greatest number of trials of one search: 40 bisections exceed any tolerance. */
    private static final int MAX_TRIALS = 40;

    /**
     * Result of a bisection.
     *
     * @param lastHolding the last value found at which the goal holds
     * @param firstBreaking the first value found at which it breaks
     * @param reason why it breaks there
     * @param trials number of trials made
     */
    public record Threshold(double lastHolding, double firstBreaking, String reason, int trials) {}

    private GoalSearch() {}

    /**
     * Bisects the range from {@code from}, where the goal holds, to {@code to}, where it breaks,
     * until the threshold is known to {@code tolerance}.
     *
     * @param trial returns why the goal breaks at a value, or an empty string if it holds
     * @throws IllegalArgumentException if the goal breaks at {@code from} or holds at {@code to}
     */
    public static Threshold findThreshold(
            double from, double to, double tolerance, DoubleFunction<String> trial) {
        String reason = trial.apply(from);
        if (!reason.isEmpty()) {
            throw new IllegalArgumentException(
                    "the goal breaks at " + from + " already: " + reason);
        }
        reason = trial.apply(to);
        if (reason.isEmpty()) {
            throw new IllegalArgumentException("the goal still holds at " + to);
        }
        double holds = from;
        double breaks = to;
        int trials = 2;
        while (Math.abs(breaks - holds) > tolerance && trials < MAX_TRIALS) {
            double middle = (holds + breaks) / 2;
            String reasonAtMiddle = trial.apply(middle);
            trials++;
            if (reasonAtMiddle.isEmpty()) {
                holds = middle;
            } else {
                breaks = middle;
                reason = reasonAtMiddle;
            }
        }
        return new Threshold(holds, breaks, reason, trials);
    }

    /**
     * Returns a minimal subset of {@code all} that still breaks the goal: without any one of its
     * elements the goal holds. The algorithm is delta debugging (ddmin, Zeller and Hildebrandt
     * 2002).
     *
     * @param breaks whether the goal breaks with a subset, which is in the order of {@code all};
     *     called at most once for each subset
     * @throws IllegalArgumentException if the goal holds with all elements
     */
    public static <T> List<T> minimalSubset(List<T> all, Function<List<T>, Boolean> breaks) {
        List<T> subset = new ArrayList<>(all);
        java.util.Map<List<T>, Boolean> results = new java.util.HashMap<>();
        Function<List<T>, Boolean> cachedBreaks =
                candidate -> results.computeIfAbsent(List.copyOf(candidate), breaks);
        if (!cachedBreaks.apply(subset)) {
            throw new IllegalArgumentException("the goal holds with all " + all.size());
        }
        if (cachedBreaks.apply(List.of())) {
            return List.of();
        }
        int parts = 2;
        while (subset.size() > 1) {
            List<T> next = null;
            int nextParts = Math.min(subset.size(), 2 * parts);
            for (int i = 0; i < parts && next == null; i++) {
                List<T> part =
                        subset.subList(i * subset.size() / parts, (i + 1) * subset.size() / parts);
                if (cachedBreaks.apply(part)) {
                    next = new ArrayList<>(part);
                    nextParts = 2;
                }
            }
            for (int i = 0; i < parts && next == null && parts > 2; i++) {
                List<T> complement = new ArrayList<>(subset.subList(0, i * subset.size() / parts));
                complement.addAll(subset.subList((i + 1) * subset.size() / parts, subset.size()));
                if (cachedBreaks.apply(complement)) {
                    next = complement;
                    nextParts = Math.max(2, parts - 1);
                }
            }
            if (next == null && parts >= subset.size()) {
                return subset;
            }
            subset = next == null ? subset : next;
            parts = Math.min(subset.size(), nextParts);
        }
        return subset;
    }
}
