package coralcove.platform;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/**
 * What is due when, in order of time and then of entry. Each is run once; who needs it no longer
 * passes it over.
 */
final class Timers {
    private record Due(long at, long order, LongConsumer act) {}

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private long order;

    void at(long at, LongConsumer act) {
        due.add(new Due(at, order++, act));
    }

    /** When the next is due; far off where none is. */
    long next() {
        return due.isEmpty() ? Long.MAX_VALUE : due.peek().at;
    }

    void run(long now) {
        while (!due.isEmpty() && due.peek().at <= now) {
            due.poll().act.accept(now);
        }
    }

    int size() {
        return due.size();
    }
}
