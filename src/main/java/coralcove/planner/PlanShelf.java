package coralcove.planner;

import coralcove.GroupPlan;
import coralcove.Plan;
import coralcove.PlanKeeper;
import coralcove.Settings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The plans that an edge has taken, one a group, on their way to its store; and which of a store's
 * plans still count when an edge starts again. The newest of a group wins, so that a slow disk
 * costs no memory.
 */
public final class PlanShelf {
    private final Map<Integer, Plan> taken = new LinkedHashMap<>();

    /** A plan that is in force from now on; told on the router's thread. */
    public synchronized void taken(Plan plan) {
        for (GroupPlan each : plan.groups()) {
            taken.put(each.number(), new Plan(plan.router(), plan.version(), List.of(each)));
        }
    }

    /** What has been taken since this was last asked; asked on the store's thread. */
    public synchronized List<Plan> drain() {
        List<Plan> all = new ArrayList<>(taken.values());
        taken.clear();
        return all;
    }

    /**
     * Puts in force what is stored for this router and not stale, by the age of its facts as
     * always; returns the groups. A moment still to come, as after a clock was set back, says
     * nothing of age, and is left.
     */
    public static int resume(long now, Settings settings, PlanKeeper keeper, List<Plan> stored) {
        TreeMap<Long, List<GroupPlan>> byVersion = new TreeMap<>();
        for (Plan plan : stored) {
            for (GroupPlan each : plan.groups()) {
                if (plan.router() == settings.ownNumber()
                        && each.at() <= now
                        && now - each.at() < PlanKeeper.STALE_FROM) {
                    byVersion.computeIfAbsent(plan.version(), v -> new ArrayList<>()).add(each);
                }
            }
        }
        int groups = 0;
        for (Map.Entry<Long, List<GroupPlan>> each : byVersion.entrySet()) {
            Plan plan = new Plan(settings.ownNumber(), each.getKey(), each.getValue());
            groups += keeper.offer(now, plan) == PlanKeeper.Refusal.NONE ? plan.groups().size() : 0;
        }
        return groups;
    }
}
