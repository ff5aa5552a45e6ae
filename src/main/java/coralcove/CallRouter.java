package coralcove;

import java.util.List;

/**
 * One call router's decisions, asked like a client library. Three calls ask: {@link #route}, {@link
 * #after} and {@link #waiting}; all others only tell facts. Times are whole microseconds on one
 * clock that never goes back.
 */
public interface CallRouter {
    /**
     * Where to send this session now: an exchange, not yet, or never. Asked anew when a "later" has
     * come due.
     */
    Answer route(long now, Session session);

    /**
     * What to do after an INVITE came to {@code ending}. Once {@code over} is set nothing is owed
     * for the session and the answer is {@link Answer#NOTHING}. {@code namedWait} is the wait a
     * full processor named, or 0.
     */
    Answer after(
            long now,
            long session,
            Ending ending,
            Cause cause,
            long exchange,
            long took,
            long namedWait,
            boolean over);

    /** How long nothing need be asked, and what is to be sent besides sessions meanwhile. */
    Waiting waiting(long now);

    /** News of exchanges; a whole list replaces the old one. */
    void roster(long now, boolean whole, List<Exchange> exchanges);

    /** The directory's news stopped, or a question to it failed. */
    void rosterLost(long now);

    void circuits(long now, long exchange, int free, int size);

    /**
     * The answer to a probe; {@code columns} in the order of the settings, empty where it brought
     * none.
     */
    void report(long now, long exchange, boolean passed, long took, float[] columns);

    void peer(long now, int rank, byte[] body);

    /** The session is over by the caller's doing; nothing is owed for it. */
    void ended(long now, long session);
}
