package coralcove.exchange;

import coralcove.sip.SipOutput;
import coralcove.sip.TimerWheel;

/**
 * The processor of a simulated exchange: a single-server queue, first in, first out. Service times
 * are longer while the processor is slowed down or cold. A stall delays all work, and a hung
 * processor drops it. Times in µs.
 */
final class Processor {
    private final TimerWheel timers;
    private final long startedAt;
    private final double coldCapacityShare;
    private final long warmUpTime;

    /** When all work accepted so far is done. */
    private long busyUntil;

    private double slowdownFactor = 1;
    private boolean hung;

    /** Total service time of all work accepted so far. */
    private long busyTime;

    /**
     * {@code startedAt} is when it was started cold, 0 if it is warm; capacity rises linearly from
     * {@code coldCapacityShare} to 1 within {@code warmUpTime}.
     */
    Processor(TimerWheel timers, long startedAt, double coldCapacityShare, long warmUpTime) {
        this.timers = timers;
        this.startedAt = startedAt;
        this.coldCapacityShare = coldCapacityShare;
        this.warmUpTime = Math.max(1, warmUpTime);
    }

    /** The share of the full capacity that is available now: 1 once it is warm. */
    double capacity(long now) {
        if (startedAt <= 0 || now - startedAt >= warmUpTime) {
            return 1;
        }
        return coldCapacityShare + (1 - coldCapacityShare) * (now - startedAt) / warmUpTime;
    }

    boolean isCold(long now) {
        return capacity(now) < 1;
    }

    /** How long work enqueued now would wait before it is served. */
    long queueingDelay(long now) {
        return Math.max(0, busyUntil - now);
    }

    /** Enqueues work of {@code cost} µs at full capacity; {@code whenDone} runs when it is done. */
    void enqueue(long now, long cost, TimerWheel.Task whenDone) {
        if (hung) {
            return;
        }
        long serviceTime = (long) Math.ceil(cost * slowdownFactor / capacity(now));
        busyTime += serviceTime;
        busyUntil = Math.max(now, busyUntil) + serviceTime;
        timers.schedule(busyUntil, whenDone);
    }

    /** Serves nothing before {@code until}. */
    void stall(long now, long until) {
        busyUntil = Math.max(Math.max(now, busyUntil), until);
    }

    /** Multiplies the service time of work enqueued from now on. */
    void slowDown(double factor) {
        slowdownFactor = factor;
    }

    /** While hung, work is accepted but never done. */
    void setHung(boolean isHung) {
        hung = isHung;
    }

    /** Total service time of all work accepted so far. */
    long busyTime() {
        return busyTime;
    }

    /** For work after which nothing happens. */
    static void noAction(long now, SipOutput out) {
        // Nothing follows.
    }
}
