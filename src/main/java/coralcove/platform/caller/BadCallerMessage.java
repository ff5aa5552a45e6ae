package coralcove.platform.caller;

/** Input of a caller that is not a valid message of the protocol. */
public final class BadCallerMessage extends Exception {
    private static final long serialVersionUID = 1;

    public BadCallerMessage(String reason) {
        super(reason);
    }
}
