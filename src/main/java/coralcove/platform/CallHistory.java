package coralcove.platform;

import coralcove.platform.Exchanges.RemoteExchange;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of calls for which this router has sent an INVITE, as far as they are over, and of
 * INVITEs that it has cancelled.
 *
 * <p>An exchange may still answer or release such a call, and a client may use its id again.
 * Set-ups that were refused without an INVITE are not kept: no exchange knows their ids, and a
 * client can have any number refused.
 */
final class CallHistory {
    /**
     * Maximum number of ids, the oldest of which is forgotten. At 190 calls a second, the most that
     * the platform sends to one router, an id is kept for more than four minutes.
     */
    private static final int MAX_IDS = 50_000;

    /** The exchange of the last cancelled INVITE by call id; null if none was cancelled. */
    private final Map<Long, RemoteExchange> cancelledAt =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, RemoteExchange> eldest) {
                    return size() > MAX_IDS;
                }
            };

    /** A call with an INVITE is over. */
    void ended(long id) {
        cancelledAt.putIfAbsent(id, null);
    }

    /** An INVITE was cancelled; its 200 may have crossed the CANCEL. */
    void cancelled(long id, RemoteExchange exchange) {
        cancelledAt.put(id, exchange);
    }

    /** Whether an INVITE was sent for this id before. */
    boolean contains(long id) {
        return cancelledAt.containsKey(id);
    }

    /** Whether the last INVITE of this id that was cancelled was sent to this exchange. */
    boolean wasCancelledAt(long id, RemoteExchange exchange) {
        return cancelledAt.get(id) == exchange;
    }
}
