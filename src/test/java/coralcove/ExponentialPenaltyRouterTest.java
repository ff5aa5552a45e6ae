package coralcove;

import static coralcove.Exchange.Phase.DRAINING;
import static coralcove.Exchange.Phase.GONE;
import static coralcove.Exchange.Phase.READY;
import static coralcove.InviteOutcome.BUSY;
import static coralcove.InviteOutcome.CANCELLED;
import static coralcove.InviteOutcome.ERROR;
import static coralcove.InviteOutcome.ESTABLISHED;
import static coralcove.InviteOutcome.NOT_SENT;
import static coralcove.InviteOutcome.RESET;
import static coralcove.InviteOutcome.TIMED_OUT;
import static coralcove.RejectionCause.CRANKBACK;
import static coralcove.RejectionCause.FAR_END_PROCESSOR_FULL;
import static coralcove.RejectionCause.LINES_BUSY;
import static coralcove.RejectionCause.NONE;
import static coralcove.RejectionCause.NO_CIRCUIT;
import static coralcove.RejectionCause.PROCESSOR_FULL;
import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Field;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Tests the decisions of the routing policy. Each test runs a short scenario and compares the
 * decisions with a trace in src/test/resources/traces.
 */
class ExponentialPenaltyRouterTest {
    private static RouterHarness threeExchanges() {
        return new RouterHarness()
                .exchanges(READY, 0, 0, 1, 2, 3)
                .circuits(1, 50, 50)
                .circuits(2, 50, 50)
                .circuits(3, 50, 50);
    }

    @Test
    void nearlyFullGroupRefusesLowValueSessionsAndAcceptsHighValueOnes() {
        RouterHarness harness = threeExchanges();
        harness.offerLoad(1, 200, 0, 1, 100).circuits(1, 1, 50);
        harness.offerLoad(1000, 40, 1, 1, 50);
        for (int round = 0; round < 4; round++) {
            harness.circuits(1, 1, 50).call(2000 + round, 0, 1);
            harness.circuits(1, 1, 50).call(3000 + round, 1, 1);
            harness.advance(2500);
        }
        harness.circuits(1, 12, 50).call(4000, 0, 1);
        harness.assertTrace("thinned");
    }

    @Test
    void phantomCallsExpireAfterOneHoldTime() {
        RouterHarness harness = threeExchanges();
        harness.offerLoad(1, 300, 0, 1, 50).circuits(1, 0, 50);
        harness.offerLoad(1000, 30, 0, 1, 100);
        harness.circuits(1, 2, 50).call(2000, 0, 1);
        harness.advance(11_000).circuits(1, 2, 50).call(2001, 0, 1);
        harness.assertTrace("phantoms");
    }

    @Test
    void handlesDegenerateGroups() {
        RouterHarness harness = threeExchanges();
        harness.circuits(1, 1, 50).note("no load yet, one circuit free").call(1, 0, 1);
        harness.circuits(2, 0, 0).note("no group to 2").call(2, 0, 2);
        harness.note("number 9 is on no list").call(3, 0, 9);
        harness.circuits(3, 0, 50).circuits(1, 0, 50).note("all groups full").call(4, 1, 3);
        harness.circuits(2, 40, 50)
                .peerMessage(2, 0, 0xff)
                .note("an odd far end, after news of ways on")
                .call(6, 0, -100);
        new RouterHarness().call(5, 0, 1);
        harness.assertTrace("degenerate");
    }

    @Test
    void fullGroupOverflowsToTandemWithLeastSlope() {
        RouterHarness harness = threeExchanges();
        harness.offerLoad(1, 60, 0, 2, 100).offerLoad(100, 20, 0, 3, 100);
        harness.circuits(1, 0, 50).circuits(2, 30, 50).circuits(3, 30, 50);
        harness.call(1000, 0, 1);
        harness.outcome(1000, BUSY, CRANKBACK, 40);
        harness.outcome(1000, BUSY, FAR_END_PROCESSOR_FULL, 40);
        harness.note("3 turned back for 1 a moment ago").call(1001, 0, 1);
        harness.circuits(2, 4, 50)
                .circuits(3, 4, 50)
                .note("tandems under a tenth free")
                .call(1002, 0, 1);
        harness.assertTrace("overflow");
    }

