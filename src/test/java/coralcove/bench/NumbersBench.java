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
 * The trie against two plain structures; {@code main} measures heap, edits and ten million look-ups
 * held equal.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
public class NumbersBench {
    private static final int ASKED = 1 << 16;

    @Param({"1000", "100000", "2000000"})
    public int prefixes;

    private PrefixTrie trie;
    private Map<Long, Integer> byLength;
    private TreeMap<Long, Integer> sorted;
    private final long[] asked = new long[ASKED];
    private int next;

    /**
     * Of 3 to 10 digits below some hundred areas, as tables of ported blocks are; sorted, each
     * once.
     */
    static long[] keys(int count, SplittableRandom chance) {
        long[] keys = new long[count];
        int n = 0;
        while (n < count) {
            for (int i = n; i < count; i++) {
                int length = count <= 1000 ? 3 + chance.nextInt(4) : 5 + chance.nextInt(6);
                StringBuilder text = new StringBuilder("81").append(100 + chance.nextInt(200));
                while (text.length() < 2 + length) {
                    text.append((char) ('0' + chance.nextInt(10)));
                }
                keys[i] = Digits.pack(text.substring(0, 2 + length));
            }
            Arrays.sort(keys);
            n = (int) Arrays.stream(keys).distinct().count();
            long[] once = Arrays.stream(keys).distinct().toArray();
            System.arraycopy(once, 0, keys, 0, n);
        }
        Arrays.sort(keys);
        return keys;
    }

    static int[] values(int count) {
        int[] values = new int[count];
        Arrays.setAll(values, i -> 1 + i % 94);
        return values;
    }

    static long number(long[] keys, SplittableRandom chance) {
        StringBuilder text =
                new StringBuilder(
                        chance.nextInt(8) == 0
                                ? "81" + (100 + chance.nextInt(200))
                                : Digits.text(keys[chance.nextInt(keys.length)]));
        while (text.length() < 13) {
            text.append((char) ('0' + chance.nextInt(10)));
        }
        return Digits.pack(text);
    }

    @Setup
    public void setUp() {
        SplittableRandom chance = new SplittableRandom(1);
        long[] keys = keys(prefixes, chance);
        int[] values = values(prefixes);
        trie = PrefixTrie.of(keys, values, prefixes);
        byLength = new HashMap<>();
        sorted = new TreeMap<>();
        for (int i = 0; i < prefixes; i++) {
            byLength.put(keys[i], values[i]);
            sorted.put(keys[i], values[i]);
        }
        for (int i = 0; i < ASKED; i++) {
            asked[i] = number(keys, chance);
        }
    }

    private long next() {
        next = next + 1 & ASKED - 1;
        return asked[next];
    }

    @Benchmark
    public int trie() {
        return trie.find(next());
    }

    @Benchmark
    public int hashMapByLength() {
        return byLength(byLength, next());
    }

    @Benchmark
    public int treeMapFloor() {
        return floor(sorted, next());
    }

    private static int byLength(Map<Long, Integer> map, long number) {
        for (int length = 13; length >= 0; length--) {
            Integer value = map.get(head(number, length));
            if (value != null) {
                return value;
            }
        }
        return 0;
    }

    private static long head(long number, int length) {
        return length == 0 ? 0 : number & -1L << 60 - 4 * length;
    }

    /**
     * The greatest key not above the number is a prefix of it, or the longest part they share has
     * to be tried.
     */
    private static int floor(TreeMap<Long, Integer> map, long number) {
        long at = number;
        while (true) {
            Map.Entry<Long, Integer> entry = map.floorEntry(at);
            if (entry == null) {
                return 0;
            }
            long key = entry.getKey();
            int length = Digits.length(key);
            if (head(number, length) == key) {
                return entry.getValue();
            }
            int shared = 0;
            while (head(number, shared + 1) == head(key, shared + 1)) {
                shared++;
            }
            at = head(number, shared);
        }
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime run = Runtime.getRuntime();
        return run.totalMemory() - run.freeMemory();
    }

    public static void main(String[] args) {
        for (int count : new int[] {1000, 100_000, 2_000_000}) {
            SplittableRandom chance = new SplittableRandom(1);
            long[] keys = keys(count, chance);
            int[] values = values(count);
            PrefixTrie trie = PrefixTrie.of(keys, values, count);
            long before;
            Map<Long, Integer> map = new HashMap<>();
            before = used();
            for (int i = 0; i < count; i++) {
                map.put(keys[i], values[i]);
            }
            long ofMap = used() - before;
            TreeMap<Long, Integer> tree = new TreeMap<>();
            before = used();
            for (int i = 0; i < count; i++) {
                tree.put(keys[i], values[i]);
            }
            long ofTree = used() - before;
            // Asked for after the measurement, or the tree would be collected before it.
            System.out.printf(
                    "%d prefixes: bytes a prefix: trie %.1f with its room for edits, HashMap %.1f,"
                            + " TreeMap %.1f%n",
                    tree.size(),
                    trie.bytes() / (double) count,
                    ofMap / (double) count,
                    ofTree / (double) count);
            int unlike = 0;
            for (int i = 0; i < 10_000_000; i++) {
                long number = number(keys, chance);
                unlike += trie.find(number) == byLength(map, number) ? 0 : 1;
            }
            System.out.println("  10,000,000 look-ups, unlike the plain map: " + unlike);
            edits(trie, keys, chance);
        }
    }

    /**
     * 100 changes to the table at once, some new, some changed, some gone; the slowest of 50 such.
     */
    private static void edits(PrefixTrie trie, long[] keys, SplittableRandom chance) {
        Destination[] to = new Destination[95];
        Arrays.fill(to, new Destination.FarEnd(1, List.of()));
        NumberTable table = new NumberTable(1, List.of(), Map.of(), trie, to, 95);
        double worst = 0;
        double sum = 0;
        for (int round = 0; round < 50; round++) {
            List<NumberTable.Change> changes = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                long key =
                        i % 2 == 0
                                ? keys[chance.nextInt(keys.length)]
                                : head(number(keys, chance), 12);
                changes.add(
                        new NumberTable.Change(
                                key, i % 4 == 0 ? null : new Destination.FarEnd(2, List.of())));
            }
            long start = System.nanoTime();
            table = table.edited(table.version() + 1, changes);
            double ms = (System.nanoTime() - start) / 1e6;
            worst = Math.max(worst, ms);
            sum += ms;
        }
        System.out.printf("  100 changes: mean %.2f ms, worst of 50 %.2f ms%n", sum / 50, worst);
    }
}
