package coralcove.sip.transaction;

import coralcove.sip.HeaderField;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;
import coralcove.sip.Via;
import java.util.HashMap;
import java.util.Map;

/**
 * The transaction layer of one node (RFC 3261 section 17, with the Accepted states of RFC 6026):
 * requests are retransmitted over UDP until answered, final responses to INVITE until acknowledged,
 * and retransmissions that arrive are absorbed. It does no I/O.
 */
public final class TransactionLayer {
    /** T1 of RFC 3261: the first retransmission interval of a request over UDP. */
    public static final long T1_MICROS = 500_000;

    /**
     * T2: the longest retransmission interval of requests other than INVITE and of final responses
     * to INVITE.
     */
    public static final long T2_MICROS = 4_000_000;

    /** T4: the longest time that a message remains in the network. */
    public static final long T4_MICROS = 5_000_000;

    /** Multiples of T1 after which a transaction times out (timers B, F and H). */
    private static final long TIMEOUT_T1_MULTIPLE = 64;

    /**
     * Server transactions at most. A new request beyond that is dropped and counted; its sender
     * retransmits it.
     */
    private static final int MAX_SERVER_TRANSACTIONS = 400_000;

    /**
     * Why a request got no final response: none arrived in time, the connection for it could not be
     * opened, or the connection that carried it was lost.
     */
    public enum Failure {
        TIMED_OUT,
        CONNECTION_REFUSED,
        CONNECTION_LOST
    }

    /**
     * Marks the branch of a request that is sent once, outside any transaction: responses to it are
     * ignored.
     */
    public static final String NO_TRANSACTION_MARK = ".o";

    /** The transaction user (RFC 3261 section 5): the layer above. */
    public interface TransactionUser {
        /** A new request arrived; ACK and CANCEL are reported by their own methods. */
        void requestReceived(
                long now, ServerTransaction transaction, TransportAddress from, SipOutput out);

        /** The ACK of a 2xx arrived. */
        void ackReceived(long now, ServerTransaction transaction, SipOutput out);

        /** No ACK of a 2xx arrived within 64 T1 (RFC 3261 13.3.1.4). */
        void ackTimedOut(long now, ServerTransaction transaction, SipOutput out);

        /**
         * A CANCEL arrived for an INVITE without a final response; the CANCEL itself was answered
         * with 200.
         */
        void cancelReceived(long now, ServerTransaction invite, SipOutput out);

        /**
         * A response arrived: to an INVITE any but a repeated failure response, to another request
         * the first final response.
         */
        void responseReceived(
                long now, ClientTransaction transaction, SipMessage response, SipOutput out);

        /** A request other than CANCEL ended without a final response. */
        void requestFailed(long now, ClientTransaction transaction, Failure failure, SipOutput out);
    }

    private final TransportAddress localAddress;
    private final TimerWheel timers;
    private final TransactionUser user;
    private final String startTag;
    private final Map<String, ClientTransaction> clientTransactions = new HashMap<>();
    private final Map<String, ServerTransaction> serverTransactions = new HashMap<>();

    /** Server transactions of INVITE whose 2xx has not been acknowledged, by {@link #ackKey}. */
    private final Map<String, ServerTransaction> awaitingAck = new HashMap<>();

    private long nextBranch;
    private long droppedRequests;
    private long forgedResponses;

    /** {@code startTag} distinguishes the branches of this start of the node from all others. */
    public TransactionLayer(
            TransportAddress localAddress,
            TimerWheel timers,
            String startTag,
            TransactionUser user) {
        this.localAddress = localAddress;
        this.timers = timers;
        this.startTag = startTag;
        this.user = user;
    }

    /** Requests dropped because the maximum of server transactions was reached. */
    public long droppedRequests() {
        return droppedRequests;
    }

    /** Responses dropped because their request was sent to another address. */
    public long forgedResponses() {
        return forgedResponses;
    }

    /** Transactions of both kinds that have not terminated. */
    public int size() {
        return clientTransactions.size() + serverTransactions.size();
    }

    // ---- client transactions

