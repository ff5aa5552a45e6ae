package coralcove.cli;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.TraceFiles;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class NumbersCommandTest {
    private final StringBuilder output = new StringBuilder();

    private void run(Path folder, String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (PrintStream both = new PrintStream(bytes, true, StandardCharsets.UTF_8)) {
            System.setOut(both);
            System.setErr(both);
            int code = Commands.run(args);
            output.append("$ numbers ")
                    .append(String.join(" ", java.util.Arrays.asList(args).subList(1, args.length)))
                    .append("  # exit ")
                    .append(code)
                    .append('\n')
                    .append(bytes.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
        int at;
        while ((at = output.indexOf(folder + "/")) >= 0) {
            output.delete(at, at + folder.toString().length() + 1);
        }
    }

    @Test
    void printsTablesLookUpsDifferencesAndStatistics(@TempDir Path folder) throws Exception {
        Path first = folder.resolve("a.table");
        Path second = folder.resolve("b.table");
        Path changes = folder.resolve("ab.changes");
        String text =
                """
                table 1
                calendar day Asia/Tokyo 08:00-18:00
                calendar late Asia/Tokyo 17:00-22:00
                rule 0 -> +81
                811 to 0
                812 hours day to 0; late to 1
                819 ported 1
                813 changed +8111
                end 4
                """;
        Files.writeString(first, text);
        Files.writeString(
                second,
                text.replace("table 1", "table 2")
                        .replace("811 to 0", "811 to 1 services 0,2")
                        .replace("819 ported 1", "8191 ported 0"));
        run(folder, "numbers", "build", first.toString(), "--far-ends", "0-0");
        run(folder, "numbers", "look", first.toString(), "02-555", "--at", "2026-11-30T10:00:00Z");
        run(folder, "numbers", "look", first.toString(), "095", "--routing", "8115");
        run(folder, "numbers", "look", first.toString(), "035");
        run(folder, "numbers", "diff", first.toString(), second.toString());
        String diff = output.substring(output.lastIndexOf("exit 0\n") + 7);
        Files.writeString(changes, diff);
        run(folder, "numbers", "stats", second.toString());
        assertThat(output.toString()).isEqualTo(TraceFiles.read("numbers-command"));
        run(folder, "numbers", "build", first.toString(), "--changes", changes.toString());
        assertThat(output.toString())
                .contains("table 2: 3 changes,")
                .contains("overlap of day and late, the first counts")
                .contains("gap: no calendar is open");
    }
}
