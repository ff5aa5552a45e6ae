package coralcove.sip.dialog;

import coralcove.sip.BadMessage;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.Params;
import coralcove.sip.SipMessage;
import coralcove.sip.SipUri;
import coralcove.sip.Timers;
import coralcove.sip.Via;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import coralcove.sip.transaction.TransactionLayer;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The user agent of one node: sets calls up, takes them, gives them up and ends them over the
 * transaction layer, and passes other requests through. What RFC 3261 leaves to no one's choice is
 * done here: the ACK of each 2xx, the BYE for a 2xx that crossed a CANCEL, 481 for an unknown
 * dialog, 405 for an unknown method, 483.
 */
public final class Agent implements TransactionLayer.TransactionUser {
    /** How a call that was not answered ended without a final response. */
    public enum Lost {
        NO,
        TIMED_OUT,
        UNREACHABLE,
        RESET
    }

    /** The program above. */
    public interface User {
        void invited(long now, Call call, Hop from, Out out);

        void progressed(long now, Call call, SipMessage response, Out out);

        void answered(long now, Call call, SipMessage response, Out out);

        /**
         * The call does not stand; {@code response} is null where none came. Also the end of a
         * cancelled one.
         */
        void rejected(long now, Call call, SipMessage response, Lost lost, Out out);

        /** A call coming in was given up by its caller; it has its 487. */
        void cancelled(long now, Call call, Out out);

        /**
         * A standing call has ended by the other side; {@code bye} is null where its ACK never
         * came.
         */
        void hungUp(long now, Call call, SipMessage bye, Out out);

        /**
         * A standing call is to be changed by a re-INVITE; answered through {@link
         * Agent#answerChange}.
         */
        default void changing(long now, Call call, SipMessage invite, Out out) {
            throw new UnsupportedOperationException("no call of this program is changed");
        }

        /** What became of a change of this side; null where no answer came. */
        default void changed(long now, Call call, SipMessage response, Out out) {
            throw new UnsupportedOperationException("this program changes no call");
        }

        /** Another request; answered through {@link Agent#respond}. */
        void request(long now, ServerTx transaction, Hop from, Out out);

        /** The answer to another request, or null where none came. */
        void replied(long now, ClientTx transaction, SipMessage response, Out out);
    }

    /** A BYE that is out: how many of its call were tried. */
    private record PendingBye(Call call, int attempt) {}

    /** BYEs of one call at most, where streams break under them; and the µs between two. */
    private static final int MAX_BYE_ATTEMPTS = 4;

    private static final long BYE_RETRY_MICROS = 500_000;

    /** Seconds of the session interval asked for, and the least taken (RFC 4028 section 4). */
    private static final int SESSION_INTERVAL_SECONDS = 90;

    /**
     * µs until a refresh that met another change is tried again: a change takes less unless
     * messages are lost.
     */
    private static final long REFRESH_RETRY_MICROS = 2_000_000;

    /**
     * µs before its end at which a session that was not refreshed is ended: a third, 32 s at most
     * (RFC 4028 10).
     */
    private static final long MAX_END_MARGIN_MICROS = 32_000_000;

    /** Bytes: a request longer than this goes by TCP (RFC 3261 18.1.1). */
    public static final int MAX_DATAGRAM_BYTES = 1300;

    /** Header bytes that are added to a request after its length is taken: the Via. */
    private static final int VIA_BYTES = 120;

    private static final Set<String> APPLICATION_METHODS =
            Set.of("OPTIONS", "SUBSCRIBE", "NOTIFY", "MESSAGE", "REGISTER");

    private final Hop self;
    private final Timers timers;
    private final TransactionLayer transactions;
    private final User user;
    private final String startTag;
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<String, Call> incomingCalls = new HashMap<>();
    private final TreeMap<String, Long> counters = new TreeMap<>();
    private long nextId;

    /** The Retry-After with which the request now being taken is turned away, or null. */
    private String overloadRetryAfter;

    /** {@code seed} makes the ids of this start unlike those of any other node or start. */
    public Agent(Hop self, Timers timers, String seed, User user) {
        this.self = self;
        this.timers = timers;
        this.startTag = seed;
        this.user = user;
        transactions = new TransactionLayer(self, timers, seed, this);
    }

