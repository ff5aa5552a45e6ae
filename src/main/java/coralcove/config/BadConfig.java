package coralcove.config;

/**
 * Thrown for an unusable settings file; the message names the file, line, key and reason. An
 * experiment's worker prints the name of this class in its error output.
 */
public final class BadConfig extends Exception {
    private static final long serialVersionUID = 1;

    public BadConfig(String message) {
        super(message);
    }
}
