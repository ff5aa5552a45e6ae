package coralcove;

/** Converts nanoseconds to whole microseconds: waits are rounded up, allowances down. */
public final class Micros {
    private Micros() {}

    /** Rounds up, so that a wait is never shortened. */
    public static long ceilFromNanos(long nanos) {
        return -Math.floorDiv(-nanos, 1000L);
    }

    /** Rounds down, so that an allowance is never lengthened. */
    public static long floorFromNanos(long nanos) {
        return Math.floorDiv(nanos, 1000L);
    }
}
