package coralcove.platform;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;

/**
 * The ids of established calls that callers have reported, by the connection of the report.
 *
 * <p>Nothing proves that a reported call exists, so one client may report any number. The number
 * kept is bounded, apart from that of the calls which this router established, and each connection
 * has a share of it: at the bound, a report of a connection below its share replaces the oldest one
 * of the connection that has most.
 */
final class ReportedCalls {
    /**
     * Maximum number of reported calls; less than the number of releases that can be owed, so that
     * the end of all of them leaves room for others.
     */
    private static final int MAX_CALLS = 8_000;

    private final Map<Long, LinkedHashSet<Long>> idsByConnection = new HashMap<>();
    private int size;

    int size() {
        return size;
    }

    /** Whether there is no room for a further call of this connection. */
    boolean isOverShare(long connection) {
        LinkedHashSet<Long> ids = idsByConnection.get(connection);
        int connections = idsByConnection.size() + (ids == null ? 1 : 0);
        return size >= MAX_CALLS && ids != null && ids.size() >= MAX_CALLS / connections;
    }

    /** Adds a call; returns the one that had to be removed for it, if any. */
    Optional<Long> add(long id, long connection) {
        Optional<Long> removed = size >= MAX_CALLS ? removeOldestOfLargest() : Optional.empty();
        size +=
                idsByConnection.computeIfAbsent(connection, key -> new LinkedHashSet<>()).add(id)
                        ? 1
                        : 0;
        return removed;
    }

    /** Removes a call; does nothing if this connection did not report it. */
    void remove(long id, long connection) {
        LinkedHashSet<Long> ids = idsByConnection.get(connection);
        if (ids != null && ids.remove(id)) {
            size--;
            if (ids.isEmpty()) {
                idsByConnection.remove(connection);
            }
        }
    }

    private Optional<Long> removeOldestOfLargest() {
        Map.Entry<Long, LinkedHashSet<Long>> largest =
                idsByConnection.entrySet().stream()
                        .max(Comparator.comparingInt(each -> each.getValue().size()))
                        .orElseThrow();
        long oldest = largest.getValue().iterator().next();
        remove(oldest, largest.getKey());
        return Optional.of(oldest);
    }
}
