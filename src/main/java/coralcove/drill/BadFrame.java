package coralcove.drill;

/** A malformed input of the simulator; the message says what is wrong and where. */
public final class BadFrame extends Exception {
    private static final long serialVersionUID = 1L;

    public BadFrame(String message) {
        super(message);
    }
}
