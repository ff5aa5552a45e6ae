package coralcove.numbers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Compares the trie with a map in which the longest prefix is found by shortening the number. */
class PrefixTrieTest {
    /** A trie and a map that must have the same contents. */
    private record Version(PrefixTrie trie, TreeMap<String, Integer> reference) {}

    private static int longest(TreeMap<String, Integer> reference, String number) {
        for (int length = number.length(); length >= 0; length--) {
            Integer value = reference.get(number.substring(0, length));
            if (value != null) {
                return value;
            }
        }
        return 0;
    }

    /**
     * Random digits from a small alphabet, so that nested prefixes, splits and merges are frequent.
     */
    private static String randomDigits(SplittableRandom random, int maxLength) {
        StringBuilder text = new StringBuilder();
        int alphabet = 1 + random.nextInt(3);
        for (int i = random.nextInt(maxLength + 1); i > 0; i--) {
            text.append(
                    (char)
                            ('0'
                                    + (random.nextInt(20) == 0
                                            ? random.nextInt(10)
                                            : 3 * random.nextInt(alphabet))));
        }
        return text.toString();
    }

    private static void assertSameContents(Version version, SplittableRandom random) {
        for (int i = 0; i < 60; i++) {
            String number = randomDigits(random, 15);
            assertThat(version.trie.longestPrefixValue(Digits.pack(number)))
                    .as(number)
                    .isEqualTo(longest(version.reference, number));
        }
        List<String> actual = new ArrayList<>();
        version.trie.forEach((key, value) -> actual.add(Digits.unpack(key) + "=" + value));
        List<String> expected = new ArrayList<>();
        version.reference.forEach((key, value) -> expected.add(key + "=" + value));
        assertThat(actual).isEqualTo(expected);
        assertThat(version.trie.size()).isEqualTo(version.reference.size());
    }

    @Property(tries = 300, seed = "11")
    void editedTriesMatchAReferenceMapAndOldTriesAreUnchanged(
            @ForAll @LongRange(min = 0) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TreeMap<String, Integer> reference = new TreeMap<>();
        for (int i = random.nextInt(40); i > 0; i--) {
            reference.put(randomDigits(random, 15), 1 + random.nextInt(1000));
        }
        long[] keys = reference.keySet().stream().mapToLong(Digits::pack).toArray();
        int[] values = reference.values().stream().mapToInt(v -> v).toArray();
        List<Version> versions = new ArrayList<>();
        versions.add(
                new Version(PrefixTrie.of(keys, values, keys.length), new TreeMap<>(reference)));
        for (int i = 0; i < 60; i++) {
            // Mostly the newest version is edited, sometimes an older one, which starts a branch.
            Version base =
                    versions.get(
                            random.nextInt(8) == 0
                                    ? random.nextInt(versions.size())
                                    : versions.size() - 1);
            TreeMap<String, Integer> edited = new TreeMap<>(base.reference);
            boolean drop = random.nextInt(3) == 0 && !edited.isEmpty();
            String prefix =
                    drop && random.nextInt(4) > 0
                            ? new ArrayList<>(edited.keySet()).get(random.nextInt(edited.size()))
                            : randomDigits(random, 15);
            PrefixTrie trie;
            if (drop) {
                edited.remove(prefix);
                trie = base.trie.without(Digits.pack(prefix));
            } else {
                edited.put(prefix, 1 + i);
                trie = base.trie.with(Digits.pack(prefix), 1 + i);
            }
            versions.add(new Version(random.nextInt(10) == 0 ? trie.packed() : trie, edited));
        }
        for (Version version : versions) {
            assertSameContents(version, random);
        }
    }

    @Test
    void refusesUnsortedKeysAndInvalidNumbers() {
        assertThatThrownBy(
                        () ->
                                PrefixTrie.of(
                                        new long[] {Digits.pack("12"), Digits.pack("12")},
                                        new int[] {1, 1},
                                        2))
                .hasMessage("prefix 12 is out of order or there twice");
        assertThatThrownBy(() -> PrefixTrie.empty().with(1L << 56, 0)).hasMessage("value 0");
        assertThatThrownBy(() -> Digits.pack("12a")).hasMessage("'a' is no digit");
        assertThatThrownBy(() -> Digits.pack("1234567890123456"))
                .hasMessage("has more than 15 digits");
    }

    @Test
    void manyEditsCallForPackingAndPackingRemovesTheWaste() {
        PrefixTrie trie = PrefixTrie.empty();
        int edits = 0;
        while (!trie.shouldPack()) {
            trie = trie.with(Digits.pack(Integer.toString(1000 + edits % 500)), 1 + edits++);
        }
        assertThat(edits).isLessThan(5000);
        PrefixTrie packed = trie.packed();
        assertThat(packed.shouldPack()).isFalse();
        assertThat(packed.size()).isEqualTo(trie.size());
    }
}
