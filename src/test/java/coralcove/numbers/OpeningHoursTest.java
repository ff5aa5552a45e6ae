package coralcove.numbers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import coralcove.TraceFiles;
import coralcove.numbers.file.OpeningHoursParser;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class OpeningHoursTest {
    private static final Set<LocalDate> HOLIDAYS =
            Set.of(LocalDate.of(2026, 12, 23), LocalDate.of(2027, 1, 1));
    private static final List<String> TEXTS =
            List.of(
                    "mo-fr 09:00-17:30 except holidays",
                    "mo-fr 08:00-12:00,13:00-17:00; sa 10:00-12:00",
                    "sa-mo",
                    "always except su,holidays",
                    "22:00-06:00",
                    "fr-su 20:00-02:30 except 2026-10-24..2026-10-26",
                    "02:15-02:45",
                    "01:30-03:30; 02:30-24:00",
                    "holidays,2026-03-29 00:00-24:00",
                    "su 00:00-24:00; mo 00:00-00:30");
    private static final List<String> ZONES =
            List.of(
                    "Europe/Berlin",
                    "Asia/Tokyo",
                    "America/Sao_Paulo",
                    "Australia/Lord_Howe",
                    "America/New_York");

    private static OpeningHours hours(String text, String zone) {
        try {
            return OpeningHoursParser.parse(text, ZoneId.of(zone), HOLIDAYS);
        } catch (OpeningHoursParser.InvalidHoursException e) {
            throw new AssertionError(text + ": " + e.getMessage(), e);
        }
    }

    private static long micros(String zone, String local) {
        return LocalDateTime.parse(local).atZone(ZoneId.of(zone)).toEpochSecond() * 1_000_000;
    }

    /**
     * Both clock changes in Berlin, a span past midnight, a holiday, and a span in the skipped
     * hour.
     */
    @Test
    void listsOpeningAndClosingTimes() {
        StringBuilder trace = new StringBuilder();
        String[][] cases = {
            {"Europe/Berlin", "2026-03-27T12:00:00", "22:00-06:00", "6"},
            {"Europe/Berlin", "2026-03-28T12:00:00", "02:15-02:45", "4"},
            {"Europe/Berlin", "2026-10-24T12:00:00", "02:15-02:45", "4"},
            {"Europe/Berlin", "2026-10-24T12:00:00", "22:00-06:00", "4"},
            {"Asia/Tokyo", "2026-12-22T12:00:00", "mo-fr 09:00-17:30 except holidays", "4"},
            {"Asia/Tokyo", "2026-12-31T12:00:00", "always except holidays", "2"},
            {"Asia/Tokyo", "2026-12-31T12:00:00", "mo-su", "1"}
        };
        for (String[] testCase : cases) {
            OpeningHours hours = hours(testCase[2], testCase[0]);
            long now = micros(testCase[0], testCase[1]);
            trace.append(testCase[2])
                    .append(", ")
                    .append(testCase[0])
                    .append(", from ")
                    .append(testCase[1])
                    .append('\n');
            for (int i = Integer.parseInt(testCase[3]); i > 0; i--) {
                long next = hours.nextChange(now);
                trace.append("  ")
                        .append(
                                next == OpeningHours.NEVER
                                        ? "never changes"
                                        : Instant.ofEpochSecond(next / 1_000_000)
                                                        .atZone(ZoneId.of(testCase[0]))
                                                        .toLocalDateTime()
                                                + " "
                                                + Instant.ofEpochSecond(next / 1_000_000)
                                                + (hours.isOpen(next) ? " opens" : " closes"))
                        .append('\n');
                now = next;
            }
        }
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("hours"));
    }

    /**
     * Compares the next change with a check every quarter of an hour, over a year with its clock
     * changes.
     */
    @Property(tries = 400, seed = "5")
    void stateIsConstantUntilTheNextChange(
            @ForAll @IntRange(max = 9) int text,
            @ForAll @IntRange(max = 4) int zone,
            @ForAll @LongRange(max = 365L * 24 * 60) long minute) {
        OpeningHours hours = hours(TEXTS.get(text), ZONES.get(zone));
        long now = micros("Asia/Tokyo", "2026-02-01T00:00:00") + minute * 60_000_000;
        long change = hours.nextChange(now);
        boolean open = hours.isOpen(now);
        assertThat(change).isGreaterThan(now);
        long step = 15 * 60_000_000L;
        for (long t = now - now % step + step;
                t < Math.min(change, now + 9 * 86_400_000_000L);
                t += step) {
            assertThat(hours.isOpen(t))
                    .as(
                            "%s in %s at %s",
                            TEXTS.get(text), ZONES.get(zone), Instant.ofEpochSecond(t / 1_000_000))
                    .isEqualTo(open);
        }
        if (change != OpeningHours.NEVER) {
            assertThat(hours.isOpen(change)).isNotEqualTo(open);
        }
    }

    @Test
    void errorsNameTheColumn() {
        StringBuilder trace = new StringBuilder();
        for (String text :
                List.of(
                        "mo-fr 9:00-17:30",
                        "mo-xx",
                        "mo-fr 09:00",
                        "mo-fr 09:00-25:00",
                        "10:00-10:00",
                        "2026-02-30",
                        "2026-12-24..2026-12-20",
                        "mo-fr except",
                        "",
                        "always; ; mo",
                        "mo 09:00-17:30 sa")) {
            assertThatThrownBy(() -> OpeningHoursParser.parse(text, ZoneId.of("UTC"), Set.of()))
                    .satisfies(
                            e ->
                                    trace.append(text)
                                            .append(": ")
                                            .append(e.getMessage())
                                            .append('\n'));
        }
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("bad-hours"));
    }
}
