package coralcove;

/**
 * One entry of the exchange list: a machine that serves an exchange number.
 *
 * @param id identifies the machine; a replacement has a new id
 * @param number number of the exchange, which its trunk groups belong to
 * @param startedAt time of its last start, 0 if that was long ago
 */
public record Exchange(long id, int number, Phase phase, long startedAt) {
    /** Whether an exchange accepts new sessions. */
    public enum Phase {
        READY,
        DRAINING,
        GONE
    }
}
