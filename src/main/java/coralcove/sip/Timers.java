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
        private final long deadline;
        private final long sequence;
        private Task task;
        private Timer previous;
        private Timer next;
        private int slot = NO_SLOT;

        private Timer(long at, long order, Task task) {
            this.deadline = at;
            this.sequence = order;
            this.task = task;
        }
    }

    private static final int NO_SLOT = -1;

    /** µs a tick, as a power of two: about a millisecond, as fine as any limit here. */
    private static final int TICK_BITS = 10;

    private static final int LEVEL_BITS = 8;
    private static final int SLOTS = 1 << LEVEL_BITS;

    /** Levels: 2^48 ticks reach past any time of day that a clock in µs tells. */
    private static final int LEVELS = 6;

    private static final long MAX_TICK = (1L << LEVEL_BITS * LEVELS) - 1;

    private final Timer[] slots = new Timer[LEVELS * SLOTS];
    private final long[] occupiedSlots = new long[LEVELS * SLOTS / Long.SIZE];
    private long currentTick;
    private long nextSequence;
    private int size;
    private long earliest = Long.MAX_VALUE;
    private boolean earliestKnown = true;
    private final List<Timer> expiredTimers = new ArrayList<>();

    public Timer set(long at, Task task) {
        Timer timer = new Timer(at, nextSequence++, task);
        insert(timer);
        size++;
        if (earliestKnown) {
            earliest = Math.min(earliest, at);
        }
        return timer;
    }

    public void cancel(Timer timer) {
        if (timer == null || timer.task == null) {
            return;
        }
        timer.task = null;
        if (timer.slot != NO_SLOT) {
            unlink(timer);
            size--;
            earliestKnown &= timer.deadline > earliest;
        }
    }

    public int size() {
        return size;
    }

    /** The time of the earliest timer, or Long.MAX_VALUE. */
    public long nextDeadline() {
        if (!earliestKnown) {
            earliest = advanceToEarliest();
            earliestKnown = true;
        }
        return earliest;
    }

    public void run(long now, Out out) {
        while (nextDeadline() <= now) {
            // The earliest slot is on the lowest level now: find() has brought it there.
            earliestKnown = false;
            advanceToEarliest();
            for (Timer timer = slots[(int) (currentTick & SLOTS - 1)]; timer != null; ) {
                Timer next = timer.next;
                if (timer.deadline <= now) {
                    unlink(timer);
                    size--;
                    expiredTimers.add(timer);
                }
                timer = next;
            }
            expiredTimers.sort(
                    Comparator.<Timer>comparingLong(t -> t.deadline)
                            .thenComparingLong(t -> t.sequence));
            List<Timer> due = new ArrayList<>(expiredTimers);
            expiredTimers.clear();
            for (Timer timer : due) {
                Task task = timer.task;
                timer.task = null;
                // One that an earlier one of the same tick cancelled does nothing.
                if (task != null) {
                    task.run(now, out);
                }
            }
            earliestKnown = false;
        }
    }

    private void insert(Timer timer) {
        long tick = Math.min(MAX_TICK, Math.max(currentTick, timer.deadline >> TICK_BITS));
        long differs = tick ^ currentTick;
        int level =
                differs == 0
                        ? 0
                        : (Long.SIZE - 1 - Long.numberOfLeadingZeros(differs)) / LEVEL_BITS;
        int slot = level * SLOTS + (int) (tick >> level * LEVEL_BITS & SLOTS - 1);
        timer.slot = slot;
        timer.previous = null;
        timer.next = slots[slot];
        if (timer.next != null) {
            timer.next.previous = timer;
        }
        slots[slot] = timer;
        occupiedSlots[slot >> 6] |= 1L << slot;
    }

    private void unlink(Timer timer) {
        int slot = timer.slot;
        if (timer.previous == null) {
            slots[slot] = timer.next;
            if (timer.next == null) {
                occupiedSlots[slot >> 6] &= ~(1L << slot);
            }
        } else {
            timer.previous.next = timer.next;
        }
        if (timer.next != null) {
            timer.next.previous = timer.previous;
        }
        timer.slot = NO_SLOT;
        timer.previous = null;
        timer.next = null;
    }

    /**
     * Moves on to the earliest slot that is used, spreading higher ones over lower levels; its
     * earliest time.
     */
    private long advanceToEarliest() {
        while (size > 0) {
            int level = 0;
            int slot = NO_SLOT;
            while (slot == NO_SLOT && level < LEVELS) {
                slot =
                        nextOccupiedSlot(
                                level, (int) (currentTick >> level * LEVEL_BITS & SLOTS - 1));
                if (slot == NO_SLOT) {
                    level++;
                }
            }
            long low = (1L << level * LEVEL_BITS) - 1;
            long start =
                    currentTick & ~((low + 1 << LEVEL_BITS) - 1)
                            | (long) slot << level * LEVEL_BITS;
            currentTick = Math.max(currentTick, level == 0 ? start : start & ~low);
            if (level == 0) {
                long least = Long.MAX_VALUE;
                for (Timer timer = slots[slot]; timer != null; timer = timer.next) {
                    least = Math.min(least, timer.deadline);
                }
                return least;
            }
            int from = level * SLOTS + slot;
            Timer timer = slots[from];
            slots[from] = null;
            occupiedSlots[from >> 6] &= ~(1L << from);
            while (timer != null) {
                Timer after = timer.next;
                insert(timer);
                timer = after;
            }
        }
        return Long.MAX_VALUE;
    }

    private int nextOccupiedSlot(int level, int from) {
        for (int slot = from; slot < SLOTS; slot = (slot | 63) + 1) {
            int at = level * SLOTS + slot;
            long bits = occupiedSlots[at >> 6] >>> at;
            if (bits != 0) {
                return slot + Long.numberOfTrailingZeros(bits);
            }
        }
        return NO_SLOT;
    }
}
