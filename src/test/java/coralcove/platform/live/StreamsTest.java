package coralcove.platform.live;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.Down;
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

/** Real loopback sockets: what is awaited is counted, and no verdict rests on speed. */
class StreamsTest {
    private final LinkedBlockingQueue<Long> opened = new LinkedBlockingQueue<>();
    private final AtomicInteger crowds = new AtomicInteger();
    private final LinkedBlockingQueue<String> legs = new LinkedBlockingQueue<>();

    private final class Ears implements Streams.Listener {
        @Override
        public void opened(long caller) {
            opened.add(caller);
        }

        @Override
        public void read(long caller, long stamp, byte[] bytes) {
            legs.add("read " + bytes.length);
        }

        @Override
        public void closed(long caller) {
            legs.add("closed");
        }

        @Override
        public void crowded() {
            crowds.incrementAndGet();
        }

        @Override
        public void legUp(long leg) {
            legs.add("up " + leg);
        }

        @Override
        public void legRead(long leg, long stamp, byte[] bytes) {
            legs.add("leg read");
        }

        @Override
        public void legDown(long leg, Down how) {
            legs.add("down " + leg + " " + how);
        }
    }

    @Test
    void atTheBoundNoFurtherConnectionIsTakenUntilOneIsFree() throws Exception {
        InetAddress here = InetAddress.getLoopbackAddress();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, here)) {
            port = free.getLocalPort();
        }
        List<Socket> sockets = new ArrayList<>();
        try (Streams streams = new Streams(500, 20, Serve::clock, new Ears())) {
            streams.listen(new InetSocketAddress(here, port));
            for (int i = 0; i < 50; i++) {
                sockets.add(new Socket(here, port));
            }
            List<Long> taken = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                taken.add(opened.poll(10, TimeUnit.SECONDS));
            }
            assertThat(opened.poll(200, TimeUnit.MILLISECONDS)).isNull();
            assertThat(crowds.get()).isGreaterThanOrEqualTo(4);
            taken.subList(0, 5).forEach(streams::closeCaller);
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

    @Test
    void whoClosesConnectionsNeverWaitsForAnAcceptorAtItsBound() throws Exception {
        // A router that ends stops listening; its acceptor waited for the core to close
        // connections, and the core for it.
        InetAddress here = InetAddress.getLoopbackAddress();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, here)) {
            port = free.getLocalPort();
        }
        List<Socket> sockets = new ArrayList<>();
        try (Streams streams = new Streams(500, 2, Serve::clock, new Ears())) {
            streams.listen(new InetSocketAddress(here, port));
            for (int i = 0; i < 10; i++) {
                sockets.add(new Socket(here, port));
            }
            Long first = opened.poll(10, TimeUnit.SECONDS);
            assertThat(opened.poll(10, TimeUnit.SECONDS)).isNotNull();
            org.junit.jupiter.api.Assertions.assertTimeoutPreemptively(
                    java.time.Duration.ofSeconds(20), streams::deaf);
            streams.closeCaller(first);
            assertThat(legs.poll(10, TimeUnit.SECONDS)).isEqualTo("closed");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Test
    void aLegThatIsRefusedOrBreaksIsToldAsSuch() throws Exception {
        InetAddress here = InetAddress.getLoopbackAddress();
        try (Streams streams = new Streams(500, 20, Serve::clock, new Ears())) {
            ServerSocket server = new ServerSocket(0, 5, here);
            InetSocketAddress address = new InetSocketAddress(here, server.getLocalPort());
            streams.connect(1, address);
            Socket socket = server.accept();
            assertThat(legs.poll(10, TimeUnit.SECONDS)).isEqualTo("up 1");
            socket.close();
            assertThat(legs.poll(10, TimeUnit.SECONDS)).isEqualTo("down 1 BROKEN");
            server.close();
            streams.connect(2, address);
            assertThat(legs.poll(10, TimeUnit.SECONDS)).isEqualTo("down 2 REFUSED");
        }
    }
}
