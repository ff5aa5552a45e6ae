package coralcove.sip.dialog;

import coralcove.sip.MalformedMessageException;
import coralcove.sip.ParameterizedValue;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.SipUri;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;
import coralcove.sip.Via;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
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
public final class UserAgent implements TransactionLayer.TransactionUser {
    /**
     * Why a call failed without a final response; {@link #NO} if there was a response or the call
     * was cancelled.
     */
    public enum CallFailure {
        NO,
        TIMED_OUT,
        UNREACHABLE,
        RESET
    }

    /** The application that uses this user agent. */
    public interface Application {
        /** A call arrived; answered by {@link UserAgent#answer} or {@link UserAgent#reject}. */
        void callReceived(long now, Call call, TransportAddress from, SipOutput out);

        /** A provisional response other than 100 arrived. */
        void provisionalReceived(long now, Call call, SipMessage response, SipOutput out);

        /** An outgoing call was established; its 2xx has been acknowledged. */
        void callAnswered(long now, Call call, SipMessage response, SipOutput out);

        /**
         * An outgoing call was not established, also because it was cancelled; {@code response} is
         * null if there was no failure response.
         */
        void callFailed(
                long now, Call call, SipMessage response, CallFailure failure, SipOutput out);

        /** An incoming call was cancelled by its caller and has been answered with 487. */
        void callCancelled(long now, Call call, SipOutput out);

        /**
         * An established call has ended; {@code bye} is null if not by a BYE of the other side: the
         * ACK never arrived, the session expired, or the other side no longer knows the dialog.
         */
        void callEnded(long now, Call call, SipMessage bye, SipOutput out);

        /**
         * A re-INVITE arrived in an established call; answered by {@link UserAgent#answerReinvite}.
         */
        default void reinviteReceived(long now, Call call, SipMessage invite, SipOutput out) {
            throw new UnsupportedOperationException("this application does not accept re-INVITEs");
        }

        /**
         * The final response to a re-INVITE sent by {@link UserAgent#sendReinvite}; 481 and
         * timeouts end the call instead.
         */
        default void reinviteAnswered(long now, Call call, SipMessage response, SipOutput out) {
            throw new UnsupportedOperationException("this application sends no re-INVITEs");
        }

        /** A request outside of calls arrived; answered by {@link UserAgent#respond}. */
        void requestReceived(
                long now, ServerTransaction transaction, TransportAddress from, SipOutput out);

        /** The response to a request outside of calls, or null if none arrived. */
        void responseReceived(
                long now, ClientTransaction transaction, SipMessage response, SipOutput out);
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

    private final TransportAddress localAddress;
    private final TimerWheel timers;
    private final TransactionLayer transactionLayer;
    private final Application user;
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
    public UserAgent(
            TransportAddress localAddress, TimerWheel timers, String startTag, Application user) {
        this.localAddress = localAddress;
        this.timers = timers;
        this.startTag = startTag;
        this.user = user;
        transactionLayer = new TransactionLayer(localAddress, timers, startTag, this);
    }

