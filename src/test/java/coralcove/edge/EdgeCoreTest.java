package coralcove.edge;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Answer;
import coralcove.protocol.Outcomes;
import coralcove.sip.SipMessage;
import org.junit.jupiter.api.Test;

class EdgeCoreTest {
    private final EdgeDesk desk = new EdgeDesk();

    @Test
    void setsASessionUpAndEndsIt() {
        desk.module(Answer.send(101, 900_000))
                .call("a", 1, 3_000_000)
                .pass(10)
                .answered(180)
                .answered(200)
                .pass(5)
                .note("the 200 comes again")
                .answered(200)
                .pass(20)
                .bye("a")
                .reads("edge-plain");
    }

    @Test
    void waitsAndSendsAgainAsOneSession() {
        desk.module(
                        Answer.send(101, 200_000),
                        Answer.later(1_500_000),
                        Answer.send(102, 500_000),
                        Answer.refuse(400_000))
                .call("a", 1, 3_000_000)
                .pass(1)
                .answered(100)
                .pass(299)
                .note("the INVITE's limit has passed")
                .pass(300)
                .answered(
                        503,
                        "Reason",
                        Outcomes.reason(Outcomes.PROCESSOR_FULL, "full"),
                        "Retry-After",
                        "1;ms=250")
                .reads("edge-again");
    }

    @Test
    void leavesNothingHeldWhenCancelAnd200Cross() {
        desk.module(Answer.send(101, 900_000))
                .call("a", 1, 3_000_000)
                .answered(100)
                .pass(5)
                .cancel("a")
                .note("the 200 was on its way")
                .answered(200)
                .pass(400)
                .reads("edge-crossing");
    }

    @Test
    void sendsAnInviteNoMoreThatWasGivenUpUnheard() {
        // Retransmissions of an INVITE that had been given up put two INVITEs of one session out.
        desk.module(Answer.send(101, 300_000), Answer.send(102, 900_000))
                .call("a", 1, 3_000_000)
                .pass(800)
                .reads("edge-unheard");
    }

    @Test
    void answersARepeatedInviteAsBeforeWithoutAskingAgain() {
        desk.module(Answer.refuse(700_000));
        SipMessage invite = desk.invite("a", 1, 3_000_000);
        desk.take(EdgeDesk.EXCHANGE, invite)
                .pass(10)
                .take(EdgeDesk.EXCHANGE, desk.invite("a", 1, 3_000_000))
                .reads("edge-repeat");
    }

    @Test
    void countsCircuitsAtThisEndAndBelievesTheFarEnd() {
        desk.module(
                Answer.send(101, 900_000),
                Answer.NOTHING,
                Answer.send(101, 900_000),
                Answer.refuse(0),
                Answer.send(101, 900_000),
                Answer.refuse(0),
                Answer.send(101, 900_000),
                Answer.refuse(0));
        desk.call("a", 1, 3_000_000)
                .answered(200)
                .note("one of two is taken; the far end counts both")
                .call("b", 1, 3_000_000)
                .answered(
                        503,
                        "Reason",
                        Outcomes.reason(Outcomes.NO_CIRCUIT, "none"),
                        "X-Circuits",
                        "2")
                .note("so a third is not sent")
                .call("c", 1, 3_000_000)
                .pass(1600)
                .note("for a while")
                .call("d", 1, 3_000_000)
                .reads("edge-circuits");
    }

    @Test
    void carriesTransitAndTurnsItBack() {
        desk.module(Answer.send(102, 900_000), Answer.refuse(0))
                .call("a", 2, 3_000_000, "X-Origin", "1", "Max-Forwards", "9")
                .answered(503, "Reason", Outcomes.reason(Outcomes.PROCESSOR_FULL, "full"))
                .reads("edge-transit");
    }

    @Test
    void refusesATrunkCallWithoutACircuitAndPassesTheOwnLinesWords() {
        desk.call("a", 0, 3_000_000, "X-Origin", "1")
                .call("b", 0, 3_000_000, "X-Origin", "1")
                .call("c", 0, 3_000_000, "X-Origin", "1")
                .answered(486, "Reason", "Q.850;cause=17")
                .reads("edge-lines");
    }

