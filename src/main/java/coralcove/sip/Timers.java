package coralcove.sip;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Timers of one core, fired in order of time and then of setting, so that equal inputs give equal actions. */
public final class Timers {
    /** What is done when a timer is due. */
    public interface Task {
        void run(long now, Out out);
    }

    /** One timer that has been set; cancelling it twice, or after it fired, does nothing. */
    public static final class Timer {
        private final long at;
        private final long order;
        private Task task;

        private Timer(long at, long order, Task task) {
            this.at = at;
            this.order = order;
            this.task = task;
        }
    }

    /** Entries: below this a queue is not swept of cancelled timers. */
    private static final int SWEEP_LEAST = 1024;

    private PriorityQueue<Timer> queue = new PriorityQueue<>(byTime());
    private long set;
    private int dead;

    private static Comparator<Timer> byTime() {
        return Comparator.<Timer>comparingLong(t -> t.at).thenComparingLong(t -> t.order);
    }

    public Timer set(long at, Task task) {
        Timer timer = new Timer(at, set++, task);
        queue.add(timer);
        return timer;
    }

    public void cancel(Timer timer) {
        if (timer == null || timer.task == null) {
            return;
        }
        timer.task = null;
        dead++;
        if (dead > SWEEP_LEAST && dead > queue.size() / 2) {
            PriorityQueue<Timer> alive = new PriorityQueue<>(byTime());
            queue.stream().filter(t -> t.task != null).forEach(alive::add);
            queue = alive;
            dead = 0;
        }
    }

    public long due() {
        drop();
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at;
    }

    public void run(long now, Out out) {
        while (due() <= now) {
            Timer timer = queue.poll();
            Task task = timer.task;
            timer.task = null;
            task.run(now, out);
        }
    }

    private void drop() {
        while (!queue.isEmpty() && queue.peek().task == null) {
            queue.poll();
            dead--;
        }
    }
}
