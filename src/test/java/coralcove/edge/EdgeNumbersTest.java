package coralcove.edge;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Answer;
import coralcove.numbers.NumberTable;
import coralcove.numbers.Porting;
import coralcove.numbers.file.TableReader;
import coralcove.protocol.Outcomes;
import java.io.BufferedReader;
import java.io.StringReader;
import org.junit.jupiter.api.Test;

/** Dialled numbers at a whole router: what the module is asked, and what goes out. */
class EdgeNumbersTest {
    private static final Porting.Settings SETTINGS =
            new Porting.Settings(300_000, 0.2, 60_000_000, 100, 100, 50);
    private final EdgeDesk desk = new EdgeDesk();

    private static NumberTable table(long version, String... more) {
        String text =
                "table "
                        + version
                        + "\n"
                        + "811 to 1\n"
                        + "812 to 2\n"
                        + "819 ported 1\n"
                        + "813 changed 8111\n"
                        + "814 to 9\n"
                        + "815 to 0\n"
                        + String.join("\n", more)
                        + (more.length > 0 ? "\n" : "")
                        + "end "
                        + (6 + more.length)
                        + "\n";
        try {
            return TableReader.table("t", new BufferedReader(new StringReader(text)), n -> true);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private static Answer send(long exchange) {
        return Answer.send(exchange, 900_000);
    }

    @Test
    void aDialledNumberGoesAllTheWay() {
        desk.numbers(2, table(1), SETTINGS).module(send(101)).dial("a", "+8115", 3_000_000);
        assertThat(desk.sent("X-Far-End")).isEqualTo("1");
        desk.answered(200).pass(20).bye("a");
        assertThat(desk.core.sessions()).isZero();
        desk.note("to the own lines")
                .dial("b", "+8155", 3_000_000)
                .note("refused: changed, none, not listed, incomplete")
                .dial("c", "+8135", 3_000_000);
        assertThat(desk.answer("Contact")).isEqualTo("<tel:8111>");
        desk.dial("d", "+49", 3_000_000)
                .dial("e", "+8145", 3_000_000)
                .dial("f", "8x", 3_000_000)
                .reads("edge-numbers");
    }

    /**
     * A table change between the first INVITE and its retry: the retry goes to the far end of the
     * first.
     */
    @Test
    void aRetryKeepsItsTable() {
        desk.numbers(3, table(1), SETTINGS)
                .module(send(101), Answer.later(1_200_000), send(102), Answer.NOTHING)
                .dial("a", "+8115", 3_000_000)
                .replace(table(2, "8115 to 2"))
                .pass(5)
                .answered(503, "Reason", Outcomes.reason(Outcomes.PROCESSOR_FULL, "full"))
                .pass(300);
        assertThat(desk.sent("X-Far-End")).isEqualTo("1");
        desk.answered(200)
                .note("another session has the new table")
                .module(send(102))
                .dial("b", "+8115", 3_000_000);
        assertThat(desk.sent("X-Far-End")).isEqualTo("2");
        desk.reads("edge-numbers-retry");
    }

    @Test
    void sessionsWaitForOneAnswerAndGoOnTogether() {
        desk.numbers(2, table(1), SETTINGS)
                .module(send(102), send(102))
                .dial("a", "+8195", 3_000_000)
                .pass(10)
                .dial("b", "+8195", 3_000_000)
                .pass(10)
                .ported("8195", Porting.Outcome.MOVED, "812");
        assertThat(desk.sent("X-Far-End")).isEqualTo("2");
        desk.reads("edge-numbers-ported");
    }

    /** No answer, an answer that comes too late, and a caller who hangs up meanwhile. */
    @Test
    void aSilentServerCostsNobodyTheAnswer() {
        desk.numbers(2, table(1), SETTINGS)
                .module(send(101))
                .dial("a", "+8195", 3_000_000)
                .dial("b", "+8196", 3_000_000)
                .pass(100)
                .cancel("b")
                .pass(250)
                .ported("8195", Porting.Outcome.FAILED, "")
                .ported("8196", Porting.Outcome.MOVED, "812")
                .pass(10);
        assertThat(desk.sent("X-Far-End")).isEqualTo("1");
        desk.reads("edge-numbers-silent");
    }

    /**
     * Too many tables: a session that still waits begins again with the newest; one that has its
     * far end keeps it.
     */
    @Test
    void aTableLetGoStartsItsWaitingSessionsAgain() {
        desk.numbers(2, table(1), SETTINGS)
                .module(send(101), Answer.later(1_200_000), send(102))
                .dial("a", "+8195", 3_000_000)
                .dial("b", "+8115", 3_000_000)
                .replace(table(2))
                .dial("c", "+8197", 3_000_000)
                .replace(table(3, "8195 to 2"))
                .note("an older one is refused")
                .replace(table(2))
                .reads("edge-numbers-let-go");
    }

    @Test
    void aNewExchangeThatDrainsIsTheModulesAffair() {
        desk.numbers(2, table(1), SETTINGS)
                .module(Answer.refuse(500_000))
                .list("epoch e version 6 changes after 5\n102 2 draining 1 2 - " + "udp:far2:5\n")
                .dial("a", "+8195", 3_000_000)
                .ported("8195", Porting.Outcome.MOVED, "812")
                .reads("edge-numbers-drains");
    }
}