    @Test
    void answersBadInputByTheBook() {
        desk.raw(EdgeDesk.EXCHANGE, "nonsense\r\n\r\n").note("nonsense is dropped");
        desk.take(EdgeDesk.EXCHANGE, EdgeDesk.request("INVITE", "a", 1).set("CSeq", "1 BYE"));
        desk.call("b", 1, 3_000_000, "X-Service", "5").call("c", 1, 3_000_000, "X-Time-Left", "x");
        desk.call("d", 9, 3_000_000).call("e", 1, 3_000_000, "Max-Forwards", "0");
        desk.take(EdgeDesk.EXCHANGE, EdgeDesk.request("FROB", "f", 1));
        desk.take(EdgeDesk.EXCHANGE, EdgeDesk.request("BYE", "g", 1).set("To", "<sip:r>;tag=gone"));
        desk.take(EdgeDesk.EXCHANGE, EdgeDesk.request("CANCEL", "h", 1));
        desk.reads("edge-bad-input");
    }

    @Test
    void asksForTheWholeListAfterAGapAndReadsNoBadOne() {
        desk.list("epoch e version 8 changes after 7\n101 1 draining 1 2 - udp:far:4\n")
                .note("7 was lost")
                .answered("exchanges", 200)
                .list("epoch e version 8 whole\n101 1 draining 1 3 - udp:far:4\n")
                .list("epoch e version 9 changes after 8\nnonsense\n")
                .list("epoch e version 7 whole\n")
                .reads("edge-lists");
    }

    @Test
    void takesNothingNewOnceStoppedAndAnswersWhatItHolds() {
        desk.module(Answer.send(101, 900_000), Answer.refuse(0)).call("a", 1, 3_000_000);
        desk.core.stop();
        desk.call("b", 1, 3_000_000)
                .note("idle " + desk.core.idle())
                .answered(486, "Reason", "Q.850;cause=17")
                .note("idle " + desk.core.idle())
                .reads("edge-stopping");
    }

    @Test
    void answersOnceWhenTheAnswerAndTheTimeOutFallTogether() {
        desk.module(Answer.send(101, 500_000), Answer.refuse(0))
                .call("a", 1, 3_000_000)
                .answered(100)
                .pass(500)
                .note("in the same millisecond")
                .answered(200)
                .pass(400)
                .reads("edge-same-moment");
    }

    @Test
    void refusesASessionThatComesRoundAgain() {
        desk.module(Answer.send(101, 900_000)).call("a", 1, 3_000_000);
        desk.take(
                        EdgeDesk.EXCHANGE,
                        desk.invite("other", 2, 2_000_000, "X-Origin", "1", "Session-ID", "a"))
                .reads("edge-loop");
    }

    @Test
    void passesAChangeToTheOtherLegAndItsAnswerBack() {
        desk.module(Answer.send(101, 900_000))
                .call("a", 1, 3_000_000)
                .answered(200)
                .pass(5)
                .change("a")
                .pass(5)
                .answered(200)
                .reads("edge-change");
    }

    @Test
    void turnsAwayWhatItCannotHold() {
        for (int i = 0; i < 5; i++) {
            desk.module(Answer.send(101 + i % 2, 900_000)).call("c" + i, 1 + i % 2, 3_000_000);
        }
        assertThat(desk.core.agent().counters()).containsEntry("too-many-open", 1L);
    }

    @Test
    void mapsEveryOutcomeToOneEndingAndCause() {
        StringBuilder table = new StringBuilder();
        for (int cause : new int[] {17, 27, 34, 38, 41, 42, 44, 47, 16}) {
            SipMessage reply =
                    SipMessage.status(503, "x")
                            .add("Reason", Outcomes.reason(cause, "t"))
                            .add("Retry-After", "2;ms=1500");
            table.append("cause ")
                    .append(cause)
                    .append(": ")
                    .append(Outcomes.of(reply, null))
                    .append('\n');
        }
        for (int status : new int[] {302, 400, 404, 408, 480, 486, 487, 500, 502, 503, 504, 600}) {
            table.append("status ")
                    .append(status)
                    .append(": ")
                    .append(Outcomes.of(SipMessage.status(status, "x"), null))
                    .append('\n');
        }
        for (var lost : coralcove.sip.dialog.Agent.Lost.values()) {
            table.append("no answer, ")
                    .append(lost)
                    .append(": ")
                    .append(Outcomes.of(null, lost))
                    .append('\n');
        }
        assertThat(table.toString()).isEqualTo(coralcove.Kept.trace("edge-outcomes"));
    }
}
