package coralcove;

/**
 * One entry of the exchange list: the machine {@code id} serves the exchange number {@code number}.
 * {@code since} is the time of its last start, 0 if that was long ago.
 */
public record Exchange(long id, int number, Phase phase, long since) {
    /** Whether an exchange accepts new sessions. */
    public enum Phase {
        READY,
        DRAINING,
        GONE
    }
}
