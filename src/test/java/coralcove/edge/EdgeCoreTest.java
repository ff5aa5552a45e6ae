package coralcove.edge;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.RoutingDecision;
import coralcove.protocol.InviteOutcomes;
import coralcove.sip.SipMessage;
import org.junit.jupiter.api.Test;

/** One call router, with its routing policy, exchange and directory played by the test. */
class EdgeCoreTest {
    private final EdgeCoreHarness harness = new EdgeCoreHarness();

    @Test
    void establishesAndEndsASession() {
        harness.policyDecides(RoutingDecision.send(101, 900_000))
                .call("a", 1, 3_000_000)
                .advance(10)
                .answerInvite(180)
                .answerInvite(200)
                .advance(5)
                .note("the 200 comes again")
                .answerInvite(200)
                .advance(20)
                .bye("a")
                .assertTrace("edge-plain");
    }

    @Test
    void retriesAfterATimeOutWithinTheSameSession() {
        harness.policyDecides(
                        RoutingDecision.send(101, 200_000),
                        RoutingDecision.later(1_500_000),
                        RoutingDecision.send(102, 500_000),
                        RoutingDecision.refuse(400_000))
                .call("a", 1, 3_000_000)
                .advance(1)
                .answerInvite(100)
                .advance(299)
                .note("the INVITE's limit has passed")
                .advance(300)
                .answerInvite(
                        503,
                        "Reason",
                        InviteOutcomes.reasonHeader(
                                InviteOutcomes.SWITCHING_EQUIPMENT_CONGESTION, "full"),
                        "Retry-After",
                        "1;ms=250")
                .assertTrace("edge-again");
    }

    @Test
    void releasesEverythingWhenCancelAnd200Cross() {
        harness.policyDecides(RoutingDecision.send(101, 900_000))
                .call("a", 1, 3_000_000)
                .answerInvite(100)
                .advance(5)
                .cancel("a")
                .note("the 200 was on its way")
                .answerInvite(200)
                .advance(400)
                .assertTrace("edge-crossing");
    }

    @Test
    void stopsRetransmittingAnAbandonedInvite() {
        // An INVITE without any response cannot be cancelled. Its retransmissions continued after
        // it had been abandoned, so that two INVITEs of one session were out at once.
        harness.policyDecides(
                        RoutingDecision.send(101, 300_000), RoutingDecision.send(102, 900_000))
                .call("a", 1, 3_000_000)
                .advance(800)
                .assertTrace("edge-unheard");
    }

    @Test
    void answersARepeatedInviteFromMemoryWithoutAskingThePolicy() {
        harness.policyDecides(RoutingDecision.refuse(700_000));
        SipMessage invite = harness.invite("a", 1, 3_000_000);
        harness.receive(EdgeCoreHarness.EXCHANGE, invite)
                .advance(10)
                .receive(EdgeCoreHarness.EXCHANGE, harness.invite("a", 1, 3_000_000))
                .assertTrace("edge-repeat");
    }

    @Test
    void countsCircuitsLocallyAndUsesTheHigherCountOfTheFarEnd() {
        harness.policyDecides(
                RoutingDecision.send(101, 900_000),
                RoutingDecision.NOTHING,
                RoutingDecision.send(101, 900_000),
                RoutingDecision.refuse(0),
                RoutingDecision.send(101, 900_000),
                RoutingDecision.refuse(0),
                RoutingDecision.send(101, 900_000),
                RoutingDecision.refuse(0));
        harness.call("a", 1, 3_000_000)
                .answerInvite(200)
                .note("one of two is taken; the far end counts both")
                .call("b", 1, 3_000_000)
                .answerInvite(
                        503,
                        "Reason",
                        InviteOutcomes.reasonHeader(InviteOutcomes.NO_CIRCUIT_AVAILABLE, "none"),
                        "X-Circuits",
                        "2")
                .note("so a third is not sent")
                .call("c", 1, 3_000_000)
                .advance(1600)
                .note("for a while")
                .call("d", 1, 3_000_000)
                .assertTrace("edge-circuits");
    }

    @Test
    void routesATransitSessionAndCranksItBack() {
        harness.policyDecides(RoutingDecision.send(102, 900_000), RoutingDecision.refuse(0))
                .call("a", 2, 3_000_000, "X-Origin", "1", "Max-Forwards", "9")
                .answerInvite(
                        503,
                        "Reason",
                        InviteOutcomes.reasonHeader(
                                InviteOutcomes.SWITCHING_EQUIPMENT_CONGESTION, "full"))
                .assertTrace("edge-transit");
    }

    @Test
    void rejectsATrunkCallWithoutACircuitAndForwardsTheResponseOfALocalLine() {
        harness.call("a", 0, 3_000_000, "X-Origin", "1")
                .call("b", 0, 3_000_000, "X-Origin", "1")
                .call("c", 0, 3_000_000, "X-Origin", "1")
                .answerInvite(486, "Reason", "Q.850;cause=17")
                .assertTrace("edge-lines");
    }

