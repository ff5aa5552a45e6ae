package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.bulletin.Bulletin;
import coralcove.platform.caller.CallerMessage;
import coralcove.platform.leg.LegMessages;
import coralcove.sip.SipMessage;
import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The router of the platform message by message, in virtual time, with the real module. */
class RouterCoreTest {
    private final PlatformDesk desk = PlatformDesk.serving();

    private void set(long caller, long call, int farEnd) {
        if (!desk.closedCallers.contains(caller)) {
            desk.core.callerOpened(desk.now(), caller);
        }
        desk.caller(caller, desk.setUp(call, farEnd, 1500));
    }

    /** The leg that the last INVITE of this call went out on. */
    private long legOf(long call) {
        String found =
                desk.messages.stream()
                        .filter(
                                each ->
                                        each.contains(" INVITE")
                                                && each.contains(
                                                        "call " + Long.toHexString(call) + ","))
                        .reduce((a, b) -> b)
                        .orElseThrow();
        return Long.parseLong(found.split(" ")[1]);
    }

    private void stands(long caller, long call, int farEnd) {
        set(caller, call, farEnd);
        desk.leg(legOf(call), PlatformDesk.ok(call));
    }

    private long count(String part) {
        return desk.messages.stream().filter(each -> each.contains(part)).count();
    }

    @Test
    void aSessionIsSetUpStandsAndIsReleasedFromEitherSide() {
        stands(1, 0xa1, 1);
        desk.to(3000);
        desk.leg(legOf(0xa1), PlatformDesk.bye(0xa1, 16));
        stands(2, 0xa2, 2);
        desk.caller(2, CallerMessage.withCause(CallerMessage.RELEASE, 0xa2, 16));
        desk.matches("platform-session");
    }

    @Test
    void busyRepliesAndErrorsEndInOneFinalAnswerAtOnce() {
        set(1, 0xb1, 1);
        desk.leg(
                legOf(0xb1),
                PlatformDesk.status(486, "Busy Here", 0xb1).add("Fail-Word", "occupied"));
        set(2, 0xb2, 1);
        desk.leg(
                legOf(0xb2),
                PlatformDesk.status(503, "Unavailable", 0xb2)
                        .add("Fail-Word", "swamped")
                        .add("Proc-Wait", "700"));
        set(3, 0xb3, 1);
        desk.to(1000);
        set(4, 0xb4, 1);
        desk.matches("platform-busy");
    }

    @Test
    void afterAResetTheReleaseWaitIsKeptAndNeverTwoInvitesAreOut() {
        desk.list(2, false, PlatformDesk.entry("s-03", 3, Bulletin.State.IN_SERVICE));
        desk.allUp();
        desk.notify(1, "x0:0;x1:40");
        set(1, 0xc1, 1);
        desk.down(legOf(0xc1), Down.BROKEN);
        desk.to(299);
        assertThat(count(" INVITE")).isEqualTo(1);
        desk.to(2000);
        desk.matches("platform-reset");
    }

    @Test
    void aTimedOutInviteIsCalledOffAndItsLateAnswerReleased() {
        set(1, 0xd1, 1);
        desk.to(500);
        desk.notify(legOf(0xd1), "x0:39;x1:40");
        desk.to(1600);
        desk.leg(legOf(0xd1), PlatformDesk.ok(0xd1));
        desk.matches("platform-timed-out");
    }

    @Test
    void whatACallerTakesBackIsCalledOffAndNothingIsOwed() {
        set(1, 0xe1, 1);
        desk.caller(1, CallerMessage.withCause(CallerMessage.RELEASE, 0xe1, 16));
        set(2, 0xe2, 1);
        desk.core.callerClosed(desk.now(), 2);
        desk.to(3000);
        assertThat(count("CANCEL")).isEqualTo(2);
        assertThat(count("caller ")).isZero();
    }

    @Test
    void aSpoiltAnswerResetsAllThatIsOutOnItsLegAndTheLegIsReplaced() {
        set(1, 0xf1, 1);
        long leg = legOf(0xf1);
        desk.raw(
                leg,
                "SIP/2.0 200 OK\r\n"
                        + "Call-ID: 00000000000000f1\r\n"
                        + "Content-Length: 3000000000\r\n\r\n");
        assertThat(desk.closedLegs).containsExactly(leg);
        desk.to(500);
        desk.matches("platform-spoilt");
    }

    @Test
    void aMessageThatDoesNotEndClosesItsLeg() {
        set(1, 0x11, 1);
        long leg = legOf(0x11);
        desk.raw(
                leg,
                "SIP/2.0 200 OK\r\n"
                        + "Call-ID: 0000000000000011\r\n"
                        + "CSeq: 1 INVITE\r\n"
                        + "Content-Length: 71\r\n\r\n"
                        + "9d41c");
        desk.to(1000);
        assertThat(desk.closedLegs).containsExactly(leg);
        assertThat(count("answer")).isZero();
    }

