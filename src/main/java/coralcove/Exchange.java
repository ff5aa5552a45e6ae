package coralcove;

/** One line of the roster; {@code since} is the moment of its last start, 0 for long ago. */
public record Exchange(long id, int number, Phase phase, long since) {
    public enum Phase {
        READY,
        DRAINING,
        GONE
    }
}
