package coralcove.platform.live;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.caller.CallerFramer;
import coralcove.platform.caller.CallerMessage;
import coralcove.platform.leg.LegMessages;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.StreamFramer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * One router on real loopback sockets between stand-ins that say what a test has them say, and
 * nothing by themselves.
 */
final class ServeDesk implements AutoCloseable {
    static final String SDP =
            "0123456789abcdef\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n";
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final long LONGEST = 20;

    /** A connection to an exchange: what came on it, and whether it ended. */
    static final class LegSide {
        final Socket socket;
        final BlockingQueue<SipMessage> got = new LinkedBlockingQueue<>();

        LegSide(Socket socket) {
            this.socket = socket;
            start(
                    "leg",
                    () -> {
                        StreamFramer framer = new StreamFramer();
                        byte[] buffer = new byte[4096];
                        for (int n = socket.getInputStream().read(buffer);
                                n > 0;
                                n = socket.getInputStream().read(buffer)) {
                            framer.take(
                                    buffer,
                                    0,
                                    n,
                                    whole -> {
                                        try {
                                            got.add(SipParser.parseBare(whole));
                                        } catch (coralcove.sip.BadMessage e) {
                                            throw new IllegalStateException(e);
                                        }
                                    });
                        }
                    });
        }

        /** All in one write, so that they are read at once. */
        void say(SipMessage... messages) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (SipMessage each : messages) {
                all.write(each.bytes());
            }
            socket.getOutputStream().write(all.toByteArray());
        }

        SipMessage next(String method) throws InterruptedException {
            SipMessage message = got.poll(LONGEST, TimeUnit.SECONDS);
            assertThat(message).as(method).isNotNull();
            assertThat(message.method()).isEqualTo(method);
            return message;
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** A caller's connection. */
    static final class CallerSide {
        final Socket socket;

        /** Stands at the end of what came. */
        static final CallerMessage CLOSED = CallerMessage.of(0, 0);

        final BlockingQueue<CallerMessage> got = new LinkedBlockingQueue<>();

        CallerSide(Socket socket) {
            this.socket = socket;
            start(
                    "caller",
                    () -> {
                        CallerFramer framer = new CallerFramer();
                        byte[] buffer = new byte[4096];
                        try {
                            for (int n = socket.getInputStream().read(buffer);
                                    n > 0;
                                    n = socket.getInputStream().read(buffer)) {
                                framer.take(Arrays.copyOf(buffer, n), got::add);
                            }
                        } finally {
                            got.add(CLOSED);
                        }
                    });
        }

        void say(CallerMessage... messages) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (CallerMessage each : messages) {
                all.write(each.bytes());
            }
            socket.getOutputStream().write(all.toByteArray());
        }

        CallerMessage next(int type) throws InterruptedException {
            CallerMessage message = got.poll(LONGEST, TimeUnit.SECONDS);
            assertThat(message).as("a message of type " + type).isNotNull();
            assertThat(message.type()).isEqualTo(type);
            return message;
        }

        /**
         * What was said before it on this connection has been looked at once its answer is here.
         */
        int test(long id) throws IOException, InterruptedException {
            say(CallerMessage.withCause(CallerMessage.TEST, id, 0));
            return next(CallerMessage.TEST_ANSWER).cause(-1);
        }
    }

    interface Act {
        void run() throws Exception;
    }

    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    final ServerSocket bulletin;
    final InetSocketAddress listen;
    final Path file;
    final Serve serve;
    final Thread router;
    final List<LegSide> legs = new ArrayList<>();
    private final PrintStream out = new PrintStream(log, true, StandardCharsets.UTF_8);

    /** With one exchange, of number 1, at this address. */
    ServeDesk(Path dir, int descriptors, InetSocketAddress exchange) throws Exception {
        bulletin = new ServerSocket(0, 50, HERE);
        listen = new InetSocketAddress(HERE, freePort());
        file = dir.resolve("config.json");
        Files.writeString(file, configuration(descriptors, exchange, bulletin));
        serve = Serve.of(file, out);
        router = start("router", serve::serve);
    }

