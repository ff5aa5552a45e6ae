package coralcove.sip.transaction;

import coralcove.sip.Field;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.Timers;
import coralcove.sip.Via;
import java.util.HashMap;
import java.util.Map;

/**
 * The transaction layer of one node (RFC 3261 section 17, with the Accepted states of RFC 6026):
 * requests are sent again over UDP until answered, answers until acknowledged, repeats are
 * absorbed. It does no I/O.
 */
public final class TransactionLayer {
    /** µs: RFC 3261's T1, the first gap between two sends of a request over UDP. */
    public static final long T1_MICROS = 500_000;

    /** µs: T2, the longest gap for requests other than INVITE and for answers to INVITE. */
    public static final long T2_MICROS = 4_000_000;

    /** µs: T4, how long a message may stay in the network. */
    public static final long T4_MICROS = 5_000_000;

    /**
     * Multiples of T1 after which a transaction without an answer has failed (timers B, F and H).
     */
    private static final long TIMEOUT_T1_MULTIPLE = 64;

    /**
     * Transactions held; past this a new request is dropped and counted: its sender will send it
     * again.
     */
    private static final int MAX_SERVER_TRANSACTIONS = 400_000;

    /**
     * Why no answer came: none in time, no stream to carry the request, or a stream that broke
     * under it.
     */
    public enum Failure {
        TIMED_OUT,
        CONNECTION_REFUSED,
        CONNECTION_LOST
    }

    /**
     * Marks the branch of a request that is sent once, outside any transaction: its answer is not
     * waited for.
     */
    public static final String NO_TRANSACTION_MARK = ".o";

    /** The layer above. */
    public interface TransactionUser {
        void requestReceived(long now, ServerTx transaction, Hop from, Out out);

        /** The ACK of a 2xx. */
        void ackReceived(long now, ServerTx transaction, Out out);

        /** No ACK came for a 2xx within 64 T1 (RFC 3261 13.3.1.4). */
        void ackTimedOut(long now, ServerTx transaction, Out out);

        /** A CANCEL for an INVITE not answered yet; the CANCEL itself has its 200. */
        void cancelReceived(long now, ServerTx invite, Out out);

        void responseReceived(long now, ClientTx transaction, SipMessage response, Out out);

        void requestFailed(long now, ClientTx transaction, Failure failure, Out out);
    }

    private final Hop localAddress;
    private final Timers timers;
    private final TransactionUser user;
    private final String startTag;
    private final Map<String, ClientTx> clientTransactions = new HashMap<>();
    private final Map<String, ServerTx> serverTransactions = new HashMap<>();
    private final Map<String, ServerTx> awaitingAck = new HashMap<>();
    private long nextBranch;
    private long droppedRequests;
    private long forgedResponses;

    /** {@code seed} tells this start of the node's branches from those of any other. */
    public TransactionLayer(Hop self, Timers timers, String seed, TransactionUser user) {
        this.localAddress = self;
        this.timers = timers;
        this.startTag = seed;
        this.user = user;
    }

    public long droppedRequests() {
        return droppedRequests;
    }

    /** Responses that came from an address to which their request had not gone. */
    public long forgedResponses() {
        return forgedResponses;
    }

    public int size() {
        return clientTransactions.size() + serverTransactions.size();
    }

    // ---- requests out

    /** Sends a request in a transaction of its own; its Via is added here. */
    public ClientTx send(long now, SipMessage request, Hop to, Object owner, Out out) {
        String branch = Via.COOKIE + startTag + "." + nextBranch++;
        request.addFirst("Via", Via.text(localAddress.over(to.tcp()), branch));
        ClientTx transaction = new ClientTx(key(branch, request.method()), request, to, owner);
        clientTransactions.put(transaction.key, transaction);
        start(now, transaction, out);
        return transaction;
    }

    private void start(long now, ClientTx transaction, Out out) {
        transaction.retransmitInterval = T1_MICROS;
        if (!transaction.to.tcp()) {
            transaction.retransmitTimer =
                    timers.set(
                            now + transaction.retransmitInterval,
                            (at, o) -> retransmit(at, transaction, o));
        }
        transaction.endTimer =
                timers.set(
                        now + TIMEOUT_T1_MULTIPLE * T1_MICROS,
                        (at, o) -> fail(at, transaction, Failure.TIMED_OUT, o));
        transaction.transmit(out);
    }

