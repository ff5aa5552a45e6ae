package coralcove.bound;

/**
 * Calls of one service offered between two exchanges in one time slice: {@code calls} calls, each
 * of which occupies {@code width} circuits of every trunk group on its route for {@code hold}
 * seconds on average and has the given {@code value}.
 */
public record Demand(
        int from, int to, int slice, int width, double hold, double calls, double value) {}
