package coralcove;

import static coralcove.Cause.FULL_BEYOND;
import static coralcove.Cause.LINES_BUSY;
import static coralcove.Cause.NONE;
import static coralcove.Cause.NO_CIRCUIT;
import static coralcove.Cause.PROCESSOR_FULL;
import static coralcove.Cause.TURNED_BACK;
import static coralcove.Ending.BUSY;
import static coralcove.Ending.CANCELLED;
import static coralcove.Ending.ERROR;
import static coralcove.Ending.NOT_SENT;
import static coralcove.Ending.RESET;
import static coralcove.Ending.STANDS;
import static coralcove.Ending.TIMED_OUT;
import static coralcove.Exchange.Phase.DRAINING;
import static coralcove.Exchange.Phase.GONE;
import static coralcove.Exchange.Phase.READY;
import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Field;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Each test plays a short scene and compares what was decided with the trace kept under
 * src/test/resources.
 */
class ChoiceTest {
    private static Desk three() {
        return new Desk()
                .roster(READY, 0, 0, 1, 2, 3)
                .circuits(1, 50, 50)
                .circuits(2, 50, 50)
                .circuits(3, 50, 50);
    }

    @Test
    void cheapSessionsAreThinnedInATightGroupAndDearOnesPass() {
        Desk desk = three();
        desk.load(1, 200, 0, 1, 100).circuits(1, 1, 50);
        desk.load(1000, 40, 1, 1, 50);
        for (int round = 0; round < 4; round++) {
            desk.circuits(1, 1, 50).call(2000 + round, 0, 1);
            desk.circuits(1, 1, 50).call(3000 + round, 1, 1);
            desk.pass(2500);
        }
        desk.circuits(1, 12, 50).call(4000, 0, 1);
        desk.reads("thinned");
    }

    @Test
    void phantomsLiveOneHoldAndLetTheClassInAgain() {
        Desk desk = three();
        desk.load(1, 300, 0, 1, 50).circuits(1, 0, 50);
        desk.load(1000, 30, 0, 1, 100);
        desk.circuits(1, 2, 50).call(2000, 0, 1);
        desk.pass(11_000).circuits(1, 2, 50).call(2001, 0, 1);
        desk.reads("phantoms");
    }

    @Test
    void degenerateGroups() {
        Desk desk = three();
        desk.circuits(1, 1, 50).note("no load yet, one circuit free").call(1, 0, 1);
        desk.circuits(2, 0, 0).note("no group to 2").call(2, 0, 2);
        desk.note("number 9 is on no list").call(3, 0, 9);
        desk.circuits(3, 0, 50).circuits(1, 0, 50).note("all groups full").call(4, 1, 3);
        desk.circuits(2, 40, 50)
                .peer(2, 0, 0xff)
                .note("an odd far end, after news of ways on")
                .call(6, 0, -100);
        new Desk().call(5, 0, 1);
        desk.reads("degenerate");
    }

    @Test
    void aFullGroupOverflowsToTheRoomyTandemOfLeastSlope() {
        Desk desk = three();
        desk.load(1, 60, 0, 2, 100).load(100, 20, 0, 3, 100);
        desk.circuits(1, 0, 50).circuits(2, 30, 50).circuits(3, 30, 50);
        desk.call(1000, 0, 1);
        desk.after(1000, BUSY, TURNED_BACK, 40);
        desk.after(1000, BUSY, FULL_BEYOND, 40);
        desk.note("3 turned back for 1 a moment ago").call(1001, 0, 1);
        desk.circuits(2, 4, 50)
                .circuits(3, 4, 50)
                .note("tandems under a tenth free")
                .call(1002, 0, 1);
        desk.reads("overflow");
    }

    @Test
    void withoutAGroupATandemKnownToLeadThereGoesFirstAndAnUnknownOneRestsEverLonger() {
        Desk desk = three().circuits(1, 0, 0).circuits(3, 40, 50);
        desk.note("equal slopes: most circuits free").call(1, 0, 1);
        desk.after(1, BUSY, TURNED_BACK, 40);
        desk.after(1, BUSY, TURNED_BACK, 40);
        desk.pass(4000).call(2, 0, 1);
        desk.after(2, BUSY, TURNED_BACK, 40);
        desk.after(2, STANDS, NONE, 40);
        desk.pass(4000).note("2 rests for twice as long, 3 stood").call(3, 0, 1);
        desk.pass(4000).call(4, 0, 1);
        desk.note("a centre advises 2").advised(5, 1, 2);
        desk.reads("ways-on");
    }