    /**
     * Sends a CANCEL for an INVITE that has had a provisional answer (RFC 3261 9.1): same branch,
     * own transaction.
     */
    public void cancel(long now, ClientTx invite, Out out) {
        SipMessage cancel = SipMessage.request("CANCEL", invite.request.uri());
        for (Field field : invite.request.fields()) {
            switch (field.name()) {
                case "From", "To", "Call-ID", "Route", "Max-Forwards", "Session-ID" ->
                        cancel.add(field.name(), field.value());
                default -> {}
            }
        }
        cancel.add("CSeq", invite.request.sequence() + " CANCEL");
        cancel.addFirst("Via", invite.request.header("Via"));
        String branch = Via.of(cancel.header("Via")).branch();
        ClientTx transaction = new ClientTx(key(branch, "CANCEL"), cancel, invite.to, null);
        if (clientTransactions.putIfAbsent(transaction.key, transaction) == null) {
            start(now, transaction, out);
        }
    }

    /** Sends this request no more, but goes on taking what comes for it until its time is up. */
    public void stopRetransmitting(ClientTx transaction) {
        transaction.retransmissionStopped = true;
        timers.cancel(transaction.retransmitTimer);
    }

    private void retransmit(long now, ClientTx transaction, Out out) {
        if (transaction.retransmissionStopped
                || transaction.state != ClientTx.State.CALLING && transaction.isInvite()) {
            return;
        }
        transaction.retransmitInterval =
                transaction.isInvite()
                        ? 2 * transaction.retransmitInterval
                        : Math.min(
                                T2_MICROS,
                                transaction.state == ClientTx.State.CALLING
                                        ? 2 * transaction.retransmitInterval
                                        : T2_MICROS);
        transaction.retransmitTimer =
                timers.set(
                        now + transaction.retransmitInterval,
                        (at, o) -> retransmit(at, transaction, o));
        transaction.transmit(out);
    }

    private void fail(long now, ClientTx transaction, Failure failure, Out out) {
        boolean unanswered =
                transaction.state == ClientTx.State.CALLING
                        || transaction.state == ClientTx.State.PROCEEDING;
        terminate(transaction);
        if (unanswered && !transaction.request.method().equals("CANCEL")) {
            user.requestFailed(now, transaction, failure, out);
        }
    }

    private void terminate(ClientTx transaction) {
        transaction.state = ClientTx.State.TERMINATED;
        timers.cancel(transaction.retransmitTimer);
        timers.cancel(transaction.endTimer);
        clientTransactions.remove(transaction.key, transaction);
    }

