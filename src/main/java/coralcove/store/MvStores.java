package coralcove.store;

import java.nio.file.Path;
import org.h2.mvstore.MVStore;

/** Helper methods for stores on H2's MVStore. */
public final class MvStores {
    private MvStores() {}

    /** Opens or creates a store; only committed data is written to disk. */
    public static MVStore open(Path path) {
        return new MVStore.Builder().fileName(path.toString()).autoCommitDisabled().open();
    }

    /**
     * Returns the first line of an MVStore message, without the version and error code at its end.
     */
    public static String shortReason(String message) {
        return String.valueOf(message).lines().findFirst().orElse("").replaceAll(" \\[.*", "");
    }
}
