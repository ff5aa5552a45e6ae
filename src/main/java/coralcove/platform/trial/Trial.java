package coralcove.platform.trial;

import coralcove.config.BadConfig;
import coralcove.platform.caller.BadCallerMessage;
import coralcove.platform.caller.CallerFramer;
import coralcove.platform.caller.CallerMessage;
import coralcove.platform.leg.LegMessages;
import coralcove.platform.live.Serve;
import coralcove.sip.BadMessage;
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
 * One session router on loopback against a stand-in exchange, a stand-in bulletin and a caller:
 * whether sessions get through on this machine. The build plays it once, so that the JVM keeps the
 * classes it loads and a router starts sooner.
 */
public final class Trial {
    /** Milliseconds for the whole of it, and for one message. */
    private static final long LONGEST = 20_000;

    private static final int ONE_MESSAGE = 3_000;
    private static final String SDP =
            "0123456789abcdef\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n";

    /** What it came to. */
    public record Result(int asked, int stood, int released) {}

    private Trial() {}

    public static Result run(int sessions) throws IOException, BadConfig, InterruptedException {
        InetAddress here = InetAddress.getLoopbackAddress();
        Path file = Files.createTempFile("trial", ".json");
        try (ServerSocket exchange = new ServerSocket(0, 50, here);
                ServerSocket bulletin = new ServerSocket(0, 50, here)) {
            int port = freePort(here);
            Files.writeString(
                    file, configuration(port, exchange.getLocalPort(), bulletin.getLocalPort()));
            start("exchange", () -> accept(exchange, Trial::exchange));
            start("list", () -> accept(bulletin, Trial::bulletin));
            Serve serve = Serve.of(file);
            Thread router = start("router", serve::serve);
            Result result;
            try {
                result = caller(port, sessions);
            } finally {
                serve.drain();
                router.join(LONGEST);
            }
            return result;
        } finally {
            Files.deleteIfExists(file);
        }
    }

    private interface Act {
        void run() throws Exception;
    }

    private interface Talk {
        void with(Socket socket) throws Exception;
    }

