package coralcove.numbers.file;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.numbers.NumberTable;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TableFileWatcherTest {
    private long lastModified = 1_000_000;

    private void write(Path path, String text) throws Exception {
        Files.writeString(path, text);
        Files.setLastModifiedTime(path, FileTime.fromMillis(lastModified += 1000));
    }

    /**
     * A new file becomes the next table; invalid files, old versions and changes to another version
     * are reported, and the table stays.
     */
    @Test
    void onlyAValidNewerTableReplacesTheCurrentOne(@TempDir Path directory) throws Exception {
        Path tableFile = directory.resolve("t");
        Path changesFile = directory.resolve("c");
        List<String> problems = new ArrayList<>();
        write(tableFile, "table 5\n81 to 1\nend 1\n");
        TableFileWatcher watcher =
                new TableFileWatcher(tableFile, changesFile, n -> n < 3, problems::add);
        assertThat(watcher.readInitial().version()).isEqualTo(5);
        assertThat(watcher.poll()).isNull();
        write(tableFile, "table 6\n81 to 1\n");
        assertThat(watcher.poll()).isNull();
        write(tableFile, "table 5\n81 to 2\nend 1\n");
        assertThat(watcher.poll()).isNull();
        write(tableFile, "table 6\n81 to 4\nend 1\n");
        assertThat(watcher.poll()).isNull();
        write(tableFile, "table 6\n81 to 2\nend 1\n");
        NumberTable replaced = watcher.poll();
        assertThat(replaced.version()).isEqualTo(6);
        write(changesFile, "changes 7 after 6\nput 811 to 1\nend 1\n");
        assertThat(watcher.poll().trie().size()).isEqualTo(2);
        write(changesFile, "changes 9 after 8\nput 811 to 1\nend 1\n");
        assertThat(watcher.poll()).isNull();
        assertThat(problems.stream().map(each -> each.replace(directory + "/", "")).toList())
                .containsExactly(
                        "t:3: the file is cut short: it has no 'end' line",
                                "t: version 5 is not after 5",
                        "t:2: far end 4 is not in the directory",
                                "c: made for version 8, in service is 7");
    }
}
