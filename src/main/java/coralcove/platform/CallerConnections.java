package coralcove.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;

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

    private DescriptorBudget descriptorBudget;
    private final Map<Long, CallerConnection> connections = new LinkedHashMap<>();

    /** Ids of the connections that have given each kind of evidence, the most recent last. */
    private final Map<CallerEvidence, LinkedHashSet<Long>> byEvidence =
            new EnumMap<>(CallerEvidence.class);

    /** Time of marking by connection id. */
    private final Map<Long, Long> markedForClosing = new LinkedHashMap<>();

    CallerConnections(DescriptorBudget descriptorBudget) {
        this.descriptorBudget = descriptorBudget;
        for (CallerEvidence evidence : CallerEvidence.values()) {
            byEvidence.put(evidence, new LinkedHashSet<>());
        }
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
        byEvidence.values().forEach(ids -> ids.remove(id));
        return connections.remove(id);
    }

    /**
     * Notes that a connection has given evidence of being a caller's. Returns whether it is
     * stronger than all that the connection gave before.
     */
    boolean addEvidence(CallerConnection caller, CallerEvidence evidence) {
        LinkedHashSet<Long> ids = byEvidence.get(evidence);
        ids.remove(caller.id);
        ids.add(caller.id);
        boolean stronger = evidence.compareTo(caller.evidence) > 0;
        caller.evidence = stronger ? evidence : caller.evidence;
        return stronger;
    }

    /**
     * Picks a connection for the release of a call: that of its set-up if it is still open, else
     * the most recent one of those with the strongest evidence of being a caller's.
     *
     * @param preferred the connection of the set-up
     * @param tried connections on which this release was sent before; none of them is picked
     * @return null if there is none
     */
    CallerConnection pickForRelease(long preferred, Set<Long> tried) {
        CallerConnection picked = tried.contains(preferred) ? null : connections.get(preferred);
        CallerEvidence[] kinds = CallerEvidence.values();
        for (int i = kinds.length - 1; picked == null && i >= 0; i--) {
            picked = mostRecent(byEvidence.get(kinds[i]), tried);
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

    private LinkedHashSet<Long> validSenders() {
        return byEvidence.get(CallerEvidence.VALID_MESSAGE);
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
                    && !caller.sentValidMessage()
                    && caller.pendingSessions.isEmpty()
                    && now - caller.openedAt > GRACE_MICROS) {
                found.add(caller);
            }
        }
        connections.values().stream()
                .filter(
                        each ->
                                each.sentValidMessage()
                                        && each.pendingSessions.isEmpty()
                                        && now - each.lastReadAt > SETTLED_MICROS)
                .sorted(
                        Comparator.<CallerConnection, Boolean>comparing(
                                        each -> each.evidence.isProof())
                                .thenComparing(each -> each.acknowledgesReleases)
                                .thenComparing(each -> each.lastReadAt))
                .limit(
                        Math.max(
                                0,
                                Math.min(
                                        excess - found.size(),
                                        validSenders().size()
                                                - descriptorBudget.maxValidSenders())))
                .forEach(found::add);
        return found;
    }

    /**
     * Up to two connections to close at the connection limit: the oldest without a call or an
     * acknowledged release, then, while valid senders exceed their share, the longest silent
     * without proof of being a caller's, then, while those with proof exceed it, any of these.
     *
     * @param hasQueuedInput whether a set-up may have been read and not processed yet; such a
     *     connection is not closed
     */
    List<CallerConnection> leastUseful(long now, LongPredicate hasQueuedInput) {
        List<CallerConnection> found = new ArrayList<>();
        for (CallerConnection caller : connections.values()) {
            if (found.size() < 2
                    && !caller.acknowledgesReleases
                    && !caller.placedOrReportedCall()
                    && caller.pendingSessions.isEmpty()
                    && now - caller.lastReadAt > GRACE_AT_LIMIT_MICROS
                    && !hasQueuedInput.test(caller.id)) {
                found.add(caller);
            }
        }
        if (validSenders().size() > descriptorBudget.maxValidSenders()) {
            findLongestIdle(found, now, hasQueuedInput, false);
        }
        // Callers keep at least a third of the descriptors.
        long proven = connections.values().stream().filter(each -> each.evidence.isProof()).count();
        if (proven > descriptorBudget.maxValidSenders()) {
            findLongestIdle(found, now, hasQueuedInput, true);
        }
        return found;
    }

    /** Adds the valid senders that are idle longest, up to two; of callers' or of all others. */
    private void findLongestIdle(
            List<CallerConnection> found, long now, LongPredicate hasQueuedInput, boolean proven) {
        for (Long id : validSenders()) {
            CallerConnection caller = connections.get(id);
            if (found.size() < 2
                    && caller.evidence.isProof() == proven
                    && caller.pendingSessions.isEmpty()
                    && now - caller.lastReadAt > GRACE_MICROS
                    && !hasQueuedInput.test(caller.id)) {
                found.add(caller);
            }
        }
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
            if (!caller.sentValidMessage()
                    && now - caller.openedAt > FIRST_MESSAGE_TIMEOUT_MICROS) {
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
                                                    || !caller.sentValidMessage()
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
