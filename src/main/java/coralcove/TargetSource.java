package coralcove;

/**
 * Supplies the targets of a trunk group to the routing policy. It is queried every few seconds per
 * group, not for each session.
 */
public interface TargetSource {
    /**
     * Returns the targets for this load, or null for none; without targets any call that fits is
     * accepted, as at the start.
     */
    GroupTargets targetsFor(long now, GroupLoad load);

    /**
     * Returns a number that changes when new targets have arrived; always 0 if {@link #targetsFor}
     * computes them at once.
     */
    default long version() {
        return 0;
    }

    /** Returns a group's current targets without a new measurement, or null for none. */
    default GroupTargets currentTargets(long now, int number) {
        return null;
    }
}
