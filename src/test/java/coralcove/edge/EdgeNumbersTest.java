package coralcove.edge;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.RoutingDecision;
import coralcove.numbers.NumberTable;
import coralcove.numbers.PortabilityCache;
import coralcove.numbers.file.TableReader;
import coralcove.protocol.InviteOutcomes;
import java.io.BufferedReader;
import java.io.StringReader;
import org.junit.jupiter.api.Test;

/** Dialled numbers in a complete router: calls of the routing policy and messages sent. */
class EdgeNumbersTest {
    private static final PortabilityCache.Settings PORTING_SETTINGS =
            new PortabilityCache.Settings(300_000, 0.2, 60_000_000, 100, 100, 50);
    private final EdgeCoreHarness harness = new EdgeCoreHarness();

    private static NumberTable table(long version, String... moreLines) {
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
                        + String.join("\n", moreLines)
                        + (moreLines.length > 0 ? "\n" : "")
                        + "end "
                        + (6 + moreLines.length)
                        + "\n";
        try {
            return TableReader.readTable(
                    "t", new BufferedReader(new StringReader(text)), n -> true);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private static RoutingDecision send(long exchange) {
        return RoutingDecision.send(exchange, 900_000);
    }

    @Test
    void routesADialledNumberToItsFarEnd() {
        harness.enableNumbers(2, table(1), PORTING_SETTINGS)
                .policyDecides(send(101))
                .dial("a", "+8115", 3_000_000);
        assertThat(harness.lastInviteHeader("X-Far-End")).isEqualTo("1");
        harness.answerInvite(200).advance(20).bye("a");
        assertThat(harness.core.activeSessionCount()).isZero();
        harness.note("to the own lines")
                .dial("b", "+8155", 3_000_000)
                .note("refused: changed, none, not listed, incomplete")
                .dial("c", "+8135", 3_000_000);
        assertThat(harness.lastResponseHeader("Contact")).isEqualTo("<tel:8111>");
        harness.dial("d", "+49", 3_000_000)
                .dial("e", "+8145", 3_000_000)
                .dial("f", "8x", 3_000_000)
                .assertTrace("edge-numbers");
    }

    /**
     * The table is replaced between the first INVITE and its retry: the retry goes to the same far
     * end as the first.
     */
    @Test
    void aRetryUsesTheTableOfItsFirstInvite() {
        harness.enableNumbers(3, table(1), PORTING_SETTINGS)
                .policyDecides(
                        send(101),
                        RoutingDecision.later(1_200_000),
                        send(102),
                        RoutingDecision.NOTHING)
                .dial("a", "+8115", 3_000_000)
                .replaceTable(table(2, "8115 to 2"))
                .advance(5)
                .answerInvite(
                        503,
                        "Reason",
                        InviteOutcomes.reasonHeader(
                                InviteOutcomes.SWITCHING_EQUIPMENT_CONGESTION, "full"))
                .advance(300);
        assertThat(harness.lastInviteHeader("X-Far-End")).isEqualTo("1");
        harness.answerInvite(200)
                .note("another session has the new table")
                .policyDecides(send(102))
                .dial("b", "+8115", 3_000_000);
        assertThat(harness.lastInviteHeader("X-Far-End")).isEqualTo("2");
        harness.assertTrace("edge-numbers-retry");
    }

    @Test
    void sessionsShareOnePortabilityQuery() {
        harness.enableNumbers(2, table(1), PORTING_SETTINGS)
                .policyDecides(send(102), send(102))
                .dial("a", "+8195", 3_000_000)
                .advance(10)
                .dial("b", "+8195", 3_000_000)
                .advance(10)
                .portabilityAnswers("8195", PortabilityCache.QueryOutcome.MOVED, "812");
        assertThat(harness.lastInviteHeader("X-Far-End")).isEqualTo("2");
        harness.assertTrace("edge-numbers-ported");
    }

    /** No answer, an answer that arrives too late, and a caller who cancels meanwhile. */
    @Test
    void sessionsProceedWhenThePortabilityServerIsUnresponsive() {
        harness.enableNumbers(2, table(1), PORTING_SETTINGS)
                .policyDecides(send(101))
                .dial("a", "+8195", 3_000_000)
                .dial("b", "+8196", 3_000_000)
                .advance(100)
                .cancel("b")
                .advance(250)
                .portabilityAnswers("8195", PortabilityCache.QueryOutcome.FAILED, "")
                .portabilityAnswers("8196", PortabilityCache.QueryOutcome.MOVED, "812")
                .advance(10);
        assertThat(harness.lastInviteHeader("X-Far-End")).isEqualTo("1");
        harness.assertTrace("edge-numbers-silent");
    }

    /**
     * With too many tables the oldest is discarded: a session that still waits for its far end
     * starts again with the newest table; one that has its far end keeps it.
     */
    @Test
    void restartsWaitingSessionsOfADiscardedTable() {
        harness.enableNumbers(2, table(1), PORTING_SETTINGS)
                .policyDecides(send(101), RoutingDecision.later(1_200_000), send(102))
                .dial("a", "+8195", 3_000_000)
                .dial("b", "+8115", 3_000_000)
                .replaceTable(table(2))
                .dial("c", "+8197", 3_000_000)
                .replaceTable(table(3, "8195 to 2"))
                .note("an older one is refused")
                .replaceTable(table(2))
                .assertTrace("edge-numbers-let-go");
    }

    @Test
    void leavesADrainingFarEndToThePolicy() {
        harness.enableNumbers(2, table(1), PORTING_SETTINGS)
                .policyDecides(RoutingDecision.refuse(500_000))
                .directoryNotifies(
                        "epoch e version 6 changes after 5\n102 2 draining 1 2 - " + "udp:far2:5\n")
                .dial("a", "+8195", 3_000_000)
                .portabilityAnswers("8195", PortabilityCache.QueryOutcome.MOVED, "812")
                .assertTrace("edge-numbers-drains");
    }
}
