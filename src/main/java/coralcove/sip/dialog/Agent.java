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
 * The user agent of one node: sets up, accepts, cancels and ends calls over the transaction layer,
 * and passes requests of other methods to the application. It does itself what RFC 3261 prescribes
 * without choice: the ACK of each 2xx, the BYE for a 2xx that crossed a CANCEL, 481 for an unknown
 * dialog, 405 for an unknown method, 483 for Max-Forwards 0.
 */
public final class Agent implements TransactionLayer.TransactionUser {
    /**
     * Why a call failed without a final response; {@link #NO} if there was a response or the call
     * was cancelled.
     */
    public enum Lost {
        NO,
        TIMED_OUT,
        UNREACHABLE,
        RESET
    }

    /** The application that uses this user agent. */
    public interface User {
        /** A call arrived; answered by {@link Agent#answer} or {@link Agent#reject}. */
        void invited(long now, Call call, Hop from, Out out);

        /** A provisional response other than 100 arrived. */
        void progressed(long now, Call call, SipMessage response, Out out);

        /** An outgoing call was established; its 2xx has been acknowledged. */
        void answered(long now, Call call, SipMessage response, Out out);

        /**
         * An outgoing call was not established, also because it was cancelled; {@code response} is
         * null if there was no failure response.
         */
        void rejected(long now, Call call, SipMessage response, Lost failure, Out out);

        /** An incoming call was cancelled by its caller and has been answered with 487. */
        void cancelled(long now, Call call, Out out);

        /**
         * An established call has ended; {@code bye} is null if not by a BYE of the other side: the
         * ACK never arrived, the session expired, or the other side no longer knows the dialog.
         */
        void hungUp(long now, Call call, SipMessage bye, Out out);

        /** A re-INVITE arrived in an established call; answered by {@link Agent#answerChange}. */
        default void changing(long now, Call call, SipMessage invite, Out out) {
            throw new UnsupportedOperationException("this application does not accept re-INVITEs");
        }

        /**
         * The final response to a re-INVITE sent by {@link Agent#change}; 481 and timeouts end the
         * call instead.
         */
        default void changed(long now, Call call, SipMessage response, Out out) {
            throw new UnsupportedOperationException("this application sends no re-INVITEs");
        }

        /** A request outside of calls arrived; answered by {@link Agent#respond}. */
        void request(long now, ServerTx transaction, Hop from, Out out);

        /** The response to a request outside of calls, or null if none arrived. */
        void replied(long now, ClientTx transaction, SipMessage response, Out out);
    }

    /** A BYE without a response yet; {@code attempt} counts the BYEs of the call from 1. */
    private record PendingBye(Call call, int attempt) {}

    /** BYEs of one call at most, each sent because the connection of the previous one failed. */
    private static final int MAX_BYE_ATTEMPTS = 4;

    private static final long BYE_RETRY_MICROS = 500_000;

    /** The session interval requested, and the shortest accepted (RFC 4028 section 4). */
    private static final int SESSION_INTERVAL_SECONDS = 90;

    /**
     * Delay of a refresh while a re-INVITE is pending, which takes less than this unless messages
     * are lost.
     */
    private static final long REFRESH_RETRY_MICROS = 2_000_000;

    /**
     * A session that was not refreshed is ended a third of its interval before it expires, but at
     * most this long before (RFC 4028 section 10).
     */
    private static final long MAX_END_MARGIN_MICROS = 32_000_000;

    /** A request longer than this is sent over TCP (RFC 3261 18.1.1). */
    public static final int MAX_DATAGRAM_BYTES = 1300;

    /** Room for the Via, which is added to a request after its length is checked. */
    private static final int VIA_BYTES = 120;

    /** Methods outside of calls, whose requests are passed to the application. */
    private static final Set<String> APPLICATION_METHODS =
            Set.of("OPTIONS", "SUBSCRIBE", "NOTIFY", "MESSAGE", "REGISTER");

    private final Hop localAddress;
    private final Timers timers;
    private final TransactionLayer transactionLayer;
    private final User user;
    private final String startTag;

    /** Calls by Call-ID and local tag. */
    private final Map<String, Call> calls = new HashMap<>();

    /** Incoming calls by Call-ID and the caller's tag. */
    private final Map<String, Call> incomingCalls = new HashMap<>();

    private final TreeMap<String, Long> counters = new TreeMap<>();
    private long nextId;

    /** The Retry-After of the 503 for the request being processed, or null without overload. */
    private String overloadRetryAfter;

