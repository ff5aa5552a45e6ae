package coralcove.platform.caller;

/** Input of a caller that is not a valid message of the protocol. */
public final class MalformedCallerMessageException extends Exception {
    private static final long serialVersionUID = 1;

    public MalformedCallerMessageException(String reason) {
        super(reason);
    }
}
