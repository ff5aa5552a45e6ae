package coralcove.platform.live;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.caller.CallerMessage;
import coralcove.platform.live.SessionRouterHarness.CallerConnection;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A discovery service that reads requests and answers none, on real sockets. */
class SilentDiscoveryTest {
    @TempDir private Path dir;

    /** Guards against INVITEs to an exchange that began to drain while nobody could tell of it. */
    @Test
    void refusesSetUpsWhileTheListIsNotKnownToBeCurrent() throws Exception {
        try (ServerSocket exchange = SessionRouterHarness.listenOnLoopback();
                SessionRouterHarness harness =
                        new SessionRouterHarness(
                                dir, 256, SessionRouterHarness.address(exchange))) {
            CallerConnection caller = harness.connectWithExchange(exchange);
            caller.send(SessionRouterHarness.setUp(0xa1, 5_000));
            harness.awaitMessage().expect("INVITE");
            harness.awaitLog("list-expired");
            assertThat(caller.expect(CallerMessage.RELEASE).callId()).isEqualTo(0xa1);
            caller.send(SessionRouterHarness.setUp(0xa2, 5_000));
            CallerMessage refusal = caller.expect(CallerMessage.RELEASE);
            assertThat(refusal.callId()).isEqualTo(0xa2);
            assertThat(refusal.cause(0)).isEqualTo(42);
            harness.awaitMessage().expect("CANCEL");
            answerPollsUntilRenewed(harness);
            caller.send(SessionRouterHarness.setUp(0xa3, 5_000));
            assertThat(harness.awaitMessage().expect("INVITE").callId())
                    .isEqualTo("00000000000000a3");
        }
    }

    private static void answerPollsUntilRenewed(SessionRouterHarness harness) throws IOException {
        while (!harness.log.toString(StandardCharsets.UTF_8).contains("list-renewed")) {
            Socket request = harness.discovery.accept();
            try {
                SessionRouterHarness.answerPoll(request, 1);
            } catch (IOException e) {
                // The router has replaced this request by a newer one.
                request.close();
            }
        }
    }
}
