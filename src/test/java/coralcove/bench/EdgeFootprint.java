package coralcove.bench;

import coralcove.Settings;
import coralcove.baseline.Direct;
import coralcove.edge.EdgeCore;
import coralcove.edge.EdgeSettings;
import coralcove.sip.BadMessage;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;

/**
 * Not a test: what one call router's core costs a session, without sockets. Every message in is
 * parsed from bytes and every message out is written to bytes. Prints µs of CPU a whole session,
 * and bytes of heap a standing one.
 */
public final class EdgeFootprint implements Out {
    private static final Hop SELF = new Hop(false, "127.0.0.1", 1);
    private static final Hop EXCHANGE = new Hop(false, "127.0.0.1", 2);
    private static final Hop DIRECTORY = new Hop(false, "127.0.0.1", 3);

    private final EdgeCore core;
    private final ArrayDeque<byte[]> sent = new ArrayDeque<>();
    private final ArrayDeque<Hop> to = new ArrayDeque<>();
    private long now = 1_000_000;

    private EdgeFootprint() {
        Settings module =
                new Settings(
                        2,
                        0,
                        false,
                        List.of(
                                new Settings.Service(
                                        1_500_000, 1, 0.1, 1, 10_000_000, true, List.of())),
                        4,
                        true,
                        true,
                        2_000_000,
                        false,
                        true,
                        300_000,
                        3,
                        1_500_000,
                        0.3,
                        10_000_000);
        core =
                new EdgeCore(
                        new EdgeSettings(
                                0,
                                SELF,
                                EXCHANGE,
                                List.of(DIRECTORY),
                                module,
                                20_000,
                                1_000_000,
                                1,
                                "s"),
                        new Direct(module, Direct.Kind.ALONE));
        core.start(now, this);
        for (byte[] bytes : List.copyOf(sent)) {
            SipMessage asked;
            try {
                asked = SipParser.parse(bytes, 0, bytes.length);
            } catch (BadMessage e) {
                throw new IllegalStateException(e);
            }
            String event = asked.header("Event");
            read(
                    event.equals("exchanges") ? DIRECTORY : EXCHANGE,
                    request("NOTIFY", asked.callId(), 1, "")
                            .set("To", asked.header("From"))
                            .add("Event", event)
                            .add("Subscription-State", "active;expires=3600")
                            .body(
                                    "text/plain",
                                    (event.equals("exchanges")
                                                    ? "epoch e version 1 whole\n"
                                                            + "101 1 ready 1 1 - udp:127.0.0.1:4\n"
                                                    : "1 10000000\n")
                                            .getBytes(StandardCharsets.UTF_8)));
        }
        sent.clear();
    }

    private static SipMessage request(String method, String call, int sequence, String toTag) {
        return SipMessage.request(method, "sip:123456@127.0.0.1:1")
                .add("Via", "SIP/2.0/UDP 127.0.0.1:2;rport;branch=" + "z9hG4bK" + call + method)
                .add("Max-Forwards", "70")
                .add("From", "<sip:127.0.0.1:2>;tag=f" + call)
                .add("To", "<sip:123456@127.0.0.1:1>" + (toTag.isEmpty() ? "" : ";tag=" + toTag))
                .add("Call-ID", call)
                .add("CSeq", sequence + " " + method)
                .add("Contact", "<sip:127.0.0.1:2>")
                .add("Session-ID", call);
    }

    private void read(Hop from, SipMessage message) {
        byte[] bytes = message.bytes();
        try {
            core.receive(now, from, SipParser.parse(bytes, 0, bytes.length), this);
        } catch (BadMessage e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sets one session up and acknowledges it; returns the tag its caller was answered with. */
    private String setUp(int id) {
        String call = String.format("%032x", id);
        read(
                EXCHANGE,
                request("INVITE", call, 1, "")
                        .add("X-Service", "0;value=1;width=1")
                        .add("X-Far-End", "1")
                        .add("Expires", "4")
                        .add("X-Time-Left", "3150000"));
        SipMessage invite = find("INVITE", 0);
        read(EXCHANGE, SipMessage.reply(invite, 100, "Trying", ""));
        read(
                EXCHANGE,
                SipMessage.reply(invite, 200, "OK", "far" + id)
                        .add("Contact", "<sip:127.0.0.1:2>"));
        String tag = find("", 200).toTag();
        read(EXCHANGE, request("ACK", call, 1, tag));
        sent.clear();
        now += 1000;
        core.tick(now, this);
        return tag;
    }

    private void end(int id, String tag) {
        read(EXCHANGE, request("BYE", String.format("%032x", id), 2, tag));
        read(EXCHANGE, SipMessage.reply(find("BYE", 0), 200, "OK", "x"));
        sent.clear();
    }

    private SipMessage find(String method, int status) {
        for (byte[] bytes : sent) {
            try {
                SipMessage message = SipParser.parse(bytes, 0, bytes.length);
                if (status == 0 ? message.method().equals(method) : message.status() == status) {
                    return message;
                }
            } catch (BadMessage e) {
                throw new IllegalStateException(e);
            }
        }
        throw new IllegalStateException("no " + method + status);
    }

    @Override
    public void send(Hop hop, SipMessage message) {
        sent.add(message.bytes());
    }

    @Override
    public void log(String event, String session, String detail) {
        // Not measured.
    }

    private static long used() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    public static void main(String[] args) {
        int count = args.length > 0 ? Integer.parseInt(args[0]) : 50_000;
        EdgeFootprint edge = new EdgeFootprint();
        for (int round = 0; round < 4; round++) {
            long start = System.nanoTime();
            for (int i = 0; i < 50_000; i++) {
                int id = (round + 1) * 10_000_000 + i;
                edge.end(id, edge.setUp(id));
            }
            System.out.printf(
                    "round %d: %.1f us a session, set up and ended, with the test's own messages%n",
                    round, (System.nanoTime() - start) / 50_000e3);
        }
        edge = new EdgeFootprint();
        long before = used();
        for (int i = 0; i < count; i++) {
            edge.setUp(i);
        }
        edge.now += 33_000_000;
        edge.core.tick(edge.now, edge);
        edge.sent.clear();
        long after = used();
        System.out.printf(
                "%d standing sessions (two dialogs each): %d bytes a session%n",
                edge.core.sessions(), (after - before) / count);
    }
}
