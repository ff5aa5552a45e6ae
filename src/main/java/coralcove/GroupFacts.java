package coralcove;

/**
 * What the targets of one group rest on: when, its size, and per class the load offered, in calls
 * standing at once.
 */
public record GroupFacts(long at, int number, int size, double[] calls) {}