    /**
     * {@code startTag} distinguishes the ids of this start from those of other nodes and starts.
     */
    public Agent(Hop localAddress, Timers timers, String startTag, User user) {
        this.localAddress = localAddress;
        this.timers = timers;
        this.startTag = startTag;
        this.user = user;
        transactionLayer = new TransactionLayer(localAddress, timers, startTag, this);
    }

    public Hop localAddress() {
        return localAddress;
    }

    /** Calls in both directions that have not ended. */
    public int activeCallCount() {
        return calls.size();
    }

    /** Counters by name. */
    public Map<String, Long> counters() {
        return counters;
    }

    /** Adds one to a counter. */
    public void count(String name) {
        counters.merge(name, 1L, Long::sum);
    }

    /** Processes a message received from {@code from}. */
    public void receive(long now, Hop from, SipMessage message, Out out) {
        transactionLayer.receive(now, from, message, out);
    }

    /**
     * Counts and logs a malformed message, and answers 400 if it is a request with all fields that
     * a response copies.
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

    /** Whether this request is a retransmission of one received before. */
    public boolean repeat(SipMessage request) {
        return transactionLayer.isRetransmission(request);
    }

    /**
     * Rejects a request with 503 because of overload; its retransmissions get the same response.
     */
    public void turnAway(long now, Hop from, SipMessage request, String retryAfter, Out out) {
        overloadRetryAfter = retryAfter;
        transactionLayer.receive(now, from, request, out);
        overloadRetryAfter = null;
    }

    /**
     * Handles the loss of the connection to {@code peer}, or that it could not be opened ({@code
     * refused}).
     */
    public void broken(long now, Hop peer, boolean refused, Out out) {
        transactionLayer.connectionFailed(now, peer, refused, out);
    }

    // ---- outgoing requests

    /** Creates a request outside any dialog, for the caller to complete and send. */
    public SipMessage request(String method, String uri) {
        String id = Long.toString(nextId++, 36);
        return SipMessage.request(method, uri)
                .add("Max-Forwards", "70")
                .add(
                        "From",
                        "<sip:"
                                + localAddress.host()
                                + ":"
                                + localAddress.port()
                                + ">;tag="
                                + startTag
                                + id)
                .add("To", "<" + uri + ">")
                .add("Call-ID", startTag + "-" + id)
                .add("CSeq", "1 " + method)
                .add("Contact", "<" + SipUri.text("", localAddress) + ">");
    }

    /** Starts a call; {@code invite} was created by {@link #request(String, String)}. */
    public Call invite(long now, SipMessage invite, Hop to, Object owner, Out out) {
        invite.add("Supported", "timer")
                .add("Session-Expires", SESSION_INTERVAL_SECONDS + ";refresher=uac")
                .add("Min-SE", Integer.toString(SESSION_INTERVAL_SECONDS));
        Call call = new Call(true, invite, invite.fromTag());
        call.owner = owner;
        calls.put(call.key(), call);
        Hop hop = selectTransport(invite, to);
        call.remoteAddress = hop;
        call.clientTransaction = transactionLayer.send(now, invite, hop, call, out);
        return call;
    }

    /** Sends a request outside of calls in a transaction. */
    public ClientTx send(long now, SipMessage request, Hop to, Object owner, Out out) {
        return transactionLayer.send(now, request, selectTransport(request, to), owner, out);
    }

    /** Sends a request once, without a transaction: it may be lost, and gets no response. */
    public void sendOnce(SipMessage request, Hop to, Out out) {
        request.addFirst(
                "Via",
                Via.text(
                        localAddress.over(to.tcp()),
                        Via.COOKIE + startTag + TransactionLayer.NO_TRANSACTION_MARK + nextId++));
        out.send(to, request);
    }

    private static Hop selectTransport(SipMessage request, Hop to) {
        return to.tcp() || request.encodedLength() + VIA_BYTES <= MAX_DATAGRAM_BYTES
                ? to
                : to.over(true);
    }

