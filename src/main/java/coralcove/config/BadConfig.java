package coralcove.config;

/** A settings file that cannot be used: the message names file, line, key and reason. */
public final class BadConfig extends Exception {
    private static final long serialVersionUID = 1;

    public BadConfig(String message) {
        super(message);
    }
}
