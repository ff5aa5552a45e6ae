package coralcove.platform;

import coralcove.platform.caller.CallerMessage;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Notifies callers of the end of established calls. A release is owed until a caller has
 * acknowledged it or, as acknowledgements are optional, until it was sent on a caller's connection
 * and time to notice a failure has passed.
 *
 * <p>It is sent on the connection of the set-up, else on the one with the strongest evidence of
 * being a caller's. Without an acknowledgement it is sent again on another one, as it is when its
 * connection closes. One that went only to connections which may not be callers' stays owed, and is
 * sent again when a connection gives stronger evidence.
 */
final class ReleaseNotifier {
    /**
     * Time after which an unacknowledged release is sent on another connection. Callers have to
     * learn of a call's end within 1 s; two retries fit into that.
     */
    private static final long RETRY_AFTER_MICROS = 300_000;

    /** Number of connections on which one release is sent, unless further ones are better. */
    private static final int MAX_ATTEMPTS = 4;

    /**
     * Time for which a release that was sent on a caller's connection is kept for the case that the
     * connection closes: the protocol's longest delay between the end of a call and its release.
     */
    private static final long DELIVERY_WINDOW_MICROS = 8_000_000;

    /** Time for which a release is owed at most: a caller that stays away longer is gone. */
    private static final long MAX_AGE_MICROS = 600_000_000;

    /** Maximum number of releases that are owed; the oldest is dropped. */
    private static final int MAX_OWED = 10_000;

    /**
     * Maximum number of releases that are unacknowledged on one connection; the oldest is dropped.
     * A client that reports calls which do not exist is sent as many releases.
     */
    private static final int MAX_UNACKNOWLEDGED = 1_000;

    /** A release that its caller may not have received. */
    private static final class OwedRelease {
        final CallerMessage message;
        final long owedSince;

        /** Connections on which it was sent. */
        final Set<Long> tried = new HashSet<>();

        /** The connection on which it was sent last; null if that has closed, or before. */
        CallerConnection sentOn;

        /** When it was sent last. */
        long sentAt;

        /** The strongest evidence of a connection on which it was sent. */
        CallerEvidence evidence = CallerEvidence.NONE;

        Timers.Timer timer;

        OwedRelease(CallerMessage message, long owedSince) {
            this.message = message;
            this.owedSince = owedSince;
        }

        boolean reachedCaller() {
            return evidence.isProof();
        }

        boolean hasAttemptsLeft() {
            return tried.size() < MAX_ATTEMPTS;
        }

        /** Whether it is to be sent on this connection, which has given stronger evidence. */
        boolean isWantedOn(CallerConnection caller, long now) {
            boolean overdue = sentOn == null || now - sentAt >= RETRY_AFTER_MICROS;
            return !reachedCaller() && caller.evidence.compareTo(evidence) > 0
                    || overdue && hasAttemptsLeft();
        }
    }

    private final CallerConnections connections;
    private final Actions actions;
    private final Timers timers;
    private final RouterCounters counters;

    /** The releases that are owed, by call id, the oldest first. */
    private final Map<Long, OwedRelease> owed = new LinkedHashMap<>();

    ReleaseNotifier(
            CallerConnections connections,
            Actions actions,
            Timers timers,
            RouterCounters counters) {
        this.connections = connections;
        this.actions = actions;
        this.timers = timers;
        this.counters = counters;
    }

    /**
     * Sends a release, or keeps it until there is a connection for it.
     *
     * @param setUpConnection the connection of the set-up; 0 if it is not known
     */
    void notifyCaller(long now, long setUpConnection, CallerMessage message) {
        settle(message.callId());
        if (owed.size() >= MAX_OWED) {
            drop(owed.values().iterator().next());
        }
        OwedRelease release = new OwedRelease(message, now);
        owed.put(message.callId(), release);
        CallerConnection to = connections.pickForRelease(setUpConnection, release.tried);
        if (to == null) {
            scheduleExpiry(release);
        } else {
            send(now, release, to);
        }
    }

    /** A connection has acknowledged a release. Returns whether it had been sent there. */
    boolean acknowledged(long callId, CallerConnection caller) {
        OwedRelease release = owed.get(callId);
        boolean sentThere = release != null && release.tried.contains(caller.id);
        if (sentThere) {
            settle(callId);
        }
        return sentThere;
    }

    /** A connection has closed: its unacknowledged releases are sent on another one. */
    void connectionClosed(long now, CallerConnection caller) {
        for (long callId : List.copyOf(caller.unacknowledged)) {
            OwedRelease release = owed.get(callId);
            release.sentOn = null;
            retry(now, release);
        }
        caller.unacknowledged.clear();
    }

    /** An exchange has released a call that a caller had reported on this connection. */
    void reportConfirmed(long now, long connectionId) {
        CallerConnection caller = connections.get(connectionId);
        if (caller != null && connections.addEvidence(caller, CallerEvidence.ESTABLISHED_CALL)) {
            evidenceGrew(now, caller);
        }
    }

    /** A connection has given stronger evidence: sends the releases that it should get too. */
    void evidenceGrew(long now, CallerConnection caller) {
        for (OwedRelease release : List.copyOf(owed.values())) {
            if (release.tried.contains(caller.id)) {
                release.evidence = strongest(release.evidence, caller.evidence);
            } else if (release.isWantedOn(caller, now)) {
                send(now, release, caller);
            }
        }
    }

    /** Whether a release waits for a connection, or for a likely acknowledgement. */
    boolean hasUnacknowledged() {
        return owed.values().stream()
                .anyMatch(each -> each.sentOn == null || each.sentOn.acknowledgesReleases);
    }

    /** Number of releases that are owed. */
    int size() {
        return owed.size();
    }

    /** Sends a release on a further connection, if there is one and attempts are left. */
    private void retry(long now, OwedRelease release) {
        CallerConnection to = connections.pickForRelease(0, release.tried);
        if (to != null && release.hasAttemptsLeft()) {
            send(now, release, to);
        } else {
            scheduleExpiry(release);
        }
    }

    private void send(long now, OwedRelease release, CallerConnection to) {
        long callId = release.message.callId();
        if (release.sentOn != null) {
            release.sentOn.unacknowledged.remove(callId);
        }
        release.sentOn = to;
        release.sentAt = now;
        release.tried.add(to.id);
        release.evidence = strongest(release.evidence, to.evidence);
        to.unacknowledged.add(callId);
        if (to.unacknowledged.size() > MAX_UNACKNOWLEDGED) {
            drop(owed.get(to.unacknowledged.iterator().next()));
        }
        actions.sendToCaller(to.id, release.message);
        timers.cancel(release.timer);
        release.timer = timers.schedule(now + RETRY_AFTER_MICROS, time -> retry(time, release));
    }

    private static CallerEvidence strongest(CallerEvidence one, CallerEvidence other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private void scheduleExpiry(OwedRelease release) {
        long age = release.reachedCaller() ? DELIVERY_WINDOW_MICROS : MAX_AGE_MICROS;
        timers.cancel(release.timer);
        release.timer = timers.schedule(release.owedSince + age, time -> drop(release));
    }

    /** Gives up a release that was not acknowledged. */
    private void drop(OwedRelease release) {
        counters.releasesDropped += release.reachedCaller() ? 0 : 1;
        settle(release.message.callId());
    }

    /** Nothing is owed for this call any more. */
    private void settle(long callId) {
        OwedRelease release = owed.remove(callId);
        if (release != null) {
            timers.cancel(release.timer);
            if (release.sentOn != null) {
                release.sentOn.unacknowledged.remove(callId);
            }
        }
    }
}
