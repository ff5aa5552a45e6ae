package coralcove;

/**
 * The measured load of one trunk group, from which its targets are computed.
 *
 * @param at time of the measurement
 * @param number number of the exchange that the group leads to
 * @param size circuits of the group
 * @param calls offered load of each class, in erlangs
 */
public record GroupFacts(long at, int number, int size, double[] calls) {}
