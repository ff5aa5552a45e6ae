package coralcove.platform;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/**
 * One-shot timers, run in order of deadline and then of scheduling. They cannot be cancelled: an
 * action has to check whether it still applies.
 */
final class Timers {
    private record Entry(long deadline, long order, LongConsumer action) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(
                    (a, b) ->
                            a.deadline != b.deadline
                                    ? Long.compare(a.deadline, b.deadline)
                                    : Long.compare(a.order, b.order));
    private long nextOrder;

    /** Runs the action once at this time, in µs; it is passed the time at which it runs. */
    void schedule(long deadline, LongConsumer action) {
        entries.add(new Entry(deadline, nextOrder++, action));
    }

    /** The earliest deadline, or {@link Long#MAX_VALUE} if there is none. */
    long nextDeadline() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().deadline;
    }

    void runExpired(long now) {
        while (!entries.isEmpty() && entries.peek().deadline <= now) {
            entries.poll().action.accept(now);
        }
    }

    int size() {
        return entries.size();
    }
}
