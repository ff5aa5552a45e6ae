package coralcove.planner;

import coralcove.GroupLoad;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of group loads to be sent to the planner. It holds one entry per trunk group, and a newer
 * one replaces an older one, so that a planner that does not read costs no memory and first
 * receives the newest loads when it reads again. The number of groups is bounded; beyond the bound
 * the entry that was updated least recently is dropped.
 */
public final class GroupLoadQueue {
    private final int maxGroups;
    private final Map<Integer, GroupLoad> queued = new LinkedHashMap<>();

    /**
     * Loads that were sent while no plan based on them has been accepted yet; a planner that
     * connects later receives them again.
     */
    private final Map<Integer, GroupLoad> unplanned = new LinkedHashMap<>();

    private long dropped;
    private long replaced;

    /** Creates a queue for at most {@code maxGroups} groups. */
    public GroupLoadQueue(int maxGroups) {
        this.maxGroups = maxGroups;
    }

    /** Queues the load of a group in place of any older one of the same group. */
    public void add(GroupLoad load) {
        if (queued.remove(load.number()) != null) {
            replaced++;
        }
        unplanned.remove(load.number());
        queued.put(load.number(), load);
        if (queued.size() > maxGroups) {
            Iterator<Integer> oldest = queued.keySet().iterator();
            oldest.next();
            oldest.remove();
            dropped++;
        }
    }

    /** Removes and returns at most {@code count} loads, the least recently updated ones first. */
    public List<GroupLoad> drain(int count) {
        List<GroupLoad> drained = new ArrayList<>();
        Iterator<GroupLoad> oldest = queued.values().iterator();
        while (drained.size() < count && oldest.hasNext()) {
            GroupLoad next = oldest.next();
            drained.add(next);
            unplanned.put(next.number(), next);
            oldest.remove();
        }
        while (unplanned.size() > maxGroups) {
            unplanned.remove(unplanned.keySet().iterator().next());
        }
        return drained;
    }

    /** Notes that the plan in force for a group is based on its load measured at {@code at}, µs. */
    public void planAccepted(int number, long at) {
        GroupLoad sent = unplanned.get(number);
        if (sent != null && sent.measuredAt() <= at) {
            unplanned.remove(number);
        }
    }

    /**
     * Queues again, before newer loads, what the last planner was sent and did not plan. Called
     * when another planner connects.
     */
    public void requeueUnplanned() {
        Map<Integer, GroupLoad> newer = new LinkedHashMap<>(queued);
        queued.clear();
        queued.putAll(unplanned);
        unplanned.clear();
        newer.values().forEach(this::add);
    }

    /** Number of loads that wait to be sent. */
    public int queuedCount() {
        return queued.size();
    }

    /**
     * Returns the number of loads dropped because the queue was full, and the number replaced by a
     * newer one of the same group before they were sent.
     */
    public long[] counters() {
        return new long[] {dropped, replaced};
    }
}
