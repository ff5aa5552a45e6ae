package coralcove.bench;

import coralcove.numbers.Destination;
import coralcove.numbers.Digits;
import coralcove.numbers.NumberTable;
import coralcove.numbers.PrefixTrie;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Compares the trie with two standard maps. {@code main} measures heap use and edits, and compares
 * ten million lookups with a map.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
public class NumbersBench {
    private static final int NUMBER_COUNT = 1 << 16;

    @Param({"1000", "100000", "2000000"})
    public int prefixes;

    private PrefixTrie trie;
    private Map<Long, Integer> prefixMap;
    private TreeMap<Long, Integer> sortedPrefixes;
    private final long[] numbers = new long[NUMBER_COUNT];
    private int nextIndex;

    /**
     * Sorted distinct prefixes of 3 to 10 digits below some hundred areas, like tables of ported
     * blocks.
     */
    static long[] keys(int count, SplittableRandom random) {
        long[] keys = new long[count];
        int distinctCount = 0;
        while (distinctCount < count) {
            for (int i = distinctCount; i < count; i++) {
                int length = count <= 1000 ? 3 + random.nextInt(4) : 5 + random.nextInt(6);
                StringBuilder digits = new StringBuilder("81").append(100 + random.nextInt(200));
                while (digits.length() < 2 + length) {
                    digits.append((char) ('0' + random.nextInt(10)));
                }
                keys[i] = Digits.pack(digits.substring(0, 2 + length));
            }
            Arrays.sort(keys);
            distinctCount = (int) Arrays.stream(keys).distinct().count();
            long[] distinct = Arrays.stream(keys).distinct().toArray();
            System.arraycopy(distinct, 0, keys, 0, distinctCount);
        }
        Arrays.sort(keys);
        return keys;
    }

    static int[] values(int count) {
        int[] values = new int[count];
        Arrays.setAll(values, i -> 1 + i % 94);
        return values;
    }

    static long number(long[] keys, SplittableRandom random) {
        StringBuilder digits =
                new StringBuilder(
                        random.nextInt(8) == 0
                                ? "81" + (100 + random.nextInt(200))
                                : Digits.unpack(keys[random.nextInt(keys.length)]));
        while (digits.length() < 13) {
            digits.append((char) ('0' + random.nextInt(10)));
        }
        return Digits.pack(digits);
    }

    @Setup
    public void setUp() {
        SplittableRandom random = new SplittableRandom(1);
        long[] keys = keys(prefixes, random);
        int[] values = values(prefixes);
        trie = PrefixTrie.of(keys, values, prefixes);
        prefixMap = new HashMap<>();
        sortedPrefixes = new TreeMap<>();
        for (int i = 0; i < prefixes; i++) {
            prefixMap.put(keys[i], values[i]);
            sortedPrefixes.put(keys[i], values[i]);
        }
        for (int i = 0; i < NUMBER_COUNT; i++) {
            numbers[i] = number(keys, random);
        }
    }

    private long nextNumber() {
        nextIndex = nextIndex + 1 & NUMBER_COUNT - 1;
        return numbers[nextIndex];
    }

    @Benchmark
    public int trie() {
        return trie.longestPrefixValue(nextNumber());
    }

    @Benchmark
    public int hashMapByLength() {
        return findByLength(prefixMap, nextNumber());
    }

    @Benchmark
    public int treeMapFloor() {
        return findByFloor(sortedPrefixes, nextNumber());
    }

    private static int findByLength(Map<Long, Integer> map, long number) {
        for (int length = 13; length >= 0; length--) {
            Integer value = map.get(prefix(number, length));
            if (value != null) {
                return value;
            }
        }
        return 0;
    }

    private static long prefix(long number, int length) {
        return length == 0 ? 0 : number & -1L << 60 - 4 * length;
    }

    /**
     * The greatest key that is not above the number is a prefix of it; otherwise the search goes on
     * with the longest prefix that both share.
     */
    private static int findByFloor(TreeMap<Long, Integer> map, long number) {
        long candidate = number;
        while (true) {
            Map.Entry<Long, Integer> entry = map.floorEntry(candidate);
            if (entry == null) {
                return 0;
            }
            long key = entry.getKey();
            int length = Digits.length(key);
            if (prefix(number, length) == key) {
                return entry.getValue();
            }
            int sharedLength = 0;
            while (prefix(number, sharedLength + 1) == prefix(key, sharedLength + 1)) {
                sharedLength++;
            }
            candidate = prefix(number, sharedLength);
        }
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    public static void main(String[] args) {
        for (int count : new int[] {1000, 100_000, 2_000_000}) {
            SplittableRandom random = new SplittableRandom(1);
            long[] keys = keys(count, random);
            int[] values = values(count);
            PrefixTrie trie = PrefixTrie.of(keys, values, count);
            long before;
            Map<Long, Integer> map = new HashMap<>();
            before = usedHeap();
            for (int i = 0; i < count; i++) {
                map.put(keys[i], values[i]);
            }
            long mapBytes = usedHeap() - before;
            TreeMap<Long, Integer> tree = new TreeMap<>();
            before = usedHeap();
            for (int i = 0; i < count; i++) {
                tree.put(keys[i], values[i]);
            }
            long treeBytes = usedHeap() - before;
            // The tree is used after the measurement, or it would be garbage collected before it.
            System.out.printf(
                    "%d prefixes: bytes per prefix: trie %.1f with spare room for edits, HashMap"
                            + " %.1f, TreeMap %.1f%n",
                    tree.size(),
                    trie.memoryBytes() / (double) count,
                    mapBytes / (double) count,
                    treeBytes / (double) count);
            int mismatches = 0;
            for (int i = 0; i < 10_000_000; i++) {
                long number = number(keys, random);
                mismatches += trie.longestPrefixValue(number) == findByLength(map, number) ? 0 : 1;
            }
            System.out.println(
                    "  10,000,000 lookups, results that differ from the map: " + mismatches);
            measureEdits(trie, keys, random);
        }
    }

    /**
     * Applies 100 changes at once (new, changed and removed prefixes) 50 times, and prints the mean
     * and the slowest.
     */
    private static void measureEdits(PrefixTrie trie, long[] keys, SplittableRandom random) {
        Destination[] destinations = new Destination[95];
        Arrays.fill(destinations, new Destination.FarEnd(1, List.of()));
        NumberTable table = new NumberTable(1, List.of(), Map.of(), trie, destinations, 95);
        double worst = 0;
        double sum = 0;
        for (int round = 0; round < 50; round++) {
            List<NumberTable.PrefixChange> changes = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                long key =
                        i % 2 == 0
                                ? keys[random.nextInt(keys.length)]
                                : prefix(number(keys, random), 12);
                changes.add(
                        new NumberTable.PrefixChange(
                                key, i % 4 == 0 ? null : new Destination.FarEnd(2, List.of())));
            }
            long start = System.nanoTime();
            table = table.withChanges(table.version() + 1, changes);
            double ms = (System.nanoTime() - start) / 1e6;
            worst = Math.max(worst, ms);
            sum += ms;
        }
        System.out.printf("  100 changes: mean %.2f ms, worst of 50 %.2f ms%n", sum / 50, worst);
    }
}
