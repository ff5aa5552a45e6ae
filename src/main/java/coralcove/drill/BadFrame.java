package coralcove.drill;

/** Input that is not the wire's; the message says what and where. */
public final class BadFrame extends Exception {
    private static final long serialVersionUID = 1L;

    public BadFrame(String message) {
        super(message);
    }
}
