package coralcove.platform;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * A queue that serves its sources in turns, by deficit round robin (Shreedhar and Varghese, 1995):
 * a source that queues much delays the others by one turn, not by all it has queued. The items of
 * one source stay in order. Sources are identified by numbers and cost nothing while they have no
 * items.
 */
public final class FairQueue<T> {
    private record Entry<T>(T item, long cost) {}

    private static final class Source<T> {
        final long id;
        final ArrayDeque<Entry<T>> entries = new ArrayDeque<>();
        long queuedCost;

        /** Cost of the items that may still be taken in this turn. */
        long credit;

        Source(long id) {
            this.id = id;
        }
    }

    private final long quantum;
    private final Map<Long, Source<T>> sources = new HashMap<>();

    /** The sources that have items; the first one has its turn. */
    private final ArrayDeque<Source<T>> turns = new ArrayDeque<>();

    private long queuedCost;

    /**
     * Creates an empty queue.
     *
     * @param quantum cost of the items that a source may have taken in one turn
     */
    public FairQueue(long quantum) {
        this.quantum = quantum;
    }

    /** Adds an item of this cost, at least 1. */
    public void add(long sourceId, T item, long cost) {
        Source<T> source = sources.computeIfAbsent(sourceId, Source::new);
        if (source.entries.isEmpty()) {
            source.credit = quantum;
            turns.addLast(source);
        }
        source.entries.add(new Entry<>(item, cost));
        source.queuedCost += cost;
        queuedCost += cost;
    }

    /** Gives a source the next turn, for all items that it has now. */
    public void advance(long sourceId) {
        Source<T> source = sources.get(sourceId);
        if (source != null) {
            turns.remove(source);
            turns.addFirst(source);
            source.credit = source.queuedCost;
        }
    }

    /** Removes and returns the next item; null if there is none. */
    public T poll() {
        Source<T> source = turns.peekFirst();
        if (source == null) {
            return null;
        }
        Entry<T> entry = source.entries.poll();
        source.queuedCost -= entry.cost;
        source.credit -= entry.cost;
        queuedCost -= entry.cost;
        if (source.entries.isEmpty()) {
            turns.removeFirst();
            sources.remove(source.id);
        } else if (source.credit <= 0) {
            turns.removeFirst();
            turns.addLast(source);
            source.credit += quantum;
        }
        return entry.item;
    }

    /** Removes and returns the newest item of the source with most items; null if there is none. */
    public T pollNewestOfLargest() {
        Source<T> largest = null;
        for (Source<T> source : turns) {
            if (largest == null || source.entries.size() > largest.entries.size()) {
                largest = source;
            }
        }
        if (largest == null) {
            return null;
        }
        Entry<T> entry = largest.entries.pollLast();
        largest.queuedCost -= entry.cost;
        queuedCost -= entry.cost;
        if (largest.entries.isEmpty()) {
            turns.remove(largest);
            sources.remove(largest.id);
        }
        return entry.item;
    }

    /** Whether there are no items. */
    public boolean isEmpty() {
        return turns.isEmpty();
    }

    /** Total cost of the items of all sources. */
    public long queuedCost() {
        return queuedCost;
    }

    /** Total cost of the items of one source. */
    public long queuedCost(long sourceId) {
        Source<T> source = sources.get(sourceId);
        return source == null ? 0 : source.queuedCost;
    }
}
