package coralcove.planner;

import coralcove.GroupFacts;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which groups are planned next, within a budget: pressed ones with new facts first, by
 * their load, then the rest with new facts in turn, so that none waits for ever however many there
 * are. No I/O, no clock of its own.
 */
public final class Schedule {
    /** Load over size from which a group is pressed: below, what its targets say hardly matters. */
    private static final double PRESSED = 0.7;

    /** The part of a budget kept for groups in turn, so that pressed ones never starve the rest. */
    private static final int IN_TURN_PART = 4;

    /** µs: facts older than this are planned no more: the edge would refuse the plan. */
    private static final long TOO_OLD = 45_000_000;

    private final int[] widths;
    private final int mostGroups;
    private final Map<Integer, GroupFacts> facts = new HashMap<>();
    private final Set<Integer> fresh = new LinkedHashSet<>();
    private final Set<Integer> changed = new LinkedHashSet<>();
    private long refused;

    /**
     * {@code widths} are the classes' circuits a call; facts of {@code mostGroups} groups are kept
     * at most.
     */
    public Schedule(int[] widths, int mostGroups) {
        this.widths = widths;
        this.mostGroups = mostGroups;
    }

    /**
     * New facts; older ones of the same group, of another count of classes, or of too many groups
     * are refused.
     */
    public boolean told(GroupFacts told) {
        GroupFacts known = facts.get(told.number());
        boolean good =
                told.calls().length == widths.length
                        && (known == null || told.at() >= known.at())
                        && (known != null || facts.size() < mostGroups);
        if (!good) {
            refused++;
            return false;
        }
        facts.put(told.number(), told);
        fresh.add(told.number());
        changed.add(told.number());
        return true;
    }

    /**
     * The facts of the groups to plan now, {@code budget} at most; each is given out once until new
     * facts come.
     */
    public List<GroupFacts> next(long now, int budget) {
        fresh.removeIf(number -> now - facts.get(number).at() > TOO_OLD);
        List<GroupFacts> pressed = new ArrayList<>();
        for (int number : fresh) {
            if (load(facts.get(number)) >= PRESSED) {
                pressed.add(facts.get(number));
            }
        }
        pressed.sort(
                Comparator.<GroupFacts>comparingDouble(f -> -load(f))
                        .thenComparingInt(GroupFacts::number));
        List<GroupFacts> out = new ArrayList<>();
        int first = Math.min(pressed.size(), budget - budget / IN_TURN_PART);
        for (GroupFacts each : pressed.subList(0, first)) {
            out.add(each);
            fresh.remove(each.number());
        }
        // In the order in which their facts came; what is left of the budget goes to pressed ones
        // by the same order.
        for (int number : List.copyOf(fresh)) {
            if (out.size() == budget) {
                break;
            }
            out.add(facts.get(number));
            fresh.remove(number);
        }
        return out;
    }

    /** Circuits wanted over circuits there. */
    private double load(GroupFacts of) {
        double wanted = 0;
        for (int i = 0; i < widths.length; i++) {
            wanted += of.calls()[i] * widths[i];
        }
        return of.size() == 0 ? Double.POSITIVE_INFINITY : wanted / of.size();
    }

    /** Whether any group waits to be planned. */
    public boolean idle() {
        return fresh.isEmpty();
    }

    public long refused() {
        return refused;
    }

    /** Facts told since this was last asked, for the store. */
    public List<GroupFacts> changed() {
        List<GroupFacts> all = new ArrayList<>();
        for (int number : changed) {
            all.add(facts.get(number));
        }
        changed.clear();
        return all;
    }
}
