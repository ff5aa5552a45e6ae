package coralcove.bound;

import java.util.List;

/**
 * A period of a network for a bound on the value that any routing could have served. {@code
 * circuits[i][j]} are those of the group between i and j, the same both ways, 0 for no group; a
 * call goes direct or through one tandem. The period is cut into {@code slices} of {@code seconds}
 * each: the network starts empty, and what is taken late goes on past its end.
 */
public record Network(int[][] circuits, int slices, double seconds, List<Demand> demands) {
    public int exchanges() {
        return circuits.length;
    }

    /** Circuit-seconds that a group has in one slice. */
    public double room(int i, int j) {
        return circuits[i][j] * seconds;
    }

    /**
     * Seconds of the slice {@code later} slices after its own that a call holds, on average: calls
     * come evenly over their slice, and holds are exponential.
     */
    public double use(double hold, int later) {
        double part = Math.exp(-seconds / hold);
        return later == 0
                ? hold - hold * hold / seconds * (1 - part)
                : hold * hold / seconds * (1 - part) * (1 - part) * Math.pow(part, later - 1);
    }

    public double offered() {
        return demands.stream().mapToDouble(d -> d.calls() * d.value()).sum();
    }
}
