package coralcove.bound;

/**
 * What is wanted of one service between two exchanges in one slice of a period: {@code calls}
 * calls, each of which holds {@code width} circuits of every group on its way for {@code hold}
 * seconds on average and is worth {@code value}.
 */
public record Demand(
        int from, int to, int slice, int width, double hold, double calls, double value) {}
