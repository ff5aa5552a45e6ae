package coralcove.exchange;

import coralcove.sip.TransportAddress;
import java.util.List;
import java.util.Map;

/**
 * Settings of one simulated exchange; all times in µs.
 *
 * @param coldStartedAt when it was started cold, 0 if it has long been warm
 * @param groupCircuits the circuits of its trunk groups, by the number of the exchange at the other
 *     end
 * @param linesPerLimitedNumber lines of each local number from 1 to 99; a call to it is answered
 *     486 while they are all in use
 * @param startTag distinguishes this start from all others, for example in SIP tags
 */
public record ExchangeSettings(
        int number,
        long id,
        TransportAddress listenAddress,
        TransportAddress routerAddress,
        List<TransportAddress> directories,
        ProcessingTimes processingTimes,
        List<Service> services,
        CallerModel callerModel,
        ColdStartRules coldStart,
        long coldStartedAt,
        Map<Integer, Integer> groupCircuits,
        int linesPerLimitedNumber,
        long seed,
        String startTag) {

    /** The same exchange, started cold at {@code now}. */
    public ExchangeSettings withColdStart(long now) {
        return new ExchangeSettings(
                number,
                id,
                listenAddress,
                routerAddress,
                directories,
                processingTimes,
                services,
                callerModel,
                coldStart,
                now,
                groupCircuits,
                linesPerLimitedNumber,
                seed,
                startTag);
    }

    /**
     * Service times of the processor, and its overload limits.
     *
     * @param lookUp preparing a caller's INVITE
     * @param reject rejecting a set-up
     * @param retransmission handling a retransmitted INVITE
     * @param probe answering an OPTIONS probe
     * @param maxQueueingDelay queueing delay above which set-ups are rejected
     * @param sendsRetryAfter whether a rejection carries Retry-After
     * @param retransmissionInterval first interval after which a waiting INVITE is retransmitted,
     *     doubling each time; 0 for no retransmissions
     */
    public record ProcessingTimes(
            long lookUp,
            long setUp,
            long answer,
            long release,
            long reject,
            long retransmission,
            long probe,
            long maxQueueingDelay,
            boolean sendsRetryAfter,
            long retransmissionInterval) {}

    /**
     * A service as callers see it; {@code lateValue} is the share of {@code value} that a call
     * established after the post-dial target is worth.
     */
    public record Service(
            long postDialTarget, long timerLimit, double value, double lateValue, int circuits) {}

    /**
     * How callers redial.
     *
     * @param attemptShare share of the timer limit after which an attempt is abandoned
     * @param backoff mean wait before the first redial, doubling with each attempt; the actual wait
     *     varies by half of it at random
     * @param retryAfterCompliance share of callers that wait as long as Retry-After says
     * @param marksRedials whether INVITEs of redials are marked as such
     */
    public record CallerModel(
            int maxRedials,
            double attemptShare,
            long backoff,
            double retryAfterCompliance,
            boolean marksRedials) {}

    /**
     * How a cold exchange behaves: it collapses when more set-ups than {@code overloadMultiple}
     * times its capacity arrive within {@code overloadWindow}. Its capacity rises from {@code
     * coldCapacityShare} to 1 within {@code warmUpTime}.
     */
    public record ColdStartRules(
            double overloadMultiple,
            long overloadWindow,
            double coldCapacityShare,
            long warmUpTime) {}
}
