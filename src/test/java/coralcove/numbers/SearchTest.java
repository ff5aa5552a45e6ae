package coralcove.numbers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import coralcove.Kept;
import coralcove.numbers.file.TableReader;
import java.io.BufferedReader;
import java.io.StringReader;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * From dialled numbers to far ends: tables changed meanwhile, numbers that moved, hours, a
 * portability server that fails.
 */
class SearchTest {
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

    /** A Monday, 08:59:59 in Tokyo. */
    private static final long START =
            LocalDateTime.parse("2026-11-30T08:59:59")
                            .atZone(ZoneId.of("Asia/Tokyo"))
                            .toEpochSecond()
                    * 1_000_000;

    private final StringBuilder told = new StringBuilder();
    private final Porting porting = new Porting(SETTINGS);
    private long now = START;
    private long sessions;

    private static NumberTable table(String text) {
        try {
            return TableReader.table("t", new BufferedReader(new StringReader(text)), n -> true);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private Search search(NumberTable table, String dialled) {
        sessions++;
        told.append(dialled).append('\n');
        return new Search(table, sessions, dialled, 0, now + 9_000_000);
    }

    private Search.Step say(Search.Step step) {
        told.append("  ")
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

    private void ended(String number, Porting.Outcome outcome, String routing) {
        List<Long> waiting =
                porting.ended(now, Digits.pack(number), outcome, Digits.pack(routing), 300_000_000);
        told.append("  ")
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
    void eachKindOfDestination() {
        NumberTable table = table(TABLE.formatted(1));
        for (String dialled :
                List.of("0111", "+81112", "0113", "+81115", "+82", "12x", "+8118", "+8119")) {
            Search search = search(table, dialled);
            say(search.next(now, porting));
            search.steps().forEach(step -> told.append("    ").append(step).append('\n'));
        }
        Search other = new Search(table, 99, "+81112", 1, now + 1_000_000);
        say(other.next(now, porting));
        assertThat(told.toString()).isEqualTo(Kept.trace("numbers-kinds"));
    }

    /**
     * The far end found first stays, over an hour boundary and a new table; a new session sees
     * both.
     */
    @Test
    void anHourBoundaryAndANewTableBetweenInviteAndRetry() {
        Tables tables = new Tables(2, table(TABLE.formatted(1)));
        Search first = search(tables.enter(), "+8119");
        say(first.next(now, porting));
        now += 2_000_000;
        tables.replace(table(TABLE.formatted(2).replace("office to 6", "office to 2")));
        say(first.next(now, porting));
        Search second = search(tables.enter(), "+8119");
        say(second.next(now, porting));
        assertThat(tables.count()).isEqualTo(2);
        tables.leave(first.version());
        assertThat(tables.count()).isEqualTo(1);
        assertThat(told.toString()).isEqualTo(Kept.trace("numbers-retry"));
    }

    /**
     * A table that takes away a waiting session's far end: it goes by the old one, unless that is
     * let go.
     */
    @Test
    void aSessionThatWaitsKeepsItsTableUntilTooManyAreKept() {
        Tables tables = new Tables(2, table(TABLE.formatted(1)));
        Search first = search(tables.enter(), "+81901");
        say(first.next(now, porting));
        String without = TABLE.replace("8190 ported 5", "8190 unallocated");
        assertThat(tables.replace(table(without.formatted(2)))).isEmpty();
        tables.enter();
        assertThat(tables.replace(table(without.formatted(3)))).containsExactly(1L);
        assertThat(tables.has(first.version())).isFalse();
        first.gone(porting);
        first.restart(tables.enter());
        say(first.next(now, porting));
        assertThatThrownBy(() -> tables.replace(table(without.formatted(3))))
                .hasMessage("version 3 is not after 3, which is in service");
        assertThat(tables.sessions()).isEqualTo(2);
        assertThat(told.toString()).isEqualTo(Kept.trace("numbers-let-go"));
    }

    @Test
    void aPortedNumberIsAskedForOnceAndRemembered() {
        NumberTable table = table(TABLE.formatted(1));
        Search first = search(table, "+81901");
        say(first.next(now, porting));
        now += 10_000;
        Search second = search(table, "+81901");
        say(second.next(now, porting));
        now += 10_000;
        ended("81901", Porting.Outcome.MOVED, "81411");
        say(first.resume(now, porting));
        say(second.resume(now, porting));
        say(search(table, "+81901").next(now, porting));
        say(search(table, "+81902").next(now, porting));
        now += 10_000;
        ended("81902", Porting.Outcome.NOT_MOVED, "");
        say(search(table, "+81902").next(now, porting));
        assertThat(told.toString()).isEqualTo(Kept.trace("numbers-ported"));
    }

    /**
     * Ported twice, and back: a chain is followed, a circle and a long chain end at the first
     * donor.
     */
    @Test
    void aNumberPortedTwiceAndInACircle() {
        NumberTable table = table(TABLE.formatted(1));
        String[][] cases = {
            {"81901", "81421", "81411"},
            {"81902", "81422", "81902"},
            {"81903", "81423", "81904", "81424"},
            {"81905", "81431"},
            {"81906", "82"},
            {"81907", "81427", ""}
        };
        for (String[] chain : cases) {
            Search search = search(table, "+" + chain[0]);
            Search.Step step = say(search.next(now, porting));
            for (int i = 1; step instanceof Search.Wait; i++) {
                now += 5000;
                ended(
                        chain[i - 1],
                        chain[i].isEmpty() ? Porting.Outcome.NOT_MOVED : Porting.Outcome.MOVED,
                        chain[i]);
                step = say(search.resume(now, porting));
            }
        }
        assertThat(told.toString()).isEqualTo(Kept.trace("numbers-circle"));
    }

    /**
     * A dead server: sessions wait their budget, then go to the donor or by an old answer; soon
     * none is asked.
     */
    @Test
    void aDeadServerCostsNoSessionItsAnswer() {
        NumberTable table = table(TABLE.formatted(1));
        porting.ended(
                now, Digits.pack("81901"), Porting.Outcome.MOVED, Digits.pack("8141"), 1_000_000);
        now += 5_000_000;
        Search known = search(table, "+81901");
        say(known.next(now, porting));
        now += 60_000;
        say(known.resume(now, porting));
        List<String> numbers = new ArrayList<>(List.of("81901"));
        for (int i = 1; i < 6; i++) {
            Search search = search(table, "+8190" + i + "0");
            say(search.next(now, porting));
            numbers.add("8190" + i + "0");
            now += 300_000;
            say(search.resume(now, porting));
        }
        numbers.forEach(number -> ended(number, Porting.Outcome.FAILED, ""));
        say(search(table, "+81909").next(now, porting));
        say(search(table, "+81901").next(now, porting));
        now += 500_000;
        told.append("the pause is over: one trial\n");
        Search trial = search(table, "+81909");
        say(trial.next(now, porting));
        say(search(table, "+81908").next(now, porting));
        now += 5000;
        ended("81909", Porting.Outcome.NOT_MOVED, "");
        say(trial.resume(now, porting));
        say(search(table, "+81908").next(now, porting));
        assertThat(told.toString()).isEqualTo(Kept.trace("numbers-dead-server"));
    }

    @Test
    void littleTimeLeftIsNotSpentOnWaiting() {
        NumberTable table = table(TABLE.formatted(1));
        say(new Search(table, 1, "+81901", 0, now + 20_000).next(now, porting));
        say(new Search(table, 2, "+81901", 0, now + 200_000).next(now, porting));
        assertThat(told.toString())
                .isEqualTo(
                        """
                          0 ms  Route[farEnd=5, number=81901, until=never]
                          0 ms  wait 40 ms for 81901, ask
                        """);
    }

    /**
     * 100,000 sessions to one ported number in a second ask once; numbers that do not exist push
     * nothing out.
     */
    @Test
    void oneQuestionForAllAndNoRoomForNumbersThatDoNotExist() {
        NumberTable table = table(TABLE.formatted(1));
        int asked = 0;
        for (int i = 0; i < 100_000; i++) {
            now += 10;
            if (i == 400) {
                porting.ended(
                        now,
                        Digits.pack("81901"),
                        Porting.Outcome.MOVED,
                        Digits.pack("8141"),
                        300_000_000);
            }
            Search.Step step =
                    new Search(table, i, "+81901", 0, now + 9_000_000).next(now, porting);
            asked += step instanceof Search.Wait wait && wait.ask() ? 1 : 0;
            assertThat(step instanceof Search.Route).isEqualTo(i >= 400);
        }
        assertThat(asked).isEqualTo(1);
        for (int i = 0; i < 10_000; i++) {
            long number = Digits.pack("8190" + (10_000 + i));
            porting.ask(now, number, i, 9_000_000);
            porting.ended(now, number, Porting.Outcome.NOT_MOVED, 0, 60_000_000);
        }
        assertThat(porting.remembered()).isEqualTo(101);
        assertThat(porting.ask(now, Digits.pack("81901"), 1, 9_000_000))
                .isEqualTo(new Porting.Goes(Digits.pack("8141"), false));
        porting.sweep(now + 400_000_000);
        assertThat(porting.remembered()).isZero();
    }

    @Test
    void moreQuestionsThanAreAllowedGoToTheDonor() {
        for (int i = 0; i < 50; i++) {
            assertThat(porting.ask(now, Digits.pack("81" + i), i, 9_000_000))
                    .isInstanceOf(Porting.Wait.class);
        }
        assertThat(porting.ask(now, Digits.pack("8199"), 1, 9_000_000))
                .isEqualTo(new Porting.Donor("too many questions"));
    }
}
