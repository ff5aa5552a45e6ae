package coralcove.planner.store;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.GroupFacts;
import coralcove.GroupPlan;
import coralcove.Plan;
import coralcove.store.EntryStore;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.h2.mvstore.MVStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A store that was killed, cut, spoilt, made by another version, or cannot be written: the planner
 * starts all the same.
 */
class GroupStoreTest {
    private final List<String> said = new ArrayList<>();

    private static List<GroupFacts> facts(int from, int to, long at) {
        List<GroupFacts> facts = new ArrayList<>();
        for (int i = from; i < to; i++) {
            facts.add(new GroupFacts(at, i, 30, new double[] {i, 2.5}));
        }
        return facts;
    }

    private List<GroupFacts> reopened(Path path) {
        try (EntryStore<Integer, GroupFacts> store = GroupStore.facts(path, said::add)) {
            return store.read();
        }
    }

    @Test
    void whatWasWrittenIsReadAgainAndTheNewestCounts(@TempDir Path folder) {
        Path path = folder.resolve("facts");
        try (EntryStore<Integer, GroupFacts> store = GroupStore.facts(path, said::add)) {
            store.write(facts(0, 50, 1));
            store.write(facts(10, 20, 2));
        }
        List<GroupFacts> read = reopened(path);
        assertThat(read).hasSize(50);
        assertThat(read.get(15).at()).isEqualTo(2);
        assertThat(read.get(15).calls()).containsExactly(15, 2.5);
        assertThat(said).isEmpty();
    }

    /**
     * A kill between two writes: the file as it was on disk at that moment is copied and opened.
     */
    @Test
    void aKillLeavesTheLastWholeCommit(@TempDir Path folder) throws Exception {
        Path path = folder.resolve("facts");
        Path killed = folder.resolve("killed");
        try (EntryStore<Integer, GroupFacts> store = GroupStore.facts(path, said::add)) {
            store.write(facts(0, 50, 1));
            store.write(facts(0, 50, 2));
            Files.copy(path, killed);
            store.write(facts(0, 50, 3));
        }
        assertThat(reopened(killed)).hasSize(50).allMatch(f -> f.at() == 2);
        assertThat(said).isEmpty();
    }

    /**
     * Cut anywhere or with any bit turned, it gives sound entries only, and says so when it is put
     * aside.
     */
    @Test
    void aTornTailAndAFlippedBitGiveOnlyWhatIsSound(@TempDir Path folder) throws Exception {
        Path path = folder.resolve("facts");
        try (EntryStore<Integer, GroupFacts> store = GroupStore.facts(path, said::add)) {
            for (int i = 1; i <= 30; i++) {
                store.write(facts(0, 40, i));
            }
        }
        byte[] good = Files.readAllBytes(path);
        SplittableRandom chance = new SplittableRandom(3);
        int full = 0;
        int aside = 0;
        for (int i = 0; i < 60; i++) {
            Path spoilt = folder.resolve("spoilt-" + i);
            Files.write(spoilt, good);
            try (RandomAccessFile file = new RandomAccessFile(spoilt.toFile(), "rw")) {
                if (i % 2 == 0) {
                    file.setLength(chance.nextLong(good.length));
                } else {
                    long at = chance.nextLong(good.length);
                    file.seek(at);
                    int was = file.read();
                    file.seek(at);
                    file.write(was ^ 1 << chance.nextInt(8));
                }
            }
            said.clear();
            List<GroupFacts> read = reopened(spoilt);
            for (GroupFacts each : read) {
                assertThat(each.calls()).containsExactly(each.number(), 2.5);
                assertThat(each.at()).isBetween(1L, 30L);
            }
            full += read.size() == 40 ? 1 : 0;
            aside += said.isEmpty() ? 0 : 1;
            assertThat(read.size() == 40 || !said.isEmpty() || read.isEmpty()).isTrue();
            // Whatever was found, the store that is there now works.
            try (EntryStore<Integer, GroupFacts> store = GroupStore.facts(spoilt, said::add)) {
                store.write(facts(0, 5, 99));
                assertThat(store.read()).hasSizeGreaterThanOrEqualTo(5);
            }
        }
        assertThat(full).isPositive();
        assertThat(aside).isPositive();
    }

    @Test
    void entriesOfAnotherVersionAreLeftAndCounted(@TempDir Path folder) {
        Path path = folder.resolve("facts");
        try (EntryStore<Integer, GroupFacts> store = GroupStore.facts(path, said::add)) {
            store.write(facts(0, 5, 1));
        }
        try (MVStore raw = new MVStore.Builder().fileName(path.toString()).open()) {
            raw.<Integer, byte[]>openMap("facts")
                    .put(2, new byte[] {9, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
            byte[] moved = raw.<Integer, byte[]>openMap("facts").get(3);
            raw.<Integer, byte[]>openMap("facts").put(77, moved);
        }
        assertThat(reopened(path)).extracting(GroupFacts::number).containsExactly(0, 1, 3, 4);
        assertThat(said).containsExactly("2 entries left: another form or a wrong checksum");
    }

    @Test
    void aStoreThatCannotBeMadeIsDoneWithout(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("file");
        Files.writeString(file, "x");
        try (EntryStore<Integer, GroupFacts> store =
                GroupStore.facts(file.resolve("facts"), said::add)) {
            store.write(facts(0, 5, 1));
            assertThat(store.works()).isFalse();
            assertThat(store.read()).isEmpty();
        }
        assertThat(said).hasSize(1);
        assertThat(said.get(0)).startsWith("store is not used: ");
    }

    /**
     * An edge's plans come back as they were taken; an entry spoilt on disk is left, and the others
     * count.
     */
    @Test
    void plansComeBackAndASpoiltOneIsLeft(@TempDir Path folder) {
        Path path = folder.resolve("plans");
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            plans.add(
                    new Plan(
                            7,
                            100 + i,
                            List.of(
                                    new GroupPlan(
                                            i,
                                            i,
                                            0.1,
                                            new double[] {3, 0},
                                            new double[] {1, 0},
                                            new boolean[] {true, false},
                                            new double[] {0, 0}))));
        }
        try (EntryStore<Integer, Plan> store = GroupStore.plans(path, said::add)) {
            store.write(plans);
        }
        try (MVStore raw = new MVStore.Builder().fileName(path.toString()).open()) {
            byte[] entry = raw.<Integer, byte[]>openMap("plans").get(4).clone();
            entry[20] ^= 1;
            raw.<Integer, byte[]>openMap("plans").put(4, entry);
        }
        try (EntryStore<Integer, Plan> store = GroupStore.plans(path, said::add)) {
            assertThat(store.read()).hasSize(19).noneMatch(p -> p.version() == 104);
            assertThat(store.left()).isEqualTo(1);
        }
    }
}
