package coralcove.rehearsal;

import coralcove.numbers.Destination;
import coralcove.numbers.Digits;
import coralcove.numbers.NumberTable;
import coralcove.numbers.PrefixTrie;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The numbers of a day: what callers dial, the table of each version, and what the portability
 * server knows. Numbers begin with 81 (fixed), 83 (their far end moves on with each version of the
 * table) or 82 (moved to another exchange).
 */
public final class DialPlan {
    /** Share of the numbers that have not been ported whose far end changes with the table. */
    private static final double MOVING = 0.3;

    /** Lines at one exchange that moved there. */
    private static final int MOVED_LINES = 100_000;

    /** Prefixes beside those in use, to give the table its size. */
    private static final String BESIDE = "84";

    private final int exchanges;
    private final Day.Numbers numbers;

    /** Made for the first table: a plan that only dials needs none. */
    private long[] beside;

    DialPlan(int exchanges, Day.Numbers numbers) {
        this.exchanges = exchanges;
        this.numbers = numbers;
    }

    /** What a caller dials to reach a line at {@code farEnd} while table 1 is in service. */
    String dial(int farEnd, RandomGenerator chance) {
        if (chance.nextDouble() < numbers.ported()) {
            return String.format(
                    "+82%04d%04d%05d",
                    (farEnd + 1) % exchanges,
                    farEnd,
                    chance.nextInt(Math.min(MOVED_LINES, numbers.lines())));
        }
        if (chance.nextDouble() < MOVING) {
            int block = Math.floorMod(farEnd - 1, exchanges);
            return String.format("+83%04d%06d", block, chance.nextInt(1_000_000));
        }
        return String.format("+81%04d%06d", farEnd, chance.nextInt(1_000_000));
    }

    /** The table of a version, from 1 on. */
    NumberTable table(long version) {
        if (beside == null) {
            beside = new long[numbers.beside()];
            Arrays.setAll(beside, i -> Digits.pack(BESIDE + String.format("%07d", i)));
        }
        Destination[] to = new Destination[2 * exchanges + 2];
        long[] keys = new long[3 * exchanges + beside.length];
        int[] values = new int[keys.length];
        int n = 0;
        for (int i = 0; i < exchanges; i++) {
            to[1 + i] = new Destination.FarEnd(i, List.of());
            to[1 + exchanges + i] = new Destination.Ported(i);
            keys[n] = Digits.pack(String.format("81%04d", i));
            values[n++] = 1 + i;
        }
        for (int i = 0; i < exchanges; i++) {
            keys[n] = Digits.pack(String.format("82%04d", i));
            values[n++] = 1 + exchanges + i;
        }
        for (int i = 0; i < exchanges; i++) {
            keys[n] = Digits.pack(String.format("83%04d", i));
            values[n++] = 1 + (int) ((i + version) % exchanges);
        }
        to[1 + 2 * exchanges] = new Destination.Unallocated();
        System.arraycopy(beside, 0, keys, n, beside.length);
        Arrays.fill(values, n, values.length, 1 + 2 * exchanges);
        return new NumberTable(
                version,
                List.of(),
                Map.of(),
                PrefixTrie.of(keys, values, keys.length),
                to,
                to.length);
    }

    /** The routing number of a number that has moved, digits; null of all others. */
    String routing(String digits) {
        return digits.startsWith("82") && digits.length() == 15
                ? "81" + digits.substring(6, 10) + "000000"
                : null;
    }

    /**
     * Far ends that the tables {@code from} to {@code to} give a number, without those that only
     * the server knows.
     */
    public Set<Integer> farEnds(String dialled, long from, long to) {
        Set<Integer> all = new LinkedHashSet<>();
        for (long version = from; version <= to; version++) {
            int block = Integer.parseInt(dialled.substring(3, 7));
            if (dialled.startsWith("+82")) {
                // The far end it moved to, or its donor where the server did not answer.
                all.add(Integer.parseInt(dialled.substring(7, 11)));
                all.add(block);
            } else {
                all.add(dialled.startsWith("+83") ? (int) ((block + version) % exchanges) : block);
            }
        }
        return all;
    }
}
