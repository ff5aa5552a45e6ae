package coralcove.sources;

import java.util.List;

/**
 * One notification from a directory.
 *
 * @param epoch chosen when the directory starts
 * @param version counts the directory's changes within its epoch
 * @param kind how complete the listing is
 * @param afterVersion version that a listing of kind {@link Kind#CHANGES} builds on
 * @param entries the exchanges
 */
public record DirectoryListing(
        String epoch, long version, Kind kind, long afterVersion, List<Entry> entries) {
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
     * @param liveness its liveness as known to the directory
     * @param age µs from its start to the sending of the listing, or {@link #LONG_AGO}
     */
    public record Entry(long id, Liveness liveness, long age) {}

    /** Age of an exchange that started too long ago to be cold. */
    public static final long LONG_AGO = -1;
}