    private void receiveResponse(long now, Hop from, SipMessage response, Out out) {
        Via via = response.via();
        ClientTx transaction =
                via == null
                        ? null
                        : clientTransactions.get(key(via.branch(), response.cseqMethod()));
        if (via != null && via.branch().startsWith(Via.COOKIE + startTag + NO_TRANSACTION_MARK)) {
            return;
        }
        if (transaction == null || transaction.state == ClientTx.State.TERMINATED) {
            out.log("stray-response", response.header("Session-ID", ""), response.toString());
            return;
        }
        if (!from.equals(transaction.to)) {
            // The right branch from another address than the request went to: forged (RFC 3581 4
            // answers from there).
            forgedResponses++;
            out.log(
                    "forged-response",
                    response.header("Session-ID", ""),
                    from + " for " + transaction.to);
            return;
        }
        int status = response.status();
        if (!transaction.isInvite()) {
            if (status < 200) {
                transaction.state = ClientTx.State.PROCEEDING;
                return;
            }
            if (transaction.state != ClientTx.State.COMPLETED) {
                transaction.state = ClientTx.State.COMPLETED;
                timers.cancel(transaction.retransmitTimer);
                timers.cancel(transaction.endTimer);
                transaction.endTimer =
                        timers.set(
                                now + (transaction.to.tcp() ? 0 : T4_MICROS),
                                (at, o) -> terminate(transaction));
                user.responseReceived(now, transaction, response, out);
            }
            return;
        }
        switch (transaction.state) {
            case CALLING, PROCEEDING -> receiveInviteResponse(now, transaction, response, out);
            case COMPLETED -> {
                if (status >= 300) {
                    out.send(transaction.to, transaction.ack);
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
            long now, ClientTx transaction, SipMessage response, Out out) {
        int status = response.status();
        timers.cancel(transaction.retransmitTimer);
        if (status < 200) {
            // Once it is heard of, an INVITE waits for as long as its user lets it.
            timers.cancel(transaction.endTimer);
            transaction.endTimer = null;
            transaction.state = ClientTx.State.PROCEEDING;
            user.responseReceived(now, transaction, response, out);
            return;
        }
        timers.cancel(transaction.endTimer);
        if (status < 300) {
            transaction.state = ClientTx.State.ACCEPTED;
            transaction.endTimer =
                    timers.set(
                            now + TIMEOUT_T1_MULTIPLE * T1_MICROS,
                            (at, o) -> terminate(transaction));
        } else {
            transaction.state = ClientTx.State.COMPLETED;
            transaction.ack = createAck(transaction, response);
            out.send(transaction.to, transaction.ack);
            transaction.endTimer =
                    timers.set(
                            now + (transaction.to.tcp() ? 0 : TIMEOUT_T1_MULTIPLE * T1_MICROS),
                            (at, o) -> terminate(transaction));
        }
        user.responseReceived(now, transaction, response, out);
    }

    /** The ACK of a refusal belongs to the INVITE's transaction (17.1.1.3). */
    private static SipMessage createAck(ClientTx transaction, SipMessage response) {
        SipMessage ack = SipMessage.request("ACK", transaction.request.uri());
        ack.add("Via", transaction.request.header("Via"));
        for (Field field : transaction.request.fields()) {
            switch (field.name()) {
                case "From", "Call-ID", "Route", "Max-Forwards", "Session-ID" ->
                        ack.add(field.name(), field.value());
                default -> {}
            }
        }
        ack.add("To", response.header("To"));
        return ack.add("CSeq", transaction.request.sequence() + " ACK");
    }

    /** The INVITE is given up on by its user and nothing is wanted of it any more. */
    public void abandon(ClientTx transaction) {
        terminate(transaction);
    }

    // ---- requests in

    public void receive(long now, Hop from, SipMessage message, Out out) {
        if (!message.isRequest()) {
            receiveResponse(now, from, message, out);
            return;
        }
        Via via = addReceivedAddress(message, from);
        if (!via.branch().startsWith(Via.COOKIE)) {
            // RFC 2543 matching is not spoken here; protocol.md says so.
            if (!message.method().equals("ACK")) {
                out.send(
                        via.responseAddress(),
                        SipMessage.reply(message, 400, "Branch of RFC 2543", "b"));
            }
            return;
        }
        String top = via.branch() + "|" + via.isHost() + ":" + via.port();
        boolean ack = message.method().equals("ACK");
        ServerTx known = serverTransactions.get(key(top, ack ? "INVITE" : message.method()));
        if (ack) {
            receiveAck(now, known, message, out);
        } else if (known != null) {
            if (known.lastResponse != null) {
                out.send(known.responseAddress, known.lastResponse);
            }
        } else if (serverTransactions.size() >= MAX_SERVER_TRANSACTIONS) {
            droppedRequests++;
        } else {
            ServerTx transaction =
                    new ServerTx(key(top, message.method()), message, via.responseAddress());
            serverTransactions.put(transaction.key, transaction);
            if (message.method().equals("CANCEL")) {
                receiveCancel(now, transaction, serverTransactions.get(key(top, "INVITE")), out);
            } else {
                if (transaction.isInvite()) {
                    respond(now, transaction, SipMessage.reply(message, 100, "Trying", ""), out);
                }
                user.requestReceived(now, transaction, from, out);
            }
        }
    }

    /** Whether a request with this branch is in hand or was answered a while ago. */
    public boolean isRetransmission(SipMessage request) {
        Via via = request.via();
        return serverTransactions.containsKey(
                key(via.branch() + "|" + via.isHost() + ":" + via.port(), request.method()));
    }

    private static Via addReceivedAddress(SipMessage message, Hop from) {
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
                        : via.params().has("rport")
                                ? text.replaceFirst(
                                        ";\\s*rport(=[^;]*)?",
                                        ";rport=" + from.port() + ";received=" + from.host())
                                : via.isHost().equals(from.host())
                                        ? text
                                        : text + ";received=" + from.host();
        message.set("Via", value);
        return message.via();
    }

    private void receiveCancel(long now, ServerTx transaction, ServerTx invite, Out out) {
        if (invite == null) {
            respond(
                    now,
                    transaction,
                    SipMessage.reply(transaction.request, 481, "No such transaction", "c"),
                    out);
            return;
        }
        respond(now, transaction, SipMessage.reply(transaction.request, 200, "OK", "c"), out);
        if (!invite.hasFinalResponse()) {
            user.cancelReceived(now, invite, out);
        }
    }

    private void receiveAck(long now, ServerTx known, SipMessage ack, Out out) {
        if (known != null && known.state == ServerTx.State.COMPLETED) {
            known.state = ServerTx.State.CONFIRMED;
            timers.cancel(known.retransmitTimer);
            timers.cancel(known.endTimer);
            known.endTimer =
                    timers.set(
                            now + (known.responseAddress.tcp() ? 0 : T4_MICROS),
                            (at, o) -> terminate(known));
            return;
        }
        ServerTx transaction = awaitingAck.remove(ackKey(ack));
        if (transaction != null) {
            timers.cancel(transaction.retransmitTimer);
            timers.cancel(transaction.endTimer);
            transaction.endTimer =
                    timers.set(
                            now + TIMEOUT_T1_MULTIPLE * T1_MICROS,
                            (at, o) -> terminate(transaction));
            user.ackReceived(now, transaction, out);
        }
    }

    private static String ackKey(SipMessage message) {
        return message.callId() + "|" + message.fromTag() + "|" + message.sequence();
    }

    /** Sends an answer; after a final one, a further one is not sent and false is returned. */
    public boolean respond(long now, ServerTx transaction, SipMessage response, Out out) {
        if (transaction.state != ServerTx.State.PROCEEDING) {
            return false;
        }
        transaction.lastResponse = response;
        out.send(transaction.responseAddress, response);
        int status = response.status();
        if (status < 200) {
            return true;
        }
        if (!transaction.isInvite()) {
            transaction.state = ServerTx.State.COMPLETED;
            transaction.endTimer =
                    timers.set(
                            now
                                    + (transaction.responseAddress.tcp()
                                            ? 0
                                            : TIMEOUT_T1_MULTIPLE * T1_MICROS),
                            (at, o) -> terminate(transaction));
            return true;
        }
        transaction.retransmitInterval = T1_MICROS;
        transaction.state = status < 300 ? ServerTx.State.ACCEPTED : ServerTx.State.COMPLETED;
        if (status < 300) {
            transaction.ackKey = ackKey(transaction.request);
            awaitingAck.put(transaction.ackKey, transaction);
        }
        // A 2xx goes from end to end and is sent again over any transport; a refusal over UDP only.
        if (status < 300 || !transaction.responseAddress.tcp()) {
            transaction.retransmitTimer =
                    timers.set(
                            now + transaction.retransmitInterval,
                            (at, o) -> retransmitResponse(at, transaction, o));
        }
        transaction.endTimer =
                timers.set(
                        now + TIMEOUT_T1_MULTIPLE * T1_MICROS,
                        (at, o) -> {
                            boolean lost =
                                    transaction.state == ServerTx.State.ACCEPTED
                                            && awaitingAck.containsKey(transaction.ackKey);
                            terminate(transaction);
                            if (lost) {
                                user.ackTimedOut(at, transaction, o);
                            }
                        });
        return true;
    }

    private void retransmitResponse(long now, ServerTx transaction, Out out) {
        out.send(transaction.responseAddress, transaction.lastResponse);
        transaction.retransmitInterval = Math.min(T2_MICROS, 2 * transaction.retransmitInterval);
        transaction.retransmitTimer =
                timers.set(
                        now + transaction.retransmitInterval,
                        (at, o) -> retransmitResponse(at, transaction, o));
    }

    private void terminate(ServerTx transaction) {
        transaction.state = ServerTx.State.TERMINATED;
        timers.cancel(transaction.retransmitTimer);
        timers.cancel(transaction.endTimer);
        serverTransactions.remove(transaction.key, transaction);
        if (transaction.ackKey != null) {
            awaitingAck.remove(transaction.ackKey, transaction);
        }
    }

    /**
     * The transport could not carry requests to this hop: those not answered yet have failed
     * (18.4).
     */
    public void connectionFailed(long now, Hop peer, boolean refused, Out out) {
        for (ClientTx transaction :
                clientTransactions.values().stream()
                        .filter(t -> t.to.equals(peer))
                        .sorted(java.util.Comparator.comparing(t -> t.key))
                        .toList()) {
            fail(
                    now,
                    transaction,
                    refused ? Failure.CONNECTION_REFUSED : Failure.CONNECTION_LOST,
                    out);
        }
        // Responses on a broken connection go to the address in Via by a new one (RFC 3261 18.2.2).
        for (ServerTx transaction :
                serverTransactions.values().stream()
                        .filter(t -> t.responseAddress.equals(peer))
                        .sorted(java.util.Comparator.comparing(t -> t.key))
                        .toList()) {
            Via via = transaction.request.via();
            transaction.responseAddress =
                    new Hop(true, via.params().get("received", via.isHost()), via.port());
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
