package coralcove;

/**
 * The outcome of an INVITE; all but {@link #STANDS} are final for it. Logs and counters show an
 * outcome by its printed name, which does not follow a renamed constant.
 */
public enum Ending {
    /** The call is established. */
    STANDS("STANDS"),
    /** The established call was released normally. */
    OVER("OVER"),
    ERROR("ERROR"),
    /** The exchange answered with a busy reply. */
    BUSY("BUSY"),
    TIMED_OUT("TIMED_OUT"),
    UNREACHABLE("UNREACHABLE"),
    /** The set-up or the established call was cut off. */
    RESET("RESET"),
    CANCELLED("CANCELLED"),
    /** The INVITE did not leave the local exchange. */
    NOT_SENT("NOT_SENT");

    private final String printedName;

    Ending(String printedName) {
        this.printedName = printedName;
    }

    /** Returns the name used in logs and counters. */
    @Override
    public String toString() {
        return printedName;
    }
}