    @Test
    void aSlowOrFullExchangeIsNoTandemForAWhile() {
        Desk desk = three().circuits(1, 0, 50);
        desk.call(1, 0, 1);
        desk.after(1, STANDS, NONE, 700);
        desk.call(2, 0, 1);
        desk.after(2, BUSY, PROCESSOR_FULL, 5);
        desk.call(3, 0, 1);
        desk.pass(4000).call(4, 0, 1);
        desk.reads("slow-tandem");
    }

    @Test
    void transitGoesOnlyToItsFarEndAndOnlyWhileATenthIsFree() {
        Desk desk = three();
        desk.circuits(1, 12, 50).transit(1, 0, 1);
        desk.pass(5000).circuits(1, 6, 50).transit(2, 0, 1);
        desk.circuits(1, 4, 50).note("under a tenth free").transit(4, 0, 1);
        desk.circuits(1, 0, 50).transit(3, 1, 1);
        desk.after(1, BUSY, PROCESSOR_FULL, 40);
        desk.reads("transit");
    }

    @Test
    void everySessionGetsOneFinalAnswerInTime() {
        Desk desk = three();
        desk.call(1, 0, 1);
        desk.pass(3000).after(1, TIMED_OUT, NONE, 3000);
        desk.call(2, 0, 2);
        desk.pass(100).after(2, RESET, NONE, 100, true);
        desk.ended(2).after(2, RESET, NONE, 100, true);
        long now = desk.now();
        desk.call(new Session(3, 0, 0, 2, 1, -1, false, 0, true, false, now, now + 250_000));
        desk.note("the release wait would outlast the caller").after(3, RESET, NONE, 10);
        desk.pass(4000).circuits(1, 0, 50).call(4, 0, 1);
        for (int i = 0; i < 2; i++) {
            desk.circuits(2, 40, 50).circuits(3, 40, 50).after(4, NOT_SENT, NO_CIRCUIT, 0);
        }
        desk.reads("one-answer");
    }

    @Test
    void theReleaseWaitIsKept() {
        Desk desk = three();
        desk.circuits(1, 0, 50).call(1, 0, 1);
        desk.pass(100).after(1, CANCELLED, NONE, 100);
        desk.again(1);
        desk.pass(299).again(1);
        desk.pass(1).again(1);
        desk.reads("release");
    }

    @Test
    void nothingNewToDrainingOrGone() {
        Desk desk = three();
        desk.roster(DRAINING, 0, 1).roster(GONE, 0, 2);
        desk.call(1, 0, 1);
        desk.transit(2, 0, 2);
        desk.circuits(3, 0, 50).note("no tandem among those left").call(3, 0, 3);
        desk.roster(READY, 0, 1).call(4, 0, 1);
        desk.reads("drains");
    }

    @Test
    void aFreshExchangeGetsThisRoutersPartOnly() {
        Desk desk =
                new Desk(4, 4).roster(READY, 0, 0, 1, 2, 3).circuits(1, 50, 50).circuits(2, 50, 50);
        desk.load(1, 100, 0, 2, 100);
        desk.roster(READY, desk.now(), 1).note("1 started just now");
        desk.load(200, 40, 0, 1, 100).load(300, 80, 0, 1, 100);
        desk.circuits(1, 50, 50).load(400, 40, 0, 1, 100);
        desk.reads("fresh");
    }

    @Test
    void inALargeFleetAFreshExchangeGetsLessThanOneSetUpAWindowFromEach() {
        Desk desk =
                new Desk(4, 90)
                        .roster(READY, 0, 0, 1, 2, 3)
                        .circuits(1, 50, 50)
                        .circuits(2, 50, 50);
        desk.load(1, 100, 0, 2, 100);
        desk.roster(READY, desk.now(), 1).load(200, 95, 0, 1, 100);
        desk.load(300, 20, 0, 1, 100).reads("fresh-large");
    }

    @Test
    void failuresInARowCloseAnExchangeUntilATrialIsAnswered() {
        Desk desk = three();
        for (int id = 1; id <= 3; id++) {
            desk.call(id, 1, 1);
        }
        desk.pass(3000);
        for (int id = 1; id <= 3; id++) {
            desk.after(id, TIMED_OUT, NONE, 3000);
        }
        desk.call(4, 1, 1);
        desk.pass(500).note("a trial is due").call(5, 1, 1);
        desk.call(6, 1, 1);
        desk.pass(80).after(5, STANDS, NONE, 80);
        desk.call(7, 1, 1);
        desk.reads("failures");
    }

    @Test
    void whileAnswersGetLostAnInviteEndsEarlyEnoughToBeSentAgainInTime() {
        Desk desk = three();
        for (int id = 1; id <= 8; id++) {
            desk.call(id, 0, 1 + id % 3);
            desk.pass(id < 6 ? 3000 : 500).after(id, TIMED_OUT, NONE, id < 6 ? 3000 : 500, id < 6);
            if (id >= 6) {
                desk.pass(300).again(id);
                desk.pass(50).after(id, STANDS, NONE, 50);
            } else {
                desk.load(100 * id, 1, 0, 1 + id % 3, 500);
            }
        }
        for (int id = 20; id <= 25; id++) {
            desk.call(id, 1, 1);
            if (id < 22) {
                desk.after(id, TIMED_OUT, NONE, 500, true);
            }
        }
        desk.reads("lost");
    }

