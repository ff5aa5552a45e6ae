package coralcove.platform.caller;

/** What was read from a caller is no message of the protocol. */
public final class BadCallerMessage extends Exception {
    private static final long serialVersionUID = 1;

    public BadCallerMessage(String reason) {
        super(reason);
    }
}
