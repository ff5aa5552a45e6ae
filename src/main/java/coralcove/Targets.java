package coralcove;

/** Where the per-session decisions get a group's targets from; asked every few seconds a group, never for a session. */
public interface Targets {
    /** The targets to go by, or null for none: then any call that fits is taken, as at the start. */
    GroupPlan of(long now, GroupFacts facts);
}
