package coralcove;

/** Traces kept in the repository, for the tests of other packages. */
public final class Kept {
    private Kept() {}

    public static String trace(String name) {
        return Desk.kept(name);
    }
}
