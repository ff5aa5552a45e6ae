package coralcove.planner;

import coralcove.GroupLoad;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the groups to plan next, within a budget: highly loaded groups with new loads first, by
 * load, then the other groups with new loads in order of arrival. A part of each budget is reserved
 * for the latter, so that no group starves however many there are. No I/O, no clock of its own.
 */
public final class PlanningSchedule {
    /**
     * Offered load over group size from which a group has priority; below it the targets hardly
     * matter.
     */
    private static final double PRIORITY_LOAD = 0.7;

    /** One in so many places of a budget is reserved for groups in order of arrival. */
    private static final int IN_ORDER_DIVISOR = 4;

    /** µs: loads older than this are no longer planned, since the edge would reject the plan. */
    private static final long MAX_LOAD_AGE_MICROS = 45_000_000;

    private final int[] widths;
    private final int maxGroups;
    private final Map<Integer, GroupLoad> loads = new HashMap<>();

    /** Numbers of the groups whose latest load has not been planned, in order of arrival. */
    private final Set<Integer> unplanned = new LinkedHashSet<>();

    /** Numbers of the groups whose latest load has not been passed to the store. */
    private final Set<Integer> changed = new LinkedHashSet<>();

    private long rejectedCount;

    /**
     * Creates an empty schedule.
     *
     * @param widths circuits per call of each class
     * @param maxGroups greatest number of groups whose loads are stored
     */
    public PlanningSchedule(int[] widths, int maxGroups) {
        this.widths = widths;
        this.maxGroups = maxGroups;
    }

    /**
     * Adds the latest load of a group. Returns false and ignores the load if it is older than the
     * stored one, has another number of classes, or would exceed the number of groups.
     */
    public boolean add(GroupLoad load) {
        GroupLoad known = loads.get(load.number());
        boolean acceptable =
                load.erlangs().length == widths.length
                        && (known == null || load.measuredAt() >= known.measuredAt())
                        && (known != null || loads.size() < maxGroups);
        if (!acceptable) {
            rejectedCount++;
            return false;
        }
        loads.put(load.number(), load);
        unplanned.add(load.number());
        changed.add(load.number());
        return true;
    }

    /**
     * Returns the loads of the groups to plan now, at most {@code budget} of them. Each load is
     * returned once.
     */
    public List<GroupLoad> takeNext(long now, int budget) {
        unplanned.removeIf(number -> now - loads.get(number).measuredAt() > MAX_LOAD_AGE_MICROS);
        List<GroupLoad> priority = new ArrayList<>();
        for (int number : unplanned) {
            if (relativeLoad(loads.get(number)) >= PRIORITY_LOAD) {
                priority.add(loads.get(number));
            }
        }
        priority.sort(
                Comparator.<GroupLoad>comparingDouble(load -> -relativeLoad(load))
                        .thenComparingInt(GroupLoad::number));
        List<GroupLoad> selected = new ArrayList<>();
        int priorityCount = Math.min(priority.size(), budget - budget / IN_ORDER_DIVISOR);
        for (GroupLoad load : priority.subList(0, priorityCount)) {
            selected.add(load);
            unplanned.remove(load.number());
        }
        // The rest of the budget goes to the remaining groups in order of arrival, those with
        // priority among them.
        for (int number : List.copyOf(unplanned)) {
            if (selected.size() == budget) {
                break;
            }
            selected.add(loads.get(number));
            unplanned.remove(number);
        }
        return selected;
    }

    /** Offered load in circuits over the size of the group; infinite for a group of size 0. */
    private double relativeLoad(GroupLoad load) {
        double offeredCircuits = 0;
        for (int i = 0; i < widths.length; i++) {
            offeredCircuits += load.erlangs()[i] * widths[i];
        }
        return load.size() == 0 ? Double.POSITIVE_INFINITY : offeredCircuits / load.size();
    }

    /** Whether no group waits to be planned. */
    public boolean isEmpty() {
        return unplanned.isEmpty();
    }

    /** Number of loads that {@link #add} rejected. */
    public long rejectedCount() {
        return rejectedCount;
    }

    /** Returns the loads added since the last call, to be written to the store. */
    public List<GroupLoad> drainChanged() {
        List<GroupLoad> all = new ArrayList<>();
        for (int number : changed) {
            all.add(loads.get(number));
        }
        changed.clear();
        return all;
    }
}