    /** Sends a request in a new client transaction and adds its Via. */
    public ClientTransaction send(
            long now, SipMessage request, TransportAddress to, Object owner, SipOutput out) {
        String branch = Via.MAGIC_COOKIE + startTag + "." + nextBranch++;
        request.addFirst("Via", Via.format(localAddress.withTransport(to.tcp()), branch));
        ClientTransaction transaction =
                new ClientTransaction(key(branch, request.method()), request, to, owner);
        clientTransactions.put(transaction.key, transaction);
        start(now, transaction, out);
        return transaction;
    }

    private void start(long now, ClientTransaction transaction, SipOutput out) {
        transaction.retransmitInterval = T1_MICROS;
        if (!transaction.destination.tcp()) {
            transaction.retransmitTimer =
                    timers.schedule(
                            now + transaction.retransmitInterval,
                            (at, o) -> retransmit(at, transaction, o));
        }
        transaction.endTimer =
                timers.schedule(
                        now + TIMEOUT_T1_MULTIPLE * T1_MICROS,
                        (at, o) -> fail(at, transaction, Failure.TIMED_OUT, o));
        transaction.transmit(out);
    }

    /**
     * Sends a CANCEL for an INVITE that has had a provisional response (RFC 3261 9.1): the same
     * branch, a transaction of its own.
     */
    public void cancel(long now, ClientTransaction invite, SipOutput out) {
        SipMessage cancel = SipMessage.request("CANCEL", invite.request.uri());
        for (HeaderField field : invite.request.fields()) {
            switch (field.name()) {
                case "From", "To", "Call-ID", "Route", "Max-Forwards", "Session-ID" ->
                        cancel.add(field.name(), field.value());
                default -> {}
            }
        }
        cancel.add("CSeq", invite.request.cseqNumber() + " CANCEL");
        cancel.addFirst("Via", invite.request.header("Via"));
        String branch = Via.parse(cancel.header("Via")).branch();
        ClientTransaction transaction =
                new ClientTransaction(key(branch, "CANCEL"), cancel, invite.destination, null);
        if (clientTransactions.putIfAbsent(transaction.key, transaction) == null) {
            start(now, transaction, out);
        }
    }

    /** Stops retransmitting this request; responses are still accepted until it times out. */
    public void stopRetransmitting(ClientTransaction transaction) {
        transaction.retransmissionStopped = true;
        timers.cancel(transaction.retransmitTimer);
    }

    private void retransmit(long now, ClientTransaction transaction, SipOutput out) {
        if (transaction.retransmissionStopped
                || transaction.state != ClientTransaction.State.CALLING && transaction.isInvite()) {
            return;
        }
        transaction.retransmitInterval =
                transaction.isInvite()
                        ? 2 * transaction.retransmitInterval
                        : Math.min(
                                T2_MICROS,
                                transaction.state == ClientTransaction.State.CALLING
                                        ? 2 * transaction.retransmitInterval
                                        : T2_MICROS);
        transaction.retransmitTimer =
                timers.schedule(
                        now + transaction.retransmitInterval,
                        (at, o) -> retransmit(at, transaction, o));
        transaction.transmit(out);
    }

    private void fail(long now, ClientTransaction transaction, Failure failure, SipOutput out) {
        boolean unanswered =
                transaction.state == ClientTransaction.State.CALLING
                        || transaction.state == ClientTransaction.State.PROCEEDING;
        terminate(transaction);
        if (unanswered && !transaction.request.method().equals("CANCEL")) {
            user.requestFailed(now, transaction, failure, out);
        }
    }

    private void terminate(ClientTransaction transaction) {
        transaction.state = ClientTransaction.State.TERMINATED;
        timers.cancel(transaction.retransmitTimer);
        timers.cancel(transaction.endTimer);
        clientTransactions.remove(transaction.key, transaction);
    }

