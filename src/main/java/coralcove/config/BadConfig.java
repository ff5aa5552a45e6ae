package coralcove.config;

/** Thrown for an unusable settings file; the message names the file, line, key and reason. */
public final class BadConfig extends Exception {
    private static final long serialVersionUID = 1;

    public BadConfig(String message) {
        super(message);
    }
}
