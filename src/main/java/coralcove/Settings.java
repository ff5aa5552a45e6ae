package coralcove;

import java.util.List;

/**
 * The settings that a call router gets at its start; times in microseconds.
 *
 * @param routers number of routers in the fleet, this one included
 * @param localNumber number of the exchange that this router belongs to
 * @param usesPools whether exchanges form pools in place of a mesh
 * @param maxInvites most INVITEs sent for one session
 * @param redialsMarked whether callers mark their redials
 * @param retryAfterAllowed whether a rejection may carry a retry-after delay
 * @param maxRetryAfter the longest retry-after delay allowed
 * @param peerMessagesAllowed whether routers may send each other messages
 * @param mustSubscribe whether the exchange list must be requested from the directory
 * @param releaseWait wait after a time-out, reset or cancel until the next INVITE of the session
 * @param overloadMultiple multiple of its capacity at which a cold exchange fails
 * @param overloadWindow window over which that multiple is counted
 * @param coldCapacityShare share of its capacity that an exchange has right after its start
 * @param warmUpTime time after its start until an exchange has its full capacity
 */
public record Settings(
        int routers,
        int localNumber,
        boolean usesPools,
        List<Service> services,
        int maxInvites,
        boolean redialsMarked,
        boolean retryAfterAllowed,
        long maxRetryAfter,
        boolean peerMessagesAllowed,
        boolean mustSubscribe,
        long releaseWait,
        double overloadMultiple,
        long overloadWindow,
        double coldCapacityShare,
        long warmUpTime) {

    /**
     * One service.
     *
     * @param postDialTarget post-dial target
     * @param value value of a call established within the target
     * @param lateValue share of that value for a call established later
     * @param circuits circuits that a call takes
     * @param holdTime mean hold time
     * @param repeatable whether a session may be sent again once an INVITE may have run
     * @param allowedPools the pools it may use; empty for any
     */
    public record Service(
            long postDialTarget,
            double value,
            double lateValue,
            int circuits,
            long holdTime,
            boolean repeatable,
            List<Integer> allowedPools) {}
}
