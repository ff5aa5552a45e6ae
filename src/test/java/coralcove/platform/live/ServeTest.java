package coralcove.platform.live;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.caller.CallerMessage;
import coralcove.platform.leg.LegMessages;
import coralcove.platform.live.ServeDesk.CallerSide;
import coralcove.platform.live.ServeDesk.LegSide;
import coralcove.sip.SipMessage;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Crossings on real sockets, each forced by a stand-in that holds back what the other side waits
 * for; none is slept for. A fault in the router's log fails the test that caused it.
 */
class ServeTest {
    @TempDir private Path dir;

    @Test
    void anAnswerAfterSigtermReachesItsCallerAndTheRouterEnds() throws Exception {
        try (ServerSocket exchange = ServeDesk.server();
                ServeDesk desk = new ServeDesk(dir, 256, ServeDesk.address(exchange))) {
            CallerSide caller = desk.served(exchange);
            caller.say(ServeDesk.setUp(0xa1, 5_000));
            LegSide used = desk.invited();
            SipMessage invite = used.next("INVITE");
            desk.serve.drain();
            assertThat(caller.test(7)).isZero();
            used.say(ServeDesk.ok(invite));
            assertThat(caller.next(CallerMessage.ANSWER).call()).isEqualTo(0xa1);
            used.next("ACK");
            desk.router.join(TimeUnit.SECONDS.toMillis(20));
            assertThat(desk.router.isAlive()).isFalse();
        }
    }

    @Test
    void aLegThatComesUpAfterItsCallerLeftCarriesNoInviteOfIt() throws Exception {
        int port = ServeDesk.freePort();
        InetSocketAddress at =
                new InetSocketAddress(java.net.InetAddress.getLoopbackAddress(), port);
        try (ServeDesk desk = new ServeDesk(dir, 256, at)) {
            ServeDesk.told(desk.bulletin, 1);
            CallerSide caller = desk.ready();
            // Three wait for a leg: one takes it back, one closes, one stays.
            CallerSide closing = desk.caller();
            closing.say(ServeDesk.setUp(0xb2, 10_000));
            closing.test(1);
            caller.say(
                    ServeDesk.setUp(0xb1, 10_000),
                    CallerMessage.withCause(CallerMessage.RELEASE, 0xb1, 16));
            caller.test(2);
            closing.socket.close();
            // The close was there to be read before the first of two tests was; so it has been
            // looked at before the second.
            caller.test(3);
            caller.test(4);
            try (ServerSocket exchange = new ServerSocket(port, 50, at.getAddress())) {
                desk.legs(exchange, 2);
                caller.say(ServeDesk.setUp(0xb3, 5_000));
                LegSide used = desk.invited();
                SipMessage first = used.next("INVITE");
                assertThat(LegMessages.call(first)).isEqualTo(0xb3);
                used.say(ServeDesk.ok(first));
                caller.next(CallerMessage.ANSWER);
            }
        }
    }

    @Test
    void anAnswerThatCrossesACancelIsAcknowledgedAndReleased() throws Exception {
        try (ServerSocket exchange = ServeDesk.server();
                ServeDesk desk = new ServeDesk(dir, 256, ServeDesk.address(exchange))) {
            CallerSide caller = desk.served(exchange);
            caller.say(ServeDesk.setUp(0xc1, 5_000));
            LegSide used = desk.invited();
            SipMessage invite = used.next("INVITE");
            caller.say(CallerMessage.withCause(CallerMessage.RELEASE, 0xc1, 16));
            used.next("CANCEL");
            used.say(ServeDesk.ok(invite));
            assertThat(LegMessages.call(used.next("ACK"))).isEqualTo(0xc1);
            assertThat(LegMessages.call(used.next("BYE"))).isEqualTo(0xc1);
            // Nothing of it reached its caller.
            caller.test(3);
        }
    }

    @Test
    void anAnswerAndItsReleaseInOneReadAreToldInOrderAndASecondCopyIsNot() throws Exception {
        try (ServerSocket exchange = ServeDesk.server();
                ServeDesk desk = new ServeDesk(dir, 256, ServeDesk.address(exchange))) {
            CallerSide caller = desk.served(exchange);
            caller.say(ServeDesk.setUp(0xd1, 5_000));
            LegSide used = desk.invited();
            SipMessage invite = used.next("INVITE");
            used.say(ServeDesk.ok(invite), ServeDesk.ok(invite), LegMessages.bye(0xd1, 16));
            caller.next(CallerMessage.ANSWER);
            assertThat(caller.next(CallerMessage.RELEASE).cause(0)).isEqualTo(16);
            caller.say(CallerMessage.of(CallerMessage.RELEASE_HEARD, 0xd1));
            caller.test(4);
        }
    }

