package coralcove;

/** Whole microseconds from other units: waits are rounded up, allowances down. */
public final class Micros {
    private Micros() {}

    /** Of nanoseconds; a wait is never shortened. */
    public static long up(long nanos) {
        return -Math.floorDiv(-nanos, 1000L);
    }

    /** Of nanoseconds; an allowance is never lengthened. */
    public static long down(long nanos) {
        return Math.floorDiv(nanos, 1000L);
    }
}
