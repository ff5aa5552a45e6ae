package coralcove;

/** How an INVITE went; all but {@link #STANDS} are final for it. */
public enum Ending {
    STANDS,
    OVER,
    ERROR,
    BUSY,
    TIMED_OUT,
    UNREACHABLE,
    RESET,
    CANCELLED,
    NOT_SENT
}
