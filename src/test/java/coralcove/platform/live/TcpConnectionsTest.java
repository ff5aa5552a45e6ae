package coralcove.platform.live;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.ConnectionLoss;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests on real loopback sockets. Awaited events are counted; no assertion depends on speed. */
class TcpConnectionsTest {
    private final LinkedBlockingQueue<Long> opened = new LinkedBlockingQueue<>();
    private final AtomicInteger nearLimitReports = new AtomicInteger();
    private final LinkedBlockingQueue<String> otherEvents = new LinkedBlockingQueue<>();

    private class RecordingListener implements TcpConnections.Listener {
        @Override
        public void callerOpened(long callerId) {
            opened.add(callerId);
        }

        @Override
        public void callerRead(long callerId, long receivedAt, byte[] bytes) {
            otherEvents.add("read " + bytes.length);
        }

        @Override
        public void callerClosed(long callerId) {
            otherEvents.add("closed");
        }

        @Override
        public void callerLimitNear() {
            nearLimitReports.incrementAndGet();
        }

        @Override
        public void exchangeConnected(long connectionId) {
            otherEvents.add("up " + connectionId);
        }

        @Override
        public void exchangeRead(long connectionId, long receivedAt, byte[] bytes) {
            otherEvents.add("exchange read");
        }

        @Override
        public void exchangeDisconnected(long connectionId, ConnectionLoss cause) {
            otherEvents.add("down " + connectionId + " " + cause);
        }
    }

    @Test
    void acceptsNoConnectionAtTheLimitUntilOneCloses() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        int port = SessionRouterHarness.freePort();
        List<Socket> sockets = new ArrayList<>();
        try (TcpConnections connections =
                new TcpConnections(500, 20, SessionRouterServer::clock, new RecordingListener())) {
            connections.listen(new InetSocketAddress(loopback, port));
            for (int i = 0; i < 50; i++) {
                sockets.add(new Socket(loopback, port));
            }
            List<Long> accepted = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                accepted.add(opened.poll(10, TimeUnit.SECONDS));
            }
            assertThat(opened.poll(200, TimeUnit.MILLISECONDS)).isNull();
            assertThat(nearLimitReports.get()).isGreaterThanOrEqualTo(4);
            accepted.subList(0, 5).forEach(connections::closeCaller);
            for (int i = 0; i < 5; i++) {
                assertThat(opened.poll(10, TimeUnit.SECONDS)).isNotNull();
            }
            assertThat(opened.poll(200, TimeUnit.MILLISECONDS)).isNull();
            for (Socket socket : sockets) {
                socket.close();
            }
            for (int i = 25; i < 50; i++) {
                assertThat(opened.poll(10, TimeUnit.SECONDS)).isNotNull();
            }
        }
    }

    /** Guards against a flood that is read although nobody processes it, or read slowly after. */
    @Test
    void readsNothingFromASuspendedConnectionAndContinuesAtOnce() throws Exception {
        int port = SessionRouterHarness.freePort();
        TcpConnections[] suspending = new TcpConnections[1];
        RecordingListener listener =
                new RecordingListener() {
                    @Override
                    public void callerRead(long callerId, long receivedAt, byte[] bytes) {
                        suspending[0].suspendReading(callerId);
                        super.callerRead(callerId, receivedAt, bytes);
                    }
                };
        try (TcpConnections connections =
                        new TcpConnections(500, 20, SessionRouterServer::clock, listener);
                Socket client = connect(connections, port, suspending)) {
            long id = opened.poll(10, TimeUnit.SECONDS);
            client.getOutputStream().write(new byte[40_000]);
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            int read = 0;
            while (read < 40_000) {
                String event = otherEvents.poll(10, TimeUnit.SECONDS);
                read += Integer.parseInt(event.substring("read ".length()));
                assertThat(otherEvents.poll(20, TimeUnit.MILLISECONDS)).isNull();
                connections.resumeReading(id);
            }
            // MINA's selector would see the change only after its time-out of a second.
            assertThat(System.nanoTime()).isLessThan(deadline);
        }
    }

    private static Socket connect(TcpConnections connections, int port, TcpConnections[] holder)
            throws Exception {
        holder[0] = connections;
        connections.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return new Socket(InetAddress.getLoopbackAddress(), port);
    }

    @Test
    void stopsAcceptingWithoutWaitingForAnAcceptorAtItsLimit() throws Exception {
        // Guards against a deadlock at shutdown: the acceptor at its limit waited for the core to
        // close connections, while the core waited for the acceptor to unbind.
        InetAddress loopback = InetAddress.getLoopbackAddress();
        int port = SessionRouterHarness.freePort();
        List<Socket> sockets = new ArrayList<>();
        try (TcpConnections connections =
                new TcpConnections(500, 2, SessionRouterServer::clock, new RecordingListener())) {
            connections.listen(new InetSocketAddress(loopback, port));
            for (int i = 0; i < 10; i++) {
                sockets.add(new Socket(loopback, port));
            }
            Long first = opened.poll(10, TimeUnit.SECONDS);
            assertThat(opened.poll(10, TimeUnit.SECONDS)).isNotNull();
            org.junit.jupiter.api.Assertions.assertTimeoutPreemptively(
                    java.time.Duration.ofSeconds(20), connections::stopAccepting);
            connections.closeCaller(first);
            assertThat(otherEvents.poll(10, TimeUnit.SECONDS)).isEqualTo("closed");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Test
    void reportsWhetherAnExchangeConnectionWasRefusedOrBroke() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (TcpConnections connections =
                new TcpConnections(500, 20, SessionRouterServer::clock, new RecordingListener())) {
            ServerSocket server = new ServerSocket(0, 5, loopback);
            InetSocketAddress address = new InetSocketAddress(loopback, server.getLocalPort());
            connections.connectToExchange(1, address);
            Socket socket = server.accept();
            assertThat(otherEvents.poll(10, TimeUnit.SECONDS)).isEqualTo("up 1");
            socket.close();
            assertThat(otherEvents.poll(10, TimeUnit.SECONDS)).isEqualTo("down 1 BROKEN");
            server.close();
            connections.connectToExchange(2, address);
            assertThat(otherEvents.poll(10, TimeUnit.SECONDS)).isEqualTo("down 2 REFUSED");
        }
    }
}
