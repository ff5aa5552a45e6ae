package coralcove;

/**
 * Where the per-session decisions get a group's targets from; asked every few seconds a group,
 * never for a session.
 */
public interface Targets {
    /**
     * The targets to go by, or null for none: then any call that fits is taken, as at the start.
     */
    GroupPlan of(long now, GroupFacts facts);

    /**
     * Changes when targets have come in the meantime; always 0 where {@link #of} gives the newest
     * at once.
     */
    default long version() {
        return 0;
    }

    /** The targets of a group as they are now, without new facts; null for none. */
    default GroupPlan held(long now, int number) {
        return null;
    }
}
