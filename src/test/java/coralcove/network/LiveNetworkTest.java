package coralcove.network;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.TransportAddress;
import coralcove.sip.dialog.Call;
import coralcove.sip.dialog.UserAgent;
import coralcove.sip.dialog.UserAgentCore;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
import coralcove.sip.transport.SipTransport;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;

/**
 * Calls over real loopback sockets. The tests wait for counted events; no result depends on speed.
 */
class LiveNetworkTest {
    private final LiveNetwork network = new LiveNetwork(null);

    /**
     * A user agent that calls {@code to} when it starts, if that is given; otherwise it answers
     * calls and hangs up once the answer is acknowledged.
     */
    private static final class Phone extends UserAgentCore {
        final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        final TransportAddress calledAddress;

        Phone(TransportAddress self, TransportAddress to, String seed) {
            super(self, seed);
            this.calledAddress = to;
        }

        @Override
        public void start(long now, SipOutput out) {
            if (calledAddress != null) {
                SipMessage invite = userAgent.createRequest("INVITE", "sip:7@there");
                invite.add("X-Long", "y".repeat(calledAddress.tcp() ? 3000 : 10));
                userAgent.invite(now, invite, calledAddress, this, out);
            }
        }

        @Override
        public void malformedReceived(
                long now, TransportAddress from, MalformedMessageException problem, SipOutput out) {
            events.add("malformed");
            super.malformedReceived(now, from, problem, out);
        }

        @Override
        public void connectionFailed(
                long now, TransportAddress peer, boolean refused, SipOutput out) {
            events.add(refused ? "refused" : "broken");
            super.connectionFailed(now, peer, refused, out);
        }

        @Override
        public void callReceived(long now, Call call, TransportAddress from, SipOutput out) {
            events.add("invited");
            userAgent.sendProvisional(now, call, 180, "Ringing", out);
            userAgent.answer(now, call, out);
        }

        @Override
        public void provisionalReceived(long now, Call call, SipMessage response, SipOutput out) {
            events.add("ringing");
        }

        @Override
        public void callAnswered(long now, Call call, SipMessage response, SipOutput out) {
            events.add("answered");
            userAgent.bye(now, call, null, out);
        }

        @Override
        public void callFailed(
                long now,
                Call call,
                SipMessage response,
                UserAgent.CallFailure failure,
                SipOutput out) {
            events.add("rejected " + failure);
        }

        @Override
        public void callCancelled(long now, Call call, SipOutput out) {
            events.add("cancelled");
        }

        @Override
        public void callEnded(long now, Call call, SipMessage bye, SipOutput out) {
            events.add("hung up");
        }

        @Override
        public void requestReceived(
                long now, ServerTransaction transaction, TransportAddress from, SipOutput out) {
            userAgent.respond(
                    now, transaction, userAgent.createResponse(transaction, 200, "OK"), out);
        }

        @Override
        public void responseReceived(
                long now, ClientTransaction transaction, SipMessage response, SipOutput out) {
            events.add("replied");
        }

        void awaitEvents(String... expected) throws InterruptedException {
            for (String event : expected) {
                assertThat(events.poll(30, TimeUnit.SECONDS)).isEqualTo(event);
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @AfterEach
    void close() {
        network.close();
    }

    private void assertCallCompletes(boolean tcp, String host) throws Exception {
        TransportAddress calleeAddress = new TransportAddress(tcp, host, freePort());
        Phone callee = new Phone(calleeAddress, null, "b");
        network.addNode("called", calleeAddress, callee, false);
        TransportAddress callerAddress = new TransportAddress(tcp, host, freePort());
        Phone caller = new Phone(callerAddress, calleeAddress, "a");
        network.addNode("caller", callerAddress, caller, false);
        caller.awaitEvents("ringing", "answered");
        callee.awaitEvents("invited", "hung up");
    }

    @Test
    void setsUpAndEndsCallOverUdp() throws Exception {
        assertCallCompletes(false, "127.0.0.1");
    }

    @Test
    void setsUpAndEndsCallOverTcp() throws Exception {
        assertCallCompletes(true, "127.0.0.1");
    }

    private static void assumeIpv6() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("::1"))) {
            assertThat(socket.isBound()).isTrue();
        } catch (IOException e) {
            Assumptions.abort("this machine has no IPv6 loopback: " + e.getMessage());
        }
    }

    @Test
    void setsUpAndEndsCallOverTcpAndIpv6() throws Exception {
        assumeIpv6();
        assertCallCompletes(true, "[::1]");
    }

    @Test
    void reportsRefusedConnection() throws Exception {
        TransportAddress address = new TransportAddress(true, "127.0.0.1", freePort());
        Phone caller = new Phone(address, new TransportAddress(true, "127.0.0.1", freePort()), "a");
        network.addNode("caller", address, caller, false);
        caller.awaitEvents("refused", "rejected UNREACHABLE");
    }