    private static Thread start(String name, Act act) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                act.run();
                            } catch (Exception e) {
                                // A stand-in's socket was closed under it: that is its end.
                                Thread.currentThread().interrupt();
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static int freePort(InetAddress here) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, here)) {
            return free.getLocalPort();
        }
    }

    private static void accept(ServerSocket server, Talk talk) throws IOException {
        while (true) {
            Socket socket = server.accept();
            start("talk", () -> talk.with(socket));
        }
    }

    /** Answers each INVITE with its own description and releases the call a little later. */
    private static void exchange(Socket socket) throws IOException, BadMessage {
        OutputStream out = socket.getOutputStream();
        send(out, state());
        StreamFramer framer = new StreamFramer();
        byte[] buffer = new byte[4096];
        for (int count = socket.getInputStream().read(buffer);
                count > 0;
                count = socket.getInputStream().read(buffer)) {
            framer.take(
                    buffer,
                    0,
                    count,
                    whole -> {
                        try {
                            SipMessage message = SipParser.parseBare(whole);
                            if (message.method().equals("INVITE")) {
                                send(
                                        out,
                                        LegMessages.reply(message, 200, "OK")
                                                .body("application/sdp", message.body()));
                            } else if (message.method().equals("ACK")) {
                                send(out, LegMessages.bye(LegMessages.call(message), 16));
                                send(out, state());
                            }
                        } catch (BadMessage | IOException e) {
                            throw new IllegalStateException(e);
                        }
                    });
        }
    }

    private static SipMessage state() {
        return SipMessage.request("NOTIFY", "sip:group@net")
                .add("Call-ID", "0")
                .add("CSeq", "1 NOTIFY")
                .add("Link-State", "free:20;size:20");
    }

    private static void send(OutputStream out, SipMessage message) throws IOException {
        out.write(message.bytes());
        out.flush();
    }

    private static void bulletin(Socket socket) throws IOException, InterruptedException {
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
            String text = "{\"no\":1,\"items\":[]}";
            socket.getOutputStream()
                    .write(
                            ("HTTP/1.1 200 OK\r\nContent-Length: "
                                            + text.length()
                                            + "\r\n\r\n"
                                            + text)
                                    .getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static Result caller(int port, int sessions) throws IOException, InterruptedException {
        try (Socket socket = connect(port)) {
            socket.setSoTimeout(ONE_MESSAGE);
            int[] seen = new int[2];
            CallerFramer framer = new CallerFramer();
            for (int test = 1;
                    await(
                                    socket,
                                    framer,
                                    CallerMessage.withCause(CallerMessage.TEST, test, 0),
                                    seen)
                            != 1; ) {
                TimeUnit.MILLISECONDS.sleep(20);
                test++;
            }
            for (int call = 1; call <= sessions; call++) {
                CallerMessage setUp =
                        CallerMessage.of(CallerMessage.SET_UP, call)
                                .add(CallerMessage.SERVICE, "trial")
                                .add(CallerMessage.WAIT, Integer.toString(ONE_MESSAGE))
                                .add(CallerMessage.NUMBER, LegMessages.callId(call))
                                .add(CallerMessage.FIGURES, "dest:1;width:1;via:-1")
                                .add(CallerMessage.DESCRIPTION, SDP);
                await(socket, framer, setUp, seen);
            }
            return new Result(sessions, seen[0], seen[1]);
        }
    }

    private static Socket connect(int port) throws IOException, InterruptedException {
        long until = System.nanoTime() + LONGEST * 1_000_000;
        while (true) {
            try {
                return new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                if (System.nanoTime() > until) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(5);
            }
        }
    }

    /** Sends one message and reads until its call has come to its end; the cause, or 0. */
    private static int await(Socket socket, CallerFramer framer, CallerMessage message, int[] seen)
            throws IOException {
        socket.getOutputStream().write(message.bytes());
        int[] last = {-1};
        byte[] buffer = new byte[4096];
        while (last[0] < 0) {
            int count = socket.getInputStream().read(buffer);
            if (count < 0) {
                throw new IOException("the router closed the caller's connection");
            }
            try {
                framer.take(
                        java.util.Arrays.copyOf(buffer, count),
                        read -> {
                            seen[0] += read.type() == CallerMessage.ANSWER ? 1 : 0;
                            seen[1] += read.type() == CallerMessage.RELEASE ? 1 : 0;
                            last[0] = read.type() == CallerMessage.ANSWER ? last[0] : read.cause(0);
                        });
            } catch (BadCallerMessage e) {
                throw new IOException("the router sent what is no message: " + e.getMessage());
            }
        }
        return last[0];
    }

    private static String configuration(int listen, int exchange, int bulletin) {
        return ("{'name':'trial','listen':'127.0.0.1:"
                        + listen
                        + "','seed':'1','limits':{'sockets':256},"
                        + "'bulletin':'127.0.0.1:"
                        + bulletin
                        + "','known':{'no':1,'items':[{'no':1,'roster':{'version':1,'full':true,"
                        + "'servers':[{'id':'s-1','addr':'127.0.0.1:"
                        + exchange
                        + "','cell':1,'state':'in_service'}]}}]},"
                        + "'settings':{'balancers':2,'classes':[{'name':'trial','aim':1000000000,'credit':1},"
                        + "{'name':'other','aim':1000000000,'credit':2}],'contract':{'fall_multiple':3,"
                        + "'overload_for':1000000000,'cold_from':0.3,'warm_up':1000000000},'family_info':{'call_length':[10000000000,"
                        + "10000000000],'class_width':[1,1],'layout':'mesh','release_guard':100000000,'this_node':0},"
                        + "'limits':{'try_limit':4},'report':{'columns':['free','size']}}}")
                .replace('\'', '"');
    }
}
