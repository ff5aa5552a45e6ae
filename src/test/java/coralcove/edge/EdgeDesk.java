package coralcove.edge;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Answer;
import coralcove.CallRouter;
import coralcove.Cause;
import coralcove.Ending;
import coralcove.Exchange;
import coralcove.Kept;
import coralcove.Session;
import coralcove.Settings;
import coralcove.Waiting;
import coralcove.numbers.Digits;
import coralcove.numbers.NumberTable;
import coralcove.numbers.Porting;
import coralcove.sip.BadMessage;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A call router with a scripted module, its exchange and directory played by the test; all is
 * printed.
 */
final class EdgeDesk implements Out, CallRouter {
    static final Hop SELF = new Hop(false, "r", 1);
    static final Hop EXCHANGE = new Hop(false, "x", 2);
    static final Hop DIRECTORY = new Hop(false, "d", 3);
    static final Hop FAR = new Hop(false, "far", 4);

    final EdgeCore core;
    private final ArrayDeque<Answer> answers = new ArrayDeque<>();
    private final StringBuilder trace = new StringBuilder();
    private final Map<String, SipMessage> invites = new HashMap<>();
    private final Map<String, SipMessage> subscribes = new HashMap<>();
    private boolean subscribe = true;
    private SipMessage lastInvite;
    private Hop lastInviteTo = EXCHANGE;
    private SipMessage lastOut;
    private SipMessage firstOk;
    private long now = 1_000_000;
    private int ids;