    public Hop self() {
        return self;
    }

    public int calls() {
        return calls.size();
    }

    /** Counters by name, for the log and the tests. */
    public Map<String, Long> counters() {
        return counters;
    }

    public void count(String name) {
        counters.merge(name, 1L, Long::sum);
    }

    public void receive(long now, Hop from, SipMessage message, Out out) {
        transactions.receive(now, from, message, out);
    }

    /**
     * 400 where a reply is possible (a request with all that a reply copies), else counted and
     * dropped.
     */
    public void malformed(long now, Hop from, BadMessage problem, Out out) {
        SipMessage partial = problem.partialMessage();
        count("malformed");
        out.log("malformed", "", from + ": " + problem.getMessage());
        if (partial != null
                && partial.isRequest()
                && !partial.method().equals("ACK")
                && partial.canBeAnswered()) {
            out.send(from, SipMessage.reply(partial, 400, "Bad Request", "m"));
        }
    }

    /** Whether this request was taken before and is a repeat. */
    public boolean repeat(SipMessage request) {
        return transactions.isRetransmission(request);
    }

    /**
     * Takes one request only to turn it down with 503; what would repeat it is answered the same.
     */
    public void turnAway(long now, Hop from, SipMessage request, String retryAfter, Out out) {
        overloadRetryAfter = retryAfter;
        transactions.receive(now, from, request, out);
        overloadRetryAfter = null;
    }

    public void broken(long now, Hop peer, boolean refused, Out out) {
        transactions.connectionFailed(now, peer, refused, out);
    }

    // ---- calls out

    /** A request of this node outside any dialog, to be completed and sent. */
    public SipMessage request(String method, String uri) {
        String id = Long.toString(nextId++, 36);
        return SipMessage.request(method, uri)
                .add("Max-Forwards", "70")
                .add("From", "<sip:" + self.host() + ":" + self.port() + ">;tag=" + startTag + id)
                .add("To", "<" + uri + ">")
                .add("Call-ID", startTag + "-" + id)
                .add("CSeq", "1 " + method)
                .add("Contact", "<" + SipUri.text("", self) + ">");
    }

    /** Sets a call up; {@code invite} is made by {@link #request}. */
    public Call invite(long now, SipMessage invite, Hop to, Object owner, Out out) {
        invite.add("Supported", "timer")
                .add("Session-Expires", SESSION_INTERVAL_SECONDS + ";refresher=uac")
                .add("Min-SE", Integer.toString(SESSION_INTERVAL_SECONDS));
        Call call = new Call(true, invite, invite.fromTag());
        call.owner = owner;
        calls.put(call.key(), call);
        Hop hop = selectTransport(invite, to);
        call.remoteAddress = hop;
        call.clientTransaction = transactions.send(now, invite, hop, call, out);
        return call;
    }

    /** Sends another request. */
    public ClientTx send(long now, SipMessage request, Hop to, Object owner, Out out) {
        return transactions.send(now, request, selectTransport(request, to), owner, out);
    }

    /** Sends a request once, without a transaction: whether it arrives is nobody's concern. */
    public void sendOnce(SipMessage request, Hop to, Out out) {
        request.addFirst(
                "Via",
                Via.text(
                        self.over(to.tcp()),
                        Via.COOKIE + startTag + TransactionLayer.NO_TRANSACTION_MARK + nextId++));
        out.send(to, request);
    }

    private static Hop selectTransport(SipMessage request, Hop to) {
        return to.tcp() || request.encodedLength() + VIA_BYTES <= MAX_DATAGRAM_BYTES
                ? to
                : to.over(true);
    }

    /**
     * Gives up a call that has not been answered. CANCEL waits for a provisional answer (RFC 3261
     * 9.1); an INVITE nothing was heard of is sent no more. {@link User#rejected} follows when it
     * is over.
     */
    public void cancel(long now, Call call, Out out) {
        if (call.cancelled || call.state != Call.State.TRYING) {
            return;
        }
        call.cancelled = true;
        if (call.provisionalReceived) {
            transactions.cancel(now, call.clientTransaction, out);
        } else {
            transactions.stopRetransmitting(call.clientTransaction);
        }
        // 9.1: an INVITE cancelled and not answered within 64 T1 is taken for cancelled.
        timers.set(
                now + 64 * TransactionLayer.T1_MICROS,
                (at, o) -> {
                    if (call.state == Call.State.TRYING) {
                        transactions.abandon(call.clientTransaction);
                        failCall(at, call, Lost.TIMED_OUT, o);
                    }
                });
    }

