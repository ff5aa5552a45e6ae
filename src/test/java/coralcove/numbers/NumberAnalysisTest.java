package coralcove.numbers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import coralcove.TraceFiles;
import coralcove.numbers.file.TableReader;
import java.io.BufferedReader;
import java.io.StringReader;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Number analysis from dialled numbers to far ends: table changes, ported numbers, opening hours, a
 * failing portability server.
 */
class NumberAnalysisTest {
    private static final String TABLE =
            """
            table %d
            calendar office Asia/Tokyo mo-fr 09:00-17:30
            rule 0 -> +81
            8111 to 3
            81112 to 4 services 0
            81113 changed +81114
            81115 blocked
            8119 hours office to 6; else to 7
            8118 hours office to 6
            8190 ported 5
            8141 to 8
            8142 ported 9
            8143 changed +81114
            end 10
            """;
    private static final Porting.Settings SETTINGS =
            new Porting.Settings(300_000, 0.2, 60_000_000, 100, 100, 50);

    /** A Monday, one second before the office calendar opens. */
    private static final long START =
            LocalDateTime.parse("2026-11-30T08:59:59")
                            .atZone(ZoneId.of("Asia/Tokyo"))
                            .toEpochSecond()
                    * 1_000_000;

    private final StringBuilder trace = new StringBuilder();
    private final Porting portability = new Porting(SETTINGS);
    private long now = START;
    private long sessions;

