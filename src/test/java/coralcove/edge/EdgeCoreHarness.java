package coralcove.edge;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.CallRouter;
import coralcove.Exchange;
import coralcove.InviteOutcome;
import coralcove.PendingActions;
import coralcove.RejectionCause;
import coralcove.RoutingDecision;
import coralcove.Session;
import coralcove.Settings;
import coralcove.TraceFiles;
import coralcove.numbers.Digits;
import coralcove.numbers.NumberTable;
import coralcove.numbers.PortabilityCache;
import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.SipParser;
import coralcove.sip.TransportAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs an {@link EdgeCore} with a scripted routing policy. The test plays the router's exchange and
 * directory; every output and every call of the policy is written to a trace.
 */
final class EdgeCoreHarness implements SipOutput, CallRouter {
    static final TransportAddress ROUTER = new TransportAddress(false, "r", 1);
    static final TransportAddress EXCHANGE = new TransportAddress(false, "x", 2);
    static final TransportAddress DIRECTORY = new TransportAddress(false, "d", 3);
    static final TransportAddress FAR_ROUTER = new TransportAddress(false, "far", 4);

    final EdgeCore core;
    private final ArrayDeque<RoutingDecision> decisions = new ArrayDeque<>();
    private final StringBuilder trace = new StringBuilder();
    private final Map<String, SipMessage> invitesByCall = new HashMap<>();
    private final Map<String, SipMessage> subscribesByEvent = new HashMap<>();
    private boolean wantsSubscription = true;
    private SipMessage lastInvite;
    private TransportAddress lastInviteTo = EXCHANGE;
    private SipMessage lastResponse;
    private SipMessage firstInviteOk;
    private long now = 1_000_000;
    private int messageCount;