    /** Ends a standing call by BYE; {@code reason} is a Reason header or null. */
    public void bye(long now, Call call, String reason, Out out) {
        if (call.state != Call.State.ESTABLISHED) {
            return;
        }
        terminate(call);
        SipMessage bye = nextDialogRequest("BYE", call);
        if (reason != null) {
            bye.add("Reason", reason);
        }
        transactions.send(now, bye, call.remoteAddress, new PendingBye(call, 1), out);
    }

    /** A BYE whose stream broke under it is sent again on a new one, as a request of its own. */
    private void retryBye(long now, PendingBye last, Out out) {
        if (last.attempt < MAX_BYE_ATTEMPTS) {
            timers.set(
                    now + BYE_RETRY_MICROS,
                    (at, o) ->
                            transactions.send(
                                    at,
                                    nextDialogRequest("BYE", last.call),
                                    last.call.remoteAddress,
                                    new PendingBye(last.call, last.attempt + 1),
                                    o));
        }
    }

    private SipMessage nextDialogRequest(String method, Call call) {
        call.localSequence++;
        return createDialogRequest(method, call, call.localSequence);
    }

    private SipMessage createDialogRequest(String method, Call call, long sequence) {
        SipMessage request =
                SipMessage.request(method, call.remoteTarget).add("Max-Forwards", "70");
        call.routeSet.forEach(route -> request.add("Route", route));
        if (call.outgoing) {
            request.add("From", call.invite.header("From"));
            request.add("To", withTag(call.invite.header("To"), call.remoteTag));
        } else {
            request.add("From", withTag(call.invite.header("To"), call.localTag));
            request.add("To", call.invite.header("From"));
        }
        request.add("Call-ID", call.invite.callId()).add("CSeq", sequence + " " + method);
        if (!call.sessionId.isEmpty()) {
            request.add("Session-ID", call.sessionId);
        }
        return request;
    }

    /** The ACK of a 2xx: a request of its own, outside any transaction (RFC 3261 13.2.2.4). */
    private SipMessage createAck(Call call, long sequence) {
        return createDialogRequest("ACK", call, sequence)
                .addFirst(
                        "Via",
                        Via.text(
                                self.over(call.remoteAddress.tcp()),
                                Via.COOKIE + startTag + ".a" + nextId++));
    }

    private static String withTag(String value, String tag) {
        return tag.isEmpty() || Params.of(value).has("tag") ? value : value + ";tag=" + tag;
    }

    // ---- calls in

    public void progress(long now, Call call, int status, String reason, Out out) {
        transactions.respond(now, call.serverTransaction, reply(call, status, reason), out);
    }

    /** Answers a call with 200. */
    public void answer(long now, Call call, Out out) {
        answer(now, call, null, out);
    }

    /** Answers a call with 200 and the body of {@code like}, which may be null. */
    public void answer(long now, Call call, SipMessage like, Out out) {
        if (call.state == Call.State.TRYING) {
            call.state = Call.State.ESTABLISHED;
            SipMessage ok =
                    reply(call, 200, "OK").add("Contact", "<" + SipUri.text("", self) + ">");
            call.invite.headers("Record-Route").forEach(route -> ok.add("Record-Route", route));
            Params asked = Params.of(call.invite.header("Session-Expires", ""));
            if (!asked.value().isEmpty()) {
                ok.add("Require", "timer").add("Session-Expires", asked.value() + ";refresher=uac");
            }
            if (like != null && like.body().length > 0) {
                ok.body(like.header("Content-Type", "application/sdp"), like.body());
            }
            transactions.respond(now, call.serverTransaction, ok, out);
            startSessionTimer(now, call, asked, false);
        }
    }