    @Test
    void answersMalformedInputAsRfc3261Requires() {
        harness.receiveText(EdgeCoreHarness.EXCHANGE, "nonsense\r\n\r\n")
                .note("nonsense is dropped");
        harness.receive(
                EdgeCoreHarness.EXCHANGE,
                EdgeCoreHarness.request("INVITE", "a", 1).set("CSeq", "1 BYE"));
        harness.call("b", 1, 3_000_000, "X-Service", "5")
                .call("c", 1, 3_000_000, "X-Time-Left", "x");
        harness.call("d", 9, 3_000_000).call("e", 1, 3_000_000, "Max-Forwards", "0");
        harness.receive(EdgeCoreHarness.EXCHANGE, EdgeCoreHarness.request("FROB", "f", 1));
        harness.receive(
                EdgeCoreHarness.EXCHANGE,
                EdgeCoreHarness.request("BYE", "g", 1).set("To", "<sip:r>;tag=gone"));
        harness.receive(EdgeCoreHarness.EXCHANGE, EdgeCoreHarness.request("CANCEL", "h", 1));
        harness.assertTrace("edge-bad-input");
    }

    @Test
    void requestsTheCompleteListAfterAGapAndRejectsMalformedLists() {
        harness.directoryNotifies(
                        "epoch e version 8 changes after 7\n101 1 draining 1 2 - udp:far:4\n")
                .note("7 was lost")
                .answerSubscribe("exchanges", 200)
                .directoryNotifies("epoch e version 8 whole\n101 1 draining 1 3 - udp:far:4\n")
                .directoryNotifies("epoch e version 9 changes after 8\nnonsense\n")
                .directoryNotifies("epoch e version 7 whole\n")
                .assertTrace("edge-lists");
    }

    @Test
    void rejectsNewSessionsOnceStoppedAndAnswersThoseAccepted() {
        harness.policyDecides(RoutingDecision.send(101, 900_000), RoutingDecision.refuse(0))
                .call("a", 1, 3_000_000);
        harness.core.stopAccepting();
        harness.call("b", 1, 3_000_000)
                .note("idle " + harness.core.isIdle())
                .answerInvite(486, "Reason", "Q.850;cause=17")
                .note("idle " + harness.core.isIdle())
                .assertTrace("edge-stopping");
    }

    @Test
    void answersOnceWhenResponseAndTimeOutCoincide() {
        harness.policyDecides(RoutingDecision.send(101, 500_000), RoutingDecision.refuse(0))
                .call("a", 1, 3_000_000)
                .answerInvite(100)
                .advance(500)
                .note("in the same millisecond")
                .answerInvite(200)
                .advance(400)
                .assertTrace("edge-same-moment");
    }

    @Test
    void refusesRepeatedSession() {
        harness.policyDecides(RoutingDecision.send(101, 900_000)).call("a", 1, 3_000_000);
        harness.receive(
                        EdgeCoreHarness.EXCHANGE,
                        harness.invite("other", 2, 2_000_000, "X-Origin", "1", "Session-ID", "a"))
                .assertTrace("edge-loop");
    }

    @Test
    void forwardsAReinviteToTheOtherLegAndItsResponseBack() {
        harness.policyDecides(RoutingDecision.send(101, 900_000))
                .call("a", 1, 3_000_000)
                .answerInvite(200)
                .advance(5)
                .reinvite("a")
                .advance(5)
                .answerInvite(200)
                .assertTrace("edge-change");
    }

    @Test
    void rejectsSessionsBeyondTheLimit() {
        for (int i = 0; i < 5; i++) {
            harness.policyDecides(RoutingDecision.send(101 + i % 2, 900_000))
                    .call("c" + i, 1 + i % 2, 3_000_000);
        }
        assertThat(harness.core.userAgent().counters()).containsEntry("too-many-open", 1L);
    }

    @Test
    void mapsEveryResponseToOneOutcomeAndCause() {
        StringBuilder table = new StringBuilder();
        for (int cause : new int[] {17, 27, 34, 38, 41, 42, 44, 47, 16}) {
            SipMessage reply =
                    SipMessage.status(503, "x")
                            .add("Reason", InviteOutcomes.reasonHeader(cause, "t"))
                            .add("Retry-After", "2;ms=1500");
            table.append("cause ")
                    .append(cause)
                    .append(": ")
                    .append(InviteOutcomes.fromResponse(reply, null))
                    .append('\n');
        }
        for (int status : new int[] {302, 400, 404, 408, 480, 486, 487, 500, 502, 503, 504, 600}) {
            table.append("status ")
                    .append(status)
                    .append(": ")
                    .append(InviteOutcomes.fromResponse(SipMessage.status(status, "x"), null))
                    .append('\n');
        }
        for (var failure : coralcove.sip.dialog.UserAgent.CallFailure.values()) {
            table.append("no answer, ")
                    .append(failure)
                    .append(": ")
                    .append(InviteOutcomes.fromResponse(null, failure))
                    .append('\n');
        }
        assertThat(table.toString()).isEqualTo(coralcove.TraceFiles.read("edge-outcomes"));
    }
}
