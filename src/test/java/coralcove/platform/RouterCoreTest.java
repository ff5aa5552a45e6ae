package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.caller.CallerMessage;
import coralcove.platform.discovery.DiscoveryUpdate;
import coralcove.platform.signaling.SignalingMessages;
import coralcove.sip.SipMessage;
import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the platform's router message by message, in virtual time, with the real policy. */
class RouterCoreTest {
    private final RouterCoreHarness harness = RouterCoreHarness.serving();

    /** Opens the caller's connection if it was not closed before, and sends a set-up. */
    private void setUp(long caller, long call, int farEnd) {
        if (!harness.closedCallers.contains(caller)) {
            harness.core.callerOpened(harness.now(), caller);
        }
        harness.callerSends(caller, harness.setUp(call, farEnd, 1500));
    }

    private long connectionOf(long call) {
        return harness.connectionOf(call);
    }

    private void establish(long caller, long call, int farEnd) {
        setUp(caller, call, farEnd);
        harness.exchangeSends(connectionOf(call), RouterCoreHarness.ok(call));
    }

    private long count(String part) {
        return harness.count(part);
    }

    @Test
    void establishesCallThatEitherSideReleases() {
        establish(1, 0xa1, 1);
        harness.advanceTo(3000);
        harness.exchangeSends(connectionOf(0xa1), RouterCoreHarness.bye(0xa1, 16));
        establish(2, 0xa2, 2);
        harness.callerSends(2, CallerMessage.withCause(CallerMessage.RELEASE, 0xa2, 16));
        harness.assertTraceMatches("platform-session");
    }

    @Test
    void answersOnceAndImmediatelyOnBusyAndErrorResponses() {
        setUp(1, 0xb1, 1);
        harness.exchangeSends(
                connectionOf(0xb1),
                RouterCoreHarness.status(486, "Busy Here", 0xb1).add("Fail-Word", "occupied"));
        setUp(2, 0xb2, 1);
        harness.exchangeSends(
                connectionOf(0xb2),
                RouterCoreHarness.status(503, "Unavailable", 0xb2)
                        .add("Fail-Word", "swamped")
                        .add("Proc-Wait", "700"));
        setUp(3, 0xb3, 1);
        harness.advanceTo(1000);
        setUp(4, 0xb4, 1);
        harness.assertTraceMatches("platform-busy");
    }

    @Test
    void waitsForReleaseAfterResetBeforeNextInvite() {
        harness.listExchanges(
                2, false, RouterCoreHarness.entry("s-03", 3, DiscoveryUpdate.State.IN_SERVICE));
        harness.connectAll();
        harness.reportState(1, "x0:0;x1:40");
        setUp(1, 0xc1, 1);
        harness.connectionDown(connectionOf(0xc1), ConnectionLoss.BROKEN);
        harness.advanceTo(299);
        assertThat(count(" INVITE")).isEqualTo(1);
        harness.advanceTo(2000);
        harness.assertTraceMatches("platform-reset");
    }

    @Test
    void cancelsTimedOutInviteAndReleasesItsLateAnswer() {
        setUp(1, 0xd1, 1);
        harness.advanceTo(500);
        harness.reportState(connectionOf(0xd1), "x0:39;x1:40");
        harness.advanceTo(1600);
        harness.exchangeSends(connectionOf(0xd1), RouterCoreHarness.ok(0xd1));
        harness.assertTraceMatches("platform-timed-out");
    }

    @Test
    void cancelsInviteWithoutAnswerWhenCallerLeaves() {
        setUp(1, 0xe1, 1);
        harness.callerSends(1, CallerMessage.withCause(CallerMessage.RELEASE, 0xe1, 16));
        setUp(2, 0xe2, 1);
        harness.core.callerClosed(harness.now(), 2);
        harness.advanceTo(3000);
        assertThat(count("CANCEL")).isEqualTo(2);
        assertThat(count("caller ")).isZero();
    }

    @Test
    void resetsInvitesAndReplacesConnectionOnMalformedResponse() {
        setUp(1, 0xf1, 1);
        long connection = connectionOf(0xf1);
        harness.exchangeSendsRaw(
                connection,
                "SIP/2.0 200 OK\r\n"
                        + "Call-ID: 00000000000000f1\r\n"
                        + "Content-Length: 3000000000\r\n\r\n");
        assertThat(harness.closedConnections).containsExactly(connection);
        harness.advanceTo(500);
        harness.assertTraceMatches("platform-spoilt");
    }

    @Test
    void closesConnectionOnIncompleteMessage() {
        setUp(1, 0x11, 1);
        long connection = connectionOf(0x11);
        harness.exchangeSendsRaw(
                connection,
                "SIP/2.0 200 OK\r\n"
                        + "Call-ID: 0000000000000011\r\n"
                        + "CSeq: 1 INVITE\r\n"
                        + "Content-Length: 71\r\n\r\n"
                        + "9d41c");
        harness.advanceTo(1000);
        assertThat(harness.closedConnections).containsExactly(connection);
        assertThat(count("answer")).isZero();
    }

    @Test
    void rejectsTruncatedAnswerThatSwallowsNextMessage() {
        setUp(1, 0x12, 1);
        long connection = connectionOf(0x12);
        String next =
                new String(
                        RouterCoreHarness.ok(0x99).encode(),
                        java.nio.charset.StandardCharsets.US_ASCII);
        harness.exchangeSendsRaw(
                connection,
                "SIP/2.0 200 OK\r\n"
                        + "Call-ID: 0000000000000012\r\n"
                        + "CSeq: 1 INVITE\r\n"
                        + "Content-Length: 68\r\n\r\n"
                        + "9d41c07a5be2f318\r\n"
                        + "c=IN"
                        + next);
        assertThat(count("answer")).isZero();
        assertThat(harness.closedConnections).containsExactly(connection);
    }