    /** Turns a call down; {@code extra} fields are name and value in turn. */
    public void reject(long now, Call call, int status, String reason, Out out, String... extra) {
        if (call.state != Call.State.TRYING) {
            return;
        }
        terminate(call);
        SipMessage reply = reply(call, status, reason);
        for (int i = 0; i + 1 < extra.length; i += 2) {
            reply.add(extra[i], extra[i + 1]);
        }
        transactions.respond(now, call.serverTransaction, reply, out);
    }

    private SipMessage reply(Call call, int status, String reason) {
        SipMessage reply = SipMessage.reply(call.invite, status, reason, call.localTag);
        if (!call.sessionId.isEmpty()) {
            reply.add("Session-ID", call.sessionId);
        }
        return reply;
    }

    public void respond(long now, ServerTx transaction, SipMessage response, Out out) {
        transactions.respond(now, transaction, response, out);
    }

    public SipMessage reply(ServerTx transaction, int status, String reason) {
        return SipMessage.reply(transaction.request(), status, reason, startTag + "r" + nextId++);
    }

    // ---- changes of a standing call, and its session timer

    /**
     * Sends a re-INVITE with this body; false while another change of the call is under way (RFC
     * 3261 14.1).
     */
    public boolean change(long now, Call call, String type, byte[] body, Out out) {
        if (call.state != Call.State.ESTABLISHED
                || call.outgoingChange != null
                || call.incomingChange != null) {
            return false;
        }
        SipMessage invite =
                nextDialogRequest("INVITE", call).add("Contact", "<" + SipUri.text("", self) + ">");
        if (body.length > 0) {
            invite.body(type, body);
        }
        call.outgoingChange =
                transactions.send(
                        now, invite, selectTransport(invite, call.remoteAddress), call, out);
        return true;
    }

    /** Answers the re-INVITE that {@link User#changing} told of. */
    public void answerChange(
            long now, Call call, int status, String reason, String type, byte[] body, Out out) {
        if (call.incomingChange == null) {
            return;
        }
        SipMessage reply =
                reply(call.incomingChange, status, reason)
                        .add("Contact", "<" + SipUri.text("", self) + ">");
        if (body.length > 0) {
            reply.body(type, body);
        }
        ServerTx changing = call.incomingChange;
        call.incomingChange = null;
        transactions.respond(now, changing, reply, out);
    }

    /**
     * Starts or renews the session timer: the refresher renews at half time, the other side ends a
     * dead session.
     */
    private void startSessionTimer(long now, Call call, Params expires, boolean refresher) {
        timers.cancel(call.sessionTimer);
        long seconds = parseSeconds(expires.value());
        if (seconds < SESSION_INTERVAL_SECONDS || call.state != Call.State.ESTABLISHED) {
            return;
        }
        call.sessionIntervalMicros = seconds * 1_000_000;
        if (refresher) {
            call.sessionTimer =
                    timers.set(
                            now + call.sessionIntervalMicros / 2,
                            (at, o) -> sendRefresh(at, call, o));
        } else {
            long last =
                    call.sessionIntervalMicros
                            - Math.min(MAX_END_MARGIN_MICROS, call.sessionIntervalMicros / 3);
            call.sessionTimer = timers.set(now + last, (at, o) -> endExpiredSession(at, call, o));
        }
    }

    private static long parseSeconds(String text) {
        return text.matches("\\d{1,9}") ? Long.parseLong(text) : 0;
    }

    private void sendRefresh(long now, Call call, Out out) {
        if (call.state != Call.State.ESTABLISHED) {
            return;
        }
        boolean free = call.outgoingChange == null && call.incomingChange == null;
        if (free) {
            SipMessage update =
                    nextDialogRequest("UPDATE", call)
                            .add("Contact", "<" + SipUri.text("", self) + ">")
                            .add("Supported", "timer")
                            .add("Session-Expires", SESSION_INTERVAL_SECONDS + ";refresher=uac");
            call.outgoingChange =
                    transactions.send(
                            now, update, selectTransport(update, call.remoteAddress), call, out);
        }
        // A refresh that finds another change under way comes a little later: after half an
        // interval more the other
        // side would take the session for dead.
        call.sessionTimer =
                timers.set(
                        now + (free ? call.sessionIntervalMicros / 2 : REFRESH_RETRY_MICROS),
                        (at, o) -> sendRefresh(at, call, o));
    }

