package coralcove.platform;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.LongConsumer;

/**
 * One-shot timers, run in order of deadline and then of scheduling.
 *
 * <p>Whoever schedules a timer cancels it once it has nothing left to do: what is kept here is then
 * bounded by what waits, however far away the deadlines are. Times are µs since the epoch.
 */
final class Timers {
    /** A scheduled timer. */
    static final class Timer {
        private final long deadline;
        private final long order;
        private final LongConsumer action;

        private Timer(long deadline, long order, LongConsumer action) {
            this.deadline = deadline;
            this.order = order;
            this.action = action;
        }
    }

    private final TreeSet<Timer> scheduled =
            new TreeSet<>(
                    Comparator.<Timer>comparingLong(timer -> timer.deadline)
                            .thenComparingLong(timer -> timer.order));
    private long nextOrder;

    /** Runs the action once at this time, in µs; it is passed the time at which it runs. */
    Timer schedule(long deadline, LongConsumer action) {
        Timer timer = new Timer(deadline, nextOrder++, action);
        scheduled.add(timer);
        return timer;
    }

    /** Cancels a timer; does nothing if it is null, has run or was cancelled before. */
    void cancel(Timer timer) {
        if (timer != null) {
            scheduled.remove(timer);
        }
    }

    /** The earliest deadline, or {@link Long#MAX_VALUE} if there is none. */
    long nextDeadline() {
        return scheduled.isEmpty() ? Long.MAX_VALUE : scheduled.first().deadline;
    }

    void runExpired(long now) {
        while (nextDeadline() <= now) {
            scheduled.pollFirst().action.accept(now);
        }
    }

    int size() {
        return scheduled.size();
    }
}