    /**
     * Cancels an outgoing call that has no final response. CANCEL is sent only after a provisional
     * response (RFC 3261 9.1); until one arrives the INVITE is no longer retransmitted. {@link
     * User#rejected} follows when the call is over.
     */
    public void cancel(long now, Call call, Out out) {
        if (call.cancelled || call.state != Call.State.TRYING) {
            return;
        }
        call.cancelled = true;
        if (call.provisionalReceived) {
            transactionLayer.cancel(now, call.clientTransaction, out);
        } else {
            transactionLayer.stopRetransmitting(call.clientTransaction);
        }
        // 9.1: an INVITE without a final response within 64 T1 counts as cancelled.
        timers.set(
                now + 64 * TransactionLayer.T1_MICROS,
                (at, o) -> {
                    if (call.state == Call.State.TRYING) {
                        transactionLayer.abandon(call.clientTransaction);
                        failCall(at, call, Lost.TIMED_OUT, o);
                    }
                });
    }

    /**
     * Ends an established call by BYE; {@code reason} is the value of its Reason header or null.
     */
    public void bye(long now, Call call, String reason, Out out) {
        if (call.state != Call.State.ESTABLISHED) {
            return;
        }
        terminate(call);
        SipMessage bye = nextDialogRequest("BYE", call);
        if (reason != null) {
            bye.add("Reason", reason);
        }
        transactionLayer.send(now, bye, call.remoteAddress, new PendingBye(call, 1), out);
    }