    @Test
    void anAnswerCutShortThatEndsInTheNextMessageIsNotPassedOn() {
        set(1, 0x12, 1);
        long leg = legOf(0x12);
        String next =
                new String(
                        PlatformDesk.ok(0x99).bytes(), java.nio.charset.StandardCharsets.US_ASCII);
        desk.raw(
                leg,
                "SIP/2.0 200 OK\r\n"
                        + "Call-ID: 0000000000000012\r\n"
                        + "CSeq: 1 INVITE\r\n"
                        + "Content-Length: 68\r\n\r\n"
                        + "9d41c07a5be2f318\r\n"
                        + "c=IN"
                        + next);
        assertThat(count("answer")).isZero();
        assertThat(desk.closedLegs).containsExactly(leg);
    }

    @Test
    void aSetUpWithoutAnIdOrWithASpoiltDescriptionIsNeverSent() {
        // Exchanges could not read it and closed the leg, with what callers had out on it.
        set(1, 0, 1);
        CallerMessage odd = desk.setUp(0x13, 1, 1500);
        odd.parameters().removeIf(each -> each.code() == CallerMessage.DESCRIPTION);
        desk.caller(1, odd.add(CallerMessage.DESCRIPTION, "9d41c07a5be2f318\r\nc=\u0007\r\n"));
        assertThat(count(" INVITE")).isZero();
        assertThat(count("cause 100")).isEqualTo(2);
    }

    @Test
    void secondCopiesAndAnswersUnderUnknownIdsArePassedOver() {
        set(1, 0x21, 1);
        long leg = legOf(0x21);
        desk.leg(leg, PlatformDesk.ok(0x99));
        desk.leg(leg, PlatformDesk.ok(0x21));
        desk.leg(leg, PlatformDesk.ok(0x21));
        assertThat(count("caller 1 answer 21")).isEqualTo(1);
        assertThat(count("BYE")).isZero();
    }

    @Test
    void twoSetUpsUnderOneIdAreNeverServed() {
        set(1, 0x31, 1);
        long leg = legOf(0x31);
        desk.caller(1, desk.setUp(0x31, 2, 1500));
        desk.leg(leg, PlatformDesk.ok(0x31));
        assertThat(count("answer")).isZero();
        assertThat(count("release 31 cause 81")).isEqualTo(1);
        // From another connection the one that came first goes on.
        set(2, 0x32, 1);
        set(3, 0x32, 2);
        desk.leg(legOf(0x32), PlatformDesk.ok(0x32));
        assertThat(count("caller 2 answer 32")).isEqualTo(1);
        assertThat(count("caller 3 release 32 cause 81")).isEqualTo(1);
    }

    @Test
    void figuresThatCannotBeAreAnsweredAndNeverSent() {
        desk.core.callerOpened(desk.now(), 1);
        String[] figures = {
            "dest:x;width:1;via:-1",
            "dest:1;width:-1;via:-1",
            "dest:1;width:9;via:-1",
            "dest:1;width:1;via:-2",
            "dest:99999999999;width:1;via:-1",
            "dest:1;dest:2;width:1",
            "",
            ";;"
        };
        int call = 0x40;
        for (String each : figures) {
            CallerMessage message =
                    CallerMessage.of(CallerMessage.SET_UP, ++call)
                            .add(CallerMessage.SERVICE, "lookup")
                            .add(CallerMessage.WAIT, "1500")
                            .add(CallerMessage.NUMBER, "7f3a9c21e0b4d655")
                            .add(CallerMessage.FIGURES, each)
                            .add(CallerMessage.DESCRIPTION, PlatformDesk.SDP);
            desk.caller(1, message);
        }
        CallerMessage unknown =
                CallerMessage.of(CallerMessage.SET_UP, 0x60).add(CallerMessage.SERVICE, "none");
        desk.caller(1, unknown);
        assertThat(count("cause 100")).isEqualTo(figures.length + 1);
        assertThat(count("INVITE")).isZero();
    }

    @Test
    void whatCannotBeReadOrSaysNothingIsClosedWithinThreeSeconds() {
        for (long id = 1; id <= 5; id++) {
            desk.core.callerOpened(desk.now(), id);
        }
        desk.core.callerRead(desk.now(), 1, new byte[] {(byte) 0xff, (byte) 0xff, 1, 2, 3});
        desk.core.callerRead(desk.now(), 2, new byte[] {0, 0});
        // Half a message; a byte now and then; and one that says nothing.
        desk.core.callerRead(desk.now(), 3, new byte[] {0, 40, 1});
        desk.core.callerRead(desk.now(), 4, new byte[] {0, 40, 1});
        assertThat(desk.closedCallers).containsExactly(1L, 2L);
        for (int ms = 200; ms < 3000; ms += 200) {
            desk.to(ms);
            desk.core.callerRead(desk.now(), 4, new byte[] {0});
        }
        assertThat(desk.closedCallers).containsExactlyInAnyOrder(1L, 2L, 3L, 4L, 5L);
    }

    @Test
    void strangersByHundredsPushNoCallerOut() {
        // They did: a call's release then found no connection of the callers' for more than a
        // second.
        PlatformDesk small = new PlatformDesk(100);
        small.quiet = true;
        for (long id = 1; id <= 40; id++) {
            small.core.callerOpened(small.now(), id);
            small.core.callerRead(
                    small.now(), id, CallerMessage.withCause(CallerMessage.TEST, 7, 0).bytes());
        }
        small.to(600);
        for (long id = 41; id <= 400; id++) {
            small.core.callerOpened(small.now(), id);
        }
        small.to(700);
        // Who just came may have a set-up on its way.
        assertThat(small.closedCallers).isEmpty();
        small.to(900);
        assertThat(400 - small.closedCallers.size()).isEqualTo(48);
        assertThat(small.closedCallers).allMatch(id -> id > 40);
    }

