package coralcove;

import java.util.List;

/**
 * Targets that a planner computed for one router: the router's number, a version that only
 * increases, and the targets of some or all of its trunk groups.
 */
public record Plan(int router, long version, List<GroupTargets> groups) {}
