package coralcove.platform.trial;

import coralcove.config.BadConfig;
import coralcove.platform.caller.CallerFramer;
import coralcove.platform.caller.CallerMessage;
import coralcove.platform.caller.MalformedCallerMessageException;
import coralcove.platform.live.SessionRouterServer;
import coralcove.platform.signaling.SignalingMessages;
import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.StreamFramer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Runs one session router on loopback between a stub exchange, a stub discovery service and a
 * caller, and counts the sessions that get through on this machine. The build runs it once to
 * archive the classes that it loads, which shortens a router's start-up time.
 */
public final class LoopbackTrial {
    /** Time allowed for the router's start and for its end. */
    private static final long TIMEOUT_MS = 20_000;

    /** Time allowed for one message to the caller, and the caller's wait for an answer. */
    private static final int MESSAGE_TIMEOUT_MS = 3_000;

    private static final String SDP =
            "0123456789abcdef\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n";

    /**
     * Counts of sessions: those attempted, those that were established, and those that the router
     * released.
     */
    public record Result(int attempted, int established, int released) {}

    private LoopbackTrial() {}

    /**
     * Starts a router, sends the sessions one after another, and drains the router.
     *
     * @throws IOException if the router does not answer in time or sends a malformed message
     */
    public static Result run(int sessions) throws IOException, BadConfig, InterruptedException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        Path file = Files.createTempFile("trial", ".json");
        try (ServerSocket exchange = new ServerSocket(0, 50, loopback);
                ServerSocket discovery = new ServerSocket(0, 50, loopback)) {
            int port = freePort(loopback);
            Files.writeString(
                    file, configuration(port, exchange.getLocalPort(), discovery.getLocalPort()));
            start("exchange", () -> accept(exchange, LoopbackTrial::serveExchange));
            start("list", () -> accept(discovery, LoopbackTrial::serveDiscovery));
            SessionRouterServer server = SessionRouterServer.fromFile(file);
            Thread serverThread = start("router", server::serve);
            Result result;
            try {
                result = runCaller(port, sessions);
            } finally {
                server.drain();
                serverThread.join(TIMEOUT_MS);
            }
            return result;
        } finally {
            Files.deleteIfExists(file);
        }
    }

    private interface ThrowingRunnable {
        void run() throws Exception;
    }

    private interface ConnectionHandler {
        void handle(Socket socket) throws Exception;
    }

    private static Thread start(String name, ThrowingRunnable action) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (Exception e) {
                                // The stub's socket has been closed: it ends.
                                Thread.currentThread().interrupt();
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static int freePort(InetAddress loopback) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, loopback)) {
            return probe.getLocalPort();
        }
    }

    private static void accept(ServerSocket server, ConnectionHandler handler) throws IOException {
        while (true) {
            Socket socket = server.accept();
            start("talk", () -> handler.handle(socket));
        }
    }

    /**
     * Stub exchange: answers each INVITE with the session description that it carried, and releases
     * the call at the ACK.
     */
    private static void serveExchange(Socket socket) throws IOException, MalformedMessageException {
        OutputStream out = socket.getOutputStream();
        send(out, linkStateReport());
        StreamFramer framer = new StreamFramer();
        byte[] buffer = new byte[4096];
        for (int count = socket.getInputStream().read(buffer);
                count > 0;
                count = socket.getInputStream().read(buffer)) {
            framer.feed(
                    buffer,
                    0,
                    count,
                    messageBytes -> {
                        try {
                            SipMessage message =
                                    SipParser.parseWithoutMandatoryHeaders(messageBytes);
                            if (message.method().equals("INVITE")) {
                                send(
                                        out,
                                        SignalingMessages.response(message, 200, "OK")
                                                .body("application/sdp", message.body()));
                            } else if (message.method().equals("ACK")) {
                                send(
                                        out,
                                        SignalingMessages.bye(
                                                SignalingMessages.parseCallId(message), 16));
                                send(out, linkStateReport());
                            }
                        } catch (MalformedMessageException | IOException e) {
                            throw new IllegalStateException(e);
                        }
                    });
        }
    }

    private static SipMessage linkStateReport() {
        return SipMessage.request("NOTIFY", "sip:group@net")
                .add("Call-ID", "0")
                .add("CSeq", "1 NOTIFY")
                .add("Link-State", "free:20;size:20");
    }

    private static void send(OutputStream out, SipMessage message) throws IOException {
        out.write(message.encode());
        out.flush();
    }

    /** Stub discovery service: answers each poll with no changes after 200 ms. */
    private static void serveDiscovery(Socket socket) throws IOException, InterruptedException {
        while (true) {
            StringBuilder request = new StringBuilder();
            while (request.indexOf("\r\n\r\n") < 0) {
                int next = socket.getInputStream().read();
                if (next < 0) {
                    return;
                }
                request.append((char) next);
            }
            TimeUnit.MILLISECONDS.sleep(200);
            String body = "{\"no\":1,\"items\":[]}";
            socket.getOutputStream()
                    .write(
                            ("HTTP/1.1 200 OK\r\nContent-Length: "
                                            + body.length()
                                            + "\r\n\r\n"
                                            + body)
                                    .getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static Result runCaller(int port, int sessions)
            throws IOException, InterruptedException {
        try (Socket socket = connect(port)) {
            socket.setSoTimeout(MESSAGE_TIMEOUT_MS);
            // Number of sessions established, number of sessions released.
            int[] counts = new int[2];
            CallerFramer framer = new CallerFramer();
            for (int test = 1;
                    sendAndAwaitEnd(
                                    socket,
                                    framer,
                                    CallerMessage.withCause(CallerMessage.READINESS_CHECK, test, 0),
                                    counts)
                            != 1; ) {
                TimeUnit.MILLISECONDS.sleep(20);
                test++;
            }
            for (int call = 1; call <= sessions; call++) {
                CallerMessage setUp =
                        CallerMessage.of(CallerMessage.SET_UP, call)
                                .add(CallerMessage.SERVICE, "trial")
                                .add(CallerMessage.WAIT, Integer.toString(MESSAGE_TIMEOUT_MS))
                                .add(CallerMessage.NUMBER, SignalingMessages.formatCallId(call))
                                .add(CallerMessage.ATTRIBUTES, "dest:1;width:1;via:-1")
                                .add(CallerMessage.DESCRIPTION, SDP);
                sendAndAwaitEnd(socket, framer, setUp, counts);
            }
            return new Result(sessions, counts[0], counts[1]);
        }
    }

    private static Socket connect(int port) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (true) {
            try {
                return new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                if (System.nanoTime() > deadlineNanos) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(5);
            }
        }
    }

    /**
     * Sends a message and reads until its call has been released or its test answered, counting the
     * answers and releases.
     *
     * @return the cause in the last message, or 0 if it has none
     */
    private static int sendAndAwaitEnd(
            Socket socket, CallerFramer framer, CallerMessage message, int[] counts)
            throws IOException {
        socket.getOutputStream().write(message.encode());
        int[] cause = {-1};
        byte[] buffer = new byte[4096];
        while (cause[0] < 0) {
            int count = socket.getInputStream().read(buffer);
            if (count < 0) {
                throw new IOException("the router closed the caller's connection");
            }
            try {
                framer.feed(
                        java.util.Arrays.copyOf(buffer, count),
                        received -> {
                            counts[0] += received.type() == CallerMessage.ANSWER ? 1 : 0;
                            counts[1] += received.type() == CallerMessage.RELEASE ? 1 : 0;
                            cause[0] =
                                    received.type() == CallerMessage.ANSWER
                                            ? cause[0]
                                            : received.cause(0);
                        });
            } catch (MalformedCallerMessageException e) {
                throw new IOException("the router sent a malformed message: " + e.getMessage());
            }
        }
        return cause[0];
    }

    private static String configuration(int listen, int exchange, int discovery) {
        return ("{'name':'trial','listen':'127.0.0.1:"
                        + listen
                        + "','seed':'1','limits':{'sockets':256},"
                        + "'bulletin':'127.0.0.1:"
                        + discovery
                        + "','known':{'no':1,'items':[{'no':1,'roster':{'version':1,'full':true,"
                        + "'servers':[{'id':'s-1','addr':'127.0.0.1:"
                        + exchange
                        + "','cell':1,'state':'in_service'}]}}]},"
                        + "'settings':{'balancers':2,"
                        + "'classes':[{'name':'trial','aim':1000000000,'credit':1},"
                        + "{'name':'other','aim':1000000000,'credit':2}],"
                        + "'contract':{'fall_multiple':3,'overload_for':1000000000,"
                        + "'cold_from':0.3,'warm_up':1000000000},"
                        + "'family_info':{'call_length':[10000000000,10000000000],"
                        + "'class_width':[1,1],'layout':'mesh',"
                        + "'release_guard':100000000,'this_node':0},"
                        + "'limits':{'try_limit':4},'report':{'columns':['free','size']}}}")
                .replace('\'', '"');
    }
}