    @Test
    void callersThatKeepTheirConnectionsMakeRoomLongestSilentFirst() {
        PlatformDesk small = new PlatformDesk(100);
        small.quiet = true;
        for (long id = 1; id <= 100; id++) {
            small.core.callerOpened(small.now(), id);
            small.core.callerRead(
                    small.now(), id, CallerMessage.withCause(CallerMessage.TEST, 7, 0).bytes());
            small.to(10 * id);
        }
        small.to(3000);
        assertThat(100 - small.closedCallers.size()).isBetween(42, 48);
        assertThat(small.closedCallers).allMatch(id -> id <= 58);
    }

    @Test
    void aCrowdOfStrangersTakesNoConnectionOfWhoHasACall() {
        // Who had a call and had not heard of one yet was closed like a stranger, and its release
        // had nowhere to go.
        stands(1, 0x42, 1);
        for (long id = 5; id <= 7; id++) {
            desk.core.callerOpened(desk.now(), id);
            desk.caller(id, CallerMessage.withCause(CallerMessage.TEST, 7, 0));
        }
        desk.to(200);
        desk.core.crowded(desk.now());
        desk.core.crowded(desk.now());
        assertThat(desk.closedCallers).containsExactly(5L, 6L, 7L);
    }

    @Test
    void nearTheBoundTwoOfNoUseGoForEachThatComes() {
        PlatformDesk small = new PlatformDesk(100);
        small.quiet = true;
        for (long id = 1; id <= 4; id++) {
            small.core.callerOpened(small.now(), id);
            small.core.callerRead(
                    small.now(), id, CallerMessage.withCause(CallerMessage.TEST, 7, 0).bytes());
            small.core.callerRead(
                    small.now(), id, CallerMessage.of(CallerMessage.RELEASE_HEARD, 7).bytes());
        }
        for (long id = 5; id <= 7; id++) {
            small.core.callerOpened(small.now(), id);
        }
        small.core.crowded(small.now());
        assertThat(small.closedCallers).isEmpty();
        small.to(200);
        small.core.callerRead(
                small.now(), 1, CallerMessage.withCause(CallerMessage.TEST, 8, 0).bytes());
        small.core.crowded(small.now());
        assertThat(small.closedCallers).containsExactly(5L, 6L);
        // Callers' own connections stay while they are no more than their share.
        small.core.crowded(small.now());
        assertThat(small.closedCallers).containsExactly(5L, 6L, 7L);
    }

    @Test
    void aSetUpThatWasReadBeforeACloseIsLookedAtFirst() {
        // The router ran late: it lay in the queue as its connection was found silent, and went
        // down with it.
        desk.core.callerOpened(desk.now(), 9);
        long late = desk.now() + 1_900_000;
        desk.core.tick(late);
        desk.core.callerRead(late, 9, desk.setUp(0x41, 1, 1500).bytes());
        desk.decide();
        desk.core.caughtUp(late + 60_000);
        assertThat(desk.closedCallers).isEmpty();
        assertThat(count(" INVITE")).isEqualTo(1);
    }

    @Test
    void anExchangeThatRefusesConnectionsAndHasNoneIsDeadAndItsCallsAreReleased() {
        stands(1, 0x51, 1);
        for (long leg : new long[] {1, 3}) {
            desk.down(leg, Down.BROKEN);
        }
        for (int ms = 50; ms < 1500; ms += 50) {
            desk.to(ms);
            while (!desk.opening.isEmpty()) {
                desk.down(desk.opening.get(0), Down.REFUSED);
            }
        }
        assertThat(count("caller 1 release 51 cause 41")).isEqualTo(1);
    }

    /** Connections are refused, and tests answered or not, until this ms. */
    private void refusing(int from, int until, boolean answers) {
        int read = desk.messages.size();
        for (int ms = from; ms < until; ms += 50) {
            desk.to(ms);
            while (!desk.opening.isEmpty()) {
                desk.down(desk.opening.get(0), Down.REFUSED);
            }
            for (; answers && read < desk.messages.size(); read++) {
                String[] words = desk.messages.get(read).split("[ ,]+");
                if (words[0].equals("leg") && words[2].equals("OPTIONS")) {
                    desk.leg(
                            Long.parseLong(words[1]),
                            SipMessage.status(200, "OK")
                                    .add(
                                            "Call-ID",
                                            LegMessages.callId(Long.parseLong(words[5], 16)))
                                    .add("CSeq", "1 OPTIONS"));
                }
            }
        }
    }

    @Test
    void anExchangeThatDrainsTakesNoConnectionButItsCallsStandAsLongAsItAnswersTests() {
        // It refused further connections and was taken for dead: two calls were cut that stood.
        stands(1, 0x52, 1);
        desk.list(2, false, PlatformDesk.entry("s-01", 1, Bulletin.State.TERMINATING));
        refusing(50, 20_000, true);
        assertThat(count("release 52")).isZero();
        desk.list(3, false, PlatformDesk.entry("s-01", 1, Bulletin.State.TERMINATED));
        refusing(20_000, 22_000, false);
        assertThat(count("release 52")).isZero();
        // Its legs are open and say nothing more: what stood there is over.
        refusing(22_000, 24_000, false);
        assertThat(count("caller 1 release 52 cause 41")).isEqualTo(1);
    }

