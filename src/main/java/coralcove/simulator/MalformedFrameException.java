package coralcove.simulator;

/** A malformed input of the simulator; the message says what is wrong and where. */
public final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedFrameException(String message) {
        super(message);
    }
}
