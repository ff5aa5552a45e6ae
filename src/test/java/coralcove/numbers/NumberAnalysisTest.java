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
    private static final PortabilityCache.Settings SETTINGS =
            new PortabilityCache.Settings(300_000, 0.2, 60_000_000, 100, 100, 50);

    /** A Monday, one second before the office calendar opens. */
    private static final long START =
            LocalDateTime.parse("2026-11-30T08:59:59")
                            .atZone(ZoneId.of("Asia/Tokyo"))
                            .toEpochSecond()
                    * 1_000_000;

    private final StringBuilder trace = new StringBuilder();
    private final PortabilityCache portability = new PortabilityCache(SETTINGS);
    private long now = START;
    private long sessions;

    private static NumberTable parseTable(String text) {
        try {
            return TableReader.readTable(
                    "t", new BufferedReader(new StringReader(text)), n -> true);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private NumberAnalysis startAnalysis(NumberTable table, String dialled) {
        sessions++;
        trace.append(dialled).append('\n');
        return new NumberAnalysis(table, sessions, dialled, 0, now + 9_000_000);
    }

    private NumberAnalysis.Step record(NumberAnalysis.Step step) {
        trace.append("  ")
                .append((now - START) / 1000)
                .append(" ms  ")
                .append(
                        step instanceof NumberAnalysis.Wait wait
                                ? "wait "
                                        + (wait.deadline() - now) / 1000
                                        + " ms for "
                                        + Digits.unpack(wait.number())
                                        + (wait.sendQuery() ? ", ask" : "")
                                : step.toString().replaceAll("until=\\d{18,}", "until=never"))
                .append('\n');
        return step;
    }

    private void queryEnded(String number, PortabilityCache.QueryOutcome outcome, String routing) {
        List<Long> waiting =
                portability.queryEnded(
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
            NumberAnalysis analysis = startAnalysis(table, dialled);
            record(analysis.next(now, portability));
            analysis.explanation().forEach(step -> trace.append("    ").append(step).append('\n'));
        }
        NumberAnalysis otherService = new NumberAnalysis(table, 99, "+81112", 1, now + 1_000_000);
        record(otherService.next(now, portability));
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-kinds"));
    }

    /**
     * A session's far end stays the same when a calendar opens and a new table is installed; a new
     * session uses both.
     */
    @Test
    void retryKeepsItsFarEndWhenHoursAndTableChange() {
        TableVersions tables = new TableVersions(2, parseTable(TABLE.formatted(1)));
        NumberAnalysis first = startAnalysis(tables.acquire(), "+8119");
        record(first.next(now, portability));
        now += 2_000_000;
        tables.replace(parseTable(TABLE.formatted(2).replace("office to 6", "office to 2")));
        record(first.next(now, portability));
        NumberAnalysis second = startAnalysis(tables.acquire(), "+8119");
        record(second.next(now, portability));
        assertThat(tables.retainedCount()).isEqualTo(2);
        tables.release(first.tableVersion());
        assertThat(tables.retainedCount()).isEqualTo(1);
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-retry"));
    }

    /**
     * A waiting session uses its old table although a new one drops its number, until the old table
     * is discarded.
     */
    @Test
    void waitingSessionKeepsItsTableUntilItIsDiscarded() {
        TableVersions tables = new TableVersions(2, parseTable(TABLE.formatted(1)));
        NumberAnalysis first = startAnalysis(tables.acquire(), "+81901");
        record(first.next(now, portability));
        String withoutPrefix = TABLE.replace("8190 ported 5", "8190 unallocated");
        assertThat(tables.replace(parseTable(withoutPrefix.formatted(2)))).isEmpty();
        tables.acquire();
        assertThat(tables.replace(parseTable(withoutPrefix.formatted(3)))).containsExactly(1L);
        assertThat(tables.isRetained(first.tableVersion())).isFalse();
        first.cancel(portability);
        first.restart(tables.acquire());
        record(first.next(now, portability));
        assertThatThrownBy(() -> tables.replace(parseTable(withoutPrefix.formatted(3))))
                .hasMessage("version 3 is not after 3, which is in service");
        assertThat(tables.sessionCount()).isEqualTo(2);
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-let-go"));
    }

    @Test
    void queriesAPortedNumberOnceAndCachesTheAnswer() {
        NumberTable table = parseTable(TABLE.formatted(1));
        NumberAnalysis first = startAnalysis(table, "+81901");
        record(first.next(now, portability));
        now += 10_000;
        NumberAnalysis second = startAnalysis(table, "+81901");
        record(second.next(now, portability));
        now += 10_000;
        queryEnded("81901", PortabilityCache.QueryOutcome.MOVED, "81411");
        record(first.resume(now, portability));
        record(second.resume(now, portability));
        record(startAnalysis(table, "+81901").next(now, portability));
        record(startAnalysis(table, "+81902").next(now, portability));
        now += 10_000;
        queryEnded("81902", PortabilityCache.QueryOutcome.NOT_MOVED, "");
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
            NumberAnalysis analysis = startAnalysis(table, "+" + chain[0]);
            NumberAnalysis.Step step = record(analysis.next(now, portability));
            for (int i = 1; step instanceof NumberAnalysis.Wait; i++) {
                now += 5000;
                queryEnded(
                        chain[i - 1],
                        chain[i].isEmpty()
                                ? PortabilityCache.QueryOutcome.NOT_MOVED
                                : PortabilityCache.QueryOutcome.MOVED,
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
        portability.queryEnded(
                now,
                Digits.pack("81901"),
                PortabilityCache.QueryOutcome.MOVED,
                Digits.pack("8141"),
                1_000_000);
        now += 5_000_000;
        NumberAnalysis cached = startAnalysis(table, "+81901");
        record(cached.next(now, portability));
        now += 60_000;
        record(cached.resume(now, portability));
        List<String> numbers = new ArrayList<>(List.of("81901"));
        for (int i = 1; i < 6; i++) {
            NumberAnalysis analysis = startAnalysis(table, "+8190" + i + "0");
            record(analysis.next(now, portability));
            numbers.add("8190" + i + "0");
            now += 300_000;
            record(analysis.resume(now, portability));
        }
        numbers.forEach(number -> queryEnded(number, PortabilityCache.QueryOutcome.FAILED, ""));
        record(startAnalysis(table, "+81909").next(now, portability));
        record(startAnalysis(table, "+81901").next(now, portability));
        now += 500_000;
        trace.append("the pause is over: one trial\n");
        NumberAnalysis trial = startAnalysis(table, "+81909");
        record(trial.next(now, portability));
        record(startAnalysis(table, "+81908").next(now, portability));
        now += 5000;
        queryEnded("81909", PortabilityCache.QueryOutcome.NOT_MOVED, "");
        record(trial.resume(now, portability));
        record(startAnalysis(table, "+81908").next(now, portability));
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-dead-server"));
    }

    @Test
    void doesNotWaitWhenLittleTimeIsLeft() {
        NumberTable table = parseTable(TABLE.formatted(1));
        record(new NumberAnalysis(table, 1, "+81901", 0, now + 20_000).next(now, portability));
        record(new NumberAnalysis(table, 2, "+81901", 0, now + 200_000).next(now, portability));
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
                portability.queryEnded(
                        now,
                        Digits.pack("81901"),
                        PortabilityCache.QueryOutcome.MOVED,
                        Digits.pack("8141"),
                        300_000_000);
            }
            NumberAnalysis.Step step =
                    new NumberAnalysis(table, i, "+81901", 0, now + 9_000_000)
                            .next(now, portability);
            queries += step instanceof NumberAnalysis.Wait wait && wait.sendQuery() ? 1 : 0;
            assertThat(step instanceof NumberAnalysis.Route).isEqualTo(i >= 400);
        }
        assertThat(queries).isEqualTo(1);
        for (int i = 0; i < 10_000; i++) {
            long number = Digits.pack("8190" + (10_000 + i));
            portability.lookUp(now, number, i, 9_000_000);
            portability.queryEnded(
                    now, number, PortabilityCache.QueryOutcome.NOT_MOVED, 0, 60_000_000);
        }
        assertThat(portability.cachedCount()).isEqualTo(101);
        assertThat(portability.lookUp(now, Digits.pack("81901"), 1, 9_000_000))
                .isEqualTo(new PortabilityCache.Proceed(Digits.pack("8141"), false));
        portability.evictExpired(now + 400_000_000);
        assertThat(portability.cachedCount()).isZero();
    }

    @Test
    void usesTheDonorWhenTooManyQueriesAreOutstanding() {
        for (int i = 0; i < 50; i++) {
            assertThat(portability.lookUp(now, Digits.pack("81" + i), i, 9_000_000))
                    .isInstanceOf(PortabilityCache.Wait.class);
        }
        assertThat(portability.lookUp(now, Digits.pack("8199"), 1, 9_000_000))
                .isEqualTo(new PortabilityCache.UseDonor("too many outstanding queries"));
    }
}
