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
 * The numbers of a scenario: which numbers callers dial, the number table of each version, and the
 * data of the portability server. Numbers begin with 81 (fixed far end), 83 (the far end moves on
 * with each version of the table) or 82 (ported to another exchange).
 */
public final class DialPlan {
    /** Share of the numbers not ported whose far end changes with each version of the table. */
    private static final double TABLE_DEPENDENT_SHARE = 0.3;

    /** Maximum number of lines that were ported to one exchange. */
    private static final int MAX_PORTED_LINES = 100_000;

    /** Start of the prefixes that are never dialled and give the table its size. */
    private static final String UNUSED_PREFIX = "84";

    private final int exchangeCount;
    private final Scenario.NumberPlan settings;

    /** Packed prefixes that are never dialled; built with the first table, null before. */
    private long[] unusedPrefixes;

    DialPlan(int exchangeCount, Scenario.NumberPlan settings) {
        this.exchangeCount = exchangeCount;
        this.settings = settings;
    }

    /**
     * Draws a number that reaches a line at {@code farEnd} while version 1 of the table is in use.
     */
    String drawNumber(int farEnd, RandomGenerator random) {
        if (random.nextDouble() < settings.portedShare()) {
            return String.format(
                    "+82%04d%04d%05d",
                    (farEnd + 1) % exchangeCount,
                    farEnd,
                    random.nextInt(Math.min(MAX_PORTED_LINES, settings.portedLines())));
        }
        if (random.nextDouble() < TABLE_DEPENDENT_SHARE) {
            int block = Math.floorMod(farEnd - 1, exchangeCount);
            return String.format("+83%04d%06d", block, random.nextInt(1_000_000));
        }
        return String.format("+81%04d%06d", farEnd, random.nextInt(1_000_000));
    }

    /** Builds the number table of {@code version}, which counts from 1. */
    NumberTable table(long version) {
        if (unusedPrefixes == null) {
            unusedPrefixes = new long[settings.unusedPrefixes()];
            Arrays.setAll(
                    unusedPrefixes, i -> Digits.pack(UNUSED_PREFIX + String.format("%07d", i)));
        }
        Destination[] destinations = new Destination[2 * exchangeCount + 2];
        long[] keys = new long[3 * exchangeCount + unusedPrefixes.length];
        int[] values = new int[keys.length];
        int count = 0;
        for (int i = 0; i < exchangeCount; i++) {
            destinations[1 + i] = new Destination.FarEnd(i, List.of());
            destinations[1 + exchangeCount + i] = new Destination.Ported(i);
            keys[count] = Digits.pack(String.format("81%04d", i));
            values[count++] = 1 + i;
        }
        for (int i = 0; i < exchangeCount; i++) {
            keys[count] = Digits.pack(String.format("82%04d", i));
            values[count++] = 1 + exchangeCount + i;
        }
        for (int i = 0; i < exchangeCount; i++) {
            keys[count] = Digits.pack(String.format("83%04d", i));
            values[count++] = 1 + (int) ((i + version) % exchangeCount);
        }
        destinations[1 + 2 * exchangeCount] = new Destination.Unallocated();
        System.arraycopy(unusedPrefixes, 0, keys, count, unusedPrefixes.length);
        Arrays.fill(values, count, values.length, 1 + 2 * exchangeCount);
        return new NumberTable(
                version,
                List.of(),
                Map.of(),
                PrefixTrie.of(keys, values, keys.length),
                destinations,
                destinations.length);
    }

    /** Returns the digits of a ported number's routing number, null for numbers not ported. */
    String routingNumber(String digits) {
        return digits.startsWith("82") && digits.length() == 15
                ? "81" + digits.substring(6, 10) + "000000"
                : null;
    }

    /**
     * Returns the far ends that a dialled number may be routed to while versions {@code from} to
     * {@code to} of the table are in use. A ported number has its recipient and its donor exchange.
     */
    public Set<Integer> farEnds(String dialled, long from, long to) {
        Set<Integer> farEnds = new LinkedHashSet<>();
        for (long version = from; version <= to; version++) {
            int block = Integer.parseInt(dialled.substring(3, 7));
            if (dialled.startsWith("+82")) {
                // The recipient exchange, or the donor if the portability server did not answer.
                farEnds.add(Integer.parseInt(dialled.substring(7, 11)));
                farEnds.add(block);
            } else {
                farEnds.add(
                        dialled.startsWith("+83")
                                ? (int) ((block + version) % exchangeCount)
                                : block);
            }
        }
        return farEnds;
    }
}
