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

class TableWatchTest {
    private long written = 1_000_000;

    private void write(Path path, String text) throws Exception {
        Files.writeString(path, text);
        Files.setLastModifiedTime(path, FileTime.fromMillis(written += 1000));
    }

    /**
     * New files become tables; bad ones, old ones and changes to another version are told, and the
     * table stays.
     */
    @Test
    void onlyAGoodNewerTableComesIntoService(@TempDir Path folder) throws Exception {
        Path table = folder.resolve("t");
        Path changes = folder.resolve("c");
        List<String> told = new ArrayList<>();
        write(table, "table 5\n81 to 1\nend 1\n");
        TableWatch watch = new TableWatch(table, changes, n -> n < 3, told::add);
        assertThat(watch.first().version()).isEqualTo(5);
        assertThat(watch.next()).isNull();
        write(table, "table 6\n81 to 1\n");
        assertThat(watch.next()).isNull();
        write(table, "table 5\n81 to 2\nend 1\n");
        assertThat(watch.next()).isNull();
        write(table, "table 6\n81 to 4\nend 1\n");
        assertThat(watch.next()).isNull();
        write(table, "table 6\n81 to 2\nend 1\n");
        NumberTable six = watch.next();
        assertThat(six.version()).isEqualTo(6);
        write(changes, "changes 7 after 6\nput 811 to 1\nend 1\n");
        assertThat(watch.next().trie().size()).isEqualTo(2);
        write(changes, "changes 9 after 8\nput 811 to 1\nend 1\n");
        assertThat(watch.next()).isNull();
        assertThat(told.stream().map(t -> t.replace(folder + "/", "")).toList())
                .containsExactly(
                        "t:3: the file is cut short: it has no 'end' line",
                                "t: version 5 is not after 5",
                        "t:2: far end 4 is not in the directory",
                                "c: made for version 8, in service is 7");
    }
}