    @Test
    void prefersKnownTandemsAndHoldsUnknownOnesEverLonger() {
        RouterHarness harness = threeExchanges().circuits(1, 0, 0).circuits(3, 40, 50);
        harness.note("equal slopes: most circuits free").call(1, 0, 1);
        harness.outcome(1, BUSY, CRANKBACK, 40);
        harness.outcome(1, BUSY, CRANKBACK, 40);
        harness.advance(4000).call(2, 0, 1);
        harness.outcome(2, BUSY, CRANKBACK, 40);
        harness.outcome(2, ESTABLISHED, NONE, 40);
        harness.advance(4000).note("2 rests for twice as long, 3 stood").call(3, 0, 1);
        harness.advance(4000).call(4, 0, 1);
        harness.note("a centre advises 2").callWithAdvice(5, 1, 2);
        harness.assertTrace("ways-on");
    }

    @Test
    void avoidsSlowOrOverloadedTandemForAWhile() {
        RouterHarness harness = threeExchanges().circuits(1, 0, 50);
        harness.call(1, 0, 1);
        harness.outcome(1, ESTABLISHED, NONE, 700);
        harness.call(2, 0, 1);
        harness.outcome(2, BUSY, PROCESSOR_FULL, 5);
        harness.call(3, 0, 1);
        harness.advance(4000).call(4, 0, 1);
        harness.assertTrace("slow-tandem");
    }

    @Test
    void sendsTransitDirectAndOnlyWhileATenthIsFree() {
        RouterHarness harness = threeExchanges();
        harness.circuits(1, 12, 50).callInTransit(1, 0, 1);
        harness.advance(5000).circuits(1, 6, 50).callInTransit(2, 0, 1);
        harness.circuits(1, 4, 50).note("under a tenth free").callInTransit(4, 0, 1);
        harness.circuits(1, 0, 50).callInTransit(3, 1, 1);
        harness.outcome(1, BUSY, PROCESSOR_FULL, 40);
        harness.assertTrace("transit");
    }

    @Test
    void givesOneFinalAnswerInTime() {
        RouterHarness harness = threeExchanges();
        harness.call(1, 0, 1);
        harness.advance(3000).outcome(1, TIMED_OUT, NONE, 3000);
        harness.call(2, 0, 2);
        harness.advance(100).outcome(2, RESET, NONE, 100, true);
        harness.ended(2).outcome(2, RESET, NONE, 100, true);
        long now = harness.now();
        harness.call(new Session(3, 0, 0, 2, 1, -1, false, 0, true, false, now, now + 250_000));
        harness.note("the release wait would outlast the caller").outcome(3, RESET, NONE, 10);
        harness.advance(4000).circuits(1, 0, 50).call(4, 0, 1);
        for (int i = 0; i < 2; i++) {
            harness.circuits(2, 40, 50).circuits(3, 40, 50).outcome(4, NOT_SENT, NO_CIRCUIT, 0);
        }
        harness.assertTrace("one-answer");
    }

    @Test
    void waitsForReleaseBeforeNextInvite() {
        RouterHarness harness = threeExchanges();
        harness.circuits(1, 0, 50).call(1, 0, 1);
        harness.advance(100).outcome(1, CANCELLED, NONE, 100);
        harness.routeAgain(1);
        harness.advance(299).routeAgain(1);
        harness.advance(1).routeAgain(1);
        harness.assertTrace("release");
    }

    @Test
    void sendsNothingToDrainingOrGoneExchanges() {
        RouterHarness harness = threeExchanges();
        harness.exchanges(DRAINING, 0, 1).exchanges(GONE, 0, 2);
        harness.call(1, 0, 1);
        harness.callInTransit(2, 0, 2);
        harness.circuits(3, 0, 50).note("no tandem among those left").call(3, 0, 3);
        harness.exchanges(READY, 0, 1).call(4, 0, 1);
        harness.assertTrace("drains");
    }

    @Test
    void limitsSetUpsToColdExchange() {
        RouterHarness harness =
                new RouterHarness(4, 4)
                        .exchanges(READY, 0, 0, 1, 2, 3)
                        .circuits(1, 50, 50)
                        .circuits(2, 50, 50);
        harness.offerLoad(1, 100, 0, 2, 100);
        harness.exchanges(READY, harness.now(), 1).note("1 started just now");
        harness.offerLoad(200, 40, 0, 1, 100).offerLoad(300, 80, 0, 1, 100);
        harness.circuits(1, 50, 50).offerLoad(400, 40, 0, 1, 100);
        harness.assertTrace("fresh");
    }

