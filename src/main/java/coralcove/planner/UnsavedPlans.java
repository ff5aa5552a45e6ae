package coralcove.planner;

import coralcove.GroupTargets;
import coralcove.Plan;
import coralcove.PlannedTargetSource;
import coralcove.Settings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plans that an edge has accepted and not yet written to its plan store, one per trunk group. A
 * newer plan of a group replaces an older one, so that a slow disk costs no memory. Thread-safe:
 * the router's thread adds plans and the store's thread drains them.
 */
public final class UnsavedPlans {
    private final Map<Integer, Plan> pendingByGroup = new LinkedHashMap<>();

    /** Adds the groups of a plan that has come into force. */
    public synchronized void add(Plan plan) {
        for (GroupTargets group : plan.groups()) {
            pendingByGroup.put(
                    group.number(), new Plan(plan.router(), plan.version(), List.of(group)));
        }
    }

    /** Removes and returns the plans added since the last call, one group in each. */
    public synchronized List<Plan> drain() {
        List<Plan> drained = new ArrayList<>(pendingByGroup.values());
        pendingByGroup.clear();
        return drained;
    }

    /**
     * Puts stored plans into force again after a restart of the edge, and returns the number of
     * groups restored. Plans of another router and plans whose loads are stale are skipped, and so
     * are those whose loads were measured after {@code now}, as after a clock was set back: their
     * age is unknown.
     */
    public static int restore(
            long now, Settings settings, PlannedTargetSource targetSource, List<Plan> stored) {
        TreeMap<Long, List<GroupTargets>> groupsByVersion = new TreeMap<>();
        for (Plan plan : stored) {
            for (GroupTargets group : plan.groups()) {
                if (plan.router() == settings.localNumber()
                        && group.measuredAt() <= now
                        && now - group.measuredAt() < PlannedTargetSource.STALE_AGE_MICROS) {
                    groupsByVersion
                            .computeIfAbsent(plan.version(), version -> new ArrayList<>())
                            .add(group);
                }
            }
        }
        int restored = 0;
        for (Map.Entry<Long, List<GroupTargets>> entry : groupsByVersion.entrySet()) {
            Plan plan = new Plan(settings.localNumber(), entry.getKey(), entry.getValue());
            restored +=
                    targetSource.offer(now, plan) == PlannedTargetSource.Rejection.NONE
                            ? plan.groups().size()
                            : 0;
        }
        return restored;
    }
}
