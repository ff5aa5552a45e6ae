package coralcove.network;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Events in order of time, then of their coming: a ladder queue (Tang, Goh and Thng, "Ladder queue:
 * an O(1) priority queue structure for large-scale discrete event simulation", 2005). What is far
 * off lies unsorted; as time comes nearer it is spread over buckets, a full bucket over narrower
 * ones, and only a bucket's few events are ever sorted. Adding and taking cost the same however
 * many there are; QueueBench holds it against java.util.PriorityQueue. One thread owns it.
 */
public final class LadderQueue<T> {
    /** Events that are sorted at once; more of them in one bucket are spread over narrower ones. */
    private static final int SORTED = 48;

    /** Events in the sorted part from which it is spread: inserting moves half of them. */
    private static final int MOST_SORTED = 4 * SORTED;

    /**
     * Rungs at most: each is narrower by the count of its events, so that a few reach single
     * microseconds.
     */
    private static final int MOST_RUNGS = 10;

    /**
     * Buckets of one rung at most; more events share a bucket and are spread again when it comes
     * up.
     */
    private static final int MOST_BUCKETS = 1 << 16;

    private static final class Node<T> {
        long at;
        long order;
        T item;
        Node<T> next;
    }

    /**
     * Buckets of equal width from {@code start} on; those before {@code index} have been passed.
     */
    private static final class Rung<T> {
        final long start;
        final long width;
        final List<Node<T>> heads;
        final int[] counts;
        int index;

        Rung(long start, long width, int buckets) {
            this.start = start;
            this.width = width;
            heads = new ArrayList<>(java.util.Collections.nCopies(buckets, null));
            counts = new int[buckets];
        }

        /** The earliest time that still goes here. */
        long from() {
            return start + index * width;
        }

        void add(Node<T> node) {
            int bucket = (int) Math.min(counts.length - 1, (node.at - start) / width);
            node.next = heads.get(bucket);
            heads.set(bucket, node);
            counts[bucket]++;
        }
    }

    private static final Comparator<Node<?>> BY_TIME =
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order);

    private final List<Rung<T>> rungs = new ArrayList<>();

    /** Sorted; from {@code first} on not yet taken. */
    private Node<T>[] bottom = nodes(2 * MOST_SORTED);

    private int first;
    private int last;

    /** Unsorted, from {@code topFrom} on. */
    private Node<T> top;

    private int topCount;
    private long topLeast;
    private long topMost;
    private long topFrom = Long.MIN_VALUE;
    private Node<T> spare;
    private long orders;
    private int size;

    @SuppressWarnings("unchecked")
    private static <T> Node<T>[] nodes(int count) {
        return (Node<T>[]) new Node<?>[count];
    }

    public int size() {
        return size;
    }

    public boolean isEmpty() {
        return size == 0;
    }

    /** Adds an event; times need not lie after those taken before, which then come next. */
    public void add(long at, T item) {
        Node<T> node = spare;
        if (node == null) {
            node = new Node<>();
        } else {
            spare = node.next;
        }
        node.at = at;
        node.order = orders++;
        node.item = item;
        node.next = null;
        if (size++ == 0) {
            topFrom = Long.MIN_VALUE;
            rungs.clear();
        }
        place(node);
    }

    private void place(Node<T> node) {
        if (node.at >= topFrom) {
            topLeast = topCount == 0 ? node.at : Math.min(topLeast, node.at);
            topMost = topCount == 0 ? node.at : Math.max(topMost, node.at);
            node.next = top;
            top = node;
            topCount++;
            return;
        }
        for (Rung<T> rung : rungs) {
            if (node.at >= rung.from() && rung.index < rung.counts.length) {
                rung.add(node);
                return;
            }
        }
        insert(node);
    }

    private void insert(Node<T> node) {
        if (last - first >= MOST_SORTED
                && bottom[first].at < bottom[last - 1].at
                && rungs.size() < MOST_RUNGS) {
            // Many events of the near future: the sorted part goes on as a rung of its own below
            // all others.
            Rung<T> rung = rung(bottom[first].at, bottom[last - 1].at, last - first);
            for (int i = first; i < last; i++) {
                rung.add(bottom[i]);
                bottom[i] = null;
            }
            first = 0;
            last = 0;
            rungs.add(rung);
            if (node.at >= rung.from()) {
                rung.add(node);
                return;
            }
        }
        if (last == bottom.length) {
            room();
        }
        int at = last;
        while (at > first && bottom[at - 1].at > node.at) {
            bottom[at] = bottom[at - 1];
            at--;
        }
        bottom[at] = node;
        last++;
    }

    /** Moves the sorted part to the front, into twice the room if it fills more than half. */
    private void room() {
        Node<T>[] to = last - first > bottom.length / 2 ? nodes(2 * bottom.length) : bottom;
        System.arraycopy(bottom, first, to, 0, last - first);
        if (to == bottom) {
            Arrays.fill(bottom, last - first, last, null);
        }
        last -= first;
        first = 0;
        bottom = to;
    }

    private Rung<T> rung(long least, long most, int count) {
        int buckets = Math.max(1, Math.min(MOST_BUCKETS, count));
        long width = Math.max(1, (most - least) / buckets + 1);
        return new Rung<>(least, width, (int) Math.min(buckets, (most - least) / width + 1));
    }

    /** The time of the next event; asked only if there is one. */
    public long nextAt() {
        fill();
        return bottom[first].at;
    }

    /** Takes the next event, or null if there is none. */
    public T poll() {
        if (size == 0) {
            return null;
        }
        fill();
        Node<T> node = bottom[first];
        bottom[first++] = null;
        size--;
        T item = node.item;
        node.item = null;
        node.next = spare;
        spare = node;
        return item;
    }

    /** Sorts the next bucket if nothing sorted is left. */
    private void fill() {
        while (first == last) {
            first = 0;
            last = 0;
            if (rungs.isEmpty()) {
                Rung<T> rung = rung(topLeast, topMost, topCount);
                spread(top, rung);
                topFrom = topMost + 1;
                top = null;
                topCount = 0;
                rungs.add(rung);
            }
            Rung<T> rung = rungs.get(rungs.size() - 1);
            while (rung.index < rung.counts.length && rung.counts[rung.index] == 0) {
                rung.index++;
            }
            if (rung.index == rung.counts.length) {
                rungs.remove(rungs.size() - 1);
                continue;
            }
            Node<T> list = rung.heads.get(rung.index);
            int count = rung.counts[rung.index];
            long start = rung.from();
            rung.heads.set(rung.index, null);
            rung.counts[rung.index] = 0;
            rung.index++;
            if (count > SORTED && rung.width > 1 && rungs.size() < MOST_RUNGS) {
                Rung<T> narrower = rung(start, start + rung.width - 1, count);
                spread(list, narrower);
                rungs.add(narrower);
            } else {
                sort(list, count);
            }
        }
    }

    private void spread(Node<T> list, Rung<T> over) {
        Node<T> node = list;
        while (node != null) {
            Node<T> next = node.next;
            over.add(node);
            node = next;
        }
    }

    private void sort(Node<T> list, int count) {
        if (count > bottom.length) {
            bottom = nodes(2 * count);
        }
        for (Node<T> node = list; node != null; node = node.next) {
            bottom[last++] = node;
        }
        if (count > 1) {
            Arrays.sort(bottom, 0, count, BY_TIME);
        }
    }
}
