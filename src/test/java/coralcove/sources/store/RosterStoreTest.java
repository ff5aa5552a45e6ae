package coralcove.sources.store;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.sources.Liveness;
import coralcove.sources.Roster;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The store holds the newest reports, and returns no corrupt ones. */
class RosterStoreTest {
    private final List<String> warnings = new ArrayList<>();

    private static Roster.SourceReport report(long id, long beat) {
        return new Roster.SourceReport(
                "udp:d:3",
                id,
                new Liveness(7, beat, id == 2, Liveness.NOT_SILENT, false, (int) id, "udp:a:1"),
                5,
                1000 + beat);
    }

    @Test
    void readsTheNewestReportsAndNoneThatWereRemoved(@TempDir Path directory) {
        Path path = directory.resolve("roster");
        try (RosterStore store = new RosterStore(path, warnings::add)) {
            store.start();
            store.save(List.of(report(1, 1), report(2, 1), report(3, 1)));
            store.save(List.of(report(1, 2), report(2, 2)));
        }
        try (RosterStore store = new RosterStore(path, warnings::add)) {
            assertThat(store.read()).containsExactlyInAnyOrder(report(1, 2), report(2, 2));
            store.start();
            store.save(List.of(report(2, 3)));
        }
        try (RosterStore store = new RosterStore(path, warnings::add)) {
            assertThat(store.read()).containsExactly(report(2, 3));
        }
        assertThat(warnings).isEmpty();
    }

    @Test
    void putsACorruptFileAsideAndSkipsACorruptEntry(@TempDir Path directory) throws Exception {
        Path path = directory.resolve("roster");
        try (RosterStore store = new RosterStore(path, warnings::add)) {
            store.start();
            store.save(List.of(report(1, 1)));
        }
        byte[] bytes = Files.readAllBytes(path);
        for (int i = 0; i < bytes.length - 12; i++) {
            // Changes the address within the entry, so that its checksum no longer matches.
            if (new String(bytes, i, 7, java.nio.charset.StandardCharsets.ISO_8859_1)
                    .equals("udp:a:1")) {
                bytes[i + 4] = 'b';
            }
        }
        Path corrupt = directory.resolve("corrupt");
        Files.write(corrupt, bytes);
        try (RosterStore store = new RosterStore(corrupt, warnings::add)) {
            assertThat(store.read()).isEmpty();
        }
        assertThat(warnings).isNotEmpty();
        Path nonsense = directory.resolve("nonsense");
        Files.write(
                nonsense,
                "nonsense".repeat(2000).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        warnings.clear();
        try (RosterStore store = new RosterStore(nonsense, warnings::add)) {
            assertThat(store.read()).isEmpty();
            store.start();
            store.save(List.of(report(1, 1)));
        }
        assertThat(warnings).first().asString().startsWith("store put aside as nonsense.bad-1");
    }
}