    /**
     * The other side has gone without a BYE: the call is ended here, so that its circuits are free
     * (RFC 4028 10).
     */
    private void endExpiredSession(long now, Call call, Out out) {
        if (call.state == Call.State.ESTABLISHED) {
            count("session-expired");
            out.log("session-expired", call.sessionId, "");
            bye(now, call, null, out);
            user.hungUp(now, call, null, out);
        }
    }

    private void handleChangeResponse(
            long now, Call call, ClientTx transaction, SipMessage response, Out out) {
        boolean invite = transaction.request().method().equals("INVITE");
        if (response != null && response.status() < 200) {
            return;
        }
        int status = response == null ? 408 : response.status();
        if (invite && status < 300) {
            // Each copy of the 200 gets its ACK.
            SipMessage ack = createAck(call, transaction.request().sequence());
            refreshTarget(call, response);
            out.send(call.remoteAddress, ack);
        }
        if (call.outgoingChange != transaction) {
            return;
        }
        call.outgoingChange = null;
        if (status == 481 || status == 408) {
            // RFC 3261 12.2.1.2: the dialog is gone at the other side.
            if (call.state == Call.State.ESTABLISHED) {
                bye(now, call, null, out);
                user.hungUp(now, call, null, out);
            }
        } else if (!invite) {
            if (status < 300) {
                refreshTarget(call, response);
                startSessionTimer(
                        now, call, Params.of(response.header("Session-Expires", "0")), true);
            }
        } else {
            user.changed(now, call, response, out);
        }
    }

    private void refreshTarget(Call call, SipMessage message) {
        SipUri contact = SipUri.of(message.header("Contact", ""));
        if (contact != null) {
            call.remoteTarget = SipUri.text(contact.user(), contact.hop());
            call.remoteAddress = call.routeSet.isEmpty() ? contact.hop() : call.remoteAddress;
        }
    }

    /**
     * The route set's first hop, or the target's where there is none (RFC 3261 12.2.1.1; strict
     * routes are not spoken).
     */
    private static Hop nextHop(Call call, Hop target) {
        SipUri first = call.routeSet.isEmpty() ? null : SipUri.of(call.routeSet.get(0));
        return first == null ? target : first.hop();
    }

    private void handleDialogRequest(long now, ServerTx transaction, Out out) {
        SipMessage request = transaction.request();
        String method = request.method();
        Call call = calls.get(request.callId() + "|" + request.toTag());
        if (call == null
                || call.state != Call.State.ESTABLISHED
                || !request.fromTag().equals(call.remoteTag)) {
            rejectRequest(now, transaction, 481, "No such dialog", out);
        } else if (request.sequence() <= call.remoteSequence) {
            rejectRequest(now, transaction, 500, "CSeq out of order", out);
        } else if (method.equals("BYE")) {
            call.remoteSequence = request.sequence();
            terminate(call);
            respond(now, transaction, reply(transaction, 200, "OK"), out);
            user.hungUp(now, call, request, out);
        } else if (call.outgoingChange != null) {
            // Glare (14.1): both sides' changes crossed, and neither is taken.
            call.remoteSequence = request.sequence();
            rejectRequest(now, transaction, 491, "Request Pending", out);
        } else if (call.incomingChange != null) {
            call.remoteSequence = request.sequence();
            count("500");
            respond(
                    now,
                    transaction,
                    reply(transaction, 500, "Earlier change pending").add("Retry-After", "1"),
                    out);
        } else if (method.equals("UPDATE")) {
            call.remoteSequence = request.sequence();
            refreshTarget(call, request);
            Params expires = Params.of(request.header("Session-Expires", "0"));
            SipMessage ok =
                    reply(transaction, 200, "OK").add("Contact", "<" + SipUri.text("", self) + ">");
            if (parseSeconds(expires.value()) > 0) {
                ok.add("Session-Expires", expires.value() + ";refresher=uac");
            }
            respond(now, transaction, ok, out);
            startSessionTimer(now, call, expires, false);
        } else {
            call.remoteSequence = request.sequence();
            refreshTarget(call, request);
            call.incomingChange = transaction;
            transaction.owner(call);
            user.changing(now, call, request, out);
        }
    }