    private void receiveResponse(
            long now, TransportAddress from, SipMessage response, SipOutput out) {
        Via via = response.via();
        ClientTransaction transaction =
                via == null
                        ? null
                        : clientTransactions.get(key(via.branch(), response.cseqMethod()));
        if (via != null
                && via.branch().startsWith(Via.MAGIC_COOKIE + startTag + NO_TRANSACTION_MARK)) {
            return;
        }
        if (transaction == null || transaction.state == ClientTransaction.State.TERMINATED) {
            out.log("stray-response", response.header("Session-ID", ""), response.toString());
            return;
        }
        if (!from.equals(transaction.destination)) {
            // Forged: by RFC 3581 section 4 a response comes from the address that the request was
            // sent to.
            forgedResponses++;
            out.log(
                    "forged-response",
                    response.header("Session-ID", ""),
                    from + " for " + transaction.destination);
            return;
        }
        int status = response.status();
        if (!transaction.isInvite()) {
            if (status < 200) {
                transaction.state = ClientTransaction.State.PROCEEDING;
                return;
            }
            if (transaction.state != ClientTransaction.State.COMPLETED) {
                transaction.state = ClientTransaction.State.COMPLETED;
                timers.cancel(transaction.retransmitTimer);
                timers.cancel(transaction.endTimer);
                transaction.endTimer =
                        timers.schedule(
                                now + (transaction.destination.tcp() ? 0 : T4_MICROS),
                                (at, o) -> terminate(transaction));
                user.responseReceived(now, transaction, response, out);
            }
            return;
        }
        switch (transaction.state) {
            case CALLING, PROCEEDING -> receiveInviteResponse(now, transaction, response, out);
            case COMPLETED -> {
                if (status >= 300) {
                    out.send(transaction.destination, transaction.ack);
                }
            }
            case ACCEPTED -> {
                if (status >= 200 && status < 300) {
                    user.responseReceived(now, transaction, response, out);
                }
            }
            default -> {}
        }
    }

    private void receiveInviteResponse(
            long now, ClientTransaction transaction, SipMessage response, SipOutput out) {
        int status = response.status();
        timers.cancel(transaction.retransmitTimer);
        if (status < 200) {
            // After a provisional response the transaction user decides how long to wait.
            timers.cancel(transaction.endTimer);
            transaction.endTimer = null;
            transaction.state = ClientTransaction.State.PROCEEDING;
            user.responseReceived(now, transaction, response, out);
            return;
        }
        timers.cancel(transaction.endTimer);
        if (status < 300) {
            transaction.state = ClientTransaction.State.ACCEPTED;
            transaction.endTimer =
                    timers.schedule(
                            now + TIMEOUT_T1_MULTIPLE * T1_MICROS,
                            (at, o) -> terminate(transaction));
        } else {
            transaction.state = ClientTransaction.State.COMPLETED;
            transaction.ack = createAck(transaction, response);
            out.send(transaction.destination, transaction.ack);
            transaction.endTimer =
                    timers.schedule(
                            now
                                    + (transaction.destination.tcp()
                                            ? 0
                                            : TIMEOUT_T1_MULTIPLE * T1_MICROS),
                            (at, o) -> terminate(transaction));
        }
        user.responseReceived(now, transaction, response, out);
    }

    /**
     * Creates the ACK of a failure response, which is part of the INVITE's transaction (17.1.1.3).
     */
    private static SipMessage createAck(ClientTransaction transaction, SipMessage response) {
        SipMessage ack = SipMessage.request("ACK", transaction.request.uri());
        ack.add("Via", transaction.request.header("Via"));
        for (HeaderField field : transaction.request.fields()) {
            switch (field.name()) {
                case "From", "Call-ID", "Route", "Max-Forwards", "Session-ID" ->
                        ack.add(field.name(), field.value());
                default -> {}
            }
        }
        ack.add("To", response.header("To"));
        return ack.add("CSeq", transaction.request.cseqNumber() + " ACK");
    }

    /** Ends a transaction whose outcome no longer matters to the transaction user. */
    public void abandon(ClientTransaction transaction) {
        terminate(transaction);
    }

    // ---- server transactions

