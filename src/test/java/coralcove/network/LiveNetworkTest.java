package coralcove.network;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import coralcove.sip.BadMessage;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.dialog.Agent;
import coralcove.sip.dialog.AgentCore;
import coralcove.sip.dialog.Call;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import coralcove.sip.transport.Sockets;
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

/** Calls over real loopback sockets; what is awaited is counted, and no verdict rests on speed. */
class LiveNetworkTest {
    private final LiveNetwork network = new LiveNetwork(null);

    /**
     * A phone that calls {@code to} at its start, or answers what calls it and hangs up once it is
     * acknowledged.
     */
    private static final class Phone extends AgentCore {
        final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        final Hop to;

        Phone(Hop self, Hop to, String seed) {
            super(self, seed);
            this.to = to;
        }

        @Override
        public void start(long now, Out out) {
            if (to != null) {
                SipMessage invite = agent.request("INVITE", "sip:7@there");
                invite.add("X-Long", "y".repeat(to.tcp() ? 3000 : 10));
                agent.invite(now, invite, to, this, out);
            }
        }

        @Override
        public void malformed(long now, Hop from, BadMessage problem, Out out) {
            seen.add("malformed");
            super.malformed(now, from, problem, out);
        }

        @Override
        public void broken(long now, Hop peer, boolean refused, Out out) {
            seen.add(refused ? "refused" : "broken");
            super.broken(now, peer, refused, out);
        }

        @Override
        public void invited(long now, Call call, Hop from, Out out) {
            seen.add("invited");
            agent.progress(now, call, 180, "Ringing", out);
            agent.answer(now, call, out);
        }

        @Override
        public void progressed(long now, Call call, SipMessage response, Out out) {
            seen.add("ringing");
        }

        @Override
        public void answered(long now, Call call, SipMessage response, Out out) {
            seen.add("answered");
            agent.bye(now, call, null, out);
        }

        @Override
        public void rejected(long now, Call call, SipMessage response, Agent.Lost lost, Out out) {
            seen.add("rejected " + lost);
        }

        @Override
        public void cancelled(long now, Call call, Out out) {
            seen.add("cancelled");
        }

        @Override
        public void hungUp(long now, Call call, SipMessage bye, Out out) {
            seen.add("hung up");
        }

        @Override
        public void request(long now, ServerTx tx, Hop from, Out out) {
            agent.respond(now, tx, agent.reply(tx, 200, "OK"), out);
        }

        @Override
        public void replied(long now, ClientTx tx, SipMessage response, Out out) {
            seen.add("replied");
        }

        void sees(String... wanted) throws InterruptedException {
            for (String each : wanted) {
                assertThat(seen.poll(30, TimeUnit.SECONDS)).isEqualTo(each);
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

    private void call(boolean tcp, String host) throws Exception {
        Hop there = new Hop(tcp, host, freePort());
        Phone called = new Phone(there, null, "b");
        network.add("called", there, called, false);
        Hop here = new Hop(tcp, host, freePort());
        Phone caller = new Phone(here, there, "a");
        network.add("caller", here, caller, false);
        caller.sees("ringing", "answered");
        called.sees("invited", "hung up");
    }

    @Test
    void setsUpAndEndsACallOverUdp() throws Exception {
        call(false, "127.0.0.1");
    }

    @Test
    void setsUpAndEndsACallOverTcp() throws Exception {
        call(true, "127.0.0.1");
    }

    private static void needsIpv6() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("::1"))) {
            assertThat(socket.isBound()).isTrue();
        } catch (IOException e) {
            Assumptions.abort("this machine has no IPv6 loopback: " + e.getMessage());
        }
    }

    @Test
    void setsUpAndEndsACallOverTcpAndIpv6() throws Exception {
        needsIpv6();
        call(true, "[::1]");
    }

    @Test
    void tellsARefusedStreamAtOnce() throws Exception {
        Hop here = new Hop(true, "127.0.0.1", freePort());
        Phone caller = new Phone(here, new Hop(true, "127.0.0.1", freePort()), "a");
        network.add("caller", here, caller, false);
        caller.sees("refused", "rejected UNREACHABLE");
    }

