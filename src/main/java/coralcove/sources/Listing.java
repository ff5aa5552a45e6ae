package coralcove.sources;

import java.util.List;

/**
 * One notification from a directory.
 *
 * @param epoch chosen when the directory starts
 * @param version counts the directory's changes within its epoch
 * @param kind how complete the listing is
 * @param after version that a listing of kind {@link Kind#CHANGES} builds on
 * @param lines the exchanges
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
        /** Names only what has changed since the version that it builds on. */
        CHANGES
    }

    /**
     * One exchange instance.
     *
     * @param id id of the instance
     * @param life its liveness as known to the directory
     * @param age µs from its start to the sending of the listing, or {@link #LONG_AGO}
     */
    public record Line(long id, Life life, long age) {}

    /** Age of an exchange that started too long ago to be cold. */
    public static final long LONG_AGO = -1;
}