    static Thread start(String name, Act act) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                act.run();
                            } catch (Exception e) {
                                // A socket was closed under it: that is its end.
                                Thread.currentThread().interrupt();
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, HERE)) {
            return free.getLocalPort();
        }
    }

    static ServerSocket server() throws IOException {
        return new ServerSocket(0, 50, HERE);
    }

    static InetSocketAddress address(ServerSocket server) {
        return new InetSocketAddress(HERE, server.getLocalPort());
    }

    /** Takes a leg and reports room on its group, as exchanges do before anything else. */
    static LegSide leg(ServerSocket exchange) throws IOException {
        LegSide leg = new LegSide(exchange.accept());
        leg.say(
                SipMessage.request("NOTIFY", "sip:group@net")
                        .add("Call-ID", "0")
                        .add("CSeq", "1 NOTIFY")
                        .add("Link-State", "free:20;size:20"));
        return leg;
    }

    /** Takes so many legs more. */
    void legs(ServerSocket exchange, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            legs.add(leg(exchange));
        }
    }

    /** A caller to a router that has its list and both legs, and is ready. */
    CallerSide served(ServerSocket exchange) throws Exception {
        told(bulletin, 1);
        legs(exchange, 2);
        return ready();
    }

    /** The leg that an INVITE came on. */
    LegSide invited() {
        while (true) {
            for (LegSide leg : legs) {
                if (!leg.got.isEmpty()) {
                    return leg;
                }
            }
            Thread.onSpinWait();
        }
    }

    CallerSide caller() throws Exception {
        while (true) {
            try {
                return new CallerSide(new Socket(HERE, listen.getPort()));
            } catch (java.net.ConnectException e) {
                // It does not listen yet.
                assertThat(router.isAlive()).isTrue();
                Thread.onSpinWait();
            }
        }
    }

    /** A caller to a router that is ready. */
    CallerSide ready() throws Exception {
        CallerSide caller = caller();
        for (int id = 1; caller.test(id) != 1; id++) {
            Thread.onSpinWait();
        }
        return caller;
    }

    /**
     * A front's test on a connection of its own; it may be closed for room, as idle ones are, and
     * comes again.
     */
    int front() throws Exception {
        while (true) {
            CallerSide front = caller();
            try {
                front.say(CallerMessage.withCause(CallerMessage.TEST, 1, 0));
            } catch (IOException e) {
                continue;
            }
            CallerMessage answer = front.got.poll(LONGEST, TimeUnit.SECONDS);
            assertThat(answer).as("a test's answer").isNotNull();
            if (answer != CallerSide.CLOSED) {
                front.socket.close();
                return answer.cause(-1);
            }
        }
    }

    /** Answers one question at this bulletin, and leaves the connection open. */
    static String told(ServerSocket bulletin, int last, String... items) throws IOException {
        Socket socket = bulletin.accept();
        return told(socket, last, items);
    }

    static String told(Socket socket, int last, String... items) throws IOException {
        StringBuilder request = new StringBuilder();
        while (request.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed");
            }
            request.append((char) next);
        }
        String text = "{\"no\":" + last + ",\"items\":[" + String.join(",", items) + "]}";
        socket.getOutputStream()
                .write(
                        ("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text)
                                .getBytes(StandardCharsets.US_ASCII));
        return request.substring(0, request.indexOf("\r\n"));
    }

    static String event(int no, boolean whole, String id, InetSocketAddress at, String state) {
        return ("{'no':"
                        + no
                        + ",'roster':{'version':"
                        + no
                        + ",'full':"
                        + whole
                        + ",'servers':[{'id':'"
                        + id
                        + "','addr':'"
                        + text(at)
                        + "','cell':1,'state':'"
                        + state
                        + "'}]}}")
                .replace('\'', '"');
    }

    static CallerMessage setUp(long call, int waitMs) {
        return CallerMessage.of(CallerMessage.SET_UP, call)
                .add(CallerMessage.SERVICE, "plain")
                .add(CallerMessage.WAIT, Integer.toString(waitMs))
                .add(CallerMessage.NUMBER, LegMessages.callId(call))
                .add(CallerMessage.FIGURES, "dest:1;width:1;via:-1")
                .add(CallerMessage.DESCRIPTION, SDP);
    }

    static SipMessage ok(SipMessage invite) {
        return LegMessages.reply(invite, 200, "OK").body("application/sdp", invite.body());
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    String configuration(int descriptors, InetSocketAddress exchange, ServerSocket list) {
        return ("{'name':'desk','listen':'"
                        + text(listen)
                        + "','seed':'1','limits':{'sockets':"
                        + descriptors
                        + "},"
                        + "'bulletin':'"
                        + text(address(list))
                        + "','known':{'no':1,'items':["
                        + event(1, true, "s-1", exchange, "in_service")
                        + "]},'settings':{'balancers':2,'classes':[{'name':'plain','aim':1000000000,'credit':1},"
                        + "{'name':'other','aim':1000000000,'credit':2}],'contract':{'fall_multiple':3,"
                        + "'overload_for':1000000000,'cold_from':0.3,'warm_up':1000000000},'family_info':{'call_length':[10000000000,"
                        + "10000000000],'class_width':[1,1],'layout':'mesh','release_guard':100000000,'this_node':0},"
                        + "'limits':{'try_limit':4,'may_probe':true},'report':{'columns':['free','size']}}}")
                .replace('\'', '"');
    }

    /** Waits for a line of the log. */
    void logged(String part) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST);
        while (!log.toString(StandardCharsets.UTF_8).contains(part)) {
            assertThat(System.nanoTime()).as(part).isLessThan(until);
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() throws IOException {
        serve.drain();
        try {
            router.join(TimeUnit.SECONDS.toMillis(LONGEST));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        bulletin.close();
        assertThat(router.isAlive()).as("the router has ended").isFalse();
        assertThat(log.toString(StandardCharsets.UTF_8)).doesNotContain("\"fault\"");
    }
}
