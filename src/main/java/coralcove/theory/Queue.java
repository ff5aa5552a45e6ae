package coralcove.theory;

/** What theory says of one server in order of coming, with Poisson arrivals. */
public final class Queue {
    private Queue() {}

    /**
     * Mean wait before service (Pollaczek-Khinchine): arrivals a time unit, mean and mean square of
     * the service time.
     */
    public static double wait(double rate, double mean, double meanSquare) {
        double use = rate * mean;
        return use >= 1 ? Double.POSITIVE_INFINITY : rate * meanSquare / (2 * (1 - use));
    }
}
