package coralcove;

import java.util.List;

/**
 * What a router has to send besides sessions.
 *
 * @param wakeAt time at which to request pending actions again, 0 if there is none
 * @param probes exchanges to probe
 * @param broadcasts messages to send to all peers
 * @param subscribe whether to subscribe to the directory now
 */
public record PendingActions(
        long wakeAt, List<Long> probes, List<byte[]> broadcasts, boolean subscribe) {}
