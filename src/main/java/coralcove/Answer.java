package coralcove;

/**
 * What to do with a session; {@code time} is the INVITE's limit, the moment to ask again, or a
 * come-back.
 */
public record Answer(Kind kind, long exchange, long time) {
    public enum Kind {
        SEND,
        LATER,
        REFUSE,
        FAIL,
        NOTHING
    }

    public static final Answer NOTHING = new Answer(Kind.NOTHING, 0, 0);
    public static final Answer FAIL = new Answer(Kind.FAIL, 0, 0);

    public static Answer send(long exchange, long limit) {
        return new Answer(Kind.SEND, exchange, limit);
    }

    public static Answer later(long at) {
        return new Answer(Kind.LATER, 0, at);
    }

    public static Answer refuse(long comeBack) {
        return new Answer(Kind.REFUSE, 0, comeBack);
    }
}
