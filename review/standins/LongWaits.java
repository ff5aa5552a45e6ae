import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bad clients beside the usual callers: each sends hundreds of set-ups at once, with a wait and a
 * destination out of range, reads the refusals, and sends the same again.
 */
final class LongWaits extends Case {
    private static final int BAD_CLIENTS = 12;
    private static final int SET_UPS_AT_ONCE = 300;

    /** No class has a deadline over 9 s; this is 50 minutes. */
    private static final String WAIT_MS = "3000000";

    private static final String DESTINATION = "60000";
    private static final long CALL_EVERY_MS = 100;
    private static final long CALM_MS = 3_000;
    private static final long ENDS_AT_MS = 95_000;

    /** After this much beyond its time, an answer is lost; the rest is the slack on sockets. */
    private static final long LOST_AFTER_MS = 500 + 50;

    private final AtomicLong lastId = new AtomicLong(1L << 40);
    private final AtomicLong refused = new AtomicLong();
    private volatile boolean ended;

    private LongWaits(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new LongWaits(Path.of(args[0])));
    }

    private void badClient(int number) throws Exception {
        while (!ended) {
            try (Socket socket = new Socket(LOOPBACK, routerPort)) {
                DataInputStream in =
                        new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                while (!ended) {
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    for (int i = 0; i < SET_UPS_AT_ONCE; i++) {
                        out.write(setUp(number));
                    }
                    socket.getOutputStream().write(out.toByteArray());
                    for (int i = 0; i < SET_UPS_AT_ONCE; i++) {
                        in.skipNBytes(in.readUnsignedShort());
                        refused.incrementAndGet();
                    }
                }
            } catch (IOException e) {
                log("a bad client's connection ended: " + e.getMessage());
                sleep(50);
            }
        }
    }

    private byte[] setUp(int number) throws IOException {
        return Callers.message(1, "%016x".formatted(lastId.incrementAndGet()))
                .add(64, "slot-lookup")
                .add(65, WAIT_MS)
                .add(68, "%016x".formatted(number))
                .add(69, "dest:" + DESTINATION + ";width:1;via:-1")
                .add(79, "0123456789abcdef\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n")
                .encode();
    }

    @Override
    List<String> play() throws Exception {
        routerPort = freePort();
        openExchanges(6);
        Process router = startRouter("8c1f30d27a5be964");
        awaitReady(router);
        Callers callers = new Callers(this, 7);
        List<Callers.Connection> connections = new ArrayList<>(callers.connect(4, routerPort));
        long from = now();
        boolean bad = false;
        long nextLine = 0;
        for (int i = 0; now() - from < ENDS_AT_MS && countLost(callers) < 50; i++) {
            if (TROUBLE && !bad && now() - from > CALM_MS) {
                bad = true;
                for (int number = 1; number <= BAD_CLIENTS; number++) {
                    int own = number;
                    start("bad", () -> badClient(own));
                }
            }
            if (now() > nextLine) {
                nextLine = now() + 1_000;
                log("bad clients have had " + refused.get() + " refusals");
            }
            int at = i % connections.size();
            if (!connections.get(at).open) {
                connections.set(at, callers.connect(1, routerPort).get(0));
            }
            callers.setUp(connections.get(at), 1 + i % 6, false, 3_000);
            sleep(CALL_EVERY_MS);
        }
        ended = true;
        // The bad clients are over; whatever was sent has its time.
        sleep(3_000 + LOST_AFTER_MS + 100);
        boolean passes;
        try (Callers.Connection front = new Callers.Connection(null, this, routerPort)) {
            passes = front.test(2_000);
        } catch (IOException e) {
            passes = false;
        }
        log("bad clients have had " + refused.get() + " refusals");
        log(
                "the process "
                        + (router.isAlive() ? "runs" : "has ended")
                        + ", the front's test "
                        + (passes ? "passes" : "gets no answer or fails"));
        List<String> broken = new ArrayList<>();
        for (Callers.Call call : callers.allCalls()) {
            long answeredAt = answeredAt(call);
            if (answeredAt == 0) {
                broken.add("set-up " + call.id + " of a usual caller was never answered");
            } else if (answeredAt - call.sentAt > call.waitMs + LOST_AFTER_MS) {
                broken.add(
                        "set-up "
                                + call.id
                                + " of a usual caller was answered after "
                                + (answeredAt - call.sentAt)
                                + " ms");
            }
        }
        return broken;
    }

    private static long answeredAt(Callers.Call call) {
        return call.answeredAt > 0 ? call.answeredAt : call.releasedAt;
    }

    private static int countLost(Callers callers) {
        int lost = 0;
        for (Callers.Call call : callers.allCalls()) {
            lost +=
                    answeredAt(call) == 0 && now() - call.sentAt > call.waitMs + LOST_AFTER_MS
                            ? 1
                            : 0;
        }
        return lost;
    }
}
