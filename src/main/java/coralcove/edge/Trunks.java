package coralcove.edge;

import java.util.TreeMap;

/**
 * The circuits of the own groups, counted at this end from the INVITEs sent and received over each.
 * The far end's busy-reply tells of a wrong count: what it has busy beyond ours stays booked for
 * {@link #DOUBT}.
 */
public final class Trunks {
    /** µs: how long a far end's higher count holds against ours: about a post-dial target. */
    private static final long DOUBT = 1_500_000;

    private static final class Group {
        int size;
        int out;
        int in;
        int doubt;
        long doubtUntil;
    }

    private final TreeMap<Integer, Group> groups = new TreeMap<>();

    private Group group(int number) {
        return groups.computeIfAbsent(number, n -> new Group());
    }

    public void size(int number, int circuits) {
        group(number).size = circuits;
    }

    public int size(int number) {
        return group(number).size;
    }

    public Iterable<Integer> numbers() {
        return groups.keySet();
    }

    /**
     * Free circuits, never below 0: a group that lost circuits may carry more than it has for a
     * moment.
     */
    public int free(long now, int number) {
        Group group = group(number);
        int doubt = now < group.doubtUntil ? group.doubt : 0;
        return Math.max(0, group.size - group.out - group.in - doubt);
    }

    /** Busy circuits as counted here. */
    public int busy(int number) {
        return group(number).out + group(number).in;
    }

    public void seizeOut(int number, int width) {
        group(number).out += width;
    }

    public void freeOut(int number, int width) {
        group(number).out -= width;
    }

    public void seizeIn(int number, int width) {
        group(number).in += width;
    }

    public void freeIn(int number, int width) {
        group(number).in -= width;
    }

    /** The far end counts {@code busy} circuits busy. */
    public void told(long now, int number, int busy) {
        Group group = group(number);
        group.doubt = Math.max(0, busy - group.out - group.in);
        group.doubtUntil = group.doubt > 0 ? now + DOUBT : 0;
    }

    /** The moment at which some group's doubt ends, or Long.MAX_VALUE. */
    public long doubtEnds(long now, int number) {
        long until = group(number).doubtUntil;
        return until > now ? until : Long.MAX_VALUE;
    }
}
