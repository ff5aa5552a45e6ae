package coralcove.exchange;

import coralcove.sip.Out;
import coralcove.sip.Timers;

/**
 * A stand-in's processor: one line, first come first served. Work takes longer while it is slow or
 * cold; a stall or a hang holds everything up. Times in µs.
 */
final class Processor {
    private final Timers timers;
    private final long since;
    private final double coldFrom;
    private final long warmUp;
    private long busyUntil;
    private double slow = 1;
    private boolean hung;
    private long worked;

    Processor(Timers timers, long since, double coldFrom, long warmUp) {
        this.timers = timers;
        this.since = since;
        this.coldFrom = coldFrom;
        this.warmUp = Math.max(1, warmUp);
    }

    /** The part of its work that it can do now: 1 once it is warm. */
    double capacity(long now) {
        if (since <= 0 || now - since >= warmUp) {
            return 1;
        }
        return coldFrom + (1 - coldFrom) * (now - since) / warmUp;
    }

    boolean cold(long now) {
        return capacity(now) < 1;
    }

    long queued(long now) {
        return Math.max(0, busyUntil - now);
    }

    void work(long now, long cost, Timers.Task then) {
        if (hung) {
            return;
        }
        long takes = (long) Math.ceil(cost * slow / capacity(now));
        worked += takes;
        busyUntil = Math.max(now, busyUntil) + takes;
        timers.set(busyUntil, then);
    }

    void stall(long now, long until) {
        busyUntil = Math.max(Math.max(now, busyUntil), until);
    }

    void slow(double factor) {
        slow = factor;
    }

    /** Takes everything and does nothing of it. */
    void hang(boolean on) {
        hung = on;
    }

    long worked() {
        return worked;
    }

    static void nothing(long now, Out out) {
        // Work whose end nobody waits for.
    }
}
