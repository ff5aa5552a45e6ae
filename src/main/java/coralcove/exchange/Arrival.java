package coralcove.exchange;

/**
 * A caller's first attempt: its time, the service, the far end and called number, and the hold time
 * of the call; times in µs. {@code dialled} is the dialled string if the router has to find the far
 * end by number analysis, "" if the INVITE names it.
 */
public record Arrival(
        long arrivalTime,
        int service,
        int farEnd,
        long calledNumber,
        long holdTime,
        String dialled) {
    /** An arrival whose INVITE names the far end. */
    public Arrival(long at, int service, int farEnd, long number, long hold) {
        this(at, service, farEnd, number, hold, "");
    }

    /** The same arrival, its time shifted by {@code offset} µs. */
    public Arrival shiftedBy(long offset) {
        return new Arrival(offset + arrivalTime, service, farEnd, calledNumber, holdTime, dialled);
    }
}
