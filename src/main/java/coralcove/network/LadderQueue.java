package coralcove.network;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Priority queue of events, ordered by time and then by insertion: a ladder queue (Tang, Goh and
 * Thng, "Ladder queue: an O(1) priority queue structure for large-scale discrete event simulation",
 * 2005). Events in the far future are kept unsorted. As their time approaches they are distributed
 * over the buckets of a rung, large buckets over the narrower buckets of a further rung, and only
 * buckets of few events are sorted. The cost of adding and taking an event does not depend on the
 * number of events; QueueBench compares it with java.util.PriorityQueue. Not thread-safe.
 */
public final class LadderQueue<T> {
    /**
     * Largest number of events in a bucket that is sorted directly; larger buckets are distributed
     * over a narrower rung.
     */
    private static final int SORT_THRESHOLD = 48;

    /**
     * Number of events in the sorted part from which it is turned into a rung, as each insertion
     * moves half of the sorted events.
     */
    private static final int MAX_SORTED = 4 * SORT_THRESHOLD;

    /**
     * Maximum number of rungs. The buckets of each rung are narrower by a factor of its event
     * count, so a few rungs reach a width of 1 µs.
     */
    private static final int MAX_RUNGS = 10;

    /**
     * Maximum number of buckets in a rung. With more events, several share a bucket and are
     * distributed again when the bucket is reached.
     */
    private static final int MAX_BUCKETS = 1 << 16;

    private static final class Node<T> {
        long time;
        long sequence;
        T item;
        Node<T> next;
    }

    /**
     * Buckets of equal width, beginning at time {@code start}; those before {@code currentBucket}
     * have been consumed.
     */
    private static final class Rung<T> {
        final long start;
        final long width;
        final List<Node<T>> heads;
        final int[] counts;
        int currentBucket;

        Rung(long start, long width, int buckets) {
            this.start = start;
            this.width = width;
            heads = new ArrayList<>(java.util.Collections.nCopies(buckets, null));
            counts = new int[buckets];
        }

        /** The earliest time that still belongs to this rung. */
        long earliestTime() {
            return start + currentBucket * width;
        }

        void add(Node<T> node) {
            int bucket = (int) Math.min(counts.length - 1, (node.time - start) / width);
            node.next = heads.get(bucket);
            heads.set(bucket, node);
            counts[bucket]++;
        }
    }

    private static final Comparator<Node<?>> BY_TIME =
            (a, b) ->
                    a.time != b.time
                            ? Long.compare(a.time, b.time)
                            : Long.compare(a.sequence, b.sequence);

    private final List<Rung<T>> rungs = new ArrayList<>();

    /** Sorted events; those from {@code bottomStart} to {@code bottomEnd} have not been taken. */
    private Node<T>[] bottom = newNodes(2 * MAX_SORTED);

    private int bottomStart;
    private int bottomEnd;

    /** Unsorted events with times of {@code topStart} or later. */
    private Node<T> top;

    private int topCount;
    private long topMinTime;
    private long topMaxTime;
    private long topStart = Long.MIN_VALUE;

    /** Nodes that can be reused, linked by {@code next}. */
    private Node<T> freeNodes;

    private long nextSequence;
    private int size;

    @SuppressWarnings("unchecked")
    private static <T> Node<T>[] newNodes(int count) {
        return (Node<T>[]) new Node<?>[count];
    }

    public int size() {
        return size;
    }

    public boolean isEmpty() {
        return size == 0;
    }

    /**
     * Adds an event. A time earlier than that of events already taken is allowed; such an event
     * comes next.
     */
    public void add(long time, T item) {
        Node<T> node = freeNodes;
        if (node == null) {
            node = new Node<>();
        } else {
            freeNodes = node.next;
        }
        node.time = time;
        node.sequence = nextSequence++;
        node.item = item;
        node.next = null;
        if (size++ == 0) {
            topStart = Long.MIN_VALUE;
            rungs.clear();
        }
        enqueue(node);
    }

    private void enqueue(Node<T> node) {
        if (node.time >= topStart) {
            topMinTime = topCount == 0 ? node.time : Math.min(topMinTime, node.time);
            topMaxTime = topCount == 0 ? node.time : Math.max(topMaxTime, node.time);
            node.next = top;
            top = node;
            topCount++;
            return;
        }
        for (Rung<T> rung : rungs) {
            if (node.time >= rung.earliestTime() && rung.currentBucket < rung.counts.length) {
                rung.add(node);
                return;
            }
        }
        insertSorted(node);
    }

