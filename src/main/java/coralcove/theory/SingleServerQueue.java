package coralcove.theory;

/** Mean wait at a single first-come, first-served server with Poisson arrivals (M/G/1). */
public final class SingleServerQueue {
    private SingleServerQueue() {}

    /**
     * Mean wait before service (Pollaczek-Khinchine formula).
     *
     * @param rate arrivals per time unit
     * @param mean mean service time
     * @param meanSquare second moment of the service time
     * @return the mean wait in time units; infinite where the server is saturated
     */
    public static double meanWait(double rate, double mean, double meanSquare) {
        double utilization = rate * mean;
        return utilization >= 1
                ? Double.POSITIVE_INFINITY
                : rate * meanSquare / (2 * (1 - utilization));
    }
}