    public TransportAddress localAddress() {
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
    public void incrementCounter(String name) {
        counters.merge(name, 1L, Long::sum);
    }

    /** Processes a message received from {@code from}. */
    public void receive(long now, TransportAddress from, SipMessage message, SipOutput out) {
        transactionLayer.receive(now, from, message, out);
    }

    /**
     * Counts and logs a malformed message, and answers 400 if it is a request with all fields that
     * a response copies.
     */
    public void malformedReceived(
            long now, TransportAddress from, MalformedMessageException problem, SipOutput out) {
        SipMessage partial = problem.partialMessage();
        incrementCounter("malformed");
        out.log("malformed", "", from + ": " + problem.getMessage());
        if (partial != null
                && partial.isRequest()
                && !partial.method().equals("ACK")
                && partial.canBeAnswered()) {
            out.send(from, SipMessage.responseTo(partial, 400, "Bad Request", "m"));
        }
    }

    /** Whether this request is a retransmission of one received before. */
    public boolean isRetransmission(SipMessage request) {
        return transactionLayer.isRetransmission(request);
    }

    /**
     * Rejects a request with 503 because of overload; its retransmissions get the same response.
     */
    public void rejectOverloaded(
            long now, TransportAddress from, SipMessage request, String retryAfter, SipOutput out) {
        overloadRetryAfter = retryAfter;
        transactionLayer.receive(now, from, request, out);
        overloadRetryAfter = null;
    }

    /**
     * Handles the loss of the connection to {@code peer}, or that it could not be opened ({@code
     * refused}).
     */
    public void connectionFailed(long now, TransportAddress peer, boolean refused, SipOutput out) {
        transactionLayer.connectionFailed(now, peer, refused, out);
    }

    // ---- outgoing requests

    /** Creates a request outside any dialog, for the caller to complete and send. */
    public SipMessage createRequest(String method, String uri) {
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
                .add("Contact", "<" + SipUri.format("", localAddress) + ">");
    }

    /** Starts a call; {@code invite} was created by {@link #createRequest(String, String)}. */
    public Call invite(
            long now, SipMessage invite, TransportAddress to, Object owner, SipOutput out) {
        invite.add("Supported", "timer")
                .add("Session-Expires", SESSION_INTERVAL_SECONDS + ";refresher=uac")
                .add("Min-SE", Integer.toString(SESSION_INTERVAL_SECONDS));
        Call call = new Call(true, invite, invite.fromTag());
        call.owner = owner;
        calls.put(call.key(), call);
        TransportAddress address = selectTransport(invite, to);
        call.remoteAddress = address;
        call.clientTransaction = transactionLayer.send(now, invite, address, call, out);
        return call;
    }

    /** Sends a request outside of calls in a transaction. */
    public ClientTransaction send(
            long now, SipMessage request, TransportAddress to, Object owner, SipOutput out) {
        return transactionLayer.send(now, request, selectTransport(request, to), owner, out);
    }

    /** Sends a request once, without a transaction: it may be lost, and gets no response. */
    public void sendWithoutTransaction(SipMessage request, TransportAddress to, SipOutput out) {
        request.addFirst(
                "Via",
                Via.format(
                        localAddress.withTransport(to.tcp()),
                        Via.MAGIC_COOKIE
                                + startTag
                                + TransactionLayer.NO_TRANSACTION_MARK
                                + nextId++));
        out.send(to, request);
    }

    private static TransportAddress selectTransport(SipMessage request, TransportAddress to) {
        return to.tcp() || request.encodedLength() + VIA_BYTES <= MAX_DATAGRAM_BYTES
                ? to
                : to.withTransport(true);
    }

    /**
     * Cancels an outgoing call that has no final response. CANCEL is sent only after a provisional
     * response (RFC 3261 9.1); until one arrives the INVITE is no longer retransmitted. {@link
     * Application#callFailed} follows when the call is over.
     */
    public void cancel(long now, Call call, SipOutput out) {
        if (call.isCancelled || call.state != Call.State.TRYING) {
            return;
        }
        call.isCancelled = true;
        if (call.provisionalReceived) {
            transactionLayer.cancel(now, call.clientTransaction, out);
        } else {
            transactionLayer.stopRetransmitting(call.clientTransaction);
        }
        // 9.1: an INVITE without a final response within 64 T1 counts as cancelled.
        timers.schedule(
                now + 64 * TransactionLayer.T1_MICROS,
                (at, o) -> {
                    if (call.state == Call.State.TRYING) {
                        transactionLayer.abandon(call.clientTransaction);
                        failCall(at, call, CallFailure.TIMED_OUT, o);
                    }
                });
    }

    /**
     * Ends an established call by BYE; {@code reason} is the value of its Reason header or null.
     */
    public void bye(long now, Call call, String reason, SipOutput out) {
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
    private void retryBye(long now, PendingBye previous, SipOutput out) {
        if (previous.attempt < MAX_BYE_ATTEMPTS) {
            timers.schedule(
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
                        Via.format(
                                localAddress.withTransport(call.remoteAddress.tcp()),
                                Via.MAGIC_COOKIE + startTag + ".a" + nextId++));
    }

    private static String withTag(String value, String tag) {
        return tag.isEmpty() || ParameterizedValue.parse(value).hasParameter("tag")
                ? value
                : value + ";tag=" + tag;
    }

    // ---- responses

    /** Sends a provisional response to an incoming call. */
    public void sendProvisional(long now, Call call, int status, String reason, SipOutput out) {
        transactionLayer.respond(
                now, call.serverTransaction, createResponse(call, status, reason), out);
    }

    /** Answers an incoming call with 200. */
    public void answer(long now, Call call, SipOutput out) {
        answer(now, call, null, out);
    }

    /** Answers an incoming call with 200 and the body of {@code bodySource}, which may be null. */
    public void answer(long now, Call call, SipMessage bodySource, SipOutput out) {
        if (call.state == Call.State.TRYING) {
            call.state = Call.State.ESTABLISHED;
            SipMessage ok =
                    createResponse(call, 200, "OK")
                            .add("Contact", "<" + SipUri.format("", localAddress) + ">");
            call.invite.headers("Record-Route").forEach(route -> ok.add("Record-Route", route));
            ParameterizedValue expires =
                    ParameterizedValue.parse(call.invite.header("Session-Expires", ""));
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
            long now, Call call, int status, String reason, SipOutput out, String... extraHeaders) {
        if (call.state != Call.State.TRYING) {
            return;
        }
        terminate(call);
        SipMessage reply = createResponse(call, status, reason);
        for (int i = 0; i + 1 < extraHeaders.length; i += 2) {
            reply.add(extraHeaders[i], extraHeaders[i + 1]);
        }
        transactionLayer.respond(now, call.serverTransaction, reply, out);
    }

    private SipMessage createResponse(Call call, int status, String reason) {
        SipMessage reply = SipMessage.responseTo(call.invite, status, reason, call.localTag);
        if (!call.sessionId.isEmpty()) {
            reply.add("Session-ID", call.sessionId);
        }
        return reply;
    }

    /** Sends a response to a request passed to the application. */
    public void respond(
            long now, ServerTransaction transaction, SipMessage response, SipOutput out) {
        transactionLayer.respond(now, transaction, response, out);
    }

    /** Creates a response with a To tag of this node. */
    public SipMessage createResponse(ServerTransaction transaction, int status, String reason) {
        return SipMessage.responseTo(
                transaction.request(), status, reason, startTag + "r" + nextId++);
    }

    // ---- re-INVITE and session timer

    /**
     * Sends a re-INVITE with this body; returns false if another re-INVITE or a refresh is pending
     * (RFC 3261 14.1) or the call is not established.
     */
    public boolean sendReinvite(long now, Call call, String type, byte[] body, SipOutput out) {
        if (call.state != Call.State.ESTABLISHED
                || call.outgoingChange != null
                || call.incomingChange != null) {
            return false;
        }
        SipMessage invite =
                nextDialogRequest("INVITE", call)
                        .add("Contact", "<" + SipUri.format("", localAddress) + ">");
        if (body.length > 0) {
            invite.body(type, body);
        }
        call.outgoingChange =
                transactionLayer.send(
                        now, invite, selectTransport(invite, call.remoteAddress), call, out);
        return true;
    }

    /**
     * Answers the re-INVITE reported by {@link Application#reinviteReceived}, unless it was
     * cancelled.
     */
    public void answerReinvite(
            long now,
            Call call,
            int status,
            String reason,
            String type,
            byte[] body,
            SipOutput out) {
        if (call.incomingChange == null) {
            return;
        }
        SipMessage reply =
                createResponse(call.incomingChange, status, reason)
                        .add("Contact", "<" + SipUri.format("", localAddress) + ">");
        if (body.length > 0) {
            reply.body(type, body);
        }
        ServerTransaction transaction = call.incomingChange;
        call.incomingChange = null;
        transactionLayer.respond(now, transaction, reply, out);
    }

    /**
     * Starts or restarts the session timer: the refresher refreshes at half the interval, the other
     * side ends a session that was not refreshed.
     */
    private void startSessionTimer(
            long now, Call call, ParameterizedValue expires, boolean refresher) {
        timers.cancel(call.sessionTimer);
        long seconds = parseSeconds(expires.value());
        if (seconds < SESSION_INTERVAL_SECONDS || call.state != Call.State.ESTABLISHED) {
            return;
        }
        call.sessionIntervalMicros = seconds * 1_000_000;
        if (refresher) {
            call.sessionTimer =
                    timers.schedule(
                            now + call.sessionIntervalMicros / 2,
                            (at, o) -> sendRefresh(at, call, o));
        } else {
            long endDelay =
                    call.sessionIntervalMicros
                            - Math.min(MAX_END_MARGIN_MICROS, call.sessionIntervalMicros / 3);
            call.sessionTimer =
                    timers.schedule(now + endDelay, (at, o) -> endExpiredSession(at, call, o));
        }
    }

    private static long parseSeconds(String text) {
        return text.matches("\\d{1,9}") ? Long.parseLong(text) : 0;
    }

    private void sendRefresh(long now, Call call, SipOutput out) {
        if (call.state != Call.State.ESTABLISHED) {
            return;
        }
        boolean noChangePending = call.outgoingChange == null && call.incomingChange == null;
        if (noChangePending) {
            SipMessage update =
                    nextDialogRequest("UPDATE", call)
                            .add("Contact", "<" + SipUri.format("", localAddress) + ">")
                            .add("Supported", "timer")
                            .add("Session-Expires", SESSION_INTERVAL_SECONDS + ";refresher=uac");
            call.outgoingChange =
                    transactionLayer.send(
                            now, update, selectTransport(update, call.remoteAddress), call, out);
        }
        // While another change is pending the refresh is retried soon: after another half interval
        // the other side would have ended the session.
        call.sessionTimer =
                timers.schedule(
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
    private void endExpiredSession(long now, Call call, SipOutput out) {
        if (call.state == Call.State.ESTABLISHED) {
            incrementCounter("session-expired");
            out.log("session-expired", call.sessionId, "");
            bye(now, call, null, out);
            user.callEnded(now, call, null, out);
        }
    }

    /** Handles a response to a re-INVITE or UPDATE; null if none arrived. */
    private void handleChangeResponse(
            long now,
            Call call,
            ClientTransaction transaction,
            SipMessage response,
            SipOutput out) {
        boolean invite = transaction.request().method().equals("INVITE");
        if (response != null && response.status() < 200) {
            return;
        }
        int status = response == null ? 408 : response.status();
        if (invite && status < 300) {
            // Each copy of the 200 is acknowledged.
            SipMessage ack = createAck(call, transaction.request().cseqNumber());
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
                user.callEnded(now, call, null, out);
            }
        } else if (!invite) {
            if (status < 300) {
                refreshTarget(call, response);
                startSessionTimer(
                        now,
                        call,
                        ParameterizedValue.parse(response.header("Session-Expires", "0")),
                        true);
            }
        } else {
            user.reinviteAnswered(now, call, response, out);
        }
    }

    private void refreshTarget(Call call, SipMessage message) {
        SipUri contact = SipUri.parse(message.header("Contact", ""));
        if (contact != null) {
            call.remoteTarget = SipUri.format(contact.user(), contact.transportAddress());
            call.remoteAddress =
                    call.routeSet.isEmpty() ? contact.transportAddress() : call.remoteAddress;
        }
    }

    /**
     * The address of the first route, or the target's without a route set (RFC 3261 12.2.1.1;
     * strict routing is not supported).
     */
    private static TransportAddress nextHop(Call call, TransportAddress target) {
        SipUri firstRoute = call.routeSet.isEmpty() ? null : SipUri.parse(call.routeSet.get(0));
        return firstRoute == null ? target : firstRoute.transportAddress();
    }

    private void handleDialogRequest(long now, ServerTransaction transaction, SipOutput out) {
        SipMessage request = transaction.request();
        String method = request.method();
        Call call = calls.get(request.callId() + "|" + request.toTag());
        if (call == null
                || call.state != Call.State.ESTABLISHED
                || !request.fromTag().equals(call.remoteTag)) {
            rejectRequest(now, transaction, 481, "No such dialog", out);
        } else if (request.cseqNumber() <= call.remoteSequence) {
            rejectRequest(now, transaction, 500, "CSeq out of order", out);
        } else if (method.equals("BYE")) {
            call.remoteSequence = request.cseqNumber();
            terminate(call);
            respond(now, transaction, createResponse(transaction, 200, "OK"), out);
            user.callEnded(now, call, request, out);
        } else if (call.outgoingChange != null) {
            // Glare (14.1): both sides' requests crossed, and neither is accepted.
            call.remoteSequence = request.cseqNumber();
            rejectRequest(now, transaction, 491, "Request Pending", out);
        } else if (call.incomingChange != null) {
            call.remoteSequence = request.cseqNumber();
            incrementCounter("500");
            respond(
                    now,
                    transaction,
                    createResponse(transaction, 500, "Earlier change pending")
                            .add("Retry-After", "1"),
                    out);
        } else if (method.equals("UPDATE")) {
            call.remoteSequence = request.cseqNumber();
            refreshTarget(call, request);
            ParameterizedValue expires =
                    ParameterizedValue.parse(request.header("Session-Expires", "0"));
            SipMessage ok =
                    createResponse(transaction, 200, "OK")
                            .add("Contact", "<" + SipUri.format("", localAddress) + ">");
            if (parseSeconds(expires.value()) > 0) {
                ok.add("Session-Expires", expires.value() + ";refresher=uac");
            }
            respond(now, transaction, ok, out);
            startSessionTimer(now, call, expires, false);
        } else {
            call.remoteSequence = request.cseqNumber();
            refreshTarget(call, request);
            call.incomingChange = transaction;
            transaction.owner(call);
            user.reinviteReceived(now, call, request, out);
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
    public void requestReceived(
            long now, ServerTransaction transaction, TransportAddress from, SipOutput out) {
        SipMessage request = transaction.request();
        String method = request.method();
        String toTag = request.toTag();
        if (overloadRetryAfter != null && toTag.isEmpty()) {
            incrementCounter("turned-away");
            respond(
                    now,
                    transaction,
                    createResponse(transaction, 503, "Overloaded")
                            .add("Retry-After", overloadRetryAfter),
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
            user.requestReceived(now, transaction, from, out);
        } else {
            incrementCounter("unknown-method");
            respond(
                    now,
                    transaction,
                    createResponse(transaction, 405, "Method Not Allowed")
                            .add(
                                    "Allow",
                                    "INVITE, ACK, CANCEL, BYE, UPDATE, OPTIONS, SUBSCRIBE, NOTIFY,"
                                            + " MESSAGE, REGISTER"),
                    out);
        }
    }

    private void rejectRequest(
            long now, ServerTransaction transaction, int status, String reason, SipOutput out) {
        incrementCounter(Integer.toString(status));
        respond(now, transaction, createResponse(transaction, status, reason), out);
    }

    private void handleInvite(
            long now, ServerTransaction transaction, TransportAddress from, SipOutput out) {
        SipMessage invite = transaction.request();
        SipUri contact = SipUri.parse(invite.header("Contact", ""));
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
        call.remoteTarget = SipUri.format(contact.user(), contact.transportAddress());
        call.routeSet = invite.headers("Record-Route");
        call.remoteAddress = nextHop(call, contact.transportAddress());
        call.remoteSequence = invite.cseqNumber();
        calls.put(call.key(), call);
        incomingCalls.put(callerKey, call);
        user.callReceived(now, call, from, out);
    }

    @Override
    public void cancelReceived(long now, ServerTransaction invite, SipOutput out) {
        Call call = callFor(invite);
        if (call != null && call.incomingChange == invite) {
            call.incomingChange = null;
            transactionLayer.respond(
                    now, invite, createResponse(invite, 487, "Request Terminated"), out);
        } else if (call != null && call.state == Call.State.TRYING) {
            reject(now, call, 487, "Request Terminated", out);
            user.callCancelled(now, call, out);
        }
    }

    /** The call that the transaction belongs to, or null. */
    private Call callFor(ServerTransaction transaction) {
        return transaction.owner() instanceof Call call ? call : null;
    }

    @Override
    public void ackReceived(long now, ServerTransaction transaction, SipOutput out) {
        incrementCounter("acked");
    }

    @Override
    public void ackTimedOut(long now, ServerTransaction transaction, SipOutput out) {
        Call call = callFor(transaction);
        if (call != null && call.state == Call.State.ESTABLISHED) {
            incrementCounter("unacked");
            bye(now, call, null, out);
            user.callEnded(now, call, null, out);
        }
    }

    @Override
    public void responseReceived(
            long now, ClientTransaction transaction, SipMessage response, SipOutput out) {
        if (transaction.owner() instanceof Call establishedCall
                && transaction != establishedCall.clientTransaction) {
            handleChangeResponse(now, establishedCall, transaction, response, out);
            return;
        }
        if (!(transaction.owner() instanceof Call call)
                || !transaction.request().method().equals("INVITE")) {
            if (!transaction.request().method().equals("BYE")
                    && !transaction.request().method().equals("CANCEL")) {
                user.responseReceived(now, transaction, response, out);
            }
            return;
        }
        if (response.status() < 200) {
            boolean firstProvisional = !call.provisionalReceived;
            call.provisionalReceived = true;
            if (call.isCancelled && firstProvisional) {
                transactionLayer.cancel(now, call.clientTransaction, out);
            } else if (!call.isCancelled && response.status() > 100) {
                user.provisionalReceived(now, call, response, out);
            }
        } else if (response.status() < 300) {
            handleSuccess(now, call, response, out);
        } else if (call.state == Call.State.TRYING) {
            terminate(call);
            user.callFailed(now, call, response, CallFailure.NO, out);
        }
    }

    /** Handles a 2xx to an INVITE that started a call. */
    private void handleSuccess(long now, Call call, SipMessage response, SipOutput out) {
        if (call.ack != null) {
            if (response.toTag().equals(call.remoteTag)) {
                out.send(call.remoteAddress, call.ack);
            } else {
                endForkedCall(now, call, response, out);
            }
            return;
        }
        SipUri contact = SipUri.parse(response.header("Contact", ""));
        call.remoteTag = response.toTag();
        call.remoteTarget =
                contact == null
                        ? call.invite.uri()
                        : SipUri.format(contact.user(), contact.transportAddress());
        List<String> routes = response.headers("Record-Route");
        Collections.reverse(routes);
        call.routeSet = routes;
        call.remoteAddress =
                nextHop(call, contact == null ? call.remoteAddress : contact.transportAddress());
        call.ack = createAck(call, call.invite.cseqNumber());
        out.send(call.remoteAddress, call.ack);
        call.state = Call.State.ESTABLISHED;
        if (call.isCancelled) {
            // The 200 crossed the CANCEL: the call is ended at once so that no circuit stays in use
            // (RFC 3261 15).
            bye(now, call, null, out);
            user.callFailed(now, call, null, CallFailure.NO, out);
        } else {
            startSessionTimer(
                    now,
                    call,
                    ParameterizedValue.parse(response.header("Session-Expires", "0")),
                    true);
            user.callAnswered(now, call, response, out);
        }
    }

    /**
     * Acknowledges and ends the dialog of a further 2xx from another branch of a fork (RFC 3261
     * 13.2.2.4).
     */
    private void endForkedCall(long now, Call call, SipMessage response, SipOutput out) {
        SipUri contact = SipUri.parse(response.header("Contact", ""));
        if (contact == null) {
            return;
        }
        incrementCounter("forked");
        Call forked = new Call(true, call.invite, call.localTag);
        forked.remoteTag = response.toTag();
        forked.remoteTarget = SipUri.format(contact.user(), contact.transportAddress());
        forked.remoteAddress = contact.transportAddress();
        out.send(forked.remoteAddress, createAck(forked, call.invite.cseqNumber()));
        transactionLayer.send(
                now, nextDialogRequest("BYE", forked), forked.remoteAddress, null, out);
    }

    @Override
    public void requestFailed(
            long now,
            ClientTransaction transaction,
            TransactionLayer.Failure failure,
            SipOutput out) {
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
                            case TIMED_OUT -> CallFailure.TIMED_OUT;
                            case CONNECTION_REFUSED -> CallFailure.UNREACHABLE;
                            case CONNECTION_LOST -> CallFailure.RESET;
                        },
                        out);
            }
        } else if (!transaction.request().method().equals("BYE")) {
            user.responseReceived(now, transaction, null, out);
        }
    }

    private void failCall(long now, Call call, CallFailure failure, SipOutput out) {
        terminate(call);
        user.callFailed(now, call, null, failure, out);
    }
}