    @Test
    void sendsLessThanOneSetUpPerWindowToColdExchangeInLargeFleet() {
        RouterHarness harness =
                new RouterHarness(4, 90)
                        .exchanges(READY, 0, 0, 1, 2, 3)
                        .circuits(1, 50, 50)
                        .circuits(2, 50, 50);
        harness.offerLoad(1, 100, 0, 2, 100);
        harness.exchanges(READY, harness.now(), 1).offerLoad(200, 95, 0, 1, 100);
        harness.offerLoad(300, 20, 0, 1, 100).assertTrace("fresh-large");
    }

    @Test
    void failuresInARowCloseExchangeUntilTrialIsAnswered() {
        RouterHarness harness = threeExchanges();
        for (int id = 1; id <= 3; id++) {
            harness.call(id, 1, 1);
        }
        harness.advance(3000);
        for (int id = 1; id <= 3; id++) {
            harness.outcome(id, TIMED_OUT, NONE, 3000);
        }
        harness.call(4, 1, 1);
        harness.advance(500).note("a trial is due").call(5, 1, 1);
        harness.call(6, 1, 1);
        harness.advance(80).outcome(5, ESTABLISHED, NONE, 80);
        harness.call(7, 1, 1);
        harness.assertTrace("failures");
    }

    @Test
    void endsInvitesEarlyForTimelyResendWhileAnswersGetLost() {
        RouterHarness harness = threeExchanges();
        for (int id = 1; id <= 8; id++) {
            harness.call(id, 0, 1 + id % 3);
            harness.advance(id < 6 ? 3000 : 500)
                    .outcome(id, TIMED_OUT, NONE, id < 6 ? 3000 : 500, id < 6);
            if (id >= 6) {
                harness.advance(300).routeAgain(id);
                harness.advance(50).outcome(id, ESTABLISHED, NONE, 50);
            } else {
                harness.offerLoad(100 * id, 1, 0, 1 + id % 3, 500);
            }
        }
        for (int id = 20; id <= 25; id++) {
            harness.call(id, 1, 1);
            if (id < 22) {
                harness.outcome(id, TIMED_OUT, NONE, 500, true);
            }
        }
        harness.assertTrace("lost");
    }

    @Test
    void invitesSentBeforeClosingDoNotPostponeTrial() {
        RouterHarness harness = threeExchanges();
        for (int id = 1; id <= 4; id++) {
            harness.call(id, 1, 1);
        }
        for (int id = 1; id <= 3; id++) {
            harness.outcome(id, TIMED_OUT, NONE, 900);
        }
        harness.advance(500).note("the fourth is still out").call(5, 1, 1);
        harness.outcome(4, TIMED_OUT, NONE, 900);
        harness.advance(1000).outcome(5, TIMED_OUT, NONE, 1000);
        harness.advance(900).call(6, 1, 1);
        harness.advance(100).note("one failed trial: 1 s").call(7, 1, 1);
        harness.assertTrace("trials");
    }

    @Test
    void slowSetUpsShrinkWindowAndQuickOnesWidenIt() {
        RouterHarness harness = threeExchanges();
        harness.offerLoad(1, 12, 0, 1, 0, 600);
        harness.call(20, 0, 1);
        harness.note("one in flight fills what is left").call(21, 0, 1);
        harness.advance(90).outcome(20, ESTABLISHED, NONE, 90);
        harness.offerLoad(100, 30, 0, 1, 20);
        harness.call(30, 0, 1);
        harness.call(31, 0, 1);
        harness.outcome(30, BUSY, PROCESSOR_FULL, 5);
        harness.note("a full processor is left alone for a moment").call(32, 1, 1);
        harness.advance(300).call(33, 1, 1);
        harness.assertTrace("windows");
    }

    @Test
    void oneSlowExchangeDoesNotBlockOthers() {
        RouterHarness harness = threeExchanges();
        harness.offerLoad(1, 40, 0, 1, 0, 900);
        harness.offerLoad(100, 3, 0, 2, 0);
        harness.call(200, 0, 2);
        harness.call(201, 0, 3);
        harness.call(202, 0, 3);
        harness.assertTrace("one-slow");
    }