    @Test
    void invitesOlderThanTheClosingPutNoTrialOff() {
        Desk desk = three();
        for (int id = 1; id <= 4; id++) {
            desk.call(id, 1, 1);
        }
        for (int id = 1; id <= 3; id++) {
            desk.after(id, TIMED_OUT, NONE, 900);
        }
        desk.pass(500).note("the fourth is still out").call(5, 1, 1);
        desk.after(4, TIMED_OUT, NONE, 900);
        desk.pass(1000).after(5, TIMED_OUT, NONE, 1000);
        desk.pass(900).call(6, 1, 1);
        desk.pass(100).note("one failed trial: 1 s").call(7, 1, 1);
        desk.reads("trials");
    }

    @Test
    void slowSetUpsNarrowTheWindowAndQuickOnesWidenIt() {
        Desk desk = three();
        desk.load(1, 12, 0, 1, 0, 600);
        desk.call(20, 0, 1);
        desk.note("one in flight fills what is left").call(21, 0, 1);
        desk.pass(90).after(20, STANDS, NONE, 90);
        desk.load(100, 30, 0, 1, 20);
        desk.call(30, 0, 1);
        desk.call(31, 0, 1);
        desk.after(30, BUSY, PROCESSOR_FULL, 5);
        desk.note("a full processor is left alone for a moment").call(32, 1, 1);
        desk.pass(300).call(33, 1, 1);
        desk.reads("windows");
    }

    @Test
    void oneSlowExchangeDoesNotCloseTheWayToOthers() {
        Desk desk = three();
        desk.load(1, 40, 0, 1, 0, 900);
        desk.load(100, 3, 0, 2, 0);
        desk.call(200, 0, 2);
        desk.call(201, 0, 3);
        desk.call(202, 0, 3);
        desk.reads("one-slow");
    }

    @Test
    void anOwnProcessorThatIsDownEndsTheSessionAtOnce() {
        Desk desk = three();
        desk.call(1, 0, 1);
        desk.after(1, NOT_SENT, PROCESSOR_FULL, 0);
        desk.reads("own-down");
    }

    @Test
    void redialsAreJudgedByTheirCallersFirstTry() {
        Desk desk = three().circuits(1, 5, 50).circuits(2, 0, 50).circuits(3, 0, 50);
        desk.load(1, 100, 0, 1, 100).circuits(1, 0, 50);
        desk.dial(500, 77, false, false);
        desk.pass(500)
                .circuits(1, 5, 50)
                .note("5 of 50 free: room for what may be in time")
                .dial(501, 77, true, false);
        desk.pass(500).circuits(1, 0, 50).note("past the target").dial(502, 77, true, false);
        desk.note("cut and come again").circuits(1, 5, 50).dial(503, 0, true, true);
        desk.note("another caller of the same number").dial(504, 77, false, false);
        desk.reads("redials");
    }

    @Test
    void aNumberWithAllLinesBusyIsAskedAfterGrowingGaps() {
        Desk desk = three();
        desk.dial(1, 77, false, false);
        desk.pass(50).after(1, ERROR, LINES_BUSY, 50);
        desk.dial(2, 77, false, false);
        desk.dial(3, 78, false, false);
        desk.pass(500).dial(4, 77, false, false);
        desk.pass(50).after(4, ERROR, LINES_BUSY, 50);
        desk.pass(900).dial(5, 77, false, false);
        desk.pass(100).dial(6, 77, false, false);
        desk.reads("lines-busy");
    }

    @Test
    void aSessionRefusedLongAfterItCameLeavesNoHoleInTheMemoryOfNumbers() {
        Desk desk = three().circuits(1, 0, 50).circuits(2, 0, 50).circuits(3, 0, 50);
        long now = desk.now();
        desk.pass(11_000);
        desk.call(new Session(1, 0, 0, 1, 1, -1, false, 77, true, false, now, now + 20_000_000));
        desk.pass(11_000).dial(2, 77, true, false);
        desk.pass(11_000).dial(3, 78, true, false);
        desk.reads("old-numbers");
    }

