package coralcove.exchange;

/** One caller's first try: when, of which service, to which far end and number, and how long it would hold, µs. */
public record Arrival(long at, int service, int farEnd, long number, long hold) {
    /** The same caller, its times counted from {@code zero}. */
    public Arrival after(long zero) {
        return new Arrival(zero + at, service, farEnd, number, hold);
    }
}