    @Test
    void oneThatHangsWhileItDrainsIsFoundOutThoughItsLegsStayOpenAndItRefusesConnections() {
        // Each refusal was taken for a sign of life, and the end of a call that it could not tell
        // was never told.
        stands(1, 0x55, 1);
        desk.list(2, false, PlatformDesk.entry("s-01", 1, Bulletin.State.TERMINATING));
        refusing(50, 6_000, false);
        assertThat(count("release 55")).isZero();
        refusing(6_000, 7_500, false);
        assertThat(count("caller 1 release 55 cause 41")).isEqualTo(1);
        // It may only hang: what is told as over does not stand on there.
        assertThat(count("BYE sip:0000000000000055@net")).isEqualTo(1);
    }

    @Test
    void legsOfTheProcessBeforeCarryNothingToAnExchangeThatStartedAnew() {
        // Half open, they took an INVITE that nobody read.
        stands(1, 0x57, 1);
        long since = desk.now() / 1000 + 1;
        desk.to(500);
        desk.core.bulletin(
                desk.now(),
                new Bulletin(
                        2,
                        List.of(
                                new Bulletin.Event(
                                        2,
                                        false,
                                        List.of(
                                                new Bulletin.Entry(
                                                        "s-01",
                                                        "10.1.0.1:5080",
                                                        1,
                                                        Bulletin.State.IN_SERVICE,
                                                        since))))));
        assertThat(desk.closedLegs).containsExactly(1L, 3L);
        assertThat(count("caller 1 release 57 cause 41")).isEqualTo(1);
        desk.to(600);
        desk.allUp();
        set(2, 0x58, 1);
        assertThat(legOf(0x58)).isGreaterThan(4);
    }

    @Test
    void aLegThatCameUpSinceTheNewStartStays() {
        // Tried while the machine was away, it is the new process's; with it went what was out and
        // what came on it.
        desk.down(1, Down.BROKEN);
        desk.down(3, Down.BROKEN);
        desk.to(250);
        List<Long> tried = List.copyOf(desk.opening);
        assertThat(tried).isNotEmpty();
        desk.to(300);
        long since = desk.now() / 1000;
        desk.to(400);
        desk.allUp();
        desk.core.bulletin(
                desk.now(),
                new Bulletin(
                        2,
                        List.of(
                                new Bulletin.Event(
                                        2,
                                        false,
                                        List.of(
                                                new Bulletin.Entry(
                                                        "s-01",
                                                        "10.1.0.1:5080",
                                                        1,
                                                        Bulletin.State.IN_SERVICE,
                                                        since))))));
        assertThat(desk.closedLegs).doesNotContainAnyElementsOf(tried);
    }

    @Test
    void whereTestsAreNotAllowedNoneIsSent() {
        PlatformDesk plain = new PlatformDesk(256, false);
        plain.list(1, true, PlatformDesk.entry("s-01", 1, Bulletin.State.IN_SERVICE));
        plain.allUp();
        plain.core.callerOpened(plain.now(), 1);
        plain.caller(1, plain.setUp(0x56, 1, 1500));
        plain.leg(1, PlatformDesk.ok(0x56));
        for (int ms = 50; ms <= 8_000; ms += 50) {
            plain.to(ms);
            while (!plain.opening.isEmpty()) {
                plain.down(plain.opening.get(0), Down.REFUSED);
            }
        }
        assertThat(plain.messages)
                .noneMatch(each -> each.contains("OPTIONS"))
                .anyMatch(each -> each.contains("caller 1 release 56 cause 41"));
    }

    @Test
    void aMachineThatVanishesIsFoundOutWithinEightSecondsThoughItsLegsStayOpen() {
        stands(1, 0x53, 1);
        for (int ms = 50; ms <= 7500; ms += 50) {
            desk.to(ms);
            for (long leg : desk.opening.toArray(new Long[0])) {
                desk.down(leg, Down.SILENT);
            }
        }
        assertThat(count("caller 1 release 53 cause 41")).isEqualTo(1);
    }

    @Test
    void aStalledProcessWhoseConnectionsComeUpKeepsItsCallsAsLongAsNewOnesBringAReport() {
        stands(1, 0x54, 1);
        for (int ms = 50; ms <= 20_000; ms += 50) {
            desk.to(ms);
            desk.allUp();
        }
        assertThat(count("release 54")).isZero();
        // The kernel takes connections for a process that does nothing: they come up and bring no
        // report.
        for (int ms = 20_050; ms <= 28_000; ms += 50) {
            desk.to(ms);
            while (!desk.opening.isEmpty()) {
                desk.core.legUp(desk.now(), desk.opening.remove(0));
            }
        }
        assertThat(count("caller 1 release 54 cause 41")).isEqualTo(1);
    }

