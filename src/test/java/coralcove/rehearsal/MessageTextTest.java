package coralcove.rehearsal;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.config.TomlSettings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/**
 * Messages that are passed on as objects, without serialization and parsing, lead to the same log
 * lines at the same times and the same value as messages with text.
 */
class MessageTextTest {
    /**
     * Returns one line with the number and checksum of all log lines of routers and simulated
     * peers, the callers' statistics and the verdicts of the judge.
     */
    static String digest(String toml, long seed, boolean text) throws Exception {
        CRC32C checksum = new CRC32C();
        long[] lineCount = new long[1];
        ScenarioResult result =
                ScenarioRunner.runVirtual(
                        ScenarioFile.parse(TomlSettings.from("day", toml), seed),
                        seed,
                        "choice",
                        null,
                        (now, node, event, session, detail) -> {
                            lineCount[0]++;
                            checksum.update(
                                    (now + node + event + session + detail)
                                            .getBytes(java.nio.charset.StandardCharsets.UTF_8));
                        },
                        text,
                        true);
        return String.format(
                Locale.ROOT,
                "%d lines %08x, %s",
                lineCount[0],
                checksum.getValue(),
                result.toJson());
    }

    /** Compares more seeds. Arguments: DAY SEEDS. */
    public static void main(String[] args) throws Exception {
        String toml = Files.readString(Path.of(args[0]));
        int seeds = Integer.parseInt(args[1]);
        long differing =
                java.util.stream.LongStream.rangeClosed(1, seeds)
                        .parallel()
                        .filter(
                                seed -> {
                                    try {
                                        return !digest(toml, seed, false)
                                                .equals(digest(toml, seed, true));
                                    } catch (Exception e) {
                                        throw new IllegalStateException(e);
                                    }
                                })
                        .count();
        System.out.println(
                args[0]
                        + ": "
                        + seeds
                        + " seeds with text and without it, "
                        + differing
                        + " differ");
    }

    @Test
    void decisionsDoNotDependOnMessageText() throws Exception {
        String toml = Files.readString(Path.of("days/bad-day.toml"));
        for (long seed = 1; seed <= 2; seed++) {
            assertThat(digest(toml, seed, false)).isEqualTo(digest(toml, seed, true));
        }
    }
}