    /** Processes a message received from {@code from}. */
    public void receive(long now, TransportAddress from, SipMessage message, SipOutput out) {
        if (!message.isRequest()) {
            receiveResponse(now, from, message, out);
            return;
        }
        Via via = addReceivedAddress(message, from);
        if (!via.branch().startsWith(Via.MAGIC_COOKIE)) {
            // RFC 2543 matching is not supported (docs/protocol.md).
            if (!message.method().equals("ACK")) {
                out.send(
                        via.responseAddress(),
                        SipMessage.responseTo(message, 400, "Branch of RFC 2543", "b"));
            }
            return;
        }
        String branchAndSentBy = via.branch() + "|" + via.host() + ":" + via.port();
        boolean ack = message.method().equals("ACK");
        ServerTransaction existing =
                serverTransactions.get(key(branchAndSentBy, ack ? "INVITE" : message.method()));
        if (ack) {
            receiveAck(now, existing, message, out);
        } else if (existing != null) {
            if (existing.lastResponse != null) {
                out.send(existing.responseAddress, existing.lastResponse);
            }
        } else if (serverTransactions.size() >= MAX_SERVER_TRANSACTIONS) {
            droppedRequests++;
        } else {
            ServerTransaction transaction =
                    new ServerTransaction(
                            key(branchAndSentBy, message.method()), message, via.responseAddress());
            serverTransactions.put(transaction.key, transaction);
            if (message.method().equals("CANCEL")) {
                receiveCancel(
                        now,
                        transaction,
                        serverTransactions.get(key(branchAndSentBy, "INVITE")),
                        out);
            } else {
                if (transaction.isInvite()) {
                    respond(
                            now,
                            transaction,
                            SipMessage.responseTo(message, 100, "Trying", ""),
                            out);
                }
                user.requestReceived(now, transaction, from, out);
            }
        }
    }

    /** Whether the request belongs to a server transaction that has not terminated. */
    public boolean isRetransmission(SipMessage request) {
        Via via = request.via();
        return serverTransactions.containsKey(
                key(via.branch() + "|" + via.host() + ":" + via.port(), request.method()));
    }

    private static Via addReceivedAddress(SipMessage message, TransportAddress from) {
        String text = message.header("Via");
        Via via = message.via();
        int rport = text.indexOf(";rport;");
        String value =
                rport >= 0
                        ? text.substring(0, rport)
                                + ";rport="
                                + from.port()
                                + ";received="
                                + from.host()
                                + text.substring(rport + 6)
                        : via.parameters().hasParameter("rport")
                                ? text.replaceFirst(
                                        ";\\s*rport(=[^;]*)?",
                                        ";rport=" + from.port() + ";received=" + from.host())
                                : via.host().equals(from.host())
                                        ? text
                                        : text + ";received=" + from.host();
        message.set("Via", value);
        return message.via();
    }

    private void receiveCancel(
            long now, ServerTransaction transaction, ServerTransaction invite, SipOutput out) {
        if (invite == null) {
            respond(
                    now,
                    transaction,
                    SipMessage.responseTo(transaction.request, 481, "No such transaction", "c"),
                    out);
            return;
        }
        respond(now, transaction, SipMessage.responseTo(transaction.request, 200, "OK", "c"), out);
        if (!invite.hasFinalResponse()) {
            user.cancelReceived(now, invite, out);
        }
    }

    private void receiveAck(long now, ServerTransaction existing, SipMessage ack, SipOutput out) {
        if (existing != null && existing.state == ServerTransaction.State.COMPLETED) {
            existing.state = ServerTransaction.State.CONFIRMED;
            timers.cancel(existing.retransmitTimer);
            timers.cancel(existing.endTimer);
            existing.endTimer =
                    timers.schedule(
                            now + (existing.responseAddress.tcp() ? 0 : T4_MICROS),
                            (at, o) -> terminate(existing));
            return;
        }
        ServerTransaction transaction = awaitingAck.remove(ackKey(ack));
        if (transaction != null) {
            timers.cancel(transaction.retransmitTimer);
            timers.cancel(transaction.endTimer);
            transaction.endTimer =
                    timers.schedule(
                            now + TIMEOUT_T1_MULTIPLE * T1_MICROS,
                            (at, o) -> terminate(transaction));
            user.ackReceived(now, transaction, out);
        }
    }

    private static String ackKey(SipMessage message) {
        return message.callId() + "|" + message.fromTag() + "|" + message.cseqNumber();
    }

