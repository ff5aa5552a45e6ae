package coralcove.sources;

import coralcove.Exchange.Phase;

/**
 * The known liveness of one exchange instance, as an element of a join-semilattice: joining is
 * commutative, associative and idempotent, so neither the order nor the duplication of reports
 * matters.
 *
 * @param start number of the start, assigned by the exchange itself; only a higher one reverses a
 *     drain or a departure
 * @param beat highest heartbeat number of this start that any source has received
 * @param drains whether the exchange has announced that it is draining
 * @param quiet highest heartbeat number after which a source reports that no further one arrived,
 *     or {@link #HEARD} if no source reports that
 * @param left whether the exchange has announced that it has stopped
 * @param number number that the exchange serves
 * @param address address of its router
 */
public record Life(
        long start,
        long beat,
        boolean drains,
        long quiet,
        boolean left,
        int number,
        String address) {
    /** Stands in place of a heartbeat number when no source reports the exchange silent. */
    public static final long HEARD = -1;

    /** The liveness of an exchange that is up and neither draining nor silent. */
    public static Life runs(long startNumber, long heartbeat, int number, String address) {
        return new Life(startNumber, heartbeat, false, HEARD, false, number, address);
    }

    /** Least upper bound of both: what is known from both reports together. */
    public Life join(Life other) {
        if (start != other.start) {
            return start > other.start ? this : other;
        }
        boolean useThisAddress =
                beat > other.beat
                        || beat == other.beat
                                && (number < other.number
                                        || number == other.number
                                                && address.compareTo(other.address) <= 0);
        return new Life(
                start,
                Math.max(beat, other.beat),
                drains || other.drains,
                Math.max(quiet, other.quiet),
                left || other.left,
                useThisAddress ? number : other.number,
                useThisAddress ? address : other.address);
    }

    /** Whether a source reports the exchange silent and no later heartbeat contradicts it. */
    public boolean silent() {
        return quiet >= beat;
    }

    /** The phase of the exchange as far as known. */
    public Phase phase() {
        return left || silent() ? Phase.GONE : drains ? Phase.DRAINING : Phase.READY;
    }

    /** A copy that is silent after its last known heartbeat. */
    public Life missed() {
        return new Life(start, beat, drains, Math.max(quiet, beat), left, number, address);
    }
}
