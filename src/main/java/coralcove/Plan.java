package coralcove;

import java.util.List;

/**
 * Targets from a planner for one router: its number, a version that only grows, and any of its
 * groups.
 */
public record Plan(int router, long version, List<GroupPlan> groups) {}
