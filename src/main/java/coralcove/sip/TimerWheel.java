package coralcove.sip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The timers of one core, as a hierarchical timer wheel of six levels with 256 slots, the lowest of
 * 1024 µs each. Setting and cancelling take constant time. Timers fire in the order of their
 * deadlines, those of equal deadline in the order in which they were set, and never early, so that
 * equal inputs lead to equal actions.
 */
public final class TimerWheel {
    /** The action of a timer. */
    public interface Task {
        void run(long now, SipOutput out);
    }

    /** A timer that has been set. */
    public static final class Timer {
        private final long deadline;
        private final long sequence;
        private Task task;
        private Timer previous;
        private Timer next;
        private int slot = NO_SLOT;

        private Timer(long deadline, long sequence, Task task) {
            this.deadline = deadline;
            this.sequence = sequence;
            this.task = task;
        }
    }

    private static final int NO_SLOT = -1;

    /** Microseconds of a tick as a power of two: about a millisecond, as fine as any time limit. */
    private static final int TICK_BITS = 10;

    private static final int LEVEL_BITS = 8;
    private static final int SLOTS = 1 << LEVEL_BITS;

    /** 2^48 ticks of 2^10 µs cover all times that a clock in microseconds can show. */
    private static final int LEVELS = 6;

    private static final long MAX_TICK = (1L << LEVEL_BITS * LEVELS) - 1;

    private final Timer[] slots = new Timer[LEVELS * SLOTS];

    /** One bit for each slot. */
    private final long[] occupiedSlots = new long[LEVELS * SLOTS / Long.SIZE];

    private long currentTick;
    private long nextSequence;
    private int size;

    /** The earliest deadline, valid while {@link #earliestKnown}. */
    private long earliest = Long.MAX_VALUE;

    private boolean earliestKnown = true;
    private final List<Timer> expiredTimers = new ArrayList<>();

    /** Sets a timer for a time, which may lie in the past. */
    public Timer schedule(long deadline, Task task) {
        Timer timer = new Timer(deadline, nextSequence++, task);
        insert(timer);
        size++;
        if (earliestKnown) {
            earliest = Math.min(earliest, deadline);
        }
        return timer;
    }

    /** Cancels a timer; does nothing if it is null, already cancelled or has fired. */
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

    /** Timers that are set. */
    public int size() {
        return size;
    }

    /** The earliest deadline, or Long.MAX_VALUE without timers. */
    public long nextDeadline() {
        if (!earliestKnown) {
            earliest = advanceToEarliest();
            earliestKnown = true;
        }
        return earliest;
    }

    /** Fires all timers whose deadline has passed, also those set by the tasks that run. */
    public void fireExpired(long now, SipOutput out) {
        while (nextDeadline() <= now) {
            // advanceToEarliest() moves the earliest timers to the lowest level.
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
            List<Timer> fired = new ArrayList<>(expiredTimers);
            expiredTimers.clear();
            for (Timer timer : fired) {
                Task task = timer.task;
                timer.task = null;
                // An earlier task of the same tick may have cancelled this timer.
                if (task != null) {
                    task.run(now, out);
                }
            }
            earliestKnown = false;
        }
    }

    private void insert(Timer timer) {
        long tick = Math.min(MAX_TICK, Math.max(currentTick, timer.deadline >> TICK_BITS));
        long difference = tick ^ currentTick;
        int level =
                difference == 0
                        ? 0
                        : (Long.SIZE - 1 - Long.numberOfLeadingZeros(difference)) / LEVEL_BITS;
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
     * Advances the current tick to the earliest occupied slot, redistributing slots of higher
     * levels to lower ones; returns the earliest deadline.
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
            long lowMask = (1L << level * LEVEL_BITS) - 1;
            long start =
                    currentTick & ~((lowMask + 1 << LEVEL_BITS) - 1)
                            | (long) slot << level * LEVEL_BITS;
            currentTick = Math.max(currentTick, level == 0 ? start : start & ~lowMask);
            if (level == 0) {
                long earliestInSlot = Long.MAX_VALUE;
                for (Timer timer = slots[slot]; timer != null; timer = timer.next) {
                    earliestInSlot = Math.min(earliestInSlot, timer.deadline);
                }
                return earliestInSlot;
            }
            int from = level * SLOTS + slot;
            Timer timer = slots[from];
            slots[from] = null;
            occupiedSlots[from >> 6] &= ~(1L << from);
            while (timer != null) {
                Timer next = timer.next;
                insert(timer);
                timer = next;
            }
        }
        return Long.MAX_VALUE;
    }

    /** The first occupied slot of a level from an index on, or {@link #NO_SLOT}. */
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
