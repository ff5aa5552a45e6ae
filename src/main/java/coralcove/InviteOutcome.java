package coralcove;

/**
 * The outcome of an INVITE; all but {@link #ESTABLISHED} are final for it. Logs and counters show
 * an outcome by its printed name, which does not follow a renamed constant.
 */
public enum InviteOutcome {
    /** The call is established. */
    ESTABLISHED("STANDS"),
    /** The established call was released normally. */
    RELEASED("OVER"),
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

    InviteOutcome(String printedName) {
        this.printedName = printedName;
    }

    /** Returns the name used in logs and counters. */
    @Override
    public String toString() {
        return printedName;
    }
}
