package coralcove.sources;

import java.util.List;

/**
 * What a directory says at once. {@code epoch} is drawn at its start, {@code version} counts its
 * changes within it. A WHOLE list names all that run; a LEARNING one comes from a directory that is
 * up too short to know who is missing, so that absence from it says nothing; CHANGES name what
 * changed after {@code after}.
 */
public record Listing(String epoch, long version, Kind kind, long after, List<Line> lines) {
    public enum Kind {
        WHOLE,
        LEARNING,
        CHANGES
    }

    /** One machine; {@code age} is µs since its start as of the telling, or {@link #LONG_AGO}. */
    public record Line(long id, Life life, long age) {}

    public static final long LONG_AGO = -1;
}