    @Test
    void closesStreamThatIsNotSip() throws Exception {
        TransportAddress address = new TransportAddress(true, "127.0.0.1", freePort());
        Phone phone = new Phone(address, null, "a");
        network.addNode("phone", address, phone, false);
        try (Socket socket = new Socket("127.0.0.1", address.port())) {
            OutputStream out = socket.getOutputStream();
            out.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** The bytes queued for a connection that is never accepted once grew without bound. */
    @Test
    void boundsBytesQueuedForPendingConnection() throws Exception {
        try (ServerSocket notAccepting = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> connections = new ArrayList<>();
            try {
                for (int i = 0; i < 4; i++) {
                    Socket socket = new Socket();
                    connections.add(socket);
                    socket.connect(notAccepting.getLocalSocketAddress(), 200);
                }
            } catch (IOException backlogFull) {
                // The backlog is full: further connection attempts stay pending.
            }
            CompletableFuture<String> disconnectReason = new CompletableFuture<>();
            SipTransport.Listener listener =
                    new SipTransport.Listener() {
                        @Override
                        public void messageReceived(TransportAddress from, byte[] bytes) {}

                        @Override
                        public void connectionFailed(TransportAddress peer, boolean refused) {}

                        @Override
                        public void peerCutOff(TransportAddress peer, String reason) {
                            disconnectReason.complete(reason);
                        }
                    };
            try (SipTransport sockets =
                    new SipTransport(
                            new TransportAddress(false, "127.0.0.1", freePort()), listener)) {
                TransportAddress destination =
                        new TransportAddress(true, "127.0.0.1", notAccepting.getLocalPort());
                for (int i = 0; i < 70; i++) {
                    sockets.send(destination, new byte[1 << 16]);
                }
                assertThat(disconnectReason.get(5, TimeUnit.SECONDS))
                        .startsWith("does not connect: 4194304 bytes wait");
            }
            for (Socket socket : connections) {
                socket.close();
            }
        }
    }

    /**
     * One peer never reads, one resets its connection and one closes its sending side: all are
     * disconnected, and other peers are still served.
     */
    @Test
    void disconnectsMisbehavingPeersAndServesOthers() throws Exception {
        TransportAddress address = new TransportAddress(true, "127.0.0.1", freePort());
        Phone phone = new Phone(address, null, "a");
        network.addNode("phone", address, phone, false);
        String options =
                "OPTIONS sip:a@b SIP/2.0\r\n"
                        + "Via: SIP/2.0/TCP 127.0.0.1:9;rport;branch=z9hG4bK%d\r\n"
                        + "From: <sip:a>;tag=1\r\n"
                        + "To: <sip:b>\r\n"
                        + "Call-ID: c%d\r\n"
                        + "CSeq: 1 OPTIONS\r\n"
                        + "Content-Length: 0\r\n\r\n";
        Socket reset = new Socket("127.0.0.1", address.port());
        reset.setSoLinger(true, 0);
        reset.getOutputStream().write(options.substring(0, 40).getBytes(StandardCharsets.US_ASCII));
        reset.close();
        try (Socket notReading = new Socket();
                Socket halfClosed = new Socket("127.0.0.1", address.port())) {
            notReading.setReceiveBufferSize(4096);
            notReading.connect(new java.net.InetSocketAddress("127.0.0.1", address.port()));
            halfClosed
                    .getOutputStream()
                    .write(String.format(options, -1, -1).getBytes(StandardCharsets.US_ASCII));
            halfClosed.shutdownOutput();
            byte[] first = new byte[11];
            halfClosed.getInputStream().readNBytes(first, 0, first.length);
            OutputStream out = notReading.getOutputStream();
            boolean disconnected = false;
            try {
                // Far more responses than may be queued for one peer: at some point the stream is
                // closed while the test writes.
                for (int i = 0; i < 400_000 && !disconnected; i++) {
                    out.write(String.format(options, i, i).getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                disconnected = true;
            }
            assertThat(disconnected).isTrue();
        }
        TransportAddress callerAddress = new TransportAddress(true, "127.0.0.1", freePort());
        Phone caller = new Phone(callerAddress, address, "c");
        network.addNode("caller", callerAddress, caller, false);
        caller.awaitEvents("ringing", "answered");
    }

    @Test
    void reportsAddressInUse() throws Exception {
        try (ServerSocket boundSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            TransportAddress address =
                    new TransportAddress(true, "127.0.0.1", boundSocket.getLocalPort());
            assertThatThrownBy(
                            () ->
                                    network.addNode(
                                            "phone", address, new Phone(address, null, "a"), false))
                    .hasMessageContaining("127.0.0.1:" + boundSocket.getLocalPort());
        }
    }
}