    EdgeCoreHarness() {
        Settings policySettings =
                new Settings(
                        3,
                        0,
                        false,
                        List.of(
                                new Settings.Service(
                                        1_000_000, 1, 0.1, 1, 10_000_000, true, List.of())),
                        4,
                        true,
                        true,
                        2_000_000,
                        true,
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
                                ROUTER,
                                EXCHANGE,
                                List.of(DIRECTORY),
                                policySettings,
                                20_000,
                                4,
                                1,
                                "s"),
                        this);
        core.start(now, this);
        notify(EXCHANGE, "trunk-groups", "1 2\n2 2\n");
        directoryNotifies(
                "epoch e version 5 whole\n"
                        + "101 1 ready 1 1 - udp:far:4\n"
                        + "102 2 ready 1 1 - udp:far2:5\n");
        trace.setLength(0);
    }

    /** Sets the next decisions of the routing policy, in order. */
    EdgeCoreHarness policyDecides(RoutingDecision... next) {
        decisions.addAll(List.of(next));
        return this;
    }

    /** Delivers a list or changes from the directory. */
    EdgeCoreHarness directoryNotifies(String body) {
        return notify(DIRECTORY, "exchanges", body);
    }

    /** Delivers a NOTIFY in the dialog of the last subscription to this event. */
    EdgeCoreHarness notify(TransportAddress from, String event, String body) {
        return receive(from, notifyRequest(event, body));
    }

    private SipMessage notifyRequest(String event, String body) {
        messageCount++;
        SipMessage subscribe = subscribesByEvent.get(event);
        return request("NOTIFY", subscribe.callId(), messageCount)
                .set("Via", "SIP/2.0/UDP x:2;branch=z9hG4bKn" + messageCount)
                .set("From", "<sip:d>;tag=d")
                .set("To", subscribe.header("From"))
                .add("Event", event)
                .add("Subscription-State", "active;expires=60")
                .add("SIP-ETag", "t" + messageCount)
                .body("text/plain", body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Answers the last SUBSCRIBE sent for this event; extra headers are names and values in turn.
     */
    EdgeCoreHarness answerSubscribe(String event, int status, String... extraHeaders) {
        SipMessage reply =
                SipMessage.responseTo(subscribesByEvent.get(event), status, "x", "d")
                        .set(
                                "To",
                                subscribesByEvent.get(event).header("To")
                                        + (subscribesByEvent.get(event).toTag().isEmpty()
                                                ? ";tag=d"
                                                : ""));
        for (int i = 0; i < extraHeaders.length; i += 2) {
            reply.add(extraHeaders[i], extraHeaders[i + 1]);
        }
        return receive(event.equals("exchanges") ? DIRECTORY : EXCHANGE, reply);
    }

    /** The last SUBSCRIBE sent for this event. */
    SipMessage lastSubscribe(String event) {
        return subscribesByEvent.get(event);
    }

    /** Advances the time, running the timers that expire. */
    EdgeCoreHarness advance(long millis) {
        long end = now + millis * 1000;
        while (core.nextTickAt() <= end) {
            now = Math.max(now, core.nextTickAt());
            core.tick(now, this);
        }
        now = end;
        return this;
    }

    /** A request from the local exchange, with the headers that every request has. */
    static SipMessage request(String method, String call, int sequence) {
        return SipMessage.request(method, "sip:77@r:1")
                .add("Via", "SIP/2.0/UDP x:2;branch=z9hG4bK" + call + method)
                .add("Max-Forwards", "70")
                .add("From", "<sip:x>;tag=f")
                .add("To", "<sip:r>")
                .add("Call-ID", call)
                .add("CSeq", sequence + " " + method)
                .add("Contact", "<sip:x:2>")
                .add("Session-ID", call);
    }

    /** A caller's INVITE; extra headers are names and values in turn. */
    SipMessage invite(String call, int farEnd, long timeLeft, String... extraHeaders) {
        SipMessage invite =
                request("INVITE", call, 1)
                        .add("X-Service", "0;value=1;width=1")
                        .add("X-Far-End", Integer.toString(farEnd))
                        .add("X-Time-Left", Long.toString(timeLeft));
        for (int i = 0; i < extraHeaders.length; i += 2) {
            invite.set(extraHeaders[i], extraHeaders[i + 1]);
        }
        return invite;
    }

    /** A caller sends an INVITE. */
    EdgeCoreHarness call(String call, int farEnd, long timeLeft, String... extraHeaders) {
        SipMessage invite = invite(call, farEnd, timeLeft, extraHeaders);
        invitesByCall.put(call, invite);
        return receive(EXCHANGE, invite);
    }

    /** Accepts dialled numbers from now on; queries to the portability server are traced. */
    EdgeCoreHarness enableNumbers(
            int maxTables, NumberTable first, PortabilityCache.Settings settings) {
        core.attachNumberAnalysis(
                new NumberAnalysisContext(
                        maxTables,
                        first,
                        settings,
                        (at, number) -> note("asks for " + Digits.unpack(number))));
        return this;
    }

    /** A caller sends an INVITE with a dialled number instead of a far end. */
    EdgeCoreHarness dial(String call, String number, long timeLeft) {
        return receiveText(
                EXCHANGE,
                new String(invite(call, 0, timeLeft).encode(), StandardCharsets.UTF_8)
                        .replace("sip:77@r:1", "sip:" + number + "@r:1")
                        .replaceFirst("X-Far-End: \\d+\r\n", ""));
    }

    /** The portability server answers, or its query has failed. */
    EdgeCoreHarness portabilityAnswers(
            String number, PortabilityCache.QueryOutcome outcome, String routingNumber) {
        note(number + " " + outcome + " " + routingNumber);
        core.portabilityAnswered(
                now, Digits.pack(number), outcome, Digits.pack(routingNumber), 60_000_000, this);
        return this;
    }

    /** Puts a number table in service. */
    EdgeCoreHarness replaceTable(NumberTable table) {
        note("table " + table.version());
        core.replaceNumberTable(now, table, this);
        return this;
    }

    /** A header of the last INVITE sent. */
    String lastInviteHeader(String header) {
        return lastInvite.header(header);
    }

    /** A header of the last response sent. */
    String lastResponseHeader(String header) {
        return lastResponse.header(header);
    }

    /** Delivers a message to the router. */
    EdgeCoreHarness receive(TransportAddress from, SipMessage message) {
        return receiveText(from, new String(message.encode(), StandardCharsets.UTF_8));
    }

    /** Delivers a text to the router, whether it is a SIP message or not. */
    EdgeCoreHarness receiveText(TransportAddress from, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            core.receive(now, from, SipParser.parse(bytes, 0, bytes.length), this);
        } catch (MalformedMessageException e) {
            core.malformedReceived(now, from, e, this);
        }
        return this;
    }

    /** The caller cancels its INVITE. */
    EdgeCoreHarness cancel(String call) {
        SipMessage cancel = request("CANCEL", call, 1);
        cancel.set("Via", "SIP/2.0/UDP x:2;branch=z9hG4bK" + call + "INVITE");
        return receive(EXCHANGE, cancel);
    }

    /** The caller sends a re-INVITE in its established call. */
    EdgeCoreHarness reinvite(String call) {
        return receive(
                EXCHANGE,
                request("INVITE", call, 2)
                        .set("Via", "SIP/2.0/UDP x:2;branch=z9hG4bKchange")
                        .set("To", firstInviteOk.header("To"))
                        .body("application/sdp", "v=0".getBytes(StandardCharsets.UTF_8)));
    }

    /** The caller ends its established call; extra headers are names and values in turn. */
    EdgeCoreHarness bye(String call, String... extraHeaders) {
        SipMessage bye = request("BYE", call, 2).set("To", lastResponse.header("To"));
        for (int i = 0; i < extraHeaders.length; i += 2) {
            bye.set(extraHeaders[i], extraHeaders[i + 1]);
        }
        return receive(EXCHANGE, bye);
    }

    /** Answers the last INVITE sent; extra headers are names and values in turn. */
    EdgeCoreHarness answerInvite(int status, String... extraHeaders) {
        SipMessage reply =
                SipMessage.responseTo(lastInvite, status, "x", "far").add("Contact", "<sip:far:4>");
        for (int i = 0; i < extraHeaders.length; i += 2) {
            reply.add(extraHeaders[i], extraHeaders[i + 1]);
        }
        return receive(lastInviteTo, reply);
    }

    /** Adds a line to the trace. */
    EdgeCoreHarness note(String text) {
        trace.append(now / 1000).append(" ms  ").append(text).append('\n');
        return this;
    }

    /** Checks the trace against the stored one. */
    void assertTrace(String name) {
        assertThat(trace.toString()).isEqualTo(TraceFiles.read(name));
    }

    @Override
    public void send(TransportAddress to, SipMessage message) {
        StringBuilder line = new StringBuilder("-> ").append(to.host()).append(' ');
        line.append(
                message.isRequest()
                        ? message.method()
                        : message.status() + " to " + message.cseqMethod());
        if (message.isRequest() && message.method().equals("INVITE")) {
            lastInvite = message;
            lastInviteTo = to;
            line.append(" call ").append(message.callId());
        } else if (!message.isRequest()) {
            lastResponse = message;
            firstInviteOk =
                    firstInviteOk == null
                                    && message.status() == 200
                                    && message.cseqMethod().equals("INVITE")
                            ? message
                            : firstInviteOk;
        }
        if (message.isRequest() && message.method().equals("SUBSCRIBE")) {
            subscribesByEvent.put(message.header("Event"), message.copy());
            String match = message.header("Suppress-If-Match");
            line.append(
                    message.toTag().isEmpty()
                            ? ""
                            : match == null ? " for all" : " unless " + match);
        }
        for (String name :
                List.of(
                        "Route",
                        "X-Origin",
                        "X-Time-Left",
                        "Max-Forwards",
                        "Reason",
                        "Retry-After",
                        "X-Circuits",
                        "Warning",
                        "Event")) {
            String value = message.header(name);
            if (value != null
                    && (!name.equals("Max-Forwards") || message.method().equals("INVITE"))) {
                line.append(", ").append(name).append(' ').append(value);
            }
        }
        note(line.toString());
    }

    @Override
    public void log(String event, String session, String detail) {
        // The trace shows the messages instead.
    }

    private RoutingDecision nextDecision(String call) {
        RoutingDecision decision = decisions.isEmpty() ? RoutingDecision.NOTHING : decisions.poll();
        note("module: " + call + " -> " + decision.kind());
        return decision;
    }

    @Override
    public RoutingDecision route(long at, Session session) {
        return nextDecision(
                "route "
                        + session.id()
                        + (session.transit() ? " in transit" : "")
                        + " to "
                        + session.farEnd()
                        + ", "
                        + (session.deadline() - at) / 1000
                        + " ms left");
    }

    @Override
    public RoutingDecision onInviteOutcome(
            long at,
            long session,
            InviteOutcome outcome,
            RejectionCause cause,
            long exchange,
            long elapsed,
            long namedWait,
            boolean finished) {
        return nextDecision(
                "after "
                        + session
                        + " "
                        + outcome
                        + " "
                        + cause
                        + (namedWait > 0 ? " wait " + namedWait : "")
                        + (finished ? " over" : ""));
    }

    @Override
    public PendingActions pendingActions(long at) {
        boolean subscribe = wantsSubscription;
        wantsSubscription = false;
        return new PendingActions(0, List.of(), List.of(), subscribe);
    }

    @Override
    public void onExchangeList(long at, boolean complete, List<Exchange> exchanges) {
        note("module: roster" + (complete ? " whole " : " ") + exchanges.size());
    }

    @Override
    public void onExchangeListLost(long at) {
        note("module: roster lost");
    }

    @Override
    public void onCircuitUpdate(long at, long exchange, int free, int size) {
        note("module: circuits " + exchange + " " + free + "/" + size);
    }

    @Override
    public void onProbeReply(
            long at, long exchange, boolean succeeded, long elapsed, float[] loadColumns) {
        note("module: report " + exchange);
    }

    @Override
    public void onPeerMessage(long at, int number, byte[] body) {
        note("module: peer " + number + " " + body.length);
    }

    @Override
    public void onSessionEnded(long at, long session) {
        note("module: ended " + session);
    }
}
