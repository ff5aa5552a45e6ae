package coralcove;

/**
 * The measurements from which the targets of one trunk group are computed: the time of the
 * measurement, the group's number and size in circuits, and the offered load of each class in
 * erlangs (mean simultaneous calls).
 */
public record GroupFacts(long at, int number, int size, double[] calls) {}
