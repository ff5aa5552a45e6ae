package coralcove.platform.live;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.caller.CallerMessage;
import coralcove.platform.live.SessionRouterHarness.CallerConnection;
import coralcove.platform.live.SessionRouterHarness.ExchangeConnection;
import coralcove.platform.signaling.SignalingMessages;
import coralcove.sip.SipMessage;
import java.net.ServerSocket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Releases of calls reach callers on real sockets, whatever other clients do. */
class ReleaseDeliveryTest {
    private static final int UNKNOWN_EXCHANGE = 9;
    private static final int BAD_CLIENTS = 12;

    @TempDir private Path dir;

    /** Establishes a call and returns the exchange's end of its connection. */
    private static ExchangeConnection establish(
            SessionRouterHarness harness, CallerConnection caller, long call) throws Exception {
        caller.send(SessionRouterHarness.setUp(call, 5_000));
        ExchangeConnection connection = harness.awaitMessage();
        SipMessage invite = connection.expect("INVITE");
        connection.send(SessionRouterHarness.okAnswer(invite));
        assertThat(caller.expect(CallerMessage.ANSWER).callId()).isEqualTo(call);
        connection.expect("ACK");
        return connection;
    }

    /**
     * Guards against releases that go to clients which request and are refused, and to no other.
     */
    @Test
    void releasesACallOnACallersConnectionWhileOthersRequestAndAreRefused() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection leaving = harness.connectWithExchange(exchange);
            CallerConnection staying = harness.connectCaller();
            ExchangeConnection connection = establish(harness, leaving, 0xa1);
            establish(harness, staying, 0xa2);
            leaving.socket.close();
            for (int i = 0; i < BAD_CLIENTS; i++) {
                CallerConnection bad = harness.connectCaller();
                bad.send(SessionRouterHarness.setUp(0x100 + i, UNKNOWN_EXCHANGE, 5_000));
                assertThat(bad.expect(CallerMessage.RELEASE).callId()).isEqualTo(0x100 + i);
            }
            connection.send(SignalingMessages.bye(0xa1, 16));
            assertThat(staying.expect(CallerMessage.RELEASE).callId()).isEqualTo(0xa1);
        }
    }
}
