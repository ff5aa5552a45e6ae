package coralcove.sip;

/**
 * A program without its sockets and clock: times and inputs in, actions out. One thread owns it.
 * Times are whole microseconds since the epoch. {@link #due} says when {@link #tick} is wanted
 * next, Long.MAX_VALUE for never.
 */
public interface Core {
    void start(long now, Out out);

    void receive(long now, Hop from, SipMessage message, Out out);

    /**
     * A set-up that the overload gate turned away: answered at once with a come-back time, and
     * nothing else.
     */
    default void turnAway(long now, Hop from, SipMessage message, long comeBack, Out out) {
        receive(now, from, message, out);
    }

    /** Whether this request was taken before and is a repeat. */
    default boolean repeat(SipMessage message) {
        return false;
    }

    /** Something that was read from {@code from} and is no message. */
    void malformed(long now, Hop from, BadMessage problem, Out out);

    /**
     * A stream to {@code peer} has broken, or ({@code refused}) could not be opened, so that
     * nothing that waited for it was ever written.
     */
    void broken(long now, Hop peer, boolean refused, Out out);

    void tick(long now, Out out);

    long due();
}
