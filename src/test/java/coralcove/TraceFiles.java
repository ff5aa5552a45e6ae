package coralcove;

/** Reads traces from src/test/resources for the tests of other packages. */
public final class TraceFiles {
    private TraceFiles() {}

    public static String read(String name) {
        return RouterHarness.readTrace(name);
    }
}
