package coralcove.sip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Timers of one core: a hierarchical wheel, six levels of 256 slots, the lowest of 1024 µs each.
 * Setting and cancelling cost the same however many there are. Timers fire in order of time, then
 * of setting, and never before their time, so that equal inputs give equal actions.
 */
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
        private Timer before;
        private Timer after;
        private int slot = NOWHERE;

        private Timer(long at, long order, Task task) {
            this.at = at;
            this.order = order;
            this.task = task;
        }
    }

    private static final int NOWHERE = -1;

    /** µs a tick, as a power of two: about a millisecond, as fine as any limit here. */
    private static final int TICK_BITS = 10;

    private static final int LEVEL_BITS = 8;
    private static final int SLOTS = 1 << LEVEL_BITS;

    /** Levels: 2^48 ticks reach past any time of day that a clock in µs tells. */
    private static final int LEVELS = 6;

    private static final long MOST_TICK = (1L << LEVEL_BITS * LEVELS) - 1;

    private final Timer[] slots = new Timer[LEVELS * SLOTS];
    private final long[] used = new long[LEVELS * SLOTS / Long.SIZE];
    private long current;
    private long set;
    private int size;
    private long earliest = Long.MAX_VALUE;
    private boolean known = true;
    private final List<Timer> firing = new ArrayList<>();

    public Timer set(long at, Task task) {
        Timer timer = new Timer(at, set++, task);
        place(timer);
        size++;
        if (known) {
            earliest = Math.min(earliest, at);
        }
        return timer;
    }

    public void cancel(Timer timer) {
        if (timer == null || timer.task == null) {
            return;
        }
        timer.task = null;
        if (timer.slot != NOWHERE) {
            unlink(timer);
            size--;
            known &= timer.at > earliest;
        }
    }

    public int size() {
        return size;
    }

    /** The time of the earliest timer, or Long.MAX_VALUE. */
    public long due() {
        if (!known) {
            earliest = find();
            known = true;
        }
        return earliest;
    }

    public void run(long now, Out out) {
        while (due() <= now) {
            // The earliest slot is on the lowest level now: find() has brought it there.
            known = false;
            find();
            for (Timer timer = slots[(int) (current & SLOTS - 1)]; timer != null; ) {
                Timer next = timer.after;
                if (timer.at <= now) {
                    unlink(timer);
                    size--;
                    firing.add(timer);
                }
                timer = next;
            }
            firing.sort(Comparator.<Timer>comparingLong(t -> t.at).thenComparingLong(t -> t.order));
            List<Timer> due = new ArrayList<>(firing);
            firing.clear();
            for (Timer timer : due) {
                Task task = timer.task;
                timer.task = null;
                // One that an earlier one of the same tick cancelled does nothing.
                if (task != null) {
                    task.run(now, out);
                }
            }
            known = false;
        }
    }

    private void place(Timer timer) {
        long tick = Math.min(MOST_TICK, Math.max(current, timer.at >> TICK_BITS));
        long differs = tick ^ current;
        int level =
                differs == 0
                        ? 0
                        : (Long.SIZE - 1 - Long.numberOfLeadingZeros(differs)) / LEVEL_BITS;
        int slot = level * SLOTS + (int) (tick >> level * LEVEL_BITS & SLOTS - 1);
        timer.slot = slot;
        timer.before = null;
        timer.after = slots[slot];
        if (timer.after != null) {
            timer.after.before = timer;
        }
        slots[slot] = timer;
        used[slot >> 6] |= 1L << slot;
    }

    private void unlink(Timer timer) {
        int slot = timer.slot;
        if (timer.before == null) {
            slots[slot] = timer.after;
            if (timer.after == null) {
                used[slot >> 6] &= ~(1L << slot);
            }
        } else {
            timer.before.after = timer.after;
        }
        if (timer.after != null) {
            timer.after.before = timer.before;
        }
        timer.slot = NOWHERE;
        timer.before = null;
        timer.after = null;
    }

    /**
     * Moves on to the earliest slot that is used, spreading higher ones over lower levels; its
     * earliest time.
     */
    private long find() {
        while (size > 0) {
            int level = 0;
            int slot = NOWHERE;
            while (slot == NOWHERE && level < LEVELS) {
                slot = next(level, (int) (current >> level * LEVEL_BITS & SLOTS - 1));
                if (slot == NOWHERE) {
                    level++;
                }
            }
            long low = (1L << level * LEVEL_BITS) - 1;
            long start =
                    current & ~((low + 1 << LEVEL_BITS) - 1) | (long) slot << level * LEVEL_BITS;
            current = Math.max(current, level == 0 ? start : start & ~low);
            if (level == 0) {
                long least = Long.MAX_VALUE;
                for (Timer timer = slots[slot]; timer != null; timer = timer.after) {
                    least = Math.min(least, timer.at);
                }
                return least;
            }
            int from = level * SLOTS + slot;
            Timer timer = slots[from];
            slots[from] = null;
            used[from >> 6] &= ~(1L << from);
            while (timer != null) {
                Timer after = timer.after;
                place(timer);
                timer = after;
            }
        }
        return Long.MAX_VALUE;
    }

    private int next(int level, int from) {
        for (int slot = from; slot < SLOTS; slot = (slot | 63) + 1) {
            int at = level * SLOTS + slot;
            long bits = used[at >> 6] >>> at;
            if (bits != 0) {
                return slot + Long.numberOfTrailingZeros(bits);
            }
        }
        return NOWHERE;
    }
}