    @Test
    void refusesSetUpWithoutIdOrWithMalformedDescription() {
        // Exchanges closed the connection on such an INVITE, which reset all others on it.
        setUp(1, 0, 1);
        CallerMessage malformed = harness.setUp(0x13, 1, 1500);
        malformed.parameters().removeIf(each -> each.code() == CallerMessage.DESCRIPTION);
        harness.callerSends(
                1, malformed.add(CallerMessage.DESCRIPTION, "9d41c07a5be2f318\r\nc=\u0007\r\n"));
        assertThat(count(" INVITE")).isZero();
        assertThat(count("cause 100")).isEqualTo(2);
    }

    @Test
    void ignoresDuplicateAnswersAndAnswersWithUnknownIds() {
        setUp(1, 0x21, 1);
        long connection = connectionOf(0x21);
        harness.exchangeSends(connection, RouterCoreHarness.ok(0x99));
        harness.exchangeSends(connection, RouterCoreHarness.ok(0x21));
        harness.exchangeSends(connection, RouterCoreHarness.ok(0x21));
        assertThat(count("caller 1 answer 21")).isEqualTo(1);
        assertThat(count("BYE")).isZero();
    }

    @Test
    void refusesSetUpWithIdInUse() {
        setUp(1, 0x31, 1);
        long connection = connectionOf(0x31);
        harness.callerSends(1, harness.setUp(0x31, 2, 1500));
        harness.exchangeSends(connection, RouterCoreHarness.ok(0x31));
        assertThat(count("answer")).isZero();
        assertThat(count("release 31 cause 81")).isEqualTo(1);
        // If the second set-up comes on another connection, the first one continues.
        setUp(2, 0x32, 1);
        setUp(3, 0x32, 2);
        harness.exchangeSends(connectionOf(0x32), RouterCoreHarness.ok(0x32));
        assertThat(count("caller 2 answer 32")).isEqualTo(1);
        assertThat(count("caller 3 release 32 cause 81")).isEqualTo(1);
    }

