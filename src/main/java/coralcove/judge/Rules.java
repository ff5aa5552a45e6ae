package coralcove.judge;

/**
 * Parameters of the five rules. Times are in µs.
 *
 * @param answerGrace how late a final answer may be
 * @param drainGrace how long after the notification of a drain INVITEs may still be sent
 * @param releaseWait least wait before another INVITE after a time-out, reset or CANCEL
 * @param overloadMultiple multiple of its capacity that overloads a cold exchange
 * @param overloadWindow span over which set-ups to a cold exchange are counted
 * @param coldCapacityShare capacity at a cold start, as a share of the warm capacity
 * @param warmUp time from a cold start to the warm capacity
 * @param setUpsPerSecond warm capacity of an exchange
 */
public record Rules(
        long answerGrace,
        long drainGrace,
        long releaseWait,
        double overloadMultiple,
        long overloadWindow,
        double coldCapacityShare,
        long warmUp,
        double setUpsPerSecond) {}
