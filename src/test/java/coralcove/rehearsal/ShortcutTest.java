package coralcove.rehearsal;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.config.Toml;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/**
 * Messages that cross unwritten and unread: each log line at the same moment as with their text,
 * and the same value.
 */
class ShortcutTest {
    /**
     * Every log line of routers and stand-ins, the callers' figures and the judge's, as one line.
     */
    static String digest(String toml, long seed, boolean text) throws Exception {
        CRC32C sum = new CRC32C();
        long[] lines = new long[1];
        Result result =
                Rehearse.virtual(
                        DayFile.of(Toml.of("day", toml), seed),
                        seed,
                        "choice",
                        null,
                        (now, node, event, session, detail) -> {
                            lines[0]++;
                            sum.update(
                                    (now + node + event + session + detail)
                                            .getBytes(java.nio.charset.StandardCharsets.UTF_8));
                        },
                        text,
                        true);
        return String.format(
                Locale.ROOT, "%d lines %08x, %s", lines[0], sum.getValue(), result.json());
    }

    /** Measures it on more seeds: DAY SEEDS. */
    public static void main(String[] args) throws Exception {
        String toml = Files.readString(Path.of(args[0]));
        int seeds = Integer.parseInt(args[1]);
        long differ =
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
                args[0] + ": " + seeds + " seeds with text and without it, " + differ + " differ");
    }

    @Test
    void theSameDecisionsAtTheSameMoments() throws Exception {
        String toml = Files.readString(Path.of("days/bad-day.toml"));
        for (long seed = 1; seed <= 2; seed++) {
            assertThat(digest(toml, seed, false)).isEqualTo(digest(toml, seed, true));
        }
    }
}