    private void terminate(Call call) {
        timers.cancel(call.sessionTimer);
        call.state = Call.State.TERMINATED;
        calls.remove(call.key(), call);
        incomingCalls.remove(call.invite.callId() + "|" + call.invite.fromTag(), call);
    }

    // ---- from the transactions

    @Override
    public void requestReceived(long now, ServerTx transaction, Hop from, Out out) {
        SipMessage request = transaction.request();
        String method = request.method();
        String tag = request.toTag();
        if (overloadRetryAfter != null && tag.isEmpty()) {
            count("turned-away");
            respond(
                    now,
                    transaction,
                    reply(transaction, 503, "Overloaded").add("Retry-After", overloadRetryAfter),
                    out);
        } else if (request.header("Max-Forwards", "70").strip().equals("0")
                && !method.equals("OPTIONS")
                && tag.isEmpty()) {
            rejectRequest(now, transaction, 483, "Too Many Hops", out);
        } else if (method.equals("INVITE") && tag.isEmpty()) {
            handleInvite(now, transaction, from, out);
        } else if (method.equals("BYE") || method.equals("INVITE") || method.equals("UPDATE")) {
            handleDialogRequest(now, transaction, out);
        } else if (APPLICATION_METHODS.contains(method)) {
            user.request(now, transaction, from, out);
        } else {
            count("unknown-method");
            respond(
                    now,
                    transaction,
                    reply(transaction, 405, "Method Not Allowed")
                            .add(
                                    "Allow",
                                    "INVITE, ACK, CANCEL, BYE, UPDATE, OPTIONS, SUBSCRIBE, NOTIFY,"
                                            + " MESSAGE, REGISTER"),
                    out);
        }
    }

    private void rejectRequest(long now, ServerTx transaction, int status, String reason, Out out) {
        count(Integer.toString(status));
        respond(now, transaction, reply(transaction, status, reason), out);
    }

    private void handleInvite(long now, ServerTx transaction, Hop from, Out out) {
        SipMessage invite = transaction.request();
        SipUri contact = SipUri.of(invite.header("Contact", ""));
        if (contact == null) {
            rejectRequest(now, transaction, 400, "Contact is missing", out);
            return;
        }
        String merged = invite.callId() + "|" + invite.fromTag();
        if (incomingCalls.containsKey(merged)) {
            // RFC 3261 8.2.2.2, and a copy so late that its transaction is over: one call, not two.
            rejectRequest(now, transaction, 482, "Loop Detected", out);
            return;
        }
        Call call = new Call(false, invite, startTag + "t" + Long.toString(nextId++, 36));
        call.serverTransaction = transaction;
        transaction.owner(call);
        call.remoteTag = invite.fromTag();
        call.remoteTarget = SipUri.text(contact.user(), contact.hop());
        call.routeSet = invite.headers("Record-Route");
        call.remoteAddress = nextHop(call, contact.hop());
        call.remoteSequence = invite.sequence();
        calls.put(call.key(), call);
        incomingCalls.put(merged, call);
        user.invited(now, call, from, out);
    }

    @Override
    public void cancelReceived(long now, ServerTx invite, Out out) {
        Call call = callFor(invite);
        if (call != null && call.incomingChange == invite) {
            call.incomingChange = null;
            transactions.respond(now, invite, reply(invite, 487, "Request Terminated"), out);
        } else if (call != null && call.state == Call.State.TRYING) {
            reject(now, call, 487, "Request Terminated", out);
            user.cancelled(now, call, out);
        }
    }

    private Call callFor(ServerTx transaction) {
        return transaction.owner() instanceof Call call ? call : null;
    }

    @Override
    public void ackReceived(long now, ServerTx transaction, Out out) {
        count("acked");
    }

    @Override
    public void ackTimedOut(long now, ServerTx transaction, Out out) {
        Call call = callFor(transaction);
        if (call != null && call.state == Call.State.ESTABLISHED) {
            count("unacked");
            bye(now, call, null, out);
            user.hungUp(now, call, null, out);
        }
    }

