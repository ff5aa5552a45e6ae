package coralcove.exchange;

/**
 * One caller's first try: when, of which service, to which far end and number, and how long it
 * would hold, µs. {@code dialled} is what the caller dials where the router finds the far end by
 * itself, "" where it is told it.
 */
public record Arrival(long at, int service, int farEnd, long number, long hold, String dialled) {
    public Arrival(long at, int service, int farEnd, long number, long hold) {
        this(at, service, farEnd, number, hold, "");
    }

    /** The same caller, its times counted from {@code zero}. */
    public Arrival after(long zero) {
        return new Arrival(zero + at, service, farEnd, number, hold, dialled);
    }
}