    private void insertSorted(Node<T> node) {
        if (bottomEnd - bottomStart >= MAX_SORTED
                && bottom[bottomStart].time < bottom[bottomEnd - 1].time
                && rungs.size() < MAX_RUNGS) {
            // Many events in the near future: the sorted part becomes a new rung below all others.
            Rung<T> rung =
                    newRung(
                            bottom[bottomStart].time,
                            bottom[bottomEnd - 1].time,
                            bottomEnd - bottomStart);
            for (int i = bottomStart; i < bottomEnd; i++) {
                rung.add(bottom[i]);
                bottom[i] = null;
            }
            bottomStart = 0;
            bottomEnd = 0;
            rungs.add(rung);
            if (node.time >= rung.earliestTime()) {
                rung.add(node);
                return;
            }
        }
        if (bottomEnd == bottom.length) {
            makeRoom();
        }
        int position = bottomEnd;
        while (position > bottomStart && bottom[position - 1].time > node.time) {
            bottom[position] = bottom[position - 1];
            position--;
        }
        bottom[position] = node;
        bottomEnd++;
    }

    /**
     * Moves the sorted part to the front of the array, and to an array of twice the size if more
     * than half is in use.
     */
    private void makeRoom() {
        Node<T>[] target =
                bottomEnd - bottomStart > bottom.length / 2 ? newNodes(2 * bottom.length) : bottom;
        System.arraycopy(bottom, bottomStart, target, 0, bottomEnd - bottomStart);
        if (target == bottom) {
            Arrays.fill(bottom, bottomEnd - bottomStart, bottomEnd, null);
        }
        bottomEnd -= bottomStart;
        bottomStart = 0;
        bottom = target;
    }

    private Rung<T> newRung(long minTime, long maxTime, int count) {
        int buckets = Math.max(1, Math.min(MAX_BUCKETS, count));
        long width = Math.max(1, (maxTime - minTime) / buckets + 1);
        return new Rung<>(minTime, width, (int) Math.min(buckets, (maxTime - minTime) / width + 1));
    }

    /** The time of the next event. The queue must not be empty. */
    public long nextTime() {
        refillBottom();
        return bottom[bottomStart].time;
    }

    /** Removes and returns the next event, or returns null if the queue is empty. */
    public T poll() {
        if (size == 0) {
            return null;
        }
        refillBottom();
        Node<T> node = bottom[bottomStart];
        bottom[bottomStart++] = null;
        size--;
        T item = node.item;
        node.item = null;
        node.next = freeNodes;
        freeNodes = node;
        return item;
    }

    /**
     * If the sorted part is empty, refills it from the next bucket. The queue must not be empty.
     */
    private void refillBottom() {
        while (bottomStart == bottomEnd) {
            bottomStart = 0;
            bottomEnd = 0;
            if (rungs.isEmpty()) {
                Rung<T> rung = newRung(topMinTime, topMaxTime, topCount);
                distribute(top, rung);
                topStart = topMaxTime + 1;
                top = null;
                topCount = 0;
                rungs.add(rung);
            }
            Rung<T> rung = rungs.get(rungs.size() - 1);
            while (rung.currentBucket < rung.counts.length
                    && rung.counts[rung.currentBucket] == 0) {
                rung.currentBucket++;
            }
            if (rung.currentBucket == rung.counts.length) {
                rungs.remove(rungs.size() - 1);
                continue;
            }
            Node<T> list = rung.heads.get(rung.currentBucket);
            int count = rung.counts[rung.currentBucket];
            long start = rung.earliestTime();
            rung.heads.set(rung.currentBucket, null);
            rung.counts[rung.currentBucket] = 0;
            rung.currentBucket++;
            if (count > SORT_THRESHOLD && rung.width > 1 && rungs.size() < MAX_RUNGS) {
                Rung<T> narrower = newRung(start, start + rung.width - 1, count);
                distribute(list, narrower);
                rungs.add(narrower);
            } else {
                sortIntoBottom(list, count);
            }
        }
    }

    private void distribute(Node<T> list, Rung<T> rung) {
        Node<T> node = list;
        while (node != null) {
            Node<T> next = node.next;
            rung.add(node);
            node = next;
        }
    }

    private void sortIntoBottom(Node<T> list, int count) {
        if (count > bottom.length) {
            bottom = newNodes(2 * count);
        }
        for (Node<T> node = list; node != null; node = node.next) {
            bottom[bottomEnd++] = node;
        }
        if (count > 1) {
            Arrays.sort(bottom, 0, count, BY_TIME);
        }
    }
}
