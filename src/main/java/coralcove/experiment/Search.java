package coralcove.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleFunction;
import java.util.function.Function;

/**
 * Decides what is tried next when the smallest thing is looked for that breaks a goal. No I/O:
 * trials are asked for.
 */
public final class Search {
    /** Trials of one search at most: halving a range 40 times is past any tolerance. */
    private static final int MOST_TRIALS = 40;

    /**
     * The last value at which the goal holds, the first at which it breaks, and why it breaks
     * there.
     */
    public record Edge(double holds, double breaks, String why, int trials) {}

    private Search() {}

    /**
     * Halves the range until the edge is known to {@code tolerance}; {@code missed} tells why the
     * goal breaks at a value, or "". The goal is taken to hold below some value and to break above
     * it; a range that does not show that is told.
     */
    public static Edge edge(
            double from, double to, double tolerance, DoubleFunction<String> missed) {
        String why = missed.apply(from);
        if (!why.isEmpty()) {
            throw new IllegalArgumentException("the goal breaks at " + from + " already: " + why);
        }
        why = missed.apply(to);
        if (why.isEmpty()) {
            throw new IllegalArgumentException("the goal still holds at " + to);
        }
        double holds = from;
        double breaks = to;
        int trials = 2;
        while (Math.abs(breaks - holds) > tolerance && trials < MOST_TRIALS) {
            double middle = (holds + breaks) / 2;
            String at = missed.apply(middle);
            trials++;
            if (at.isEmpty()) {
                holds = middle;
            } else {
                breaks = middle;
                why = at;
            }
        }
        return new Edge(holds, breaks, why, trials);
    }

    /**
     * The smallest part of {@code all} that still breaks the goal, in the sense that nothing of it
     * can be left out by itself: delta debugging (Zeller and Hildebrandt 2002, ddmin). {@code
     * breaks} is asked with parts in their order, never twice the same.
     */
    public static <T> List<T> smallest(List<T> all, Function<List<T>, Boolean> breaks) {
        List<T> kept = new ArrayList<>(all);
        java.util.Map<List<T>, Boolean> asked = new java.util.HashMap<>();
        Function<List<T>, Boolean> once = part -> asked.computeIfAbsent(List.copyOf(part), breaks);
        if (!once.apply(kept)) {
            throw new IllegalArgumentException("the goal holds with all " + all.size());
        }
        if (once.apply(List.of())) {
            return List.of();
        }
        int parts = 2;
        while (kept.size() > 1) {
            List<T> next = null;
            int nextParts = Math.min(kept.size(), 2 * parts);
            for (int i = 0; i < parts && next == null; i++) {
                List<T> part = kept.subList(i * kept.size() / parts, (i + 1) * kept.size() / parts);
                if (once.apply(part)) {
                    next = new ArrayList<>(part);
                    nextParts = 2;
                }
            }
            for (int i = 0; i < parts && next == null && parts > 2; i++) {
                List<T> rest = new ArrayList<>(kept.subList(0, i * kept.size() / parts));
                rest.addAll(kept.subList((i + 1) * kept.size() / parts, kept.size()));
                if (once.apply(rest)) {
                    next = rest;
                    nextParts = Math.max(2, parts - 1);
                }
            }
            if (next == null && parts >= kept.size()) {
                return kept;
            }
            kept = next == null ? kept : next;
            parts = Math.min(kept.size(), nextParts);
        }
        return kept;
    }
}