    @Test
    void refusesAtOnceWhileLocalProcessorIsDown() {
        RouterHarness harness = threeExchanges();
        harness.call(1, 0, 1);
        harness.outcome(1, NOT_SENT, PROCESSOR_FULL, 0);
        harness.assertTrace("own-down");
    }

    @Test
    void classifiesRedialsByFirstTryOfCaller() {
        RouterHarness harness =
                threeExchanges().circuits(1, 5, 50).circuits(2, 0, 50).circuits(3, 0, 50);
        harness.offerLoad(1, 100, 0, 1, 100).circuits(1, 0, 50);
        harness.dial(500, 77, false, false);
        harness.advance(500)
                .circuits(1, 5, 50)
                .note("5 of 50 free: room for what may be in time")
                .dial(501, 77, true, false);
        harness.advance(500).circuits(1, 0, 50).note("past the target").dial(502, 77, true, false);
        harness.note("cut and come again").circuits(1, 5, 50).dial(503, 0, true, true);
        harness.note("another caller of the same number").dial(504, 77, false, false);
        harness.assertTrace("redials");
    }

    @Test
    void triesNumberWithBusyLinesAfterGrowingGaps() {
        RouterHarness harness = threeExchanges();
        harness.dial(1, 77, false, false);
        harness.advance(50).outcome(1, ERROR, LINES_BUSY, 50);
        harness.dial(2, 77, false, false);
        harness.dial(3, 78, false, false);
        harness.advance(500).dial(4, 77, false, false);
        harness.advance(50).outcome(4, ERROR, LINES_BUSY, 50);
        harness.advance(900).dial(5, 77, false, false);
        harness.advance(100).dial(6, 77, false, false);
        harness.assertTrace("lines-busy");
    }

    @Test
    void remembersCalledNumbersAfterLateRefusal() {
        RouterHarness harness =
                threeExchanges().circuits(1, 0, 50).circuits(2, 0, 50).circuits(3, 0, 50);
        long now = harness.now();
        harness.advance(11_000);
        harness.call(new Session(1, 0, 0, 1, 1, -1, false, 77, true, false, now, now + 20_000_000));
        harness.advance(11_000).dial(2, 77, true, false);
        harness.advance(11_000).dial(3, 78, true, false);
        harness.assertTrace("old-numbers");
    }

    @Test
    void advertisesAndUsesOnwardRoutes() {
        RouterHarness harness = threeExchanges();
        harness.circuits(1, 0, 50).circuits(2, 9, 50).pendingActions().pendingActions();
        harness.advance(1000)
                .pendingActions()
                .advance(2000)
                .note("nothing new, but news grows old")
                .pendingActions();
        harness.circuits(2, 40, 50).advance(1000).pendingActions();
        harness.offerLoad(100, 20, 0, 3, 10).call(1, 0, 1);
        harness.note("2 tells that it has no way to 1").peerMessage(2, 0, 0xfd).call(2, 0, 1);
        harness.note("and 3 too").peerMessage(3, 0, 0xfd).call(3, 0, 1);
        harness.outcome(1, ESTABLISHED, NONE, 50);
        harness.note("2 has a way again; odd messages say nothing")
                .peerMessage(2, 0, 2)
                .peerMessage(3)
                .peerMessage()
                .peerMessage(9, 9, 1)
                .call(4, 0, 1);
        harness.outcome(4, ESTABLISHED, NONE, 50);
        harness.advance(6000)
                .note("old news holds nothing back, but the way it told of goes first")
                .call(5, 0, 1);
        harness.assertTrace("peers");
    }

    @Test
    void advertisesNoRoutesUnderLoad() {
        RouterHarness harness = threeExchanges();
        for (int id = 1; id <= 7; id++) {
            harness.call(id, 1, 1 + id % 3);
        }
        harness.pendingActions().advance(1000).note("no longer pressed");
        for (int id = 1; id <= 7; id++) {
            harness.outcome(id, ESTABLISHED, NONE, 100);
        }
        harness.pendingActions().assertTrace("pressed");
    }