    @Test
    void refusesSetUpsWithInvalidParameters() {
        harness.core.callerOpened(harness.now(), 1);
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
                            .add(CallerMessage.ATTRIBUTES, each)
                            .add(CallerMessage.DESCRIPTION, RouterCoreHarness.SDP);
            harness.callerSends(1, message);
        }
        CallerMessage unknown =
                CallerMessage.of(CallerMessage.SET_UP, 0x60).add(CallerMessage.SERVICE, "none");
        harness.callerSends(1, unknown);
        assertThat(count("cause 100")).isEqualTo(figures.length + 1);
        assertThat(count("INVITE")).isZero();
    }

    @Test
    void closesMalformedAndSilentCallerConnectionsWithinThreeSeconds() {
        for (long id = 1; id <= 5; id++) {
            harness.core.callerOpened(harness.now(), id);
        }
        harness.core.callerRead(harness.now(), 1, new byte[] {(byte) 0xff, (byte) 0xff, 1, 2, 3});
        harness.core.callerRead(harness.now(), 2, new byte[] {0, 0});
        // 3 sends half a message, 4 a byte now and then, 5 nothing.
        harness.core.callerRead(harness.now(), 3, new byte[] {0, 40, 1});
        harness.core.callerRead(harness.now(), 4, new byte[] {0, 40, 1});
        assertThat(harness.closedCallers).containsExactly(1L, 2L);
        for (int ms = 200; ms < 3000; ms += 200) {
            harness.advanceTo(ms);
            harness.core.callerRead(harness.now(), 4, new byte[] {0});
        }
        assertThat(harness.closedCallers).containsExactlyInAnyOrder(1L, 2L, 3L, 4L, 5L);
    }

    @Test
    void keepsCallersWhenHundredsOfSilentClientsConnect() {
        // Guards against closing callers' connections for clients that only connect: the release
        // of a call then had no connection for more than a second.
        RouterCoreHarness smallHarness = new RouterCoreHarness(100);
        smallHarness.traceDisabled = true;
        for (long id = 1; id <= 40; id++) {
            smallHarness.core.callerOpened(smallHarness.now(), id);
            smallHarness.core.callerRead(
                    smallHarness.now(),
                    id,
                    CallerMessage.withCause(CallerMessage.READINESS_CHECK, 7, 0).encode());
        }
        smallHarness.advanceTo(600);
        for (long id = 41; id <= 400; id++) {
            smallHarness.core.callerOpened(smallHarness.now(), id);
        }
        smallHarness.advanceTo(700);
        // A client that has just connected may have a set-up in transit.
        assertThat(smallHarness.closedCallers).isEmpty();
        smallHarness.advanceTo(900);
        assertThat(400 - smallHarness.closedCallers.size()).isEqualTo(48);
        assertThat(smallHarness.closedCallers).allMatch(id -> id > 40);
    }

    @Test
    void closesLongestSilentCallersWhenThereAreTooMany() {
        RouterCoreHarness smallHarness = new RouterCoreHarness(100);
        smallHarness.traceDisabled = true;
        for (long id = 1; id <= 100; id++) {
            smallHarness.core.callerOpened(smallHarness.now(), id);
            smallHarness.core.callerRead(
                    smallHarness.now(),
                    id,
                    CallerMessage.withCause(CallerMessage.READINESS_CHECK, 7, 0).encode());
            smallHarness.advanceTo(10 * id);
        }
        smallHarness.advanceTo(3000);
        assertThat(100 - smallHarness.closedCallers.size()).isBetween(42, 48);
        assertThat(smallHarness.closedCallers).allMatch(id -> id <= 58);
    }

    @Test
    void keepsConnectionsWithCallsAtConnectionLimit() {
        // Guards against closing a caller with a call that has not acknowledged any release yet:
        // the call's release then had no connection.
        establish(1, 0x42, 1);
        for (long id = 5; id <= 7; id++) {
            harness.core.callerOpened(harness.now(), id);
            harness.callerSends(id, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 7, 0));
        }
        harness.advanceTo(200);
        harness.core.connectionLimitReached(harness.now());
        harness.core.connectionLimitReached(harness.now());
        assertThat(harness.closedCallers).containsExactly(5L, 6L, 7L);
    }

    @Test
    void closesTwoIdleConnectionsForEachNewOneAtConnectionLimit() {
        RouterCoreHarness smallHarness = new RouterCoreHarness(100);
        smallHarness.traceDisabled = true;
        for (long id = 1; id <= 4; id++) {
            smallHarness.core.callerOpened(smallHarness.now(), id);
            smallHarness.core.callerRead(
                    smallHarness.now(),
                    id,
                    CallerMessage.withCause(CallerMessage.READINESS_CHECK, 7, 0).encode());
            smallHarness.core.callerRead(
                    smallHarness.now(),
                    id,
                    CallerMessage.of(CallerMessage.RELEASE_COMPLETE, 7).encode());
        }
        for (long id = 5; id <= 7; id++) {
            smallHarness.core.callerOpened(smallHarness.now(), id);
        }
        smallHarness.core.connectionLimitReached(smallHarness.now());
        assertThat(smallHarness.closedCallers).isEmpty();
        smallHarness.advanceTo(200);
        smallHarness.core.callerRead(
                smallHarness.now(),
                1,
                CallerMessage.withCause(CallerMessage.READINESS_CHECK, 8, 0).encode());
        smallHarness.core.connectionLimitReached(smallHarness.now());
        assertThat(smallHarness.closedCallers).containsExactly(5L, 6L);
        // Callers' connections are kept while they do not exceed their share.
        smallHarness.core.connectionLimitReached(smallHarness.now());
        assertThat(smallHarness.closedCallers).containsExactly(5L, 6L, 7L);
    }

    @Test
    void processesSetUpReadBeforeItsConnectionIsClosed() {
        // Guards against losing a set-up when the router is slow: it waited in the queue while its
        // connection was found silent and closed.
        harness.core.callerOpened(harness.now(), 9);
        long late = harness.now() + 1_900_000;
        harness.core.tick(late);
        harness.core.callerRead(late, 9, harness.setUp(0x41, 1, 1500).encode());
        harness.processAll();
        harness.core.allInputsProcessed(late + 60_000);
        assertThat(harness.closedCallers).isEmpty();
        assertThat(count(" INVITE")).isEqualTo(1);
    }

    @Test
    void releasesCallsOfExchangeThatRefusesConnectionsAndHasNone() {
        establish(1, 0x51, 1);
        for (long connection : new long[] {1, 3}) {
            harness.connectionDown(connection, ConnectionLoss.BROKEN);
        }
        for (int ms = 50; ms < 1500; ms += 50) {
            harness.advanceTo(ms);
            while (!harness.openingConnections.isEmpty()) {
                harness.connectionDown(harness.openingConnections.get(0), ConnectionLoss.REFUSED);
            }
        }
        assertThat(count("caller 1 release 51 cause 41")).isEqualTo(1);
    }

    /** Refuses all connections, and answers OPTIONS or not, between these times in ms. */
    private void refuseConnections(int from, int until, boolean answersTests) {
        int checked = harness.sentMessages.size();
        for (int ms = from; ms < until; ms += 50) {
            harness.advanceTo(ms);
            while (!harness.openingConnections.isEmpty()) {
                harness.connectionDown(harness.openingConnections.get(0), ConnectionLoss.REFUSED);
            }
            for (; answersTests && checked < harness.sentMessages.size(); checked++) {
                String[] words = harness.sentMessages.get(checked).split("[ ,]+");
                if (words[0].equals("leg") && words[2].equals("OPTIONS")) {
                    harness.exchangeSends(
                            Long.parseLong(words[1]),
                            SipMessage.status(200, "OK")
                                    .add(
                                            "Call-ID",
                                            SignalingMessages.formatCallId(
                                                    Long.parseLong(words[5], 16)))
                                    .add("CSeq", "1 OPTIONS"));
                }
            }
        }
    }

    @Test
    void keepsCallsOfDrainingExchangeWhileItAnswersTests() {
        // Guards against taking a draining exchange for dead because it refuses further
        // connections: two established calls were cut.
        establish(1, 0x52, 1);
        harness.listExchanges(
                2, false, RouterCoreHarness.entry("s-01", 1, DiscoveryUpdate.State.TERMINATING));
        refuseConnections(50, 20_000, true);
        assertThat(count("release 52")).isZero();
        harness.listExchanges(
                3, false, RouterCoreHarness.entry("s-01", 1, DiscoveryUpdate.State.TERMINATED));
        refuseConnections(20_000, 22_000, false);
        assertThat(count("release 52")).isZero();
        // Its connections stay open but are silent: its calls are over.
        refuseConnections(22_000, 24_000, false);
        assertThat(count("caller 1 release 52 cause 41")).isEqualTo(1);
    }

    @Test
    void detectsExchangeThatHangsWhileDraining() {
        // Guards against taking each refused connection for a sign of life: the caller was never
        // notified of the end of its call.
        establish(1, 0x55, 1);
        harness.listExchanges(
                2, false, RouterCoreHarness.entry("s-01", 1, DiscoveryUpdate.State.TERMINATING));
        refuseConnections(50, 6_000, false);
        assertThat(count("release 55")).isZero();
        refuseConnections(6_000, 7_500, false);
        assertThat(count("caller 1 release 55 cause 41")).isEqualTo(1);
        // The exchange may only hang, so it is sent a BYE too.
        assertThat(count("BYE sip:0000000000000055@net")).isEqualTo(1);
    }

    @Test
    void closesConnectionsToPreviousProcessOfRestartedExchange() {
        // Guards against sending an INVITE on a half-open connection that nobody reads.
        establish(1, 0x57, 1);
        long since = harness.now() / 1000 + 1;
        harness.advanceTo(500);
        harness.core.exchangeListUpdated(
                harness.now(),
                new DiscoveryUpdate(
                        2,
                        List.of(
                                new DiscoveryUpdate.Event(
                                        2,
                                        false,
                                        List.of(
                                                new DiscoveryUpdate.Entry(
                                                        "s-01",
                                                        "10.1.0.1:5080",
                                                        1,
                                                        DiscoveryUpdate.State.IN_SERVICE,
                                                        since))))));
        assertThat(harness.closedConnections).containsExactly(1L, 3L);
        assertThat(count("caller 1 release 57 cause 41")).isEqualTo(1);
        harness.advanceTo(600);
        harness.connectAll();
        setUp(2, 0x58, 1);
        assertThat(connectionOf(0x58)).isGreaterThan(4);
    }

    @Test
    void keepsConnectionThatCameUpAfterRestartOfExchange() {
        // A connection that was requested before the restart but came up after it belongs to the
        // new process; closing it would reset its INVITEs.
        harness.connectionDown(1, ConnectionLoss.BROKEN);
        harness.connectionDown(3, ConnectionLoss.BROKEN);
        harness.advanceTo(250);
        List<Long> tried = List.copyOf(harness.openingConnections);
        assertThat(tried).isNotEmpty();
        harness.advanceTo(300);
        long since = harness.now() / 1000;
        harness.advanceTo(400);
        harness.connectAll();
        harness.core.exchangeListUpdated(
                harness.now(),
                new DiscoveryUpdate(
                        2,
                        List.of(
                                new DiscoveryUpdate.Event(
                                        2,
                                        false,
                                        List.of(
                                                new DiscoveryUpdate.Entry(
                                                        "s-01",
                                                        "10.1.0.1:5080",
                                                        1,
                                                        DiscoveryUpdate.State.IN_SERVICE,
                                                        since))))));
        assertThat(harness.closedConnections).doesNotContainAnyElementsOf(tried);
    }

    @Test
    void sendsNoTestsWhereSettingsForbidThem() {
        RouterCoreHarness noTestsHarness = new RouterCoreHarness(256, false);
        noTestsHarness.listExchanges(
                1, true, RouterCoreHarness.entry("s-01", 1, DiscoveryUpdate.State.IN_SERVICE));
        noTestsHarness.connectAll();
        noTestsHarness.core.callerOpened(noTestsHarness.now(), 1);
        noTestsHarness.callerSends(1, noTestsHarness.setUp(0x56, 1, 1500));
        noTestsHarness.exchangeSends(1, RouterCoreHarness.ok(0x56));
        for (int ms = 50; ms <= 8_000; ms += 50) {
            noTestsHarness.advanceTo(ms);
            while (!noTestsHarness.openingConnections.isEmpty()) {
                noTestsHarness.connectionDown(
                        noTestsHarness.openingConnections.get(0), ConnectionLoss.REFUSED);
            }
        }
        assertThat(noTestsHarness.sentMessages)
                .noneMatch(each -> each.contains("OPTIONS"))
                .anyMatch(each -> each.contains("caller 1 release 56 cause 41"));
    }

    @Test
    void detectsVanishedMachineWithinEightSecondsThoughConnectionsStayOpen() {
        establish(1, 0x53, 1);
        for (int ms = 50; ms <= 7500; ms += 50) {
            harness.advanceTo(ms);
            for (long connection : harness.openingConnections.toArray(new Long[0])) {
                harness.connectionDown(connection, ConnectionLoss.SILENT);
            }
        }
        assertThat(count("caller 1 release 53 cause 41")).isEqualTo(1);
    }

    @Test
    void keepsCallsWhileNewConnectionsBringReports() {
        establish(1, 0x54, 1);
        for (int ms = 50; ms <= 20_000; ms += 50) {
            harness.advanceTo(ms);
            harness.connectAll();
        }
        assertThat(count("release 54")).isZero();
        // The kernel accepts connections for a process that hangs: they come up without a report.
        for (int ms = 20_050; ms <= 28_000; ms += 50) {
            harness.advanceTo(ms);
            while (!harness.openingConnections.isEmpty()) {
                harness.core.exchangeConnectionUp(
                        harness.now(), harness.openingConnections.remove(0));
            }
        }
        assertThat(count("caller 1 release 54 cause 41")).isEqualTo(1);
    }

    @Test
    void keepsReportedCallOrReleasesItIfItHasEnded() {
        harness.core.callerOpened(harness.now(), 1);
        harness.exchangeSends(1, RouterCoreHarness.bye(0x62, 16));
        for (long call : new long[] {0x61, 0x62, 0x63}) {
            CallerMessage message =
                    CallerMessage.of(CallerMessage.SET_UP, call)
                            .add(CallerMessage.SERVICE, "lookup")
                            .add(CallerMessage.NUMBER, "7f3a9c21e0b4d655")
                            .add(
                                    CallerMessage.ATTRIBUTES,
                                    "dest:1;width:1;via:-1;at:" + (call == 0x63 ? "s-77" : "s-01"));
            harness.callerSends(1, message);
        }
        harness.exchangeSends(3, RouterCoreHarness.bye(0x61, 16));
        harness.assertTraceMatches("platform-told-standing");
    }

    @Test
    void releasesReportedCallsSoonIfExchangeIsSilentSinceStart() {
        // Its calls may have ended before the router's start, so waiting 6.5 s is too long for
        // them.
        RouterCoreHarness startingHarness = new RouterCoreHarness();
        startingHarness.core.callerOpened(startingHarness.now(), 1);
        startingHarness.listExchanges(
                1,
                true,
                RouterCoreHarness.entry("s-01", 1, DiscoveryUpdate.State.IN_SERVICE),
                RouterCoreHarness.entry("s-02", 2, DiscoveryUpdate.State.IN_SERVICE));
        for (long call = 1; call <= 2; call++) {
            startingHarness.callerSends(
                    1,
                    CallerMessage.of(CallerMessage.SET_UP, 0x66 + call)
                            .add(CallerMessage.SERVICE, "lookup")
                            .add(CallerMessage.NUMBER, "7f3a9c21e0b4d655")
                            .add(CallerMessage.ATTRIBUTES, "dest:1;width:1;via:-1;at:s-0" + call));
        }
        for (int ms = 50; ms <= 3_500; ms += 50) {
            startingHarness.advanceTo(ms);
            for (long connection : startingHarness.openingConnections.toArray(new Long[0])) {
                // The first exchange accepts connections and stays silent; the second sends
                // reports.
                startingHarness.openingConnections.remove(connection);
                startingHarness.core.exchangeConnectionUp(startingHarness.now(), connection);
                if (startingHarness.addresses.get(connection).equals("10.1.0.2:5080")) {
                    startingHarness.reportState(connection, "x0:40;x1:40");
                }
            }
        }
        assertThat(startingHarness.sentMessages)
                .contains("caller 1 release 67 cause 41")
                .noneMatch(each -> each.contains("release 68"));
    }

    @Test
    void measuresSilenceOfUnconnectedExchangeFromFirstReportedCall() {
        // A draining exchange has no connection until a call is reported there. Measured from the
        // router's start, its time for the first message had expired by then.
        RouterCoreHarness startingHarness = new RouterCoreHarness();
        startingHarness.listExchanges(
                1, true, RouterCoreHarness.entry("s-01", 1, DiscoveryUpdate.State.TERMINATING));
        startingHarness.advanceTo(4_000);
        startingHarness.core.callerOpened(startingHarness.now(), 1);
        startingHarness.callerSends(
                1,
                CallerMessage.of(CallerMessage.SET_UP, 0x69)
                        .add(CallerMessage.SERVICE, "lookup")
                        .add(CallerMessage.NUMBER, "7f3a9c21e0b4d655")
                        .add(CallerMessage.ATTRIBUTES, "dest:1;width:1;via:-1;at:s-01"));
        startingHarness.advanceTo(4_100);
        startingHarness.connectAll();
        startingHarness.advanceTo(6_000);
        assertThat(startingHarness.sentMessages).noneMatch(each -> each.contains("release 69"));
        assertThat(startingHarness.core.counterLine()).contains("standing 1");
    }

    @Test
    void queuesCallersReleaseUntilConnectionComesUp() {
        // Guards against dropping the release: the call then went on at its exchange and kept its
        // circuits.
        establish(1, 0x64, 1);
        harness.connectionDown(1, ConnectionLoss.BROKEN);
        harness.connectionDown(3, ConnectionLoss.BROKEN);
        harness.callerSends(1, CallerMessage.withCause(CallerMessage.RELEASE, 0x64, 16));
        assertThat(count("BYE")).isZero();
        harness.advanceTo(200);
        harness.connectAll();
        assertThat(count("BYE sip:0000000000000064@net")).isEqualTo(1);
    }

    @Test
    void keepsReportedCallAtUnlistedExchangeUntilListIsKnown() {
        // Guards against a restarted router that cuts a call at an exchange which started after the
        // list in the configuration was written.
        for (boolean listed : new boolean[] {true, false}) {
            RouterCoreHarness startingHarness = new RouterCoreHarness();
            startingHarness.core.callerOpened(startingHarness.now(), 1);
            startingHarness.core.exchangeListUpdated(
                    startingHarness.now(),
                    new DiscoveryUpdate(
                            1,
                            List.of(
                                    new DiscoveryUpdate.Event(
                                            1,
                                            true,
                                            List.of(
                                                    RouterCoreHarness.entry(
                                                            "s-01",
                                                            1,
                                                            DiscoveryUpdate.State.IN_SERVICE))))));
            startingHarness.callerSends(
                    1,
                    CallerMessage.of(CallerMessage.SET_UP, 0x65)
                            .add(CallerMessage.SERVICE, "lookup")
                            .add(CallerMessage.NUMBER, "7f3a9c21e0b4d655")
                            .add(CallerMessage.ATTRIBUTES, "dest:2;width:1;via:-1;at:s-02"));
            startingHarness.connectAll();
            startingHarness.advanceTo(500);
            assertThat(startingHarness.sentMessages).noneMatch(each -> each.contains("release 65"));
            startingHarness.listExchanges(
                    2,
                    true,
                    RouterCoreHarness.entry("s-01", 1, DiscoveryUpdate.State.IN_SERVICE),
                    RouterCoreHarness.entry(
                            listed ? "s-02" : "s-03", 2, DiscoveryUpdate.State.IN_SERVICE));
            startingHarness.connectAll();
            assertThat(
                            startingHarness.sentMessages.stream()
                                    .filter(each -> each.equals("caller 1 release 65 cause 41"))
                                    .count())
                    .isEqualTo(listed ? 0 : 1);
            if (listed) {
                long connection =
                        startingHarness.addresses.entrySet().stream()
                                .filter(each -> each.getValue().equals("10.1.0.2:5080"))
                                .findFirst()
                                .orElseThrow()
                                .getKey();
                startingHarness.exchangeSends(connection, RouterCoreHarness.bye(0x65, 16));
                assertThat(startingHarness.sentMessages).contains("caller 1 release 65 cause 16");
            }
        }
    }

    @Test
    void queuesReleaseUntilCallerConnects() {
        establish(1, 0x71, 1);
        harness.core.callerClosed(harness.now(), 1);
        harness.exchangeSends(connectionOf(0x71), RouterCoreHarness.bye(0x71, 16));
        assertThat(count("release 71")).isZero();
        // A connection without a valid message is not taken for a caller's.
        harness.core.callerOpened(harness.now(), 2);
        assertThat(count("release 71")).isZero();
        harness.core.callerOpened(harness.now(), 3);
        harness.callerSends(3, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 7, 0));
        assertThat(count("caller 3 release 71 cause 16")).isEqualTo(1);
    }

    @Test
    void resendsUnacknowledgedReleaseWhenItsConnectionCloses() {
        harness.core.callerOpened(harness.now(), 5);
        harness.callerSends(5, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 7, 0));
        establish(1, 0x77, 1);
        establish(1, 0x78, 1);
        harness.exchangeSends(1, RouterCoreHarness.bye(0x77, 16));
        harness.exchangeSends(1, RouterCoreHarness.bye(0x78, 16));
        harness.callerSends(1, CallerMessage.of(CallerMessage.RELEASE_COMPLETE, 0x78));
        harness.core.callerClosed(harness.now(), 1);
        assertThat(count("caller 5 release 77 cause 16")).isEqualTo(1);
        assertThat(count("caller 5 release 78")).isZero();
    }

    @Test
    void prefersAcknowledgingConnectionForRelease() {
        // Guards against sending releases on the connection with the last message, which may belong
        // to a client that only sends tests and ignores releases.
        establish(4, 0x70, 1);
        harness.exchangeSends(connectionOf(0x70), RouterCoreHarness.bye(0x70, 16));
        harness.callerSends(4, CallerMessage.of(CallerMessage.RELEASE_COMPLETE, 0x70));
        establish(1, 0x79, 1);
        for (long id = 5; id <= 9; id++) {
            harness.core.callerOpened(harness.now(), id);
            harness.callerSends(id, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 7, 0));
        }
        harness.core.callerClosed(harness.now(), 1);
        harness.exchangeSends(connectionOf(0x79), RouterCoreHarness.bye(0x79, 16));
        assertThat(count("caller 4 release 79")).isEqualTo(1);
        // If none has acknowledged a release yet, the last one with a message is used, then one
        // that gives stronger evidence.
        establish(2, 0x7a, 1);
        harness.core.callerClosed(harness.now(), 2);
        harness.core.callerClosed(harness.now(), 4);
        harness.exchangeSends(connectionOf(0x7a), RouterCoreHarness.bye(0x7a, 16));
        assertThat(count("caller 9 release 7a")).isEqualTo(1);
        establish(6, 0x7d, 1);
        assertThat(count("caller 6 release 7a")).isEqualTo(1);
    }

    @Test
    void prefersConnectionWithCallsForReleaseAndRetriesOnOthers() {
        // Guards against losing a release soon after the start, when no connection has acknowledged
        // one: it was sent to a client that only sends tests, and not retried.
        establish(1, 0x7b, 1);
        establish(2, 0x7c, 1);
        for (long id = 5; id <= 9; id++) {
            harness.core.callerOpened(harness.now(), id);
            harness.callerSends(id, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 7, 0));
        }
        harness.core.callerClosed(harness.now(), 1);
        harness.exchangeSends(connectionOf(0x7b), RouterCoreHarness.bye(0x7b, 16));
        assertThat(count("caller 2 release 7b cause 16")).isEqualTo(1);
        harness.advanceTo(290);
        assertThat(count("release 7b")).isEqualTo(1);
        harness.advanceTo(350);
        assertThat(count("caller 9 release 7b cause 16")).isEqualTo(1);
        harness.advanceTo(650);
        assertThat(count("caller 8 release 7b cause 16")).isEqualTo(1);
        harness.callerSends(8, CallerMessage.of(CallerMessage.RELEASE_COMPLETE, 0x7b));
        harness.advanceTo(3_000);
        assertThat(count("release 7b")).isEqualTo(3);
    }

    @Test
    void passesOnReleaseOfCallFromBeforeStartOnce() {
        harness.core.callerOpened(harness.now(), 1);
        harness.callerSends(1, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 7, 0));
        harness.exchangeSends(1, RouterCoreHarness.bye(0x75, 16));
        harness.exchangeSends(3, RouterCoreHarness.bye(0x75, 16));
        assertThat(count("caller 1 release 75 cause 16")).isEqualTo(1);
        // A repeated release of a call that this router has ended itself is not passed on.
        establish(1, 0x76, 1);
        harness.exchangeSends(connectionOf(0x76), RouterCoreHarness.bye(0x76, 16));
        harness.exchangeSends(3, RouterCoreHarness.bye(0x76, 16));
        assertThat(count("caller 1 release 76")).isEqualTo(1);
    }

    @Test
    void sendsNoWaitingInviteToDrainingExchange() {
        for (long connection : new long[] {1, 3}) {
            harness.connectionDown(connection, ConnectionLoss.BROKEN);
        }
        setUp(1, 0x81, 1);
        assertThat(count("INVITE")).isZero();
        harness.listExchanges(
                2, false, RouterCoreHarness.entry("s-01", 1, DiscoveryUpdate.State.TERMINATING));
        harness.connectAll();
        harness.advanceTo(2000);
        assertThat(count("INVITE")).isZero();
        assertThat(count("caller 1 release 81")).isEqualTo(1);
    }

    @Test
    void answersPendingSessionsBeforeExit() {
        setUp(1, 0x91, 1);
        harness.core.drain(harness.now());
        harness.callerSends(1, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 7, 0));
        harness.advanceTo(600);
        harness.callerSends(1, harness.setUp(0x92, 2, 1500));
        harness.exchangeSends(connectionOf(0x92), RouterCoreHarness.ok(0x92));
        harness.advanceTo(1200);
        harness.callerSends(1, harness.setUp(0x93, 2, 1500));
        assertThat(harness.ended).isFalse();
        harness.exchangeSends(connectionOf(0x91), RouterCoreHarness.ok(0x91));
        harness.advanceTo(1480);
        // Sent when the router was about to exit: it was read, so it is answered.
        harness.callerSends(1, harness.setUp(0x94, 2, 1500));
        harness.advanceTo(2000);
        harness.assertTraceMatches("platform-drain");
        assertThat(harness.ended).isTrue();
    }

    @Test
    void failsTestsUntilExchangesAreConnected() {
        RouterCoreHarness startingHarness = new RouterCoreHarness();
        startingHarness.core.callerOpened(startingHarness.now(), 1);
        startingHarness.callerSends(
                1, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 1, 0));
        startingHarness.listExchanges(
                1, true, RouterCoreHarness.entry("s-01", 1, DiscoveryUpdate.State.IN_SERVICE));
        startingHarness.callerSends(
                1, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 2, 0));
        startingHarness.connectAll();
        startingHarness.callerSends(
                1, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 3, 0));
        assertThat(startingHarness.sentMessages)
                .containsExactly(
                        "caller 1 test answer 1 cause 0",
                        "caller 1 test answer 2 cause 0",
                        "caller 1 test answer 3 cause 1");
    }

    @Test
    void isNotReadyByListOfConfigurationAlone() {
        // Guards against an INVITE to an exchange that began to drain after the configuration was
        // written.
        RouterCoreHarness startingHarness = new RouterCoreHarness();
        startingHarness.core.callerOpened(startingHarness.now(), 1);
        startingHarness.core.exchangeListUpdated(
                startingHarness.now(),
                new DiscoveryUpdate(
                        1,
                        List.of(
                                new DiscoveryUpdate.Event(
                                        1,
                                        true,
                                        List.of(
                                                RouterCoreHarness.entry(
                                                        "s-01",
                                                        1,
                                                        DiscoveryUpdate.State.IN_SERVICE))))));
        startingHarness.connectAll();
        startingHarness.callerSends(
                1, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 1, 0));
        startingHarness.core.discoveryAnswered(
                startingHarness.now(), startingHarness.now(), new DiscoveryUpdate(1, List.of()));
        startingHarness.callerSends(
                1, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 2, 0));
        assertThat(startingHarness.sentMessages)
                .containsExactly(
                        "caller 1 test answer 1 cause 0", "caller 1 test answer 2 cause 1");
        // A failed discovery service does not keep the router from serving.
        RouterCoreHarness undiscovered = new RouterCoreHarness();
        undiscovered.core.callerOpened(undiscovered.now(), 1);
        undiscovered.core.exchangeListUpdated(
                undiscovered.now(),
                new DiscoveryUpdate(
                        1,
                        List.of(
                                new DiscoveryUpdate.Event(
                                        1,
                                        true,
                                        List.of(
                                                RouterCoreHarness.entry(
                                                        "s-01",
                                                        1,
                                                        DiscoveryUpdate.State.IN_SERVICE))))));
        undiscovered.connectAll();
        undiscovered.core.discoveryFailed(undiscovered.now());
        undiscovered.callerSends(1, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 1, 0));
        undiscovered.advanceTo(1_600);
        undiscovered.callerSends(1, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 2, 0));
        assertThat(undiscovered.sentMessages)
                .containsExactly(
                        "caller 1 test answer 1 cause 0", "caller 1 test answer 2 cause 1");
    }

    @Test
    void answersAllSetUpsOfOneRead() {
        harness.core.callerOpened(harness.now(), 1);
        ByteBuffer all = ByteBuffer.allocate(1 << 17);
        for (int call = 1; call <= 500; call++) {
            all.put(harness.setUp(call, 1, 1500).encode());
        }
        byte[] bytes = new byte[all.position()];
        all.flip();
        all.get(bytes);
        harness.traceDisabled = true;
        harness.core.callerRead(harness.now(), 1, bytes);
        harness.advanceTo(3000);
        assertThat(count("caller 1 release")).isEqualTo(500);
        assertThat(harness.core.counterLine()).contains("in-hand 0 standing 0");
    }

    @Test
    void sendsNoInviteForSetUpsReleasedInSameRead() {
        harness.core.callerOpened(harness.now(), 1);
        ByteBuffer all = ByteBuffer.allocate(1 << 16);
        for (int call = 1; call <= 100; call++) {
            all.put(harness.setUp(call, 1, 1500).encode());
        }
        for (int call = 1; call <= 99; call++) {
            all.put(CallerMessage.withCause(CallerMessage.RELEASE, call, 16).encode());
        }
        byte[] bytes = new byte[all.position()];
        all.flip();
        all.get(bytes);
        harness.traceDisabled = true;
        harness.core.callerRead(harness.now(), 1, bytes);
        harness.processAll();
        assertThat(count(" INVITE")).isEqualTo(1);
        assertThat(count("caller 1")).isZero();
        assertThat(harness.core.counterLine()).contains("given-up 99 ").contains("in-hand 1 ");
    }

    @Test
    void sendsNoInviteIfCallerLeavesBeforeRouting() {
        // Guards against routing set-ups one by one while a release or close that was already read
        // waits in the queue behind them.
        for (long id = 1; id <= 3; id++) {
            harness.core.callerOpened(harness.now(), id);
        }
        harness.core.callerRead(harness.now(), 1, harness.setUp(0x1, 1, 1500).encode());
        harness.core.callerRead(harness.now(), 2, harness.setUp(0x2, 1, 1500).encode());
        harness.core.callerRead(harness.now(), 3, harness.setUp(0x3, 2, 1500).encode());
        harness.core.callerRead(
                harness.now(), 1, CallerMessage.withCause(CallerMessage.RELEASE, 1, 16).encode());
        harness.core.callerClosed(harness.now(), 2);
        harness.processAll();
        assertThat(count(" INVITE")).isEqualTo(1);
        assertThat(count("INVITE sip:0000000000000703@net")).isEqualTo(1);
        assertThat(count("caller 1")).isZero();
    }

    @Test
    void sendsNoFurtherInviteIfCallerLeavesAfterRefusal() {
        harness.listExchanges(
                2, false, RouterCoreHarness.entry("s-03", 3, DiscoveryUpdate.State.IN_SERVICE));
        harness.connectAll();
        setUp(1, 0xd1, 1);
        setUp(2, 0xd2, 1);
        long invitesBefore = count(" INVITE");
        // Both refusals and the release are read before the next INVITE is sent: the policy would
        // try a tandem for both sessions, but one caller has left.
        harness.core.exchangeRead(
                harness.now(),
                connectionOf(0xd1),
                RouterCoreHarness.status(480, "x", 0xd1).add("Fail-Word", "blocked").encode());
        harness.core.exchangeRead(
                harness.now(),
                connectionOf(0xd2),
                RouterCoreHarness.status(480, "x", 0xd2).add("Fail-Word", "blocked").encode());
        harness.core.callerRead(
                harness.now(),
                1,
                CallerMessage.withCause(CallerMessage.RELEASE, 0xd1, 16).encode());
        harness.processAll();
        assertThat(count(" INVITE")).isEqualTo(invitesBefore + 1);
        assertThat(harness.sentMessages.get(harness.sentMessages.size() - 1))
                .contains("INVITE")
                .contains("call d2");
    }

    @Test
    void exitsOnceReleasesAreAcknowledged() {
        // Guards against losing a release that is sent shortly before the exit and not
        // acknowledged.
        establish(1, 0x95, 1);
        harness.callerSends(1, CallerMessage.of(CallerMessage.RELEASE_COMPLETE, 0x1));
        harness.core.drain(harness.now());
        harness.advanceTo(1_100);
        harness.exchangeSends(connectionOf(0x95), RouterCoreHarness.bye(0x95, 16));
        harness.advanceTo(1_500);
        assertThat(harness.ended).isFalse();
        harness.callerSends(1, CallerMessage.of(CallerMessage.RELEASE_COMPLETE, 0x95));
        assertThat(harness.closedConnections).isEmpty();
        harness.advanceTo(1_900);
        assertThat(harness.ended).isTrue();
        assertThat(harness.closedConnections).containsExactly(1L, 2L, 3L, 4L);
        assertThat(harness.openingConnections).isEmpty();
        // A caller that never acknowledges does not keep the router from exiting.
        RouterCoreHarness unresponsive = RouterCoreHarness.serving();
        unresponsive.core.callerOpened(unresponsive.now(), 1);
        unresponsive.callerSends(1, unresponsive.setUp(0x96, 1, 1500));
        unresponsive.exchangeSends(1, RouterCoreHarness.ok(0x96));
        unresponsive.callerSends(1, CallerMessage.of(CallerMessage.RELEASE_COMPLETE, 0x1));
        unresponsive.core.drain(unresponsive.now());
        unresponsive.exchangeSends(1, RouterCoreHarness.bye(0x96, 16));
        unresponsive.advanceTo(2_500);
        assertThat(unresponsive.ended).isTrue();
    }

    /** Guards against timers of ended sessions that fill the heap until far deadlines. */
    @Test
    void cancelsAllTimersOfASessionThatHasEnded() {
        int waitMs = 3_000_000;
        harness.processAll();
        int timersAtRest = harness.core.timerCount();
        harness.core.callerOpened(harness.now(), 1);
        harness.callerSends(1, harness.setUp(0x111, 60_000, waitMs));
        assertThat(count("caller 1 release 111")).isEqualTo(1);
        assertThat(harness.core.timerCount()).as("refused at once").isEqualTo(timersAtRest);

        harness.callerSends(1, harness.setUp(0x112, 1, waitMs));
        harness.exchangeSends(
                connectionOf(0x112),
                RouterCoreHarness.status(486, "Busy Here", 0x112).add("Fail-Word", "occupied"));
        assertThat(count("caller 1 release 112")).isEqualTo(1);
        assertThat(harness.core.timerCount()).as("refused by exchange").isEqualTo(timersAtRest);

        harness.callerSends(1, harness.setUp(0x113, 1, waitMs));
        harness.exchangeSends(connectionOf(0x113), RouterCoreHarness.ok(0x113));
        assertThat(harness.core.timerCount()).as("established").isEqualTo(timersAtRest);

        harness.callerSends(1, harness.setUp(0x114, 1, waitMs));
        harness.callerSends(1, CallerMessage.withCause(CallerMessage.RELEASE, 0x114, 16));
        assertThat(harness.core.timerCount()).as("released by caller").isEqualTo(timersAtRest);

        // The direct group is full, the INVITE to the tandem is reset, and the caller leaves in the
        // release wait that follows.
        harness.listExchanges(
                2, false, RouterCoreHarness.entry("s-03", 3, DiscoveryUpdate.State.IN_SERVICE));
        harness.connectAll();
        harness.reportState(1, "x0:0;x1:40");
        harness.callerSends(1, harness.setUp(0x115, 1, waitMs));
        harness.connectionDown(connectionOf(0x115), ConnectionLoss.BROKEN);
        assertThat(harness.core.timerCount()).as("release wait").isGreaterThan(timersAtRest);
        harness.core.callerClosed(harness.now(), 1);
        assertThat(harness.core.timerCount()).as("caller has left").isEqualTo(timersAtRest);
    }

    /** Guards against INVITEs that hold an exchange's window for a bad client's wait of an hour. */
    @Test
    void endsASessionAtTheDeadlineOfItsServiceHoweverLongItsCallerWaits() {
        int calls = 40;
        harness.core.callerOpened(harness.now(), 1);
        for (int call = 1; call <= calls; call++) {
            harness.callerSends(1, harness.setUp(0x200 + call, 1, 3_000_000));
        }
        long invites = count(" INVITE");
        assertThat(invites).isPositive();
        harness.advanceTo(9_000);
        assertThat(count("caller 1 release")).isEqualTo(calls);
        assertThat(count("CANCEL")).isEqualTo(invites);
    }

    @Test
    void inviteCarriesCallersData() {
        setUp(1, 0xaa, 1);
        assertThat(
                        SignalingMessages.invite(
                                        0xaa,
                                        3,
                                        "7f3a9c21e0b4d655",
                                        "lookup",
                                        1499,
                                        RouterCoreHarness.SDP.getBytes(
                                                java.nio.charset.StandardCharsets.US_ASCII))
                                .encode())
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
                                + RouterCoreHarness.SDP);
    }
}
