package coralcove.platform;

import coralcove.platform.caller.CallerFramer;
import coralcove.platform.caller.CallerMessage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The open connections of callers. Keeps the pending sessions of each, picks the connection on
 * which a release is sent, and decides which connections are closed.
 *
 * <p>Also clients that place no calls connect, by hundreds at a time. They must not displace the
 * callers, nor receive the releases of their calls.
 */
final class CallerConnections {
    /**
     * Time that a connection may be open without a valid message; callers send their first message
     * as soon as they connect.
     */
    private static final long FIRST_MESSAGE_TIMEOUT_MICROS = 1_800_000;

    /** Time in which a message must be complete after its first byte. */
    private static final long PARTIAL_MESSAGE_TIMEOUT_MICROS = 1_500_000;

    /**
     * Time without input after which no input of a connection is assumed to be in transit, even if
     * the router was slow.
     */
    private static final long SETTLED_MICROS = 500_000;

    /** Time from marking to closing, in which input that was read already is processed. */
    private static final long CLOSE_DELAY_MICROS = 50_000;

    /** Time without input before a connection may be closed at the connection limit. */
    private static final long GRACE_AT_LIMIT_MICROS = 60_000;

    /**
     * Time after which a connection without a valid message is taken for one of a client that
     * places no calls; callers send as soon as they connect.
     */
    private static final long GRACE_MICROS = 150_000;

    /** One connection; times are µs since the epoch. */
    static final class CallerConnection {
        final long id;
        final long openedAt;
        final CallerFramer framer = new CallerFramer();

        /** Ids of sessions set up on this connection that have no final answer yet. */
        final Set<Long> pendingSessions = new LinkedHashSet<>();

        /** Releases of established calls sent on this connection and not acknowledged, by call. */
        final Map<Long, CallerMessage> unacknowledged = new LinkedHashMap<>();

        /** Whether a valid message came; only such a connection is used for releases. */
        boolean sentValidMessage;

        /** Whether it has acknowledged a release, so that further ones are likely read too. */
        boolean acknowledgesReleases;

        /** Whether a call was set up or reported on it: its caller expects the release here. */
        boolean hadCall;

        /** When the message that is incomplete began, or 0. */
        long partialSince;

        /** When it last sent bytes, or else was opened. */
        long lastReadAt;

        CallerConnection(long id, long openedAt) {
            this.id = id;
            this.openedAt = openedAt;
            lastReadAt = openedAt;
        }
    }

    private DescriptorBudget descriptorBudget;
    private final Map<Long, CallerConnection> connections = new LinkedHashMap<>();

    /** Ids of connections that have sent a valid message, the most recent last. */
    private final LinkedHashSet<Long> validSenders = new LinkedHashSet<>();

    /** Ids of connections that have acknowledged a release, the most recent last. */
    private final LinkedHashSet<Long> acknowledging = new LinkedHashSet<>();

    /** Ids of connections on which calls were set up or reported, the most recent last. */
    private final LinkedHashSet<Long> withCalls = new LinkedHashSet<>();

    /** Time of marking by connection id. */
    private final Map<Long, Long> markedForClosing = new LinkedHashMap<>();

    CallerConnections(DescriptorBudget descriptorBudget) {
        this.descriptorBudget = descriptorBudget;
    }

    /** The number of exchanges, whose connections need descriptors too, has changed. */
    void setDescriptorBudget(DescriptorBudget budget) {
        descriptorBudget = budget;
    }

    CallerConnection get(long id) {
        return connections.get(id);
    }

    int size() {
        return connections.size();
    }

    void opened(long now, long id) {
        connections.put(id, new CallerConnection(id, now));
    }

    /** Removes a connection; returns null if it was not open. */
    CallerConnection closed(long id) {
        validSenders.remove(id);
        acknowledging.remove(id);
        withCalls.remove(id);
        return connections.remove(id);
    }

    /** It has sent a valid message. */
    void markValidSender(CallerConnection caller) {
        caller.sentValidMessage = true;
        validSenders.remove(caller.id);
        validSenders.add(caller.id);
    }

    /** It has acknowledged a release. */
    void markAcknowledging(CallerConnection caller) {
        caller.acknowledgesReleases = true;
        acknowledging.remove(caller.id);
        acknowledging.add(caller.id);
    }

    /** A call was set up on it, or reported as established. */
    void markHadCall(CallerConnection caller) {
        caller.hadCall = true;
        withCalls.remove(caller.id);
        withCalls.add(caller.id);
    }

    /**
     * Picks a connection for the release of a call: that of its set-up if it is still open, else
     * the last one that acknowledged a release, else the last one that had a call, else the last
     * one that sent a valid message. This order prefers callers to clients that only send tests and
     * stay connected.
     *
     * @param preferred the connection of the set-up
     * @param tried connections on which this release was sent before; none of them is picked
     * @return null if there is none
     */
    CallerConnection pickForRelease(long preferred, Set<Long> tried) {
        CallerConnection picked = tried.contains(preferred) ? null : connections.get(preferred);
        for (LinkedHashSet<Long> ids : List.of(acknowledging, withCalls, validSenders)) {
            picked = picked == null ? mostRecent(ids, tried) : picked;
        }
        return picked;
    }

