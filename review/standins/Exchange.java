import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * An exchange of PROTOCOL.md. It answers each set-up after some milliseconds with a description of
 * its own, holds the call, and releases it at its end. It reports the free circuits of its group on
 * each new connection and when they change.
 */
final class Exchange {
    /** Circuits of the group; the sessions of one exchange keep 130 to 160 busy. */
    private static final int CIRCUITS = 160;

    private static final ScheduledExecutorService TIMER =
            Executors.newScheduledThreadPool(
                    4,
                    action -> {
                        Thread thread = new Thread(action, "timer");
                        thread.setDaemon(true);
                        return thread;
                    });

    private static final long SET_UP_MS = 20;

    /** A set-up that has come whole, and what became of it. */
    static final class Call {
        final String id;
        final long receivedAt;
        final Peer peer;

        /** When the answer was written, or 0. */
        volatile long answeredAt;

        /** When it was over, or 0. */
        volatile long endedAt;

        volatile String end;

        /** When its release was last sent, or 0. */
        volatile long releasedAt;

        /** Whether a 200 to its release came. */
        volatile boolean heard;

        Call(String id, long receivedAt, Peer peer) {
            this.id = id;
            this.receivedAt = receivedAt;
            this.peer = peer;
        }

        boolean stands() {
            return answeredAt > 0 && endedAt == 0;
        }
    }

    private static int descriptions;

    private final Case played;
    final String id;
    final int number;
    final long startedMs;
    private ServerSocket server;
    private Thread acceptor;
    private volatile boolean vanished;
    private volatile boolean left;
    private final List<Socket> fillers = new ArrayList<>();
    private final int port;
    private final List<Peer> peers = new ArrayList<>();
    final Map<String, Call> calls = new LinkedHashMap<>();

    /** How long calls stand, in ms. */
    volatile long holdMs = 12_600;

    /** Takes set-ups and answers none. */
    volatile boolean hangs;

    /** Releases that are sent on the next connection that opens. */
    private final List<Call> forNext = new ArrayList<>();

    Exchange(Case played, String id, int number, long startedMs) throws IOException {
        this(played, id, number, startedMs, Case.freePort());
    }

    Exchange(Case played, String id, int number, long startedMs, int port) throws IOException {
        this.played = played;
        this.id = id;
        this.number = number;
        this.startedMs = startedMs;
        this.port = port;
        listen();
    }

