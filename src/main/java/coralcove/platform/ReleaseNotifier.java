package coralcove.platform;

import coralcove.platform.CallerConnections.CallerConnection;
import coralcove.platform.caller.CallerMessage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Notifies callers of the end of established calls. A release is sent on the connection of the
 * set-up, or on another one, or waits until there is one. Callers acknowledge each release; without
 * an acknowledgement it is sent again on another connection, as it is when its connection closes.
 */
final class ReleaseNotifier {
    /**
     * Time after which an unacknowledged release is sent on another connection. Callers have to
     * learn of a call's end within 1 s; two retries fit into that.
     */
    private static final long RETRY_AFTER_MICROS = 300_000;

    /** Maximum number of further connections on which one release is sent. */
    private static final int MAX_RETRIES = 3;

    /**
     * Maximum number of unacknowledged releases of one connection; the oldest is forgotten. Its
     * client may never acknowledge any.
     */
    private static final int MAX_UNACKNOWLEDGED = 100;

    /** Maximum number of releases that wait for a caller's connection; further ones are lost. */
    private static final int MAX_WAITING = 10_000;

    private final CallerConnections connections;
    private final Actions actions;
    private final Timers timers;

    /** Releases for which there was no connection. */
    private final List<CallerMessage> waiting = new ArrayList<>();

    ReleaseNotifier(CallerConnections connections, Actions actions, Timers timers) {
        this.connections = connections;
        this.actions = actions;
        this.timers = timers;
    }

    /**
     * Sends a release.
     *
     * @param preferred the connection of the set-up; 0 if it is closed or not known
     */
    void notifyCaller(long now, long preferred, CallerMessage release) {
        notifyCaller(now, preferred, release, new HashSet<>());
    }

    private void notifyCaller(long now, long preferred, CallerMessage release, Set<Long> tried) {
        CallerConnection to = connections.pickForRelease(preferred, tried);
        if (to != null) {
            to.unacknowledged.put(release.callId(), release);
            if (to.unacknowledged.size() > MAX_UNACKNOWLEDGED) {
                to.unacknowledged.remove(to.unacknowledged.keySet().iterator().next());
            }
            actions.sendToCaller(to.id, release);
            tried.add(to.id);
            if (tried.size() <= MAX_RETRIES) {
                timers.schedule(now + RETRY_AFTER_MICROS, time -> retry(time, to, release, tried));
            }
        } else if (tried.isEmpty() && waiting.size() < MAX_WAITING) {
            waiting.add(release);
        }
    }

    /**
     * Sends a release on another connection if it was not acknowledged though its connection is
     * open: that may be one of a client that places no calls, or one that nobody reads.
     */
    private void retry(long now, CallerConnection to, CallerMessage release, Set<Long> tried) {
        if (connections.get(to.id) == to
                && to.unacknowledged.containsKey(release.callId())
                && connections.pickForRelease(0, tried) != null) {
            to.unacknowledged.remove(release.callId());
            notifyCaller(now, 0, release, tried);
        }
    }

    /** A connection has closed: its unacknowledged releases are sent on another one. */
    void connectionClosed(long now, CallerConnection caller) {
        caller.unacknowledged.values().forEach(each -> notifyCaller(now, 0, each));
    }

    /** Sends the waiting releases, as there is a connection for them now. */
    void sendWaiting(long now) {
        if (!waiting.isEmpty()) {
            List<CallerMessage> releases = List.copyOf(waiting);
            waiting.clear();
            releases.forEach(each -> notifyCaller(now, 0, each));
        }
    }

    /**
     * Whether a release still waits for a connection, or for the acknowledgement of a caller that
     * has acknowledged others.
     */
    boolean hasUnacknowledged() {
        return !waiting.isEmpty()
                || connections.all().stream()
                        .anyMatch(
                                each ->
                                        each.acknowledgesReleases
                                                && !each.unacknowledged.isEmpty());
    }
}
