package coralcove;

/**
 * The measured load of one trunk group, from which its targets are computed.
 *
 * @param measuredAt time of the measurement
 * @param number number of the exchange that the group leads to
 * @param size circuits of the group
 * @param erlangs offered load of each class, in erlangs
 */
public record GroupLoad(long measuredAt, int number, int size, double[] erlangs) {}
