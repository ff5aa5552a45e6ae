package coralcove;

/**
 * Why an INVITE was busy-replied or not sent. Logs show a cause by its printed name, which does not
 * follow a renamed constant.
 */
public enum RejectionCause {
    NONE("NONE"),
    /** No free circuit in the trunk group. */
    NO_CIRCUIT("NO_CIRCUIT"),
    /** The tandem had no onward route to the far end (crankback). */
    CRANKBACK("TURNED_BACK"),
    /** The processor of the exchange behind the tandem is overloaded. */
    FAR_END_PROCESSOR_FULL("FULL_BEYOND"),
    /** The processor of the exchange itself is overloaded. */
    PROCESSOR_FULL("PROCESSOR_FULL"),
    /** All lines of the called number are busy. */
    LINES_BUSY("LINES_BUSY");

    private final String printedName;

    RejectionCause(String printedName) {
        this.printedName = printedName;
    }

    /** Returns the name used in logs. */
    @Override
    public String toString() {
        return printedName;
    }
}