    /** Sends a BYE whose connection failed again, as a new request over a new connection. */
    private void retryBye(long now, PendingBye previous, Out out) {
        if (previous.attempt < MAX_BYE_ATTEMPTS) {
            timers.set(
                    now + BYE_RETRY_MICROS,
                    (at, o) ->
                            transactionLayer.send(
                                    at,
                                    nextDialogRequest("BYE", previous.call),
                                    previous.call.remoteAddress,
                                    new PendingBye(previous.call, previous.attempt + 1),
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

    /** Creates the ACK of a 2xx, which is sent outside any transaction (RFC 3261 13.2.2.4). */
    private SipMessage createAck(Call call, long sequence) {
        return createDialogRequest("ACK", call, sequence)
                .addFirst(
                        "Via",
                        Via.text(
                                localAddress.over(call.remoteAddress.tcp()),
                                Via.COOKIE + startTag + ".a" + nextId++));
    }

    private static String withTag(String value, String tag) {
        return tag.isEmpty() || Params.of(value).has("tag") ? value : value + ";tag=" + tag;
    }

    // ---- responses

    /** Sends a provisional response to an incoming call. */
    public void progress(long now, Call call, int status, String reason, Out out) {
        transactionLayer.respond(now, call.serverTransaction, reply(call, status, reason), out);
    }

    /** Answers an incoming call with 200. */
    public void answer(long now, Call call, Out out) {
        answer(now, call, null, out);
    }

    /** Answers an incoming call with 200 and the body of {@code bodySource}, which may be null. */
    public void answer(long now, Call call, SipMessage bodySource, Out out) {
        if (call.state == Call.State.TRYING) {
            call.state = Call.State.ESTABLISHED;
            SipMessage ok =
                    reply(call, 200, "OK")
                            .add("Contact", "<" + SipUri.text("", localAddress) + ">");
            call.invite.headers("Record-Route").forEach(route -> ok.add("Record-Route", route));
            Params expires = Params.of(call.invite.header("Session-Expires", ""));
            if (!expires.value().isEmpty()) {
                ok.add("Require", "timer")
                        .add("Session-Expires", expires.value() + ";refresher=uac");
            }
            if (bodySource != null && bodySource.body().length > 0) {
                ok.body(bodySource.header("Content-Type", "application/sdp"), bodySource.body());
            }
            transactionLayer.respond(now, call.serverTransaction, ok, out);
            startSessionTimer(now, call, expires, false);
        }
    }

    /**
     * Rejects an incoming call; {@code extraHeaders} alternates names and values of further header
     * fields.
     */
    public void reject(
            long now, Call call, int status, String reason, Out out, String... extraHeaders) {
        if (call.state != Call.State.TRYING) {
            return;
        }
        terminate(call);
        SipMessage reply = reply(call, status, reason);
        for (int i = 0; i + 1 < extraHeaders.length; i += 2) {
            reply.add(extraHeaders[i], extraHeaders[i + 1]);
        }
        transactionLayer.respond(now, call.serverTransaction, reply, out);
    }

    private SipMessage reply(Call call, int status, String reason) {
        SipMessage reply = SipMessage.reply(call.invite, status, reason, call.localTag);
        if (!call.sessionId.isEmpty()) {
            reply.add("Session-ID", call.sessionId);
        }
        return reply;
    }

    /** Sends a response to a request passed to the application. */
    public void respond(long now, ServerTx transaction, SipMessage response, Out out) {
        transactionLayer.respond(now, transaction, response, out);
    }

    /** Creates a response with a To tag of this node. */
    public SipMessage reply(ServerTx transaction, int status, String reason) {
        return SipMessage.reply(transaction.request(), status, reason, startTag + "r" + nextId++);
    }

    // ---- re-INVITE and session timer

    /**
     * Sends a re-INVITE with this body; returns false if another re-INVITE or a refresh is pending
     * (RFC 3261 14.1) or the call is not established.
     */
    public boolean change(long now, Call call, String type, byte[] body, Out out) {
        if (call.state != Call.State.ESTABLISHED
                || call.outgoingChange != null
                || call.incomingChange != null) {
            return false;
        }
        SipMessage invite =
                nextDialogRequest("INVITE", call)
                        .add("Contact", "<" + SipUri.text("", localAddress) + ">");
        if (body.length > 0) {
            invite.body(type, body);
        }
        call.outgoingChange =
                transactionLayer.send(
                        now, invite, selectTransport(invite, call.remoteAddress), call, out);
        return true;
    }

    /** Answers the re-INVITE reported by {@link User#changing}, unless it was cancelled. */
    public void answerChange(
            long now, Call call, int status, String reason, String type, byte[] body, Out out) {
        if (call.incomingChange == null) {
            return;
        }
        SipMessage reply =
                reply(call.incomingChange, status, reason)
                        .add("Contact", "<" + SipUri.text("", localAddress) + ">");
        if (body.length > 0) {
            reply.body(type, body);
        }
        ServerTx transaction = call.incomingChange;
        call.incomingChange = null;
        transactionLayer.respond(now, transaction, reply, out);
    }

    /**
     * Starts or restarts the session timer: the refresher refreshes at half the interval, the other
     * side ends a session that was not refreshed.
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
            long endDelay =
                    call.sessionIntervalMicros
                            - Math.min(MAX_END_MARGIN_MICROS, call.sessionIntervalMicros / 3);
            call.sessionTimer =
                    timers.set(now + endDelay, (at, o) -> endExpiredSession(at, call, o));
        }
    }

    private static long parseSeconds(String text) {
        return text.matches("\\d{1,9}") ? Long.parseLong(text) : 0;
    }

    private void sendRefresh(long now, Call call, Out out) {
        if (call.state != Call.State.ESTABLISHED) {
            return;
        }
        boolean noChangePending = call.outgoingChange == null && call.incomingChange == null;
        if (noChangePending) {
            SipMessage update =
                    nextDialogRequest("UPDATE", call)
                            .add("Contact", "<" + SipUri.text("", localAddress) + ">")
                            .add("Supported", "timer")
                            .add("Session-Expires", SESSION_INTERVAL_SECONDS + ";refresher=uac");
            call.outgoingChange =
                    transactionLayer.send(
                            now, update, selectTransport(update, call.remoteAddress), call, out);
        }
        // While another change is pending the refresh is retried soon: after another half interval
        // the other side would have ended the session.
        call.sessionTimer =
                timers.set(
                        now
                                + (noChangePending
                                        ? call.sessionIntervalMicros / 2
                                        : REFRESH_RETRY_MICROS),
                        (at, o) -> sendRefresh(at, call, o));
    }

    /**
     * Ends a call whose session was not refreshed, so that its circuits are released (RFC 4028
     * section 10).
     */
    private void endExpiredSession(long now, Call call, Out out) {
        if (call.state == Call.State.ESTABLISHED) {
            count("session-expired");
            out.log("session-expired", call.sessionId, "");
            bye(now, call, null, out);
            user.hungUp(now, call, null, out);
        }
    }

    /** Handles a response to a re-INVITE or UPDATE; null if none arrived. */
    private void handleChangeResponse(
            long now, Call call, ClientTx transaction, SipMessage response, Out out) {
        boolean invite = transaction.request().method().equals("INVITE");
        if (response != null && response.status() < 200) {
            return;
        }
        int status = response == null ? 408 : response.status();
        if (invite && status < 300) {
            // Each copy of the 200 is acknowledged.
            SipMessage ack = createAck(call, transaction.request().sequence());
            refreshTarget(call, response);
            out.send(call.remoteAddress, ack);
        }
        if (call.outgoingChange != transaction) {
            return;
        }
        call.outgoingChange = null;
        if (status == 481 || status == 408) {
            // RFC 3261 12.2.1.2: the dialog no longer exists at the other side.
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
     * The address of the first route, or the target's without a route set (RFC 3261 12.2.1.1;
     * strict routing is not supported).
     */
    private static Hop nextHop(Call call, Hop target) {
        SipUri firstRoute = call.routeSet.isEmpty() ? null : SipUri.of(call.routeSet.get(0));
        return firstRoute == null ? target : firstRoute.hop();
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
            // Glare (14.1): both sides' requests crossed, and neither is accepted.
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
                    reply(transaction, 200, "OK")
                            .add("Contact", "<" + SipUri.text("", localAddress) + ">");
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

    // ---- events of the transaction layer

    @Override
    public void requestReceived(long now, ServerTx transaction, Hop from, Out out) {
        SipMessage request = transaction.request();
        String method = request.method();
        String toTag = request.toTag();
        if (overloadRetryAfter != null && toTag.isEmpty()) {
            count("turned-away");
            respond(
                    now,
                    transaction,
                    reply(transaction, 503, "Overloaded").add("Retry-After", overloadRetryAfter),
                    out);
        } else if (request.header("Max-Forwards", "70").strip().equals("0")
                && !method.equals("OPTIONS")
                && toTag.isEmpty()) {
            rejectRequest(now, transaction, 483, "Too Many Hops", out);
        } else if (method.equals("INVITE") && toTag.isEmpty()) {
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
        String callerKey = invite.callId() + "|" + invite.fromTag();
        if (incomingCalls.containsKey(callerKey)) {
            // A merged request (RFC 3261 8.2.2.2), or a copy that arrived after its transaction
            // terminated.
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
        incomingCalls.put(callerKey, call);
        user.invited(now, call, from, out);
    }

    @Override
    public void cancelReceived(long now, ServerTx invite, Out out) {
        Call call = callFor(invite);
        if (call != null && call.incomingChange == invite) {
            call.incomingChange = null;
            transactionLayer.respond(now, invite, reply(invite, 487, "Request Terminated"), out);
        } else if (call != null && call.state == Call.State.TRYING) {
            reject(now, call, 487, "Request Terminated", out);
            user.cancelled(now, call, out);
        }
    }

    /** The call that the transaction belongs to, or null. */
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
        if (transaction.owner() instanceof Call establishedCall
                && transaction != establishedCall.clientTransaction) {
            handleChangeResponse(now, establishedCall, transaction, response, out);
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
            boolean firstProvisional = !call.provisionalReceived;
            call.provisionalReceived = true;
            if (call.cancelled && firstProvisional) {
                transactionLayer.cancel(now, call.clientTransaction, out);
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

    /** Handles a 2xx to an INVITE that started a call. */
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
            // The 200 crossed the CANCEL: the call is ended at once so that no circuit stays in use
            // (RFC 3261 15).
            bye(now, call, null, out);
            user.rejected(now, call, null, Lost.NO, out);
        } else {
            startSessionTimer(now, call, Params.of(response.header("Session-Expires", "0")), true);
            user.answered(now, call, response, out);
        }
    }

    /**
     * Acknowledges and ends the dialog of a further 2xx from another branch of a fork (RFC 3261
     * 13.2.2.4).
     */
    private void endForkedCall(long now, Call call, SipMessage response, Out out) {
        SipUri contact = SipUri.of(response.header("Contact", ""));
        if (contact == null) {
            return;
        }
        count("forked");
        Call forked = new Call(true, call.invite, call.localTag);
        forked.remoteTag = response.toTag();
        forked.remoteTarget = SipUri.text(contact.user(), contact.hop());
        forked.remoteAddress = contact.hop();
        out.send(forked.remoteAddress, createAck(forked, call.invite.sequence()));
        transactionLayer.send(
                now, nextDialogRequest("BYE", forked), forked.remoteAddress, null, out);
    }

    @Override
    public void requestFailed(
            long now, ClientTx transaction, TransactionLayer.Failure failure, Out out) {
        if (transaction.owner() instanceof PendingBye previous) {
            if (failure != TransactionLayer.Failure.TIMED_OUT) {
                retryBye(now, previous, out);
            }
        } else if (transaction.owner() instanceof Call establishedCall
                && transaction != establishedCall.clientTransaction) {
            handleChangeResponse(now, establishedCall, transaction, null, out);
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

    private void failCall(long now, Call call, Lost failure, Out out) {
        terminate(call);
        user.rejected(now, call, null, failure, out);
    }
}