    @Test
    void routersTellEachOtherWhichWaysOnAreOpen() {
        Desk desk = three();
        desk.circuits(1, 0, 50).circuits(2, 9, 50).tells().tells();
        desk.pass(1000).tells().pass(2000).note("nothing new, but news grows old").tells();
        desk.circuits(2, 40, 50).pass(1000).tells();
        desk.load(100, 20, 0, 3, 10).call(1, 0, 1);
        desk.note("2 tells that it has no way to 1").peer(2, 0, 0xfd).call(2, 0, 1);
        desk.note("and 3 too").peer(3, 0, 0xfd).call(3, 0, 1);
        desk.after(1, STANDS, NONE, 50);
        desk.note("2 has a way again; odd messages say nothing")
                .peer(2, 0, 2)
                .peer(3)
                .peer()
                .peer(9, 9, 1)
                .call(4, 0, 1);
        desk.after(4, STANDS, NONE, 50);
        desk.pass(6000)
                .note("old news holds nothing back, but the way it told of goes first")
                .call(5, 0, 1);
        desk.reads("peers");
    }

    @Test
    void aPressedRouterTellsOfNoWaysOn() {
        Desk desk = three();
        for (int id = 1; id <= 7; id++) {
            desk.call(id, 1, 1 + id % 3);
        }
        desk.tells().pass(1000).note("no longer pressed");
        for (int id = 1; id <= 7; id++) {
            desk.after(id, STANDS, NONE, 100);
        }
        desk.tells().reads("pressed");
    }

    @Test
    void aDirectoryThatFailsIsAskedAgainAfterAWhile() {
        new Desk()
                .tells()
                .tells()
                .lost()
                .tells()
                .pass(999)
                .tells()
                .pass(1001)
                .tells()
                .tells()
                .reads("directory");
    }

    @Test
    void anotherPoolServesWhatTheFirstChoiceCannot() {
        Desk desk = new Desk(4, 2, true).roster(READY, 0, 1, 2, 3);
        desk.circuits(1, 50, 50).circuits(2, 40, 50).circuits(3, 50, 50);
        desk.call(1, 0, 1);
        desk.roster(GONE, 0, 1).note("pool 1 is gone; service 0 may use 1 and 2").call(2, 0, 1);
        desk.roster(DRAINING, 0, 2).call(3, 0, 1);
        desk.call(4, 1, 1);
        desk.reads("pools");
    }

    @Test
    void aNumberThatIsCalledAgainAtOnceIsRefusedAndIsNoLoad() {
        // Strangers called one number 200 times in 0.2 s; counted, they left no room in the targets
        // for callers.
        Desk desk = three();
        desk.circuits(1, 0, 50).circuits(2, 0, 50).circuits(3, 0, 50);
        desk.note("full: refused, and told when to come back");
        for (int id = 1; id <= 5; id++) {
            desk.pass(10).dial(id, 7, false, false);
        }
        desk.circuits(1, 50, 50).note("there is room: callers of other numbers get it");
        desk.dial(6, 8, false, false);
        desk.dial(7, 7, false, false);
        desk.pass(300)
                .note("the one told to come back is served when it does")
                .dial(8, 7, true, false);
        desk.reads("called-again");
    }

    @Test
    void repeatsAtOnceDoNotMoveTheTargets() {
        Desk[] desks = {three(), three()};
        for (Desk desk : desks) {
            desk.circuits(1, 2, 50);
            desk.load(1000, 100, 0, 1, 20).load(2000, 40, 1, 1, 20);
            desk.circuits(1, 0, 50).circuits(2, 0, 50).circuits(3, 0, 50);
            desk.dial(1, 7, false, false);
            desk.dial(2, 7, false, false);
            desk.dial(3, 7, false, false);
        }
        for (int id = 10; id < 210; id++) {
            assertThat(desks[1].dial(id, 7, false, false).kind()).isEqualTo(Answer.Kind.REFUSE);
        }
        StringBuilder[] sent = {new StringBuilder(), new StringBuilder()};
        for (int i = 0; i < 2; i++) {
            desks[i].pass(6000).circuits(1, 2, 50);
            for (int id = 5000; id < 5100; id++) {
                sent[i].append(desks[i].pass(20).call(id, id % 2, 1).kind()).append(' ');
            }
        }
        assertThat(sent[1].toString()).isEqualTo(sent[0].toString());
    }

    @Test
    void exchangesThatAreReplacedAllDayAreNotKept() throws Exception {
        // Each was, with its rings: a router's memory grew with the replacements.
        Choice choice =
                new Choice(
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
            choice.roster(id, false, List.of(new Exchange(id, 1, READY, id)));
            choice.roster(
                    id,
                    id % 2 == 0,
                    id % 2 == 0
                            ? List.of(new Exchange(id, 1, READY, id))
                            : List.of(new Exchange(id, 1, GONE, id)));
        }
        Field kept = Choice.class.getDeclaredField("exchanges");
        kept.setAccessible(true);
        assertThat((Map<?, ?>) kept.get(choice)).hasSizeLessThanOrEqualTo(2);
    }
}