    @Override
    public void responseReceived(long now, ClientTx transaction, SipMessage response, Out out) {
        if (transaction.owner() instanceof Call changed
                && transaction != changed.clientTransaction) {
            handleChangeResponse(now, changed, transaction, response, out);
            return;
        }
        if (!(transaction.owner() instanceof Call call)
                || !transaction.request().method().equals("INVITE")) {
            if (!transaction.request().method().equals("BYE")
                    && !transaction.request().method().equals("CANCEL")) {
                user.replied(now, transaction, response, out);
            }
            return;
        }
        if (response.status() < 200) {
            boolean first = !call.provisionalReceived;
            call.provisionalReceived = true;
            if (call.cancelled && first) {
                transactions.cancel(now, call.clientTransaction, out);
            } else if (!call.cancelled && response.status() > 100) {
                user.progressed(now, call, response, out);
            }
        } else if (response.status() < 300) {
            handleSuccess(now, call, response, out);
        } else if (call.state == Call.State.TRYING) {
            terminate(call);
            user.rejected(now, call, response, Lost.NO, out);
        }
    }

    private void handleSuccess(long now, Call call, SipMessage response, Out out) {
        if (call.ack != null) {
            if (response.toTag().equals(call.remoteTag)) {
                out.send(call.remoteAddress, call.ack);
            } else {
                endForkedCall(now, call, response, out);
            }
            return;
        }
        SipUri contact = SipUri.of(response.header("Contact", ""));
        call.remoteTag = response.toTag();
        call.remoteTarget =
                contact == null ? call.invite.uri() : SipUri.text(contact.user(), contact.hop());
        List<String> routes = response.headers("Record-Route");
        Collections.reverse(routes);
        call.routeSet = routes;
        call.remoteAddress = nextHop(call, contact == null ? call.remoteAddress : contact.hop());
        call.ack = createAck(call, call.invite.sequence());
        out.send(call.remoteAddress, call.ack);
        call.state = Call.State.ESTABLISHED;
        if (call.cancelled) {
            // The 200 crossed the CANCEL: the call is ended at once and no circuit stays held (RFC
            // 3261 15).
            bye(now, call, null, out);
            user.rejected(now, call, null, Lost.NO, out);
        } else {
            startSessionTimer(now, call, Params.of(response.header("Session-Expires", "0")), true);
            user.answered(now, call, response, out);
        }
    }

    /**
     * A second 2xx, of another branch of a fork: it is acknowledged and ended (RFC 3261 13.2.2.4).
     */
    private void endForkedCall(long now, Call call, SipMessage response, Out out) {
        SipUri contact = SipUri.of(response.header("Contact", ""));
        if (contact == null) {
            return;
        }
        count("forked");
        Call other = new Call(true, call.invite, call.localTag);
        other.remoteTag = response.toTag();
        other.remoteTarget = SipUri.text(contact.user(), contact.hop());
        other.remoteAddress = contact.hop();
        out.send(other.remoteAddress, createAck(other, call.invite.sequence()));
        transactions.send(now, nextDialogRequest("BYE", other), other.remoteAddress, null, out);
    }

    @Override
    public void requestFailed(
            long now, ClientTx transaction, TransactionLayer.Failure failure, Out out) {
        if (transaction.owner() instanceof PendingBye last) {
            if (failure != TransactionLayer.Failure.TIMED_OUT) {
                retryBye(now, last, out);
            }
        } else if (transaction.owner() instanceof Call changed
                && transaction != changed.clientTransaction) {
            handleChangeResponse(now, changed, transaction, null, out);
        } else if (transaction.owner() instanceof Call call
                && transaction.request().method().equals("INVITE")) {
            if (call.state == Call.State.TRYING) {
                failCall(
                        now,
                        call,
                        switch (failure) {
                            case TIMED_OUT -> Lost.TIMED_OUT;
                            case CONNECTION_REFUSED -> Lost.UNREACHABLE;
                            case CONNECTION_LOST -> Lost.RESET;
                        },
                        out);
            }
        } else if (!transaction.request().method().equals("BYE")) {
            user.replied(now, transaction, null, out);
        }
    }

    private void failCall(long now, Call call, Lost lost, Out out) {
        terminate(call);
        user.rejected(now, call, null, lost, out);
    }
}
