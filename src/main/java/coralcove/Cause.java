package coralcove;

/** Why an INVITE was busy-replied or not sent. */
public enum Cause {
    NONE,
    NO_CIRCUIT,
    TURNED_BACK,
    FULL_BEYOND,
    PROCESSOR_FULL,
    LINES_BUSY
}