    private CallerConnection mostRecent(LinkedHashSet<Long> ids, Set<Long> tried) {
        Long last = null;
        for (Long id : ids) {
            last = tried.contains(id) ? last : id;
        }
        return last == null ? null : connections.get(last);
    }

    /**
     * The connections to close while there are too many: the oldest without a valid message, then,
     * of the others, no more than exceed their own share, longest silent first. Clients that place
     * no calls and connect by hundreds must not displace the callers, as the release of a call
     * needs one of the callers' connections.
     */
    private List<CallerConnection> excessConnections(long now) {
        int excess = connections.size() - descriptorBudget.maxCallersInCore();
        if (excess <= 0) {
            return List.of();
        }
        List<CallerConnection> found = new ArrayList<>();
        for (CallerConnection caller : connections.values()) {
            if (found.size() < excess
                    && !caller.sentValidMessage
                    && caller.pendingSessions.isEmpty()
                    && now - caller.openedAt > GRACE_MICROS) {
                found.add(caller);
            }
        }
        connections.values().stream()
                .filter(
                        each ->
                                each.sentValidMessage
                                        && each.pendingSessions.isEmpty()
                                        && now - each.lastReadAt > SETTLED_MICROS)
                .sorted(
                        Comparator.<CallerConnection, Boolean>comparing(
                                        each -> each.acknowledgesReleases)
                                .thenComparing(each -> each.lastReadAt))
                .limit(
                        Math.max(
                                0,
                                Math.min(
                                        excess - found.size(),
                                        validSenders.size() - descriptorBudget.maxValidSenders())))
                .forEach(found::add);
        return found;
    }

    /**
     * Up to two connections to close at the connection limit: the oldest without a call or an
     * acknowledged release, then, while valid senders exceed their share, the longest silent.
     */
    List<CallerConnection> leastUseful(long now) {
        List<CallerConnection> found = new ArrayList<>();
        for (CallerConnection caller : connections.values()) {
            if (found.size() < 2
                    && !caller.acknowledgesReleases
                    && !caller.hadCall
                    && caller.pendingSessions.isEmpty()
                    && now - caller.lastReadAt > GRACE_AT_LIMIT_MICROS) {
                found.add(caller);
            }
        }
        // The first valid sender is the one idle longest. They keep at least a third of the
        // descriptors.
        for (Long id :
                validSenders.size() > descriptorBudget.maxValidSenders()
                        ? validSenders
                        : Set.<Long>of()) {
            CallerConnection caller = connections.get(id);
            if (found.size() < 2
                    && caller.pendingSessions.isEmpty()
                    && now - caller.lastReadAt > GRACE_MICROS) {
                found.add(caller);
            }
        }
        return found;
    }

    /** The connections whose message was not completed in time. */
    List<CallerConnection> withStalledMessage(long now) {
        List<CallerConnection> found = new ArrayList<>();
        for (CallerConnection caller : connections.values()) {
            boolean partial = caller.framer.hasPartialMessage();
            caller.partialSince =
                    partial ? caller.partialSince == 0 ? now : caller.partialSince : 0;
            if (partial && now - caller.partialSince > PARTIAL_MESSAGE_TIMEOUT_MICROS) {
                found.add(caller);
            }
        }
        return found;
    }

    /**
     * Marks the connections that are to be closed: those without a valid message in time, and,
     * while there are too many, the least useful.
     */
    void markForClosing(long now) {
        for (CallerConnection caller : connections.values()) {
            if (!caller.sentValidMessage && now - caller.openedAt > FIRST_MESSAGE_TIMEOUT_MICROS) {
                markedForClosing.putIfAbsent(caller.id, now);
            }
        }
        excessConnections(now).forEach(caller -> markedForClosing.putIfAbsent(caller.id, now));
    }

    /**
     * The connections to close now: marked before the close delay, silent since, and without
     * pending sessions. Unmarks those that have become active.
     */
    List<CallerConnection> closable(long now) {
        List<CallerConnection> found = new ArrayList<>();
        markedForClosing
                .entrySet()
                .removeIf(
                        each -> {
                            CallerConnection caller = connections.get(each.getKey());
                            boolean silent =
                                    caller != null
                                            && caller.pendingSessions.isEmpty()
                                            && (caller.lastReadAt < each.getValue()
                                                    || !caller.sentValidMessage
                                                            && now - caller.openedAt
                                                                    > FIRST_MESSAGE_TIMEOUT_MICROS
                                                                            + SETTLED_MICROS);
                            if (silent && now - each.getValue() >= CLOSE_DELAY_MICROS) {
                                found.add(caller);
                                return true;
                            }
                            return !silent;
                        });
        return found;
    }

    List<CallerConnection> all() {
        return List.copyOf(connections.values());
    }
}
