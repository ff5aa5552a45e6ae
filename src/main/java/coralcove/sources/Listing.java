package coralcove.sources;

import java.util.List;

/**
 * One notification from a directory. {@code epoch} is chosen when the directory starts, {@code
 * version} counts its changes within the epoch. {@code after} is the version that a listing of kind
 * {@link Kind#CHANGES} builds on.
 */
public record Listing(String epoch, long version, Kind kind, long after, List<Line> lines) {
    /** How complete a listing is. The names appear in the log. */
    public enum Kind {
        /** Names every exchange that is up. */
        WHOLE,
        /**
         * From a directory that has not been up long enough to know who is missing: absence from it
         * means nothing.
         */
        LEARNING,
        /** Names only what changed after version {@code after}. */
        CHANGES
    }

    /**
     * One exchange instance; {@code age} is the time in µs from its start to the sending of the
     * listing, or {@link #LONG_AGO}.
     */
    public record Line(long id, Life life, long age) {}

    /** Age of an exchange that started too long ago to be cold. */
    public static final long LONG_AGO = -1;
}