    @Test
    void cutsOffAStreamThatIsNoSip() throws Exception {
        Hop here = new Hop(true, "127.0.0.1", freePort());
        Phone phone = new Phone(here, null, "a");
        network.add("phone", here, phone, false);
        try (Socket socket = new Socket("127.0.0.1", here.port())) {
            OutputStream out = socket.getOutputStream();
            out.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** What waited for a connection that was never taken grew without a bound. */
    @Test
    void whatWaitsForAConnectionIsBounded() throws Exception {
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> fill = new ArrayList<>();
            try {
                for (int i = 0; i < 4; i++) {
                    Socket each = new Socket();
                    fill.add(each);
                    each.connect(deaf.getLocalSocketAddress(), 200);
                }
            } catch (IOException full) {
                // The backlog is full: from now on a connection waits.
            }
            CompletableFuture<String> cut = new CompletableFuture<>();
            Sockets.Listener listener =
                    new Sockets.Listener() {
                        @Override
                        public void read(Hop from, byte[] bytes) {}

                        @Override
                        public void broken(Hop peer, boolean refused) {}

                        @Override
                        public void cutOff(Hop peer, String reason) {
                            cut.complete(reason);
                        }
                    };
            try (Sockets sockets = new Sockets(new Hop(false, "127.0.0.1", freePort()), listener)) {
                Hop to = new Hop(true, "127.0.0.1", deaf.getLocalPort());
                for (int i = 0; i < 70; i++) {
                    sockets.send(to, new byte[1 << 16]);
                }
                assertThat(cut.get(5, TimeUnit.SECONDS))
                        .startsWith("does not connect: 4194304 bytes wait");
            }
            for (Socket each : fill) {
                each.close();
            }
        }
    }

    /**
     * A peer that never reads, one that resets and one that closes its half: each is cut off, and
     * others are served.
     */
    @Test
    void aBadPeerIsCutOffAndOthersAreServed() throws Exception {
        Hop here = new Hop(true, "127.0.0.1", freePort());
        Phone phone = new Phone(here, null, "a");
        network.add("phone", here, phone, false);
        String options =
                "OPTIONS sip:a@b SIP/2.0\r\n"
                        + "Via: SIP/2.0/TCP 127.0.0.1:9;rport;branch=z9hG4bK%d\r\n"
                        + "From: <sip:a>;tag=1\r\n"
                        + "To: <sip:b>\r\n"
                        + "Call-ID: c%d\r\n"
                        + "CSeq: 1 OPTIONS\r\n"
                        + "Content-Length: 0\r\n\r\n";
        Socket reset = new Socket("127.0.0.1", here.port());
        reset.setSoLinger(true, 0);
        reset.getOutputStream().write(options.substring(0, 40).getBytes(StandardCharsets.US_ASCII));
        reset.close();
        try (Socket deaf = new Socket();
                Socket half = new Socket("127.0.0.1", here.port())) {
            deaf.setReceiveBufferSize(4096);
            deaf.connect(new java.net.InetSocketAddress("127.0.0.1", here.port()));
            half.getOutputStream()
                    .write(String.format(options, -1, -1).getBytes(StandardCharsets.US_ASCII));
            half.shutdownOutput();
            byte[] first = new byte[11];
            half.getInputStream().readNBytes(first, 0, first.length);
            OutputStream out = deaf.getOutputStream();
            boolean cut = false;
            try {
                // Far more answers than are let wait: at some point the stream is closed under the
                // writer.
                for (int i = 0; i < 400_000 && !cut; i++) {
                    out.write(String.format(options, i, i).getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                cut = true;
            }
            assertThat(cut).isTrue();
        }
        Hop other = new Hop(true, "127.0.0.1", freePort());
        Phone caller = new Phone(other, here, "c");
        network.add("caller", other, caller, false);
        caller.sees("ringing", "answered");
    }

    @Test
    void namesThePortThatIsInUse() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Hop here = new Hop(true, "127.0.0.1", taken.getLocalPort());
            assertThatThrownBy(() -> network.add("phone", here, new Phone(here, null, "a"), false))
                    .hasMessageContaining("127.0.0.1:" + taken.getLocalPort());
        }
    }
}
