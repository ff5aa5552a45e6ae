package coralcove.sources;

import coralcove.Exchange.Phase;

/**
 * What is known of one machine, as an element of a join-semilattice: joining is commutative,
 * associative and idempotent, so that neither order nor doubling of what sources say matters. Only
 * a newer {@code start}, the machine's own number of it, takes back a drain or an end; {@code beat}
 * is the highest of its own signs of life that anyone heard in this start, {@code quiet} the
 * highest after which a source says that no more came (-1: nobody does).
 */
public record Life(
        long start,
        long beat,
        boolean drains,
        long quiet,
        boolean left,
        int number,
        String address) {
    /** {@code quiet} where no source misses the machine. */
    public static final long HEARD = -1;

    public static Life runs(long start, long beat, int number, String address) {
        return new Life(start, beat, false, HEARD, false, number, address);
    }

    public Life join(Life other) {
        if (start != other.start) {
            return start > other.start ? this : other;
        }
        boolean mine =
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
                mine ? number : other.number,
                mine ? address : other.address);
    }

    /** Not heard any more, by a source that is not contradicted by a later sign of life. */
    public boolean silent() {
        return quiet >= beat;
    }

    public Phase phase() {
        return left || silent() ? Phase.GONE : drains ? Phase.DRAINING : Phase.READY;
    }

    /** The same, missed by a source that has heard no more than this of it. */
    public Life missed() {
        return new Life(start, beat, drains, Math.max(quiet, beat), left, number, address);
    }
}
