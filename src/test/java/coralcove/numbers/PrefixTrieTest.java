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

/** The trie against a plain map: the longest prefix is looked for by cutting the number shorter. */
class PrefixTrieTest {
    private record Version(PrefixTrie trie, TreeMap<String, Integer> plain) {}

    private static int longest(TreeMap<String, Integer> plain, String number) {
        for (int length = number.length(); length >= 0; length--) {
            Integer value = plain.get(number.substring(0, length));
            if (value != null) {
                return value;
            }
        }
        return 0;
    }

    /** Few digits, so that prefixes of prefixes, splits and joins come often; lengths up to 15. */
    private static String digits(SplittableRandom chance, int most) {
        StringBuilder text = new StringBuilder();
        int alphabet = 1 + chance.nextInt(3);
        for (int i = chance.nextInt(most + 1); i > 0; i--) {
            text.append(
                    (char)
                            ('0'
                                    + (chance.nextInt(20) == 0
                                            ? chance.nextInt(10)
                                            : 3 * chance.nextInt(alphabet))));
        }
        return text.toString();
    }

    private static void equal(Version version, SplittableRandom chance) {
        for (int i = 0; i < 60; i++) {
            String number = digits(chance, 15);
            assertThat(version.trie.find(Digits.pack(number)))
                    .as(number)
                    .isEqualTo(longest(version.plain, number));
        }
        List<String> all = new ArrayList<>();
        version.trie.each((key, value) -> all.add(Digits.text(key) + "=" + value));
        List<String> wanted = new ArrayList<>();
        version.plain.forEach((key, value) -> wanted.add(key + "=" + value));
        assertThat(all).isEqualTo(wanted);
        assertThat(version.trie.size()).isEqualTo(version.plain.size());
    }

    @Property(tries = 300, seed = "11")
    void anyEditsGiveWhatAPlainMapGivesAndOldTriesStayAsTheyWere(
            @ForAll @LongRange(min = 0) long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        TreeMap<String, Integer> plain = new TreeMap<>();
        for (int i = chance.nextInt(40); i > 0; i--) {
            plain.put(digits(chance, 15), 1 + chance.nextInt(1000));
        }
        long[] keys = plain.keySet().stream().mapToLong(Digits::pack).toArray();
        int[] values = plain.values().stream().mapToInt(v -> v).toArray();
        List<Version> versions = new ArrayList<>();
        versions.add(new Version(PrefixTrie.of(keys, values, keys.length), new TreeMap<>(plain)));
        for (int i = 0; i < 60; i++) {
            // Mostly the newest is edited, now and then an older one: a second line from there.
            Version from =
                    versions.get(
                            chance.nextInt(8) == 0
                                    ? chance.nextInt(versions.size())
                                    : versions.size() - 1);
            TreeMap<String, Integer> next = new TreeMap<>(from.plain);
            boolean drop = chance.nextInt(3) == 0 && !next.isEmpty();
            String prefix =
                    drop && chance.nextInt(4) > 0
                            ? new ArrayList<>(next.keySet()).get(chance.nextInt(next.size()))
                            : digits(chance, 15);
            PrefixTrie trie;
            if (drop) {
                next.remove(prefix);
                trie = from.trie.without(Digits.pack(prefix));
            } else {
                next.put(prefix, 1 + i);
                trie = from.trie.with(Digits.pack(prefix), 1 + i);
            }
            versions.add(new Version(chance.nextInt(10) == 0 ? trie.packed() : trie, next));
        }
        for (Version version : versions) {
            equal(version, chance);
        }
    }

    @Test
    void refusesWhatIsOutOfOrderOrNoNumber() {
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
    void manyEditsAreWorthPackingAndPackingGivesRoomBack() {
        PrefixTrie trie = PrefixTrie.empty();
        int edits = 0;
        while (!trie.worthPacking()) {
            trie = trie.with(Digits.pack(Integer.toString(1000 + edits % 500)), 1 + edits++);
        }
        assertThat(edits).isLessThan(5000);
        PrefixTrie packed = trie.packed();
        assertThat(packed.worthPacking()).isFalse();
        assertThat(packed.size()).isEqualTo(trie.size());
    }
}
