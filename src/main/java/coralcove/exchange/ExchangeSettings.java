package coralcove.exchange;

import coralcove.sip.Hop;
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
        Hop self,
        Hop routerAddress,
        List<Hop> directories,
        Work processingTimes,
        List<Service> services,
        Callers callerModel,
        Rules coldStart,
        long coldStartedAt,
        Map<Integer, Integer> groupCircuits,
        int linesPerLimitedNumber,
        long seed,
        String startTag) {

    /** The same exchange, started cold at {@code now}. */
    public ExchangeSettings startedAt(long now) {
        return new ExchangeSettings(
                number,
                id,
                self,
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
     * @param look preparing a caller's INVITE
     * @param refuse rejecting a set-up
     * @param repeat handling a retransmitted INVITE
     * @param probe answering an OPTIONS probe
     * @param queueLimit queueing delay above which set-ups are rejected
     * @param tellsWait whether a rejection carries Retry-After
     * @param resend first interval after which a waiting INVITE is retransmitted, doubling each
     *     time; 0 for no retransmissions
     */
    public record Work(
            long look,
            long setUp,
            long answer,
            long release,
            long refuse,
            long repeat,
            long probe,
            long queueLimit,
            boolean tellsWait,
            long resend) {}

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
    public record Callers(
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
    public record Rules(
            double overloadMultiple,
            long overloadWindow,
            double coldCapacityShare,
            long warmUpTime) {}
}