    private static NumberTable parseTable(String text) {
        try {
            return TableReader.table("t", new BufferedReader(new StringReader(text)), n -> true);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private Search startAnalysis(NumberTable table, String dialled) {
        sessions++;
        trace.append(dialled).append('\n');
        return new Search(table, sessions, dialled, 0, now + 9_000_000);
    }

    private Search.Step record(Search.Step step) {
        trace.append("  ")
                .append((now - START) / 1000)
                .append(" ms  ")
                .append(
                        step instanceof Search.Wait wait
                                ? "wait "
                                        + (wait.until() - now) / 1000
                                        + " ms for "
                                        + Digits.text(wait.number())
                                        + (wait.ask() ? ", ask" : "")
                                : step.toString().replaceAll("until=\\d{18,}", "until=never"))
                .append('\n');
        return step;
    }

    private void queryEnded(String number, Porting.Outcome outcome, String routing) {
        List<Long> waiting =
                portability.ended(
                        now, Digits.pack(number), outcome, Digits.pack(routing), 300_000_000);
        trace.append("  ")
                .append((now - START) / 1000)
                .append(" ms  ")
                .append(number)
                .append(' ')
                .append(outcome)
                .append(' ')
                .append(routing)
                .append(", waiting ")
                .append(waiting)
                .append('\n');
    }

    @Test
    void resolvesEachKindOfDestination() {
        NumberTable table = parseTable(TABLE.formatted(1));
        for (String dialled :
                List.of("0111", "+81112", "0113", "+81115", "+82", "12x", "+8118", "+8119")) {
            Search analysis = startAnalysis(table, dialled);
            record(analysis.next(now, portability));
            analysis.steps().forEach(step -> trace.append("    ").append(step).append('\n'));
        }
        Search otherService = new Search(table, 99, "+81112", 1, now + 1_000_000);
        record(otherService.next(now, portability));
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-kinds"));
    }

    /**
     * A session's far end stays the same when a calendar opens and a new table is installed; a new
     * session uses both.
     */
    @Test
    void retryKeepsItsFarEndWhenHoursAndTableChange() {
        Tables tables = new Tables(2, parseTable(TABLE.formatted(1)));
        Search first = startAnalysis(tables.enter(), "+8119");
        record(first.next(now, portability));
        now += 2_000_000;
        tables.replace(parseTable(TABLE.formatted(2).replace("office to 6", "office to 2")));
        record(first.next(now, portability));
        Search second = startAnalysis(tables.enter(), "+8119");
        record(second.next(now, portability));
        assertThat(tables.count()).isEqualTo(2);
        tables.leave(first.version());
        assertThat(tables.count()).isEqualTo(1);
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-retry"));
    }

    /**
     * A waiting session uses its old table although a new one drops its number, until the old table
     * is discarded.
     */
    @Test
    void waitingSessionKeepsItsTableUntilItIsDiscarded() {
        Tables tables = new Tables(2, parseTable(TABLE.formatted(1)));
        Search first = startAnalysis(tables.enter(), "+81901");
        record(first.next(now, portability));
        String withoutPrefix = TABLE.replace("8190 ported 5", "8190 unallocated");
        assertThat(tables.replace(parseTable(withoutPrefix.formatted(2)))).isEmpty();
        tables.enter();
        assertThat(tables.replace(parseTable(withoutPrefix.formatted(3)))).containsExactly(1L);
        assertThat(tables.isRetained(first.version())).isFalse();
        first.gone(portability);
        first.restart(tables.enter());
        record(first.next(now, portability));
        assertThatThrownBy(() -> tables.replace(parseTable(withoutPrefix.formatted(3))))
                .hasMessage("version 3 is not after 3, which is in service");
        assertThat(tables.sessionCount()).isEqualTo(2);
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-let-go"));
    }

    @Test
    void queriesAPortedNumberOnceAndCachesTheAnswer() {
        NumberTable table = parseTable(TABLE.formatted(1));
        Search first = startAnalysis(table, "+81901");
        record(first.next(now, portability));
        now += 10_000;
        Search second = startAnalysis(table, "+81901");
        record(second.next(now, portability));
        now += 10_000;
        queryEnded("81901", Porting.Outcome.MOVED, "81411");
        record(first.resume(now, portability));
        record(second.resume(now, portability));
        record(startAnalysis(table, "+81901").next(now, portability));
        record(startAnalysis(table, "+81902").next(now, portability));
        now += 10_000;
        queryEnded("81902", Porting.Outcome.NOT_MOVED, "");
        record(startAnalysis(table, "+81902").next(now, portability));
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-ported"));
    }

    /** A number ported twice is followed; a loop and a long chain end at the first donor. */
    @Test
    void followsChainsOfPortedNumbersAndStopsAtLoops() {
        NumberTable table = parseTable(TABLE.formatted(1));
        String[][] cases = {
            {"81901", "81421", "81411"},
            {"81902", "81422", "81902"},
            {"81903", "81423", "81904", "81424"},
            {"81905", "81431"},
            {"81906", "82"},
            {"81907", "81427", ""}
        };
        for (String[] chain : cases) {
            Search analysis = startAnalysis(table, "+" + chain[0]);
            Search.Step step = record(analysis.next(now, portability));
            for (int i = 1; step instanceof Search.Wait; i++) {
                now += 5000;
                queryEnded(
                        chain[i - 1],
                        chain[i].isEmpty() ? Porting.Outcome.NOT_MOVED : Porting.Outcome.MOVED,
                        chain[i]);
                step = record(analysis.resume(now, portability));
            }
        }
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-circle"));
    }

    /**
     * With a dead server, sessions wait for their budget and then use the donor or an expired
     * answer; after repeated failures no query is sent.
     */
    @Test
    void deadServerCostsNoSessionItsAnswer() {
        NumberTable table = parseTable(TABLE.formatted(1));
        portability.ended(
                now, Digits.pack("81901"), Porting.Outcome.MOVED, Digits.pack("8141"), 1_000_000);
        now += 5_000_000;
        Search cached = startAnalysis(table, "+81901");
        record(cached.next(now, portability));
        now += 60_000;
        record(cached.resume(now, portability));
        List<String> numbers = new ArrayList<>(List.of("81901"));
        for (int i = 1; i < 6; i++) {
            Search analysis = startAnalysis(table, "+8190" + i + "0");
            record(analysis.next(now, portability));
            numbers.add("8190" + i + "0");
            now += 300_000;
            record(analysis.resume(now, portability));
        }
        numbers.forEach(number -> queryEnded(number, Porting.Outcome.FAILED, ""));
        record(startAnalysis(table, "+81909").next(now, portability));
        record(startAnalysis(table, "+81901").next(now, portability));
        now += 500_000;
        trace.append("the pause is over: one trial\n");
        Search trial = startAnalysis(table, "+81909");
        record(trial.next(now, portability));
        record(startAnalysis(table, "+81908").next(now, portability));
        now += 5000;
        queryEnded("81909", Porting.Outcome.NOT_MOVED, "");
        record(trial.resume(now, portability));
        record(startAnalysis(table, "+81908").next(now, portability));
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-dead-server"));
    }

    @Test
    void doesNotWaitWhenLittleTimeIsLeft() {
        NumberTable table = parseTable(TABLE.formatted(1));
        record(new Search(table, 1, "+81901", 0, now + 20_000).next(now, portability));
        record(new Search(table, 2, "+81901", 0, now + 200_000).next(now, portability));
        assertThat(trace.toString())
                .isEqualTo(
                        """
                          0 ms  Route[farEnd=5, number=81901, until=never]
                          0 ms  wait 40 ms for 81901, ask
                        """);
    }

    /**
     * 100,000 sessions to one ported number within a second cause one query; nonexistent numbers do
     * not evict the answers about ported ones.
     */
    @Test
    void sessionsShareOneQueryAndNonexistentNumbersEvictNothing() {
        NumberTable table = parseTable(TABLE.formatted(1));
        int queries = 0;
        for (int i = 0; i < 100_000; i++) {
            now += 10;
            if (i == 400) {
                portability.ended(
                        now,
                        Digits.pack("81901"),
                        Porting.Outcome.MOVED,
                        Digits.pack("8141"),
                        300_000_000);
            }
            Search.Step step =
                    new Search(table, i, "+81901", 0, now + 9_000_000).next(now, portability);
            queries += step instanceof Search.Wait wait && wait.ask() ? 1 : 0;
            assertThat(step instanceof Search.Route).isEqualTo(i >= 400);
        }
        assertThat(queries).isEqualTo(1);
        for (int i = 0; i < 10_000; i++) {
            long number = Digits.pack("8190" + (10_000 + i));
            portability.lookUp(now, number, i, 9_000_000);
            portability.ended(now, number, Porting.Outcome.NOT_MOVED, 0, 60_000_000);
        }
        assertThat(portability.cachedCount()).isEqualTo(101);
        assertThat(portability.lookUp(now, Digits.pack("81901"), 1, 9_000_000))
                .isEqualTo(new Porting.Proceed(Digits.pack("8141"), false));
        portability.sweep(now + 400_000_000);
        assertThat(portability.cachedCount()).isZero();
    }

    @Test
    void usesTheDonorWhenTooManyQueriesAreOutstanding() {
        for (int i = 0; i < 50; i++) {
            assertThat(portability.lookUp(now, Digits.pack("81" + i), i, 9_000_000))
                    .isInstanceOf(Porting.Wait.class);
        }
        assertThat(portability.lookUp(now, Digits.pack("8199"), 1, 9_000_000))
                .isEqualTo(new Porting.UseDonor("too many outstanding queries"));
    }
}