    @Test
    void anInviteWhoseLegIsResetBeforeAnAnswerGetsItsFinalAnswerAndTheReleaseWaitIsKept()
            throws Exception {
        try (ServerSocket exchange = ServeDesk.server();
                ServeDesk desk = new ServeDesk(dir, 256, ServeDesk.address(exchange))) {
            CallerSide caller = desk.served(exchange);
            caller.say(ServeDesk.setUp(0xe1, 5_000));
            LegSide used = desk.invited();
            used.next("INVITE");
            used.reset();
            assertThat(caller.next(CallerMessage.RELEASE).call()).isEqualTo(0xe1);
        }
    }

    @Test
    void aReloadReadsAFileThatIsBeingWrittenAndAsksTheNewAddressAlsoDuringADrain()
            throws Exception {
        try (ServerSocket exchange = ServeDesk.server();
                ServerSocket moved = ServeDesk.server();
                ServerSocket last = ServeDesk.server();
                ServeDesk desk = new ServeDesk(dir, 256, ServeDesk.address(exchange))) {
            CallerSide caller = desk.served(exchange);
            String whole = desk.configuration(256, ServeDesk.address(exchange), moved);
            Files.writeString(desk.file, whole.substring(0, whole.length() / 2));
            desk.serve.reload();
            desk.logged("not-reloaded");
            Files.writeString(desk.file, whole);
            desk.serve.reload();
            assertThat(ServeDesk.told(moved, 1)).startsWith("GET /bulletins?after=1&");
            caller.say(ServeDesk.setUp(0xf1, 9_000));
            desk.serve.drain();
            // Two at once: each reads the file anew, so whichever is last, the newest file counts.
            Files.writeString(
                    desk.file, desk.configuration(200, ServeDesk.address(exchange), last));
            CountDownLatch both = new CountDownLatch(2);
            for (int i = 0; i < 2; i++) {
                ServeDesk.start(
                        "reload",
                        () -> {
                            desk.serve.reload();
                            both.countDown();
                        });
            }
            assertThat(both.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(ServeDesk.told(last, 1)).startsWith("GET /bulletins?after=1&");
            desk.logged("reload-ignored");
            caller.say(CallerMessage.withCause(CallerMessage.RELEASE, 0xf1, 16));
        }
    }

    @Test
    void whileIdleConnectionsHoldAllTheyMayTheListTheLegsAndATestGetTheirs() throws Exception {
        try (ServerSocket exchange = ServeDesk.server();
                ServeDesk desk = new ServeDesk(dir, 100, ServeDesk.address(exchange))) {
            List<Socket> idle = new ArrayList<>();
            Socket list = desk.bulletin.accept();
            desk.legs(exchange, 2);
            assertThat(desk.front()).isZero();
            for (int i = 0; i < 200; i++) {
                idle.add(new Socket(desk.listen.getAddress(), desk.listen.getPort()));
            }
            // The bulletin was down until now, and the legs break: both come again beside the
            // crowd.
            ServeDesk.told(list, 1);
            desk.legs.remove(0).reset();
            desk.legs(exchange, 1);
            while (desk.front() != 1) {
                Thread.onSpinWait();
            }
            CallerSide late = desk.caller();
            late.say(ServeDesk.setUp(0xf2, 9_000));
            LegSide used = desk.invited();
            used.say(ServeDesk.ok(used.next("INVITE")));
            assertThat(late.next(CallerMessage.ANSWER).call()).isEqualTo(0xf2);
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    @Test
    void aSetUpInPiecesAcrossSigtermIsAnswered() throws Exception {
        try (ServerSocket exchange = ServeDesk.server();
                ServeDesk desk = new ServeDesk(dir, 256, ServeDesk.address(exchange))) {
            CallerSide caller = desk.served(exchange);
            byte[] bytes = ServeDesk.setUp(0xf3, 5_000).bytes();
            caller.socket.getOutputStream().write(bytes, 0, 20);
            desk.serve.drain();
            desk.logged("drain");
            caller.socket.getOutputStream().write(bytes, 20, bytes.length - 20);
            LegSide used = desk.invited();
            used.say(ServeDesk.ok(used.next("INVITE")));
            assertThat(caller.next(CallerMessage.ANSWER).call()).isEqualTo(0xf3);
        }
    }

    @Test
    void signalsDuringTheStartAreKeptForTheRouter() {
        EarlySignals early = new EarlySignals();
        StringBuilder done = new StringBuilder();
        early.drain();
        early.reload();
        early.to(() -> done.append("drained "), () -> done.append("reloaded "));
        assertThat(done.toString()).isEqualTo("reloaded drained ");
        early.reload();
        assertThat(done.toString()).isEqualTo("reloaded drained reloaded ");
    }
}