    private void listen() throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        // The listener that was closed just now may take the address for some milliseconds more.
        for (int tries = 1; !server.isBound(); tries++) {
            try {
                server.bind(new InetSocketAddress(InetAddress.getByName(Case.LOOPBACK), port), 16);
            } catch (BindException e) {
                if (tries == 1_000) {
                    throw e;
                }
                LockSupport.parkNanos(1_000_000);
            }
        }
        server.setSoTimeout(20);
        ServerSocket accepting = server;
        acceptor =
                Case.start(
                        id,
                        () -> {
                            while (!vanished) {
                                try {
                                    Peer peer = new Peer(accepting.accept());
                                    Case.start(id, peer::read);
                                } catch (SocketTimeoutException e) {
                                    // Looks again whether the machine is still there.
                                }
                            }
                        });
    }

    /**
     * The machine vanishes: its calls are cut, open connections stay open and say nothing, and new
     * ones never come up, as the queue of the listener is full from now on.
     */
    void vanish() throws IOException, InterruptedException {
        synchronized (this) {
            vanished = true;
            int cut = 0;
            for (Call call : calls.values()) {
                if (call.endedAt == 0) {
                    end(call, "cut");
                    cut += call.answeredAt > 0 ? 1 : 0;
                }
            }
            peers.forEach(peer -> peer.open = false);
            played.log("exchange " + id + " vanished, " + cut + " calls cut");
        }
        acceptor.join(1_000);
        while (true) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress(Case.LOOPBACK, port), 200);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
    }

    /** Another machine gets the address: what comes on a connection of this one is reset. */
    void leaveAddress() throws IOException {
        left = true;
        server.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }

    int port() {
        return port;
    }

    String entry(String state) {
        return Bulletin.entry(id, Case.LOOPBACK + ":" + port, number, state, startedMs);
    }

    /** The process dies: its connections are reset and its calls cut. */
    void die() throws IOException {
        server.close();
        synchronized (this) {
            int cut = 0;
            for (Call call : calls.values()) {
                if (call.endedAt == 0) {
                    end(call, "cut");
                    cut += call.answeredAt > 0 ? 1 : 0;
                }
            }
            for (Peer peer : peers) {
                peer.reset();
            }
            peers.clear();
            played.log("exchange " + id + " died, " + cut + " calls cut");
        }
    }

    synchronized List<Call> allCalls() {
        return List.copyOf(calls.values());
    }

    private void end(Call call, String how) {
        call.endedAt = Case.now();
        call.end = how;
    }

    /** A standing call comes to its end: it is released, or on the next connection. */
    synchronized void release(Call call) {
        if (!call.stands()) {
            return;
        }
        end(call, "ended");
        Peer peer =
                call.peer.open
                        ? call.peer
                        : peers.stream().filter(each -> each.open).findFirst().orElse(null);
        forNext.add(call);
        if (peer == null) {
            played.log("exchange " + id + " call " + call.id + " ended, no connection is open");
        } else {
            peer.sendRelease(call);
            report();
        }
    }

    private synchronized void report() {
        peers.stream().filter(each -> each.open).limit(4).forEach(Peer::sendReport);
    }

    private int free() {
        long taken =
                calls.values().stream().filter(call -> call.endedAt == 0).count();
        return (int) Math.max(0, CIRCUITS - taken);
    }

    /** One connection of the router. */
    final class Peer {
        private final Socket socket;
        private final OutputStream out;
        volatile boolean open = true;

        Peer(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
        }

        private void reset() throws IOException {
            open = false;
            socket.setSoLinger(true, 0);
            socket.close();
        }

        private synchronized void send(String head, byte[] body) {
            try {
                ByteArrayOutputStream whole = new ByteArrayOutputStream();
                whole.write(
                        (head + "Content-Length: " + body.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                whole.write(body);
                out.write(whole.toByteArray());
            } catch (IOException e) {
                open = false;
            }
        }

        private void sendReport() {
            send(
                    "NOTIFY sip:group@net SIP/2.0\r\nVia: SIP/2.0/TCP exchange\r\n"
                            + "Call-ID: 0\r\nCSeq: 1 NOTIFY\r\nLink-State: free:"
                            + free()
                            + ";size:"
                            + CIRCUITS
                            + "\r\n",
                    new byte[0]);
        }

        private void sendRelease(Call call) {
            played.log("exchange " + id + " releases call " + call.id);
            call.releasedAt = Case.now();
            send(
                    "BYE sip:"
                            + call.id
                            + "@net SIP/2.0\r\nVia: SIP/2.0/TCP exchange\r\nCall-ID: "
                            + call.id
                            + "\r\nCSeq: 1 BYE\r\nReason: Q.850;cause=16\r\n",
                    new byte[0]);
        }

        private void respond(Map<String, String> request, String status, byte[] body) {
            send(
                    "SIP/2.0 "
                            + status
                            + "\r\nVia: "
                            + request.get("via")
                            + "\r\nCall-ID: "
                            + request.get("call-id")
                            + "\r\nCSeq: "
                            + request.get("cseq")
                            + "\r\n",
                    body);
        }

        void read() throws IOException {
            synchronized (Exchange.this) {
                if (server.isClosed()) {
                    socket.close();
                    return;
                }
                peers.add(this);
                played.log(
                        "exchange "
                                + id
                                + " has a connection from port "
                                + socket.getPort()
                                + ", "
                                + peers.size()
                                + " open");
                sendReport();
                // A release is sent on the next connection opened too, unless the router has heard
                // it and it is old.
                forNext.removeIf(call -> call.heard && Case.now() - call.endedAt > 5_000);
                forNext.forEach(this::sendRelease);
                forNext.clear();
            }
            try {
                DataInputStream in = new DataInputStream(socket.getInputStream());
                while (true) {
                    Map<String, String> message = new LinkedHashMap<>();
                    String first = line(in);
                    if (first.isEmpty()) {
                        continue;
                    }
                    for (String line = line(in); !line.isEmpty(); line = line(in)) {
                        int colon = line.indexOf(':');
                        message.put(
                                line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                                line.substring(colon + 1).strip());
                    }
                    byte[] body =
                            in.readNBytes(
                                    Integer.parseInt(
                                            message.getOrDefault("content-length", "0")));
                    handle(first, message, body);
                }
            } finally {
                close();
            }
        }

        private void close() throws IOException {
            synchronized (Exchange.this) {
                if (open) {
                    played.log(
                            "exchange " + id + " lost the connection from " + socket.getPort());
                }
                open = false;
                peers.remove(this);
                // The set-ups open on a connection are given up when it is closed.
                for (Call call : calls.values()) {
                    if (call.peer == this && call.answeredAt == 0 && call.endedAt == 0) {
                        end(call, "given up");
                    }
                }
            }
            socket.close();
        }

        private String line(DataInputStream in) throws IOException {
            StringBuilder text = new StringBuilder();
            for (int next = in.readByte(); next != '\n'; next = in.readByte()) {
                text.append((char) next);
            }
            return text.toString().stripTrailing();
        }

        private void handle(String first, Map<String, String> message, byte[] body)
                throws IOException {
            if (vanished) {
                if (left) {
                    reset();
                }
                return;
            }
            String callId = message.get("call-id");
            switch (first.substring(0, first.indexOf(' '))) {
                case "INVITE" -> {
                    Call call = new Call(callId, Case.now(), this);
                    synchronized (Exchange.this) {
                        calls.put(callId, call);
                    }
                    played.log(
                            "exchange "
                                    + id
                                    + " got INVITE "
                                    + callId
                                    + " Answer-Within "
                                    + message.get("answer-within"));
                    if (!hangs) {
                        TIMER.schedule(
                                () -> answer(call, message), SET_UP_MS, TimeUnit.MILLISECONDS);
                    }
                }
                case "CANCEL" -> {
                    respond(message, "200 OK", new byte[0]);
                    synchronized (Exchange.this) {
                        Call call = calls.get(callId);
                        if (call != null && call.answeredAt == 0 && call.endedAt == 0) {
                            end(call, "given up");
                            played.log("exchange " + id + " got CANCEL " + callId);
                        }
                    }
                }
                case "BYE" -> {
                    respond(message, "200 OK", new byte[0]);
                    synchronized (Exchange.this) {
                        Call call = calls.get(callId);
                        if (call != null && call.endedAt == 0) {
                            end(call, "released by the router");
                            played.log("exchange " + id + " got BYE " + callId);
                            report();
                        }
                    }
                }
                case "OPTIONS" -> respond(message, "200 OK", new byte[0]);
                default -> {
                    if (message.getOrDefault("cseq", "").endsWith("BYE")) {
                        synchronized (Exchange.this) {
                            Call call = calls.get(callId);
                            if (call != null) {
                                call.heard = true;
                            }
                        }
                    }
                }
            }
        }

        private void answer(Call call, Map<String, String> invite) {
            synchronized (Exchange.this) {
                if (call.endedAt > 0 || hangs || !open) {
                    return;
                }
                call.answeredAt = Case.now();
                respond(
                        invite,
                        "200 OK",
                        ("%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
                                        .formatted(++descriptions))
                                .getBytes(StandardCharsets.US_ASCII));
                report();
            }
            TIMER.schedule(() -> release(call), holdMs, TimeUnit.MILLISECONDS);
        }
    }
}
