package coralcove.bench;

import coralcove.Settings;
import coralcove.baseline.BaselineRouter;
import coralcove.edge.EdgeCore;
import coralcove.edge.EdgeSettings;
import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.SipParser;
import coralcove.sip.TransportAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;

/**
 * Measures the cost of a session in one call router's core, without sockets; not a test. Each
 * message in is parsed from bytes and each message out is encoded to bytes. Prints the CPU time
 * (µs) of a complete session and the heap (bytes) of an established one.
 */
public final class EdgeFootprint implements SipOutput {
    private static final TransportAddress SELF = new TransportAddress(false, "127.0.0.1", 1);
    private static final TransportAddress EXCHANGE = new TransportAddress(false, "127.0.0.1", 2);
    private static final TransportAddress DIRECTORY = new TransportAddress(false, "127.0.0.1", 3);

    private final EdgeCore core;
    private final ArrayDeque<byte[]> sent = new ArrayDeque<>();
    private final ArrayDeque<TransportAddress> destinations = new ArrayDeque<>();
    private long now = 1_000_000;

    private EdgeFootprint() {
        Settings policySettings =
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
                                policySettings,
                                20_000,
                                1_000_000,
                                1,
                                "s"),
                        new BaselineRouter(
                                policySettings, BaselineRouter.OverflowPolicy.DIRECT_ONLY));
        core.start(now, this);
        for (byte[] bytes : List.copyOf(sent)) {
            SipMessage subscription;
            try {
                subscription = SipParser.parse(bytes, 0, bytes.length);
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
            String event = subscription.header("Event");
            receive(
                    event.equals("exchanges") ? DIRECTORY : EXCHANGE,
                    request("NOTIFY", subscription.callId(), 1, "")
                            .set("To", subscription.header("From"))
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

    private void receive(TransportAddress from, SipMessage message) {
        byte[] bytes = message.encode();
        try {
            core.receive(now, from, SipParser.parse(bytes, 0, bytes.length), this);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Establishes and acknowledges a session; returns the tag of the answer to its caller. */
    private String establishSession(int id) {
        String call = String.format("%032x", id);
        receive(
                EXCHANGE,
                request("INVITE", call, 1, "")
                        .add("X-Service", "0;value=1;width=1")
                        .add("X-Far-End", "1")
                        .add("Expires", "4")
                        .add("X-Time-Left", "3150000"));
        SipMessage invite = findSent("INVITE", 0);
        receive(EXCHANGE, SipMessage.responseTo(invite, 100, "Trying", ""));
        receive(
                EXCHANGE,
                SipMessage.responseTo(invite, 200, "OK", "far" + id)
                        .add("Contact", "<sip:127.0.0.1:2>"));
        String tag = findSent("", 200).toTag();
        receive(EXCHANGE, request("ACK", call, 1, tag));
        sent.clear();
        now += 1000;
        core.tick(now, this);
        return tag;
    }

    private void endSession(int id, String tag) {
        receive(EXCHANGE, request("BYE", String.format("%032x", id), 2, tag));
        receive(EXCHANGE, SipMessage.responseTo(findSent("BYE", 0), 200, "OK", "x"));
        sent.clear();
    }

    private SipMessage findSent(String method, int status) {
        for (byte[] bytes : sent) {
            try {
                SipMessage message = SipParser.parse(bytes, 0, bytes.length);
                if (status == 0 ? message.method().equals(method) : message.status() == status) {
                    return message;
                }
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        }
        throw new IllegalStateException("no " + method + status);
    }

    @Override
    public void send(TransportAddress destination, SipMessage message) {
        sent.add(message.encode());
    }

    @Override
    public void log(String event, String session, String detail) {
        // Logging is not measured.
    }

    private static long usedHeap() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    public static void main(String[] args) {
        int count = args.length > 0 ? Integer.parseInt(args[0]) : 50_000;
        EdgeFootprint benchmark = new EdgeFootprint();
        for (int round = 0; round < 4; round++) {
            long start = System.nanoTime();
            for (int i = 0; i < 50_000; i++) {
                int id = (round + 1) * 10_000_000 + i;
                benchmark.endSession(id, benchmark.establishSession(id));
            }
            System.out.printf(
                    "round %d: %.1f us per session set up and released, with the benchmark's"
                            + " messages%n",
                    round, (System.nanoTime() - start) / 50_000e3);
        }
        benchmark = new EdgeFootprint();
        long heapBefore = usedHeap();
        for (int i = 0; i < count; i++) {
            benchmark.establishSession(i);
        }
        benchmark.now += 33_000_000;
        benchmark.core.tick(benchmark.now, benchmark);
        benchmark.sent.clear();
        long heapAfter = usedHeap();
        System.out.printf(
                "%d established sessions (two dialogs each): %d bytes per session%n",
                benchmark.core.activeSessionCount(), (heapAfter - heapBefore) / count);
    }
}