    @Test
    void resubscribesSomeTimeAfterDirectoryFailure() {
        new RouterHarness()
                .pendingActions()
                .pendingActions()
                .directoryLost()
                .pendingActions()
                .advance(999)
                .pendingActions()
                .advance(1001)
                .pendingActions()
                .pendingActions()
                .assertTrace("directory");
    }

    @Test
    void overflowsToAnotherPool() {
        RouterHarness harness = new RouterHarness(4, 2, true).exchanges(READY, 0, 1, 2, 3);
        harness.circuits(1, 50, 50).circuits(2, 40, 50).circuits(3, 50, 50);
        harness.call(1, 0, 1);
        harness.exchanges(GONE, 0, 1)
                .note("pool 1 is gone; service 0 may use 1 and 2")
                .call(2, 0, 1);
        harness.exchanges(DRAINING, 0, 2).call(3, 0, 1);
        harness.call(4, 1, 1);
        harness.assertTrace("pools");
    }

    @Test
    void refusesNumberCalledAgainAtOnceWithoutCountingItAsLoad() {
        // Callers dialled one number 200 times in 0.2 s. Counted as load, these calls left no room
        // in the targets for other callers.
        RouterHarness harness = threeExchanges();
        harness.circuits(1, 0, 50).circuits(2, 0, 50).circuits(3, 0, 50);
        harness.note("full: refused, and told when to come back");
        for (int id = 1; id <= 5; id++) {
            harness.advance(10).dial(id, 7, false, false);
        }
        harness.circuits(1, 50, 50).note("there is room: callers of other numbers get it");
        harness.dial(6, 8, false, false);
        harness.dial(7, 7, false, false);
        harness.advance(300)
                .note("the one told to come back is served when it does")
                .dial(8, 7, true, false);
        harness.assertTrace("called-again");
    }

    @Test
    void immediateRepeatsDoNotChangeTargets() {
        RouterHarness[] harnesses = {threeExchanges(), threeExchanges()};
        for (RouterHarness harness : harnesses) {
            harness.circuits(1, 2, 50);
            harness.offerLoad(1000, 100, 0, 1, 20).offerLoad(2000, 40, 1, 1, 20);
            harness.circuits(1, 0, 50).circuits(2, 0, 50).circuits(3, 0, 50);
            harness.dial(1, 7, false, false);
            harness.dial(2, 7, false, false);
            harness.dial(3, 7, false, false);
        }
        for (int id = 10; id < 210; id++) {
            assertThat(harnesses[1].dial(id, 7, false, false).kind())
                    .isEqualTo(RoutingDecision.Kind.REFUSE);
        }
        StringBuilder[] sent = {new StringBuilder(), new StringBuilder()};
        for (int i = 0; i < 2; i++) {
            harnesses[i].advance(6000).circuits(1, 2, 50);
            for (int id = 5000; id < 5100; id++) {
                sent[i].append(harnesses[i].advance(20).call(id, id % 2, 1).kind()).append(' ');
            }
        }
        assertThat(sent[1].toString()).isEqualTo(sent[0].toString());
    }

    @Test
    void removesReplacedExchanges() throws Exception {
        // Each replaced exchange was retained with its windows, so a router's memory grew with the
        // number of replacements.
        ExponentialPenaltyRouter router =
                new ExponentialPenaltyRouter(
                        new Settings(
                                2,
                                0,
                                false,
                                List.of(
                                        new Settings.Service(
                                                1_000_000, 1, 0.1, 1, 10_000_000, true, List.of())),
                                4,
                                true,
                                true,
                                2_000_000,
                                true,
                                true,
                                300_000,
                                2,
                                2_000_000,
                                0.3,
                                10_000_000),
                        new SplittableRandom(1));
        for (long id = 1; id <= 500; id++) {
            router.onExchangeList(id, false, List.of(new Exchange(id, 1, READY, id)));
            router.onExchangeList(
                    id,
                    id % 2 == 0,
                    id % 2 == 0
                            ? List.of(new Exchange(id, 1, READY, id))
                            : List.of(new Exchange(id, 1, GONE, id)));
        }
        Field field = ExponentialPenaltyRouter.class.getDeclaredField("exchanges");
        field.setAccessible(true);
        assertThat((Map<?, ?>) field.get(router)).hasSizeLessThanOrEqualTo(2);
    }
}
