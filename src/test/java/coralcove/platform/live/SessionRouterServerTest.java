package coralcove.platform.live;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.caller.CallerMessage;
import coralcove.platform.discovery.SlowDiscoveryService;
import coralcove.platform.live.SessionRouterHarness.CallerConnection;
import coralcove.platform.live.SessionRouterHarness.ExchangeConnection;
import coralcove.platform.signaling.SignalingMessages;
import coralcove.sip.SipMessage;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Race conditions on real sockets. Each is forced by a stub that holds back what the other side
 * waits for; no test relies on sleeping. A fault in the router's log fails the test that caused it.
 */
class SessionRouterServerTest {
    @TempDir private Path dir;

    @Test
    void deliversAnAnswerAfterSigtermAndThenEnds() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection caller = harness.connectWithExchange(exchange);
            caller.send(SessionRouterHarness.setUp(0xa1, 5_000));
            ExchangeConnection connection = harness.awaitMessage();
            SipMessage invite = connection.expect("INVITE");
            harness.server.drain();
            assertThat(caller.sendTest(7)).isZero();
            connection.send(SessionRouterHarness.okAnswer(invite));
            assertThat(caller.expect(CallerMessage.ANSWER).callId()).isEqualTo(0xa1);
            connection.expect("ACK");
            harness.serverThread.join(TimeUnit.SECONDS.toMillis(20));
            assertThat(harness.serverThread.isAlive()).isFalse();
        }
    }

    @Test
    void sendsNoInviteOnALateConnectionForACallerThatHasLeft() throws Exception {
        int port = SessionRouterHarness.freePort();
        InetSocketAddress address =
                new InetSocketAddress(java.net.InetAddress.getLoopbackAddress(), port);
        try (SessionRouterHarness harness = new SessionRouterHarness(dir, 256, address)) {
            SessionRouterHarness.answerPoll(harness.discovery, 1);
            CallerConnection caller = harness.connectWhenReady();
            // Three set-ups wait for an exchange connection: one caller releases its call, one
            // closes its connection, one stays.
            CallerConnection closing = harness.connectCaller();
            closing.send(SessionRouterHarness.setUp(0xb2, 10_000));
            closing.sendTest(1);
            caller.send(
                    SessionRouterHarness.setUp(0xb1, 10_000),
                    CallerMessage.withCause(CallerMessage.RELEASE, 0xb1, 16));
            caller.sendTest(2);
            closing.socket.close();
            // The close could be read before the first of the two tests was; so the router has
            // processed it before the second.
            caller.sendTest(3);
            caller.sendTest(4);
            try (ServerSocket exchange = new ServerSocket(port, 50, address.getAddress())) {
                harness.acceptConnections(exchange, 2);
                caller.send(SessionRouterHarness.setUp(0xb3, 5_000));
                ExchangeConnection connection = harness.awaitMessage();
                SipMessage first = connection.expect("INVITE");
                assertThat(SignalingMessages.parseCallId(first)).isEqualTo(0xb3);
                connection.send(SessionRouterHarness.okAnswer(first));
                caller.expect(CallerMessage.ANSWER);
            }
        }
    }

    @Test
    void acknowledgesAndReleasesAnAnswerThatCrossesACancel() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection caller = harness.connectWithExchange(exchange);
            caller.send(SessionRouterHarness.setUp(0xc1, 5_000));
            ExchangeConnection connection = harness.awaitMessage();
            SipMessage invite = connection.expect("INVITE");
            caller.send(CallerMessage.withCause(CallerMessage.RELEASE, 0xc1, 16));
            connection.expect("CANCEL");
            connection.send(SessionRouterHarness.okAnswer(invite));
            assertThat(SignalingMessages.parseCallId(connection.expect("ACK"))).isEqualTo(0xc1);
            assertThat(SignalingMessages.parseCallId(connection.expect("BYE"))).isEqualTo(0xc1);
            // No message about the call reached its caller.
            caller.sendTest(3);
        }
    }

    /** Guards against an id that stands twice as it comes again after its client has left. */
    @Test
    void sendsNoSecondInviteForAnIdThatComesAgainOnAnotherConnection() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection caller = harness.connectWithExchange(exchange);
            CallerConnection leaving = harness.connectCaller();
            leaving.send(SessionRouterHarness.setUp(0xa1, 5_000));
            ExchangeConnection connection = harness.awaitMessage();
            SipMessage invite = connection.expect("INVITE");
            leaving.socket.close();
            connection.expect("CANCEL");
            caller.send(SessionRouterHarness.setUp(0xa1, 5_000));
            assertThat(caller.expect(CallerMessage.RELEASE).cause(0)).isEqualTo(81);
            connection.send(SessionRouterHarness.okAnswer(invite));
            connection.expect("ACK");
            connection.expect("BYE");
        }
    }

    /** Guards against calls that are never released as the newer exchange's messages are heard. */
    @Test
    void releasesCallsOfAnExchangeWhoseAddressANewerOneHas() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection caller = harness.connectWithExchange(exchange);
            caller.send(SessionRouterHarness.setUp(0xa1, 5_000));
            ExchangeConnection connection = harness.awaitMessage();
            connection.send(SessionRouterHarness.okAnswer(connection.expect("INVITE")));
            caller.expect(CallerMessage.ANSWER);
            // From here on the stub plays the newer process.
            long startedMs = System.currentTimeMillis();
            for (ExchangeConnection each : List.copyOf(harness.exchangeConnections)) {
                each.reset();
            }
            harness.exchangeConnections.clear();
            harness.acceptConnections(exchange, 2);
            SessionRouterHarness.answerPoll(
                    harness.discovery,
                    2,
                    SessionRouterHarness.listEvent(
                                    2,
                                    false,
                                    "s-2",
                                    SessionRouterHarness.address(exchange),
                                    "in_service")
                            .replace("\"cell\"", "\"started_ms\":" + startedMs + ",\"cell\""));
            List<ExchangeConnection> newer = List.copyOf(harness.exchangeConnections);
            SessionRouterHarness.start(
                    "reports",
                    () -> {
                        // Reports go on until the router closes the connection.
                        while (true) {
                            newer.get(0).send(SessionRouterHarness.freeCircuits());
                            TimeUnit.MILLISECONDS.sleep(100);
                        }
                    });
            CallerMessage release = caller.expect(CallerMessage.RELEASE);
            assertThat(release.callId()).isEqualTo(0xa1);
            assertThat(release.cause(0)).isEqualTo(41);
        }
    }

    @Test
    void forwardsAnAnswerAndItsReleaseFromOneReadInOrderWithoutTheDuplicate() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection caller = harness.connectWithExchange(exchange);
            caller.send(SessionRouterHarness.setUp(0xd1, 5_000));
            ExchangeConnection connection = harness.awaitMessage();
            SipMessage invite = connection.expect("INVITE");
            connection.send(
                    SessionRouterHarness.okAnswer(invite),
                    SessionRouterHarness.okAnswer(invite),
                    SignalingMessages.bye(0xd1, 16));
            caller.expect(CallerMessage.ANSWER);
            assertThat(caller.expect(CallerMessage.RELEASE).cause(0)).isEqualTo(16);
            caller.send(CallerMessage.of(CallerMessage.RELEASE_COMPLETE, 0xd1));
            caller.sendTest(4);
        }
    }

    @Test
    void sendsAFinalAnswerWhenTheConnectionIsResetBeforeTheExchangeAnswers() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection caller = harness.connectWithExchange(exchange);
            caller.send(SessionRouterHarness.setUp(0xe1, 5_000));
            ExchangeConnection connection = harness.awaitMessage();
            connection.expect("INVITE");
            connection.reset();
            assertThat(caller.expect(CallerMessage.RELEASE).callId()).isEqualTo(0xe1);
        }
    }

    @Test
    void reloadsAFileThatIsBeingWrittenAndPollsTheNewAddressAlsoDuringADrain() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                ServerSocket newDiscovery = SessionRouterHarness.listenOnLoopback();
                ServerSocket latestDiscovery = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection caller = harness.connectWithExchange(exchange);
            String configuration =
                    harness.configuration(
                            256, SessionRouterHarness.address(exchange), newDiscovery);
            Files.writeString(
                    harness.configurationFile,
                    configuration.substring(0, configuration.length() / 2));
            harness.server.reload();
            harness.awaitLog("not-reloaded");
            Files.writeString(harness.configurationFile, configuration);
            harness.server.reload();
            assertThat(SessionRouterHarness.answerPoll(newDiscovery, 1))
                    .startsWith("GET /bulletins?after=1&");
            caller.send(SessionRouterHarness.setUp(0xf1, 9_000));
            harness.server.drain();
            // Two concurrent reloads: each reads the file itself, so the newest file takes effect.
            Files.writeString(
                    harness.configurationFile,
                    harness.configuration(
                            200, SessionRouterHarness.address(exchange), latestDiscovery));
            CountDownLatch reloads = new CountDownLatch(2);
            for (int i = 0; i < 2; i++) {
                SessionRouterHarness.start(
                        "reload",
                        () -> {
                            harness.server.reload();
                            reloads.countDown();
                        });
            }
            assertThat(reloads.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(SessionRouterHarness.answerPoll(latestDiscovery, 1))
                    .startsWith("GET /bulletins?after=1&");
            harness.awaitLog("reload-ignored");
            caller.send(CallerMessage.withCause(CallerMessage.RELEASE, 0xf1, 16));
        }
    }

    @Test
    void keepsDescriptorsForDiscoveryExchangesAndTestsAmongManyIdleConnections() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 100, SessionRouterHarness.address(exchange))) {
            List<Socket> idle = new ArrayList<>();
            Socket poll = harness.discovery.accept();
            harness.acceptConnections(exchange, 2);
            assertThat(harness.sendFrontTest()).isZero();
            for (int i = 0; i < 200; i++) {
                idle.add(
                        new Socket(
                                harness.listenAddress.getAddress(),
                                harness.listenAddress.getPort()));
            }
            // The discovery service did not answer until now, and an exchange connection breaks:
            // both must recover among the idle connections.
            SessionRouterHarness.answerPoll(poll, 1);
            harness.exchangeConnections.remove(0).reset();
            harness.acceptConnections(exchange, 1);
            while (harness.sendFrontTest() != 1) {
                Thread.onSpinWait();
            }
            CallerConnection lateCaller = harness.connectCaller();
            lateCaller.send(SessionRouterHarness.setUp(0xf2, 9_000));
            ExchangeConnection connection = harness.awaitMessage();
            connection.send(SessionRouterHarness.okAnswer(connection.expect("INVITE")));
            assertThat(lateCaller.expect(CallerMessage.ANSWER).callId()).isEqualTo(0xf2);
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    /** Guards against a heap filled by timers of refused set-ups whose callers wait for long. */
    @Test
    void keepsNoTimersOfRefusedSetUpsWithALongWait() throws Exception {
        int setUps = 2_000;
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection caller = harness.connectWithExchange(exchange);
            for (int call = 1; call <= setUps; call++) {
                caller.send(SessionRouterHarness.setUp(call, 60_000, 3_000_000));
            }
            for (int call = 1; call <= setUps; call++) {
                caller.expect(CallerMessage.RELEASE);
            }
            harness.server.drain();
            harness.awaitLog("\"event\":\"ended\"");
            assertThat(harness.log.toString(StandardCharsets.UTF_8))
                    .contains("refused " + setUps + " ")
                    .containsPattern("\"ended\".* timers 0\"");
        }
    }

    /** Guards against INVITEs to an exchange that drains while the discovery service is slow. */
    @Test
    void hearsOfADrainFromADiscoveryServiceThatIsSlowForGood() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(dir, 256, SessionRouterHarness.address(exchange));
                SlowDiscoveryService discovery =
                        new SlowDiscoveryService(harness.discovery, 600, 0)) {
            InetSocketAddress address = SessionRouterHarness.address(exchange);
            discovery.publish(
                    SessionRouterHarness.listEvent(1, true, "s-1", address, "in_service"));
            harness.acceptConnections(exchange, 2);
            CallerConnection caller = harness.connectWhenReady();
            assertThat(inviteOf(harness, caller, 0x300)).isTrue();
            discovery.publish(
                    SessionRouterHarness.listEvent(2, false, "s-1", address, "terminating"));
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            long call = 0x301;
            while (inviteOf(harness, caller, call)) {
                assertThat(System.nanoTime()).as("INVITEs after 10 s").isLessThan(endNanos);
                call++;
            }
        }
    }

    /**
     * Sets a call up and releases it before an answer; returns whether an INVITE was sent, and
     * false if the call was refused instead.
     */
    private static boolean inviteOf(
            SessionRouterHarness harness, CallerConnection caller, long call) throws Exception {
        caller.send(SessionRouterHarness.setUp(call, 5_000));
        while (true) {
            for (ExchangeConnection connection : harness.exchangeConnections) {
                if (!connection.received.isEmpty()) {
                    connection.expect("INVITE");
                    caller.send(CallerMessage.withCause(CallerMessage.RELEASE, call, 16));
                    connection.expect("CANCEL");
                    connection.send(SessionRouterHarness.freeCircuits());
                    return true;
                }
            }
            CallerMessage refusal = caller.received.poll(1, TimeUnit.MILLISECONDS);
            if (refusal != null) {
                assertThat(refusal.type()).isEqualTo(CallerMessage.RELEASE);
                return false;
            }
        }
    }

    @Test
    void answersASetUpWhosePiecesArriveBeforeAndAfterSigterm() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection caller = harness.connectWithExchange(exchange);
            byte[] bytes = SessionRouterHarness.setUp(0xf3, 5_000).encode();
            caller.socket.getOutputStream().write(bytes, 0, 20);
            harness.server.drain();
            harness.awaitLog("drain");
            caller.socket.getOutputStream().write(bytes, 20, bytes.length - 20);
            ExchangeConnection connection = harness.awaitMessage();
            connection.send(SessionRouterHarness.okAnswer(connection.expect("INVITE")));
            assertThat(caller.expect(CallerMessage.ANSWER).callId()).isEqualTo(0xf3);
        }
    }

    @Test
    void passesOnSignalsThatArriveDuringTheStart() {
        PendingSignals signals = new PendingSignals();
        StringBuilder handled = new StringBuilder();
        signals.drain();
        signals.reload();
        signals.attach(() -> handled.append("drained "), () -> handled.append("reloaded "));
        assertThat(handled.toString()).isEqualTo("reloaded drained ");
        signals.reload();
        assertThat(handled.toString()).isEqualTo("reloaded drained reloaded ");
    }
}