    /** Sends a response; after a final one returns false and sends nothing. */
    public boolean respond(
            long now, ServerTransaction transaction, SipMessage response, SipOutput out) {
        if (transaction.state != ServerTransaction.State.PROCEEDING) {
            return false;
        }
        transaction.lastResponse = response;
        out.send(transaction.responseAddress, response);
        int status = response.status();
        if (status < 200) {
            return true;
        }
        if (!transaction.isInvite()) {
            transaction.state = ServerTransaction.State.COMPLETED;
            transaction.endTimer =
                    timers.schedule(
                            now
                                    + (transaction.responseAddress.tcp()
                                            ? 0
                                            : TIMEOUT_T1_MULTIPLE * T1_MICROS),
                            (at, o) -> terminate(transaction));
            return true;
        }
        transaction.retransmitInterval = T1_MICROS;
        transaction.state =
                status < 300 ? ServerTransaction.State.ACCEPTED : ServerTransaction.State.COMPLETED;
        if (status < 300) {
            transaction.ackKey = ackKey(transaction.request);
            awaitingAck.put(transaction.ackKey, transaction);
        }
        // A 2xx is acknowledged end to end and so retransmitted over any transport; a failure
        // response over UDP only.
        if (status < 300 || !transaction.responseAddress.tcp()) {
            transaction.retransmitTimer =
                    timers.schedule(
                            now + transaction.retransmitInterval,
                            (at, o) -> retransmitResponse(at, transaction, o));
        }
        transaction.endTimer =
                timers.schedule(
                        now + TIMEOUT_T1_MULTIPLE * T1_MICROS,
                        (at, o) -> {
                            boolean unacknowledged =
                                    transaction.state == ServerTransaction.State.ACCEPTED
                                            && awaitingAck.containsKey(transaction.ackKey);
                            terminate(transaction);
                            if (unacknowledged) {
                                user.ackTimedOut(at, transaction, o);
                            }
                        });
        return true;
    }

    private void retransmitResponse(long now, ServerTransaction transaction, SipOutput out) {
        out.send(transaction.responseAddress, transaction.lastResponse);
        transaction.retransmitInterval = Math.min(T2_MICROS, 2 * transaction.retransmitInterval);
        transaction.retransmitTimer =
                timers.schedule(
                        now + transaction.retransmitInterval,
                        (at, o) -> retransmitResponse(at, transaction, o));
    }

    private void terminate(ServerTransaction transaction) {
        transaction.state = ServerTransaction.State.TERMINATED;
        timers.cancel(transaction.retransmitTimer);
        timers.cancel(transaction.endTimer);
        serverTransactions.remove(transaction.key, transaction);
        if (transaction.ackKey != null) {
            awaitingAck.remove(transaction.ackKey, transaction);
        }
    }

    /**
     * Handles the loss of the connection to {@code peer}, or that it could not be opened ({@code
     * refused}): requests to it that have no final response fail (18.4).
     */
    public void connectionFailed(long now, TransportAddress peer, boolean refused, SipOutput out) {
        for (ClientTransaction transaction :
                clientTransactions.values().stream()
                        .filter(t -> t.destination.equals(peer))
                        .sorted(java.util.Comparator.comparing(t -> t.key))
                        .toList()) {
            fail(
                    now,
                    transaction,
                    refused ? Failure.CONNECTION_REFUSED : Failure.CONNECTION_LOST,
                    out);
        }
        // Responses whose connection was lost are sent to the address in Via over a new connection
        // (RFC 3261 18.2.2).
        for (ServerTransaction transaction :
                serverTransactions.values().stream()
                        .filter(t -> t.responseAddress.equals(peer))
                        .sorted(java.util.Comparator.comparing(t -> t.key))
                        .toList()) {
            Via via = transaction.request.via();
            transaction.responseAddress =
                    new TransportAddress(
                            true, via.parameters().parameter("received", via.host()), via.port());
            if (!transaction.responseAddress.equals(peer)
                    && transaction.lastResponse != null
                    && transaction.lastResponse.status() >= 200) {
                out.send(transaction.responseAddress, transaction.lastResponse);
            }
        }
    }

    private static String key(String branch, String method) {
        return branch + "|" + method;
    }
}
