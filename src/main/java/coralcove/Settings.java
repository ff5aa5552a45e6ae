package coralcove;

import java.util.List;

/**
 * The settings that a call router gets at its start; times in microseconds.
 *
 * @param routers number of routers in the fleet, this one included
 * @param ownNumber number of the exchange that this router belongs to
 * @param pools whether exchanges form pools in place of a mesh
 * @param inviteLimit most INVITEs sent for one session
 * @param redialsMarked whether callers mark their redials
 * @param comeBack whether a rejection may carry a retry-after delay
 * @param longestComeBack the longest retry-after delay allowed
 * @param peers whether routers may send each other messages
 * @param subscribe whether the exchange list must be requested from the directory
 * @param releaseWait wait after a time-out, reset or cancel until the next INVITE of the session
 * @param fallMultiple multiple of its capacity at which a cold exchange fails
 * @param fallWindow window over which that multiple is counted
 * @param coldFrom share of its capacity that an exchange has right after its start
 * @param warmUp time after its start until an exchange has its full capacity
 */
public record Settings(
        int routers,
        int ownNumber,
        boolean pools,
        List<Service> services,
        int inviteLimit,
        boolean redialsMarked,
        boolean comeBack,
        long longestComeBack,
        boolean peers,
        boolean subscribe,
        long releaseWait,
        double fallMultiple,
        long fallWindow,
        double coldFrom,
        long warmUp) {

    /**
     * One service.
     *
     * @param target post-dial target
     * @param value value of a call established within the target
     * @param lateValue share of that value for a call established later
     * @param width circuits that a call takes
     * @param hold mean hold time
     * @param repeatable whether a session may be sent again once an INVITE may have run
     * @param pools the pools it may use; empty for any
     */
    public record Service(
            long target,
            double value,
            double lateValue,
            int width,
            long hold,
            boolean repeatable,
            List<Integer> pools) {}
}