    @Test
    void aCallToldAfterAStartIsHeldOrReleasedIfItEndedMeanwhile() {
        desk.core.callerOpened(desk.now(), 1);
        desk.leg(1, PlatformDesk.bye(0x62, 16));
        for (long call : new long[] {0x61, 0x62, 0x63}) {
            CallerMessage message =
                    CallerMessage.of(CallerMessage.SET_UP, call)
                            .add(CallerMessage.SERVICE, "lookup")
                            .add(CallerMessage.NUMBER, "7f3a9c21e0b4d655")
                            .add(
                                    CallerMessage.FIGURES,
                                    "dest:1;width:1;via:-1;at:" + (call == 0x63 ? "s-77" : "s-01"));
            desk.caller(1, message);
        }
        desk.leg(3, PlatformDesk.bye(0x61, 16));
        desk.matches("platform-told-standing");
    }

    @Test
    void aRestartedRouterDoesNotWaitLongForAnExchangeThatHangsSinceBefore() {
        // Its calls may have ended before the start: 6.5 s from then on are too late for them.
        PlatformDesk cold = new PlatformDesk();
        cold.core.callerOpened(cold.now(), 1);
        cold.list(
                1,
                true,
                PlatformDesk.entry("s-01", 1, Bulletin.State.IN_SERVICE),
                PlatformDesk.entry("s-02", 2, Bulletin.State.IN_SERVICE));
        for (long call = 1; call <= 2; call++) {
            cold.caller(
                    1,
                    CallerMessage.of(CallerMessage.SET_UP, 0x66 + call)
                            .add(CallerMessage.SERVICE, "lookup")
                            .add(CallerMessage.NUMBER, "7f3a9c21e0b4d655")
                            .add(CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s-0" + call));
        }
        for (int ms = 50; ms <= 3_500; ms += 50) {
            cold.to(ms);
            for (long leg : cold.opening.toArray(new Long[0])) {
                // The first takes connections and says nothing; the other reports.
                cold.opening.remove(leg);
                cold.core.legUp(cold.now(), leg);
                if (cold.addresses.get(leg).equals("10.1.0.2:5080")) {
                    cold.notify(leg, "x0:40;x1:40");
                }
            }
        }
        assertThat(cold.messages)
                .contains("caller 1 release 67 cause 41")
                .noneMatch(each -> each.contains("release 68"));
    }

    @Test
    void anExchangeThatWasNotListenedForHasItsFirstWordFromWhenACallIsTold() {
        // One that drains has no leg until a call is told to stand there; counted from the start
        // its time was over by then.
        PlatformDesk cold = new PlatformDesk();
        cold.list(1, true, PlatformDesk.entry("s-01", 1, Bulletin.State.TERMINATING));
        cold.to(4_000);
        cold.core.callerOpened(cold.now(), 1);
        cold.caller(
                1,
                CallerMessage.of(CallerMessage.SET_UP, 0x69)
                        .add(CallerMessage.SERVICE, "lookup")
                        .add(CallerMessage.NUMBER, "7f3a9c21e0b4d655")
                        .add(CallerMessage.FIGURES, "dest:1;width:1;via:-1;at:s-01"));
        cold.to(4_100);
        cold.allUp();
        cold.to(6_000);
        assertThat(cold.messages).noneMatch(each -> each.contains("release 69"));
        assertThat(cold.core.counts()).contains("standing 1");
    }

    @Test
    void aCallersReleaseWaitsForALegWhereNoneIsUp() {
        // It was dropped, and the call stood on at its exchange, circuits and all.
        stands(1, 0x64, 1);
        desk.down(1, Down.BROKEN);
        desk.down(3, Down.BROKEN);
        desk.caller(1, CallerMessage.withCause(CallerMessage.RELEASE, 0x64, 16));
        assertThat(count("BYE")).isZero();
        desk.to(200);
        desk.allUp();
        assertThat(count("BYE sip:0000000000000064@net")).isEqualTo(1);
    }

    @Test
    void aCallToldToStandAtAnExchangeThatIsNotListedYetIsKeptUntilTheListIsKnown() {
        // A restarted router cut it: the exchange had started after the list of its configuration
        // was written.
        for (boolean listed : new boolean[] {true, false}) {
            PlatformDesk cold = new PlatformDesk();
            cold.core.callerOpened(cold.now(), 1);
            cold.core.bulletin(
                    cold.now(),
                    new Bulletin(
                            1,
                            List.of(
                                    new Bulletin.Event(
                                            1,
                                            true,
                                            List.of(
                                                    PlatformDesk.entry(
                                                            "s-01",
                                                            1,
                                                            Bulletin.State.IN_SERVICE))))));
            cold.caller(
                    1,
                    CallerMessage.of(CallerMessage.SET_UP, 0x65)
                            .add(CallerMessage.SERVICE, "lookup")
                            .add(CallerMessage.NUMBER, "7f3a9c21e0b4d655")
                            .add(CallerMessage.FIGURES, "dest:2;width:1;via:-1;at:s-02"));
            cold.allUp();
            cold.to(500);
            assertThat(cold.messages).noneMatch(each -> each.contains("release 65"));
            cold.list(
                    2,
                    true,
                    PlatformDesk.entry("s-01", 1, Bulletin.State.IN_SERVICE),
                    PlatformDesk.entry(listed ? "s-02" : "s-03", 2, Bulletin.State.IN_SERVICE));
            cold.allUp();
            assertThat(
                            cold.messages.stream()
                                    .filter(each -> each.equals("caller 1 release 65 cause 41"))
                                    .count())
                    .isEqualTo(listed ? 0 : 1);
            if (listed) {
                long leg =
                        cold.addresses.entrySet().stream()
                                .filter(each -> each.getValue().equals("10.1.0.2:5080"))
                                .findFirst()
                                .orElseThrow()
                                .getKey();
                cold.leg(leg, PlatformDesk.bye(0x65, 16));
                assertThat(cold.messages).contains("caller 1 release 65 cause 16");
            }
        }
    }

    @Test
    void newsOfACallWaitsForACallersConnection() {
        stands(1, 0x71, 1);
        desk.core.callerClosed(desk.now(), 1);
        desk.leg(legOf(0x71), PlatformDesk.bye(0x71, 16));
        assertThat(count("release 71")).isZero();
        // A stranger's connection is none of the callers'.
        desk.core.callerOpened(desk.now(), 2);
        assertThat(count("release 71")).isZero();
        desk.core.callerOpened(desk.now(), 3);
        desk.caller(3, CallerMessage.withCause(CallerMessage.TEST, 7, 0));
        assertThat(count("caller 3 release 71 cause 16")).isEqualTo(1);
    }

    @Test
    void aReleaseThatWasNotHeardIsToldAgainWhenItsConnectionCloses() {
        desk.core.callerOpened(desk.now(), 5);
        desk.caller(5, CallerMessage.withCause(CallerMessage.TEST, 7, 0));
        stands(1, 0x77, 1);
        stands(1, 0x78, 1);
        desk.leg(1, PlatformDesk.bye(0x77, 16));
        desk.leg(1, PlatformDesk.bye(0x78, 16));
        desk.caller(1, CallerMessage.of(CallerMessage.RELEASE_HEARD, 0x78));
        desk.core.callerClosed(desk.now(), 1);
        assertThat(count("caller 5 release 77 cause 16")).isEqualTo(1);
        assertThat(count("caller 5 release 78")).isZero();
    }

    @Test
    void newsGoesToWhoIsKnownToHearAndNotToStrangersThatTestAndStay() {
        // Releases went on the connection that sent something last, a stranger's, and no caller
        // heard of them.
        desk.core.callerOpened(desk.now(), 4);
        desk.caller(4, CallerMessage.of(CallerMessage.RELEASE_HEARD, 0x1));
        stands(1, 0x79, 1);
        for (long id = 5; id <= 9; id++) {
            desk.core.callerOpened(desk.now(), id);
            desk.caller(id, CallerMessage.withCause(CallerMessage.TEST, 7, 0));
        }
        desk.core.callerClosed(desk.now(), 1);
        desk.leg(legOf(0x79), PlatformDesk.bye(0x79, 16));
        assertThat(count("caller 4 release 79")).isEqualTo(1);
        // With nobody known to hear, the last that sent something is told, and who turns out to
        // hear soon after.
        stands(2, 0x7a, 1);
        desk.core.callerClosed(desk.now(), 2);
        desk.core.callerClosed(desk.now(), 4);
        desk.leg(legOf(0x7a), PlatformDesk.bye(0x7a, 16));
        assertThat(count("caller 9 release 7a")).isEqualTo(1);
        desk.caller(6, CallerMessage.of(CallerMessage.RELEASE_HEARD, 0x1));
        desk.to(400);
        assertThat(count("caller 6 release 7a")).isEqualTo(1);
    }

    @Test
    void newsGoesToWhoHasHadACallBeforeStrangersAndToTheNextWhileItIsNotHeard() {
        // Soon after the start nobody was known to hear: a stranger that tests and stays was told,
        // and nobody after it.
        stands(1, 0x7b, 1);
        stands(2, 0x7c, 1);
        for (long id = 5; id <= 9; id++) {
            desk.core.callerOpened(desk.now(), id);
            desk.caller(id, CallerMessage.withCause(CallerMessage.TEST, 7, 0));
        }
        desk.core.callerClosed(desk.now(), 1);
        desk.leg(legOf(0x7b), PlatformDesk.bye(0x7b, 16));
        assertThat(count("caller 2 release 7b cause 16")).isEqualTo(1);
        desk.to(290);
        assertThat(count("release 7b")).isEqualTo(1);
        desk.to(350);
        assertThat(count("caller 9 release 7b cause 16")).isEqualTo(1);
        desk.to(650);
        assertThat(count("caller 8 release 7b cause 16")).isEqualTo(1);
        desk.caller(8, CallerMessage.of(CallerMessage.RELEASE_HEARD, 0x7b));
        desk.to(3_000);
        assertThat(count("release 7b")).isEqualTo(3);
    }

    @Test
    void aReleaseOfACallFromBeforeTheStartIsPassedOnOnce() {
        desk.core.callerOpened(desk.now(), 1);
        desk.caller(1, CallerMessage.withCause(CallerMessage.TEST, 7, 0));
        desk.leg(1, PlatformDesk.bye(0x75, 16));
        desk.leg(3, PlatformDesk.bye(0x75, 16));
        assertThat(count("caller 1 release 75 cause 16")).isEqualTo(1);
        // One that this router ended itself is no news.
        stands(1, 0x76, 1);
        desk.leg(legOf(0x76), PlatformDesk.bye(0x76, 16));
        desk.leg(3, PlatformDesk.bye(0x76, 16));
        assertThat(count("caller 1 release 76")).isEqualTo(1);
    }

    @Test
    void nothingNewGoesToADrainingExchangeAlsoWhatWaitedForALeg() {
        for (long leg : new long[] {1, 3}) {
            desk.down(leg, Down.BROKEN);
        }
        set(1, 0x81, 1);
        assertThat(count("INVITE")).isZero();
        desk.list(2, false, PlatformDesk.entry("s-01", 1, Bulletin.State.TERMINATING));
        desk.allUp();
        desk.to(2000);
        assertThat(count("INVITE")).isZero();
        assertThat(count("caller 1 release 81")).isEqualTo(1);
    }

    @Test
    void aDrainedRouterAnswersWhatItOwesThenEnds() {
        set(1, 0x91, 1);
        desk.core.drain(desk.now());
        desk.caller(1, CallerMessage.withCause(CallerMessage.TEST, 7, 0));
        desk.to(600);
        desk.caller(1, desk.setUp(0x92, 2, 1500));
        desk.leg(legOf(0x92), PlatformDesk.ok(0x92));
        desk.to(1200);
        desk.caller(1, desk.setUp(0x93, 2, 1500));
        assertThat(desk.ended).isFalse();
        desk.leg(legOf(0x91), PlatformDesk.ok(0x91));
        desk.to(1480);
        // Sent as the router was about to end: it was taken, so it is answered.
        desk.caller(1, desk.setUp(0x94, 2, 1500));
        desk.to(2000);
        desk.matches("platform-drain");
        assertThat(desk.ended).isTrue();
    }

    @Test
    void aTestFailsUntilTheListIsKnown() {
        PlatformDesk cold = new PlatformDesk();
        cold.core.callerOpened(cold.now(), 1);
        cold.caller(1, CallerMessage.withCause(CallerMessage.TEST, 1, 0));
        cold.list(1, true, PlatformDesk.entry("s-01", 1, Bulletin.State.IN_SERVICE));
        cold.caller(1, CallerMessage.withCause(CallerMessage.TEST, 2, 0));
        cold.allUp();
        cold.caller(1, CallerMessage.withCause(CallerMessage.TEST, 3, 0));
        assertThat(cold.messages)
                .containsExactly(
                        "caller 1 test answer 1 cause 0",
                        "caller 1 test answer 2 cause 0",
                        "caller 1 test answer 3 cause 1");
    }

    @Test
    void aRouterIsNotReadyByTheListOfItsConfigurationAlone() {
        // It was: an INVITE went to an exchange that was told to drain after the configuration had
        // been written.
        PlatformDesk cold = new PlatformDesk();
        cold.core.callerOpened(cold.now(), 1);
        cold.core.bulletin(
                cold.now(),
                new Bulletin(
                        1,
                        List.of(
                                new Bulletin.Event(
                                        1,
                                        true,
                                        List.of(
                                                PlatformDesk.entry(
                                                        "s-01", 1, Bulletin.State.IN_SERVICE))))));
        cold.allUp();
        cold.caller(1, CallerMessage.withCause(CallerMessage.TEST, 1, 0));
        cold.core.bulletinAnswered(cold.now(), new Bulletin(1, List.of()));
        cold.caller(1, CallerMessage.withCause(CallerMessage.TEST, 2, 0));
        assertThat(cold.messages)
                .containsExactly(
                        "caller 1 test answer 1 cause 0", "caller 1 test answer 2 cause 1");
        // A bulletin that is down keeps nobody from serving.
        PlatformDesk down = new PlatformDesk();
        down.core.callerOpened(down.now(), 1);
        down.core.bulletin(
                down.now(),
                new Bulletin(
                        1,
                        List.of(
                                new Bulletin.Event(
                                        1,
                                        true,
                                        List.of(
                                                PlatformDesk.entry(
                                                        "s-01", 1, Bulletin.State.IN_SERVICE))))));
        down.allUp();
        down.core.bulletinLost(down.now());
        down.caller(1, CallerMessage.withCause(CallerMessage.TEST, 1, 0));
        down.to(1_600);
        down.caller(1, CallerMessage.withCause(CallerMessage.TEST, 2, 0));
        assertThat(down.messages)
                .containsExactly(
                        "caller 1 test answer 1 cause 0", "caller 1 test answer 2 cause 1");
    }

    @Test
    void manySetUpsInOneReadAreAllAnswered() {
        desk.core.callerOpened(desk.now(), 1);
        ByteBuffer all = ByteBuffer.allocate(1 << 17);
        for (int call = 1; call <= 500; call++) {
            all.put(desk.setUp(call, 1, 1500).bytes());
        }
        byte[] bytes = new byte[all.position()];
        all.flip();
        all.get(bytes);
        desk.quiet = true;
        desk.core.callerRead(desk.now(), 1, bytes);
        desk.to(3000);
        assertThat(count("caller 1 release")).isEqualTo(500);
        assertThat(desk.core.counts()).contains("in-hand 0 standing 0");
    }

    @Test
    void setUpsTakenBackInTheSameReadAreNotSent() {
        desk.core.callerOpened(desk.now(), 1);
        ByteBuffer all = ByteBuffer.allocate(1 << 16);
        for (int call = 1; call <= 100; call++) {
            all.put(desk.setUp(call, 1, 1500).bytes());
        }
        for (int call = 1; call <= 99; call++) {
            all.put(CallerMessage.withCause(CallerMessage.RELEASE, call, 16).bytes());
        }
        byte[] bytes = new byte[all.position()];
        all.flip();
        all.get(bytes);
        desk.quiet = true;
        desk.core.callerRead(desk.now(), 1, bytes);
        desk.decide();
        assertThat(count(" INVITE")).isEqualTo(1);
        assertThat(count("caller 1")).isZero();
        assertThat(desk.core.counts()).contains("given-up 99 ").contains("in-hand 1 ");
    }

    @Test
    void whoLeavesBeforeItsSetUpIsDecidedCausesNoInviteByReleaseOrByClosing() {
        // Its leaving lay in the queue, read, behind set-ups that were decided one by one.
        for (long id = 1; id <= 3; id++) {
            desk.core.callerOpened(desk.now(), id);
        }
        desk.core.callerRead(desk.now(), 1, desk.setUp(0x1, 1, 1500).bytes());
        desk.core.callerRead(desk.now(), 2, desk.setUp(0x2, 1, 1500).bytes());
        desk.core.callerRead(desk.now(), 3, desk.setUp(0x3, 2, 1500).bytes());
        desk.core.callerRead(
                desk.now(), 1, CallerMessage.withCause(CallerMessage.RELEASE, 1, 16).bytes());
        desk.core.callerClosed(desk.now(), 2);
        desk.decide();
        assertThat(count(" INVITE")).isEqualTo(1);
        assertThat(count("INVITE sip:0000000000000703@net")).isEqualTo(1);
        assertThat(count("caller 1")).isZero();
    }

    @Test
    void whoLeavesBetweenARefusalAndTheNextInviteCausesNone() {
        desk.list(2, false, PlatformDesk.entry("s-03", 3, Bulletin.State.IN_SERVICE));
        desk.allUp();
        set(1, 0xd1, 1);
        set(2, 0xd2, 1);
        long before = count(" INVITE");
        // Both are read, the refusal first: the module would try a tandem for both, and one caller
        // has left.
        desk.core.legRead(
                desk.now(),
                legOf(0xd1),
                PlatformDesk.status(480, "x", 0xd1).add("Fail-Word", "blocked").bytes());
        desk.core.legRead(
                desk.now(),
                legOf(0xd2),
                PlatformDesk.status(480, "x", 0xd2).add("Fail-Word", "blocked").bytes());
        desk.core.callerRead(
                desk.now(), 1, CallerMessage.withCause(CallerMessage.RELEASE, 0xd1, 16).bytes());
        desk.decide();
        assertThat(count(" INVITE")).isEqualTo(before + 1);
        assertThat(desk.messages.get(desk.messages.size() - 1))
                .contains("INVITE")
                .contains("call d2");
    }

    @Test
    void aDrainedRouterEndsOnceItsNewsWasHeardAndTakesNoneAfter() {
        // A release told in the last moment went down with the connection, and nobody told it
        // again.
        stands(1, 0x95, 1);
        desk.caller(1, CallerMessage.of(CallerMessage.RELEASE_HEARD, 0x1));
        desk.core.drain(desk.now());
        desk.to(1_100);
        desk.leg(legOf(0x95), PlatformDesk.bye(0x95, 16));
        desk.to(1_500);
        assertThat(desk.ended).isFalse();
        desk.caller(1, CallerMessage.of(CallerMessage.RELEASE_HEARD, 0x95));
        assertThat(desk.closedLegs).isEmpty();
        desk.to(1_900);
        assertThat(desk.ended).isTrue();
        assertThat(desk.closedLegs).containsExactly(1L, 2L, 3L, 4L);
        assertThat(desk.opening).isEmpty();
        // One that never says so does not hold the router.
        PlatformDesk deaf = PlatformDesk.serving();
        deaf.core.callerOpened(deaf.now(), 1);
        deaf.caller(1, deaf.setUp(0x96, 1, 1500));
        deaf.leg(1, PlatformDesk.ok(0x96));
        deaf.caller(1, CallerMessage.of(CallerMessage.RELEASE_HEARD, 0x1));
        deaf.core.drain(deaf.now());
        deaf.leg(1, PlatformDesk.bye(0x96, 16));
        deaf.to(2_500);
        assertThat(deaf.ended).isTrue();
    }

    @Test
    void anInviteCarriesWhatTheCallerSent() {
        set(1, 0xaa, 1);
        assertThat(
                        LegMessages.invite(
                                        0xaa,
                                        3,
                                        "7f3a9c21e0b4d655",
                                        "lookup",
                                        1499,
                                        PlatformDesk.SDP.getBytes(
                                                java.nio.charset.StandardCharsets.US_ASCII))
                                .bytes())
                .asString()
                .isEqualTo(
                        "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\n"
                                + "Via: SIP/2.0/TCP router\r\n"
                                + "Call-ID: 00000000000000aa\r\n"
                                + "CSeq: 3 INVITE\r\n"
                                + "Call-Kind: lookup\r\n"
                                + "Answer-Within: 1499\r\n"
                                + "Content-Type: application/sdp\r\n"
                                + "Content-Length: 68\r\n\r\n"
                                + PlatformDesk.SDP);
    }
}