    EdgeDesk() {
        Settings module =
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
                                0, SELF, EXCHANGE, List.of(DIRECTORY), module, 20_000, 4, 1, "s"),
                        this);
        core.start(now, this);
        notify(EXCHANGE, "trunk-groups", "1 2\n2 2\n");
        list(
                "epoch e version 5 whole\n"
                        + "101 1 ready 1 1 - udp:far:4\n"
                        + "102 2 ready 1 1 - udp:far2:5\n");
        trace.setLength(0);
    }

    /** What the module will answer, in turn. */
    EdgeDesk module(Answer... next) {
        answers.addAll(List.of(next));
        return this;
    }

    EdgeDesk list(String body) {
        return notify(DIRECTORY, "exchanges", body);
    }

    /** A NOTIFY in the dialog of the subscription that was asked for last. */
    EdgeDesk notify(Hop from, String event, String body) {
        return take(from, news(event, body));
    }

    SipMessage news(String event, String body) {
        ids++;
        SipMessage asked = subscribes.get(event);
        return request("NOTIFY", asked.callId(), ids)
                .set("Via", "SIP/2.0/UDP x:2;branch=z9hG4bKn" + ids)
                .set("From", "<sip:d>;tag=d")
                .set("To", asked.header("From"))
                .add("Event", event)
                .add("Subscription-State", "active;expires=60")
                .add("SIP-ETag", "t" + ids)
                .body("text/plain", body.getBytes(StandardCharsets.UTF_8));
    }

    /** The last SUBSCRIBE out for this event is answered. */
    EdgeDesk answered(String event, int status, String... extra) {
        SipMessage reply =
                SipMessage.reply(subscribes.get(event), status, "x", "d")
                        .set(
                                "To",
                                subscribes.get(event).header("To")
                                        + (subscribes.get(event).toTag().isEmpty()
                                                ? ";tag=d"
                                                : ""));
        for (int i = 0; i < extra.length; i += 2) {
            reply.add(extra[i], extra[i + 1]);
        }
        return take(event.equals("exchanges") ? DIRECTORY : EXCHANGE, reply);
    }

    /** The last SUBSCRIBE out for this event. */
    SipMessage subscribed(String event) {
        return subscribes.get(event);
    }

    EdgeDesk pass(long millis) {
        long to = now + millis * 1000;
        while (core.due() <= to) {
            now = Math.max(now, core.due());
            core.tick(now, this);
        }
        now = to;
        return this;
    }

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

    /** A caller's INVITE; {@code extra} are names and values in turn. */
    SipMessage invite(String call, int farEnd, long left, String... extra) {
        SipMessage invite =
                request("INVITE", call, 1)
                        .add("X-Service", "0;value=1;width=1")
                        .add("X-Far-End", Integer.toString(farEnd))
                        .add("X-Time-Left", Long.toString(left));
        for (int i = 0; i < extra.length; i += 2) {
            invite.set(extra[i], extra[i + 1]);
        }
        return invite;
    }

    EdgeDesk call(String call, int farEnd, long left, String... extra) {
        SipMessage invite = invite(call, farEnd, left, extra);
        invites.put(call, invite);
        return take(EXCHANGE, invite);
    }

    /** From now on numbers can be dialled; questions to the portability server are noted. */
    EdgeDesk numbers(int mostTables, NumberTable first, Porting.Settings settings) {
        core.numbers(
                new NumberDesk(
                        mostTables,
                        first,
                        settings,
                        (at, number) -> note("asks for " + Digits.text(number))));
        return this;
    }

    /** A caller dials. */
    EdgeDesk dial(String call, String number, long left) {
        return raw(
                EXCHANGE,
                new String(invite(call, 0, left).bytes(), StandardCharsets.UTF_8)
                        .replace("sip:77@r:1", "sip:" + number + "@r:1")
                        .replaceFirst("X-Far-End: \\d+\r\n", ""));
    }

    EdgeDesk ported(String number, Porting.Outcome outcome, String routing) {
        note(number + " " + outcome + " " + routing);
        core.ported(now, Digits.pack(number), outcome, Digits.pack(routing), 60_000_000, this);
        return this;
    }

    EdgeDesk replace(NumberTable table) {
        note("table " + table.version());
        core.replace(now, table, this);
        return this;
    }

    /** A header of the last INVITE out. */
    String sent(String header) {
        return lastInvite.header(header);
    }

    /** A header of the last response out. */
    String answer(String header) {
        return lastOut.header(header);
    }

    EdgeDesk take(Hop from, SipMessage message) {
        return raw(from, new String(message.bytes(), StandardCharsets.UTF_8));
    }

    EdgeDesk raw(Hop from, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            core.receive(now, from, SipParser.parse(bytes, 0, bytes.length), this);
        } catch (BadMessage e) {
            core.malformed(now, from, e, this);
        }
        return this;
    }

    EdgeDesk cancel(String call) {
        SipMessage cancel = request("CANCEL", call, 1);
        cancel.set("Via", "SIP/2.0/UDP x:2;branch=z9hG4bK" + call + "INVITE");
        return take(EXCHANGE, cancel);
    }

    EdgeDesk change(String call) {
        return take(
                EXCHANGE,
                request("INVITE", call, 2)
                        .set("Via", "SIP/2.0/UDP x:2;branch=z9hG4bKchange")
                        .set("To", firstOk.header("To"))
                        .body("application/sdp", "v=0".getBytes(StandardCharsets.UTF_8)));
    }

    EdgeDesk bye(String call, String... extra) {
        SipMessage bye = request("BYE", call, 2).set("To", lastOut.header("To"));
        for (int i = 0; i < extra.length; i += 2) {
            bye.set(extra[i], extra[i + 1]);
        }
        return take(EXCHANGE, bye);
    }

    /** The last INVITE out is answered; extra are names and values in turn. */
    EdgeDesk answered(int status, String... extra) {
        SipMessage reply =
                SipMessage.reply(lastInvite, status, "x", "far").add("Contact", "<sip:far:4>");
        for (int i = 0; i < extra.length; i += 2) {
            reply.add(extra[i], extra[i + 1]);
        }
        return take(lastInviteTo, reply);
    }

    EdgeDesk note(String text) {
        trace.append(now / 1000).append(" ms  ").append(text).append('\n');
        return this;
    }

    void reads(String name) {
        assertThat(trace.toString()).isEqualTo(Kept.trace(name));
    }

    @Override
    public void send(Hop to, SipMessage message) {
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
            lastOut = message;
            firstOk =
                    firstOk == null
                                    && message.status() == 200
                                    && message.cseqMethod().equals("INVITE")
                            ? message
                            : firstOk;
        }
        if (message.isRequest() && message.method().equals("SUBSCRIBE")) {
            subscribes.put(message.header("Event"), message.copy());
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
        // The trace has the messages.
    }

    private Answer next(String asked) {
        Answer answer = answers.isEmpty() ? Answer.NOTHING : answers.poll();
        note("module: " + asked + " -> " + answer.kind());
        return answer;
    }

    @Override
    public Answer route(long at, Session session) {
        return next(
                "route "
                        + session.id()
                        + (session.transit() ? " in transit" : "")
                        + " to "
                        + session.farEnd()
                        + ", "
                        + (session.limit() - at) / 1000
                        + " ms left");
    }

    @Override
    public Answer after(
            long at,
            long session,
            Ending ending,
            Cause cause,
            long exchange,
            long took,
            long namedWait,
            boolean over) {
        return next(
                "after "
                        + session
                        + " "
                        + ending
                        + " "
                        + cause
                        + (namedWait > 0 ? " wait " + namedWait : "")
                        + (over ? " over" : ""));
    }

    @Override
    public Waiting waiting(long at) {
        boolean ask = subscribe;
        subscribe = false;
        return new Waiting(0, List.of(), List.of(), ask);
    }

    @Override
    public void roster(long at, boolean whole, List<Exchange> exchanges) {
        note("module: roster" + (whole ? " whole " : " ") + exchanges.size());
    }

    @Override
    public void rosterLost(long at) {
        note("module: roster lost");
    }

    @Override
    public void circuits(long at, long exchange, int free, int size) {
        note("module: circuits " + exchange + " " + free + "/" + size);
    }

    @Override
    public void report(long at, long exchange, boolean passed, long took, float[] columns) {
        note("module: report " + exchange);
    }

    @Override
    public void peer(long at, int rank, byte[] body) {
        note("module: peer " + rank + " " + body.length);
    }

    @Override
    public void ended(long at, long session) {
        note("module: ended " + session);
    }
}
