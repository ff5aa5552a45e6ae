package coralcove.sources;

import coralcove.Exchange.Phase;

/**
 * The known liveness of one exchange instance, as an element of a join-semilattice: joining is
 * commutative, associative and idempotent, so neither the order nor the duplication of reports
 * matters.
 *
 * @param startNumber number of the start, assigned by the exchange itself; only a higher one
 *     reverses a drain or a departure
 * @param heartbeat highest heartbeat number of this start that any source has received
 * @param draining whether the exchange has announced that it is draining
 * @param silentAfter highest heartbeat number after which a source reports that no further one
 *     arrived, or {@link #NOT_SILENT} if no source reports that
 * @param left whether the exchange has announced that it has stopped
 * @param number number that the exchange serves
 * @param address address of its router
 */
public record Liveness(
        long startNumber,
        long heartbeat,
        boolean draining,
        long silentAfter,
        boolean left,
        int number,
        String address) {
    /** Stands in place of a heartbeat number when no source reports the exchange silent. */
    public static final long NOT_SILENT = -1;

    /** The liveness of an exchange that is up and neither draining nor silent. */
    public static Liveness running(long startNumber, long heartbeat, int number, String address) {
        return new Liveness(startNumber, heartbeat, false, NOT_SILENT, false, number, address);
    }

    /** Least upper bound of both: what is known from both reports together. */
    public Liveness join(Liveness other) {
        if (startNumber != other.startNumber) {
            return startNumber > other.startNumber ? this : other;
        }
        boolean useThisAddress =
                heartbeat > other.heartbeat
                        || heartbeat == other.heartbeat
                                && (number < other.number
                                        || number == other.number
                                                && address.compareTo(other.address) <= 0);
        return new Liveness(
                startNumber,
                Math.max(heartbeat, other.heartbeat),
                draining || other.draining,
                Math.max(silentAfter, other.silentAfter),
                left || other.left,
                useThisAddress ? number : other.number,
                useThisAddress ? address : other.address);
    }

    /** Whether a source reports the exchange silent and no later heartbeat contradicts it. */
    public boolean isSilent() {
        return silentAfter >= heartbeat;
    }

    /** The phase of the exchange as far as known. */
    public Phase phase() {
        return left || isSilent() ? Phase.GONE : draining ? Phase.DRAINING : Phase.READY;
    }

    /** A copy that is silent after its last known heartbeat. */
    public Liveness markedSilent() {
        return new Liveness(
                startNumber,
                heartbeat,
                draining,
                Math.max(silentAfter, heartbeat),
                left,
                number,
                address);
    }
}
