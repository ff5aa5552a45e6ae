package coralcove.planner.store;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.GroupLoad;
import coralcove.GroupTargets;
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
 * Stores left by a kill, truncated, corrupted, written by another version, or impossible to write:
 * the planner starts in each case, with the entries that are valid.
 */
class GroupStoreTest {
    private final List<String> warnings = new ArrayList<>();

    private static List<GroupLoad> loads(int from, int to, long at) {
        List<GroupLoad> loads = new ArrayList<>();
        for (int i = from; i < to; i++) {
            loads.add(new GroupLoad(at, i, 30, new double[] {i, 2.5}));
        }
        return loads;
    }

    private List<GroupLoad> reopenAndRead(Path path) {
        try (EntryStore<Integer, GroupLoad> store =
                PlannerStores.openLoadStore(path, warnings::add)) {
            return store.read();
        }
    }

    @Test
    void readsBackTheNewestLoadOfEachGroup(@TempDir Path folder) {
        Path path = folder.resolve("facts");
        try (EntryStore<Integer, GroupLoad> store =
                PlannerStores.openLoadStore(path, warnings::add)) {
            store.write(loads(0, 50, 1));
            store.write(loads(10, 20, 2));
        }
        List<GroupLoad> read = reopenAndRead(path);
        assertThat(read).hasSize(50);
        assertThat(read.get(15).measuredAt()).isEqualTo(2);
        assertThat(read.get(15).erlangs()).containsExactly(15, 2.5);
        assertThat(warnings).isEmpty();
    }

    /** A kill between two writes, simulated by opening a copy of the file made between them. */
    @Test
    void killLeavesTheLastCompleteCommit(@TempDir Path folder) throws Exception {
        Path path = folder.resolve("facts");
        Path killed = folder.resolve("killed");
        try (EntryStore<Integer, GroupLoad> store =
                PlannerStores.openLoadStore(path, warnings::add)) {
            store.write(loads(0, 50, 1));
            store.write(loads(0, 50, 2));
            Files.copy(path, killed);
            store.write(loads(0, 50, 3));
        }
        assertThat(reopenAndRead(killed)).hasSize(50).allMatch(load -> load.measuredAt() == 2);
        assertThat(warnings).isEmpty();
    }

    /**
     * A store that is truncated anywhere, or has any bit inverted, returns only valid entries. One
     * that cannot be opened is moved aside with a warning.
     */
    @Test
    void truncatedOrCorruptStoreReturnsOnlyValidEntries(@TempDir Path folder) throws Exception {
        Path path = folder.resolve("facts");
        try (EntryStore<Integer, GroupLoad> store =
                PlannerStores.openLoadStore(path, warnings::add)) {
            for (int i = 1; i <= 30; i++) {
                store.write(loads(0, 40, i));
            }
        }
        byte[] original = Files.readAllBytes(path);
        SplittableRandom random = new SplittableRandom(3);
        int complete = 0;
        int withWarnings = 0;
        for (int i = 0; i < 60; i++) {
            Path corrupt = folder.resolve("corrupt-" + i);
            Files.write(corrupt, original);
            try (RandomAccessFile file = new RandomAccessFile(corrupt.toFile(), "rw")) {
                if (i % 2 == 0) {
                    file.setLength(random.nextLong(original.length));
                } else {
                    long position = random.nextLong(original.length);
                    file.seek(position);
                    int old = file.read();
                    file.seek(position);
                    file.write(old ^ 1 << random.nextInt(8));
                }
            }
            warnings.clear();
            List<GroupLoad> read = reopenAndRead(corrupt);
            for (GroupLoad load : read) {
                assertThat(load.erlangs()).containsExactly(load.number(), 2.5);
                assertThat(load.measuredAt()).isBetween(1L, 30L);
            }
            complete += read.size() == 40 ? 1 : 0;
            withWarnings += warnings.isEmpty() ? 0 : 1;
            assertThat(read.size() == 40 || !warnings.isEmpty() || read.isEmpty()).isTrue();
            // The store works afterwards, whatever was found.
            try (EntryStore<Integer, GroupLoad> store =
                    PlannerStores.openLoadStore(corrupt, warnings::add)) {
                store.write(loads(0, 5, 99));
                assertThat(store.read()).hasSizeGreaterThanOrEqualTo(5);
            }
        }
        assertThat(complete).isPositive();
        assertThat(withWarnings).isPositive();
    }

    @Test
    void entriesOfAnotherVersionAreSkippedAndCounted(@TempDir Path folder) {
        Path path = folder.resolve("facts");
        try (EntryStore<Integer, GroupLoad> store =
                PlannerStores.openLoadStore(path, warnings::add)) {
            store.write(loads(0, 5, 1));
        }
        try (MVStore raw = new MVStore.Builder().fileName(path.toString()).open()) {
            raw.<Integer, byte[]>openMap("facts")
                    .put(2, new byte[] {9, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
            byte[] entryOfGroup3 = raw.<Integer, byte[]>openMap("facts").get(3);
            raw.<Integer, byte[]>openMap("facts").put(77, entryOfGroup3);
        }
        assertThat(reopenAndRead(path)).extracting(GroupLoad::number).containsExactly(0, 1, 3, 4);
        assertThat(warnings).containsExactly("2 entries left: another form or a wrong checksum");
    }

    @Test
    void storeThatCannotBeCreatedIsNotUsed(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("file");
        Files.writeString(file, "x");
        try (EntryStore<Integer, GroupLoad> store =
                PlannerStores.openLoadStore(file.resolve("facts"), warnings::add)) {
            store.write(loads(0, 5, 1));
            assertThat(store.isUsable()).isFalse();
            assertThat(store.read()).isEmpty();
        }
        assertThat(warnings).hasSize(1);
        assertThat(warnings.get(0)).startsWith("store is not used: ");
    }

    /** An edge's plans are read back as stored; an entry corrupted on disk is skipped. */
    @Test
    void plansAreReadBackAndACorruptOneIsSkipped(@TempDir Path folder) {
        Path path = folder.resolve("plans");
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            plans.add(
                    new Plan(
                            7,
                            100 + i,
                            List.of(
                                    new GroupTargets(
                                            i,
                                            i,
                                            0.1,
                                            new double[] {3, 0},
                                            new double[] {1, 0},
                                            new boolean[] {true, false},
                                            new double[] {0, 0}))));
        }
        try (EntryStore<Integer, Plan> store = PlannerStores.openPlanStore(path, warnings::add)) {
            store.write(plans);
        }
        try (MVStore raw = new MVStore.Builder().fileName(path.toString()).open()) {
            byte[] entry = raw.<Integer, byte[]>openMap("plans").get(4).clone();
            entry[20] ^= 1;
            raw.<Integer, byte[]>openMap("plans").put(4, entry);
        }
        try (EntryStore<Integer, Plan> store = PlannerStores.openPlanStore(path, warnings::add)) {
            assertThat(store.read()).hasSize(19).noneMatch(plan -> plan.version() == 104);
            assertThat(store.skippedCount()).isEqualTo(1);
        }
    }
}
