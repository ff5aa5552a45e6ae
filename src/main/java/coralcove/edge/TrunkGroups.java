package coralcove.edge;

import java.util.TreeMap;

/**
 * Counts the circuits in use on the local exchange's trunk groups, from the INVITEs sent and
 * received over each group. A group is named by the number of the exchange at its far end. When the
 * far end rejects a call and reports more busy circuits than counted here, the difference counts as
 * busy for {@link #EXCESS_LIFETIME_MICROS}.
 */
public final class TrunkGroups {
    /** Time for which a far end's higher count is used: about one post-dial target. */
    private static final long EXCESS_LIFETIME_MICROS = 1_500_000;

    private static final class Group {
        int size;
        int outgoing;
        int incoming;

        /** Circuits that the far end reported busy beyond the count here. */
        int excess;

        long excessExpiresAt;
    }

    private final TreeMap<Integer, Group> groups = new TreeMap<>();

    private Group group(int number) {
        return groups.computeIfAbsent(number, n -> new Group());
    }

    /** Sets the number of circuits of a group. */
    public void setSize(int number, int circuits) {
        group(number).size = circuits;
    }

    /** Number of circuits of a group. */
    public int size(int number) {
        return group(number).size;
    }

    /** The numbers of all known groups, in ascending order. */
    public Iterable<Integer> numbers() {
        return groups.keySet();
    }

    /**
     * Free circuits, at least 0: a group that has lost circuits may briefly carry more calls than
     * it has circuits.
     */
    public int free(long now, int number) {
        Group group = group(number);
        int excess = now < group.excessExpiresAt ? group.excess : 0;
        return Math.max(0, group.size - group.outgoing - group.incoming - excess);
    }

    /** Busy circuits as counted here. */
    public int busy(int number) {
        return group(number).outgoing + group(number).incoming;
    }

    /** Takes {@code width} circuits for an INVITE sent over the group. */
    public void seizeOutgoing(int number, int width) {
        group(number).outgoing += width;
    }

    /** Frees the circuits taken by {@link #seizeOutgoing}. */
    public void releaseOutgoing(int number, int width) {
        group(number).outgoing -= width;
    }

    /** Takes {@code width} circuits for an INVITE received over the group. */
    public void seizeIncoming(int number, int width) {
        group(number).incoming += width;
    }

    /** Frees the circuits taken by {@link #seizeIncoming}. */
    public void releaseIncoming(int number, int width) {
        group(number).incoming -= width;
    }

    /** The far end has reported that it counts {@code busy} busy circuits. */
    public void farEndReportedBusy(long now, int number, int busy) {
        Group group = group(number);
        group.excess = Math.max(0, busy - group.outgoing - group.incoming);
        group.excessExpiresAt = group.excess > 0 ? now + EXCESS_LIFETIME_MICROS : 0;
    }

    /** The time at which the far end's higher count expires, or Long.MAX_VALUE if there is none. */
    public long excessExpiresAt(long now, int number) {
        long expiresAt = group(number).excessExpiresAt;
        return expiresAt > now ? expiresAt : Long.MAX_VALUE;
    }
}
