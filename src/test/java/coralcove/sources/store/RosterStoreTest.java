package coralcove.sources.store;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.sources.Life;
import coralcove.sources.Roster;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What is on disk of the roster: the newest, or nothing that is not sound. */
class RosterStoreTest {
    private final List<String> told = new ArrayList<>();

    private static Roster.Said said(long id, long beat) {
        return new Roster.Said(
                "udp:d:3",
                id,
                new Life(7, beat, id == 2, Life.HEARD, false, (int) id, "udp:a:1"),
                5,
                1000 + beat);
    }

    @Test
    void theNewestIsReadAgainAndWhatIsGoneIsNot(@TempDir Path folder) {
        Path path = folder.resolve("roster");
        try (RosterStore store = new RosterStore(path, told::add)) {
            store.start();
            store.keep(List.of(said(1, 1), said(2, 1), said(3, 1)));
            store.keep(List.of(said(1, 2), said(2, 2)));
        }
        try (RosterStore store = new RosterStore(path, told::add)) {
            assertThat(store.read()).containsExactlyInAnyOrder(said(1, 2), said(2, 2));
            store.start();
            store.keep(List.of(said(2, 3)));
        }
        try (RosterStore store = new RosterStore(path, told::add)) {
            assertThat(store.read()).containsExactly(said(2, 3));
        }
        assertThat(told).isEmpty();
    }

    @Test
    void aSpoiltFileIsPutAsideAndASpoiltEntryLeft(@TempDir Path folder) throws Exception {
        Path path = folder.resolve("roster");
        try (RosterStore store = new RosterStore(path, told::add)) {
            store.start();
            store.keep(List.of(said(1, 1)));
        }
        byte[] bytes = Files.readAllBytes(path);
        for (int i = 0; i < bytes.length - 12; i++) {
            // The address within the entry: its checksum is of another text then.
            if (new String(bytes, i, 7, java.nio.charset.StandardCharsets.ISO_8859_1)
                    .equals("udp:a:1")) {
                bytes[i + 4] = 'b';
            }
        }
        Path spoilt = folder.resolve("spoilt");
        Files.write(spoilt, bytes);
        try (RosterStore store = new RosterStore(spoilt, told::add)) {
            assertThat(store.read()).isEmpty();
        }
        assertThat(told).isNotEmpty();
        Path nonsense = folder.resolve("nonsense");
        Files.write(
                nonsense,
                "nonsense".repeat(2000).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        told.clear();
        try (RosterStore store = new RosterStore(nonsense, told::add)) {
            assertThat(store.read()).isEmpty();
            store.start();
            store.keep(List.of(said(1, 1)));
        }
        assertThat(told).first().asString().startsWith("store put aside as nonsense.bad-1");
    }
}
