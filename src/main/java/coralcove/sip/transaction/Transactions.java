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
public final class Transactions {
    /** µs: RFC 3261's T1, the first gap between two sends of a request over UDP. */
    public static final long T1 = 500_000;

    /** µs: T2, the longest gap for requests other than INVITE and for answers to INVITE. */
    public static final long T2 = 4_000_000;

    /** µs: T4, how long a message may stay in the network. */
    public static final long T4 = 5_000_000;

    /**
     * Multiples of T1 after which a transaction without an answer has failed (timers B, F and H).
     */
    private static final long PATIENCE = 64;

    /**
     * Transactions held; past this a new request is dropped and counted: its sender will send it
     * again.
     */
    private static final int MOST = 400_000;

    /**
     * Why no answer came: none in time, no stream to carry the request, or a stream that broke
     * under it.
     */
    public enum Failure {
        TIME_OUT,
        REFUSED,
        BROKEN
    }

    /**
     * Marks the branch of a request that is sent once, outside any transaction: its answer is not
     * waited for.
     */
    public static final String ONCE = ".o";

    /** The layer above. */
    public interface User {
        void request(long now, ServerTx tx, Hop from, Out out);

        /** The ACK of a 2xx. */
        void acked(long now, ServerTx tx, Out out);

        /** No ACK came for a 2xx within 64 T1 (RFC 3261 13.3.1.4). */
        void unacked(long now, ServerTx tx, Out out);

        /** A CANCEL for an INVITE not answered yet; the CANCEL itself has its 200. */
        void cancelled(long now, ServerTx invite, Out out);

        void response(long now, ClientTx tx, SipMessage response, Out out);

        void failed(long now, ClientTx tx, Failure failure, Out out);
    }

    private final Hop self;
    private final Timers timers;
    private final User user;
    private final String seed;
    private final Map<String, ClientTx> clients = new HashMap<>();
    private final Map<String, ServerTx> servers = new HashMap<>();
    private final Map<String, ServerTx> accepted = new HashMap<>();
    private long branches;
    private long dropped;
    private long forged;

    /** {@code seed} tells this start of the node's branches from those of any other. */
    public Transactions(Hop self, Timers timers, String seed, User user) {
        this.self = self;
        this.timers = timers;
        this.seed = seed;
        this.user = user;
    }

    public long dropped() {
        return dropped;
    }

    /** Responses that came from an address to which their request had not gone. */
    public long forged() {
        return forged;
    }

    public int size() {
        return clients.size() + servers.size();
    }

    // ---- requests out

    /** Sends a request in a transaction of its own; its Via is added here. */
    public ClientTx send(long now, SipMessage request, Hop to, Object owner, Out out) {
        String branch = Via.COOKIE + seed + "." + branches++;
        request.addFirst("Via", Via.text(self.over(to.tcp()), branch));
        ClientTx tx = new ClientTx(key(branch, request.method()), request, to, owner);
        clients.put(tx.key, tx);
        begin(now, tx, out);
        return tx;
    }

    private void begin(long now, ClientTx tx, Out out) {
        tx.gap = T1;
        if (!tx.to.tcp()) {
            tx.resend = timers.set(now + tx.gap, (at, o) -> again(at, tx, o));
        }
        tx.end = timers.set(now + PATIENCE * T1, (at, o) -> over(at, tx, Failure.TIME_OUT, o));
        tx.resend(out);
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
        ClientTx tx = new ClientTx(key(branch, "CANCEL"), cancel, invite.to, null);
        if (clients.putIfAbsent(tx.key, tx) == null) {
            begin(now, tx, out);
        }
    }

    /** Sends this request no more, but goes on taking what comes for it until its time is up. */
    public void hush(ClientTx tx) {
        tx.quiet = true;
        timers.cancel(tx.resend);
    }

    private void again(long now, ClientTx tx, Out out) {
        if (tx.quiet || tx.state != ClientTx.State.CALLING && tx.invite()) {
            return;
        }
        tx.gap =
                tx.invite()
                        ? 2 * tx.gap
                        : Math.min(T2, tx.state == ClientTx.State.CALLING ? 2 * tx.gap : T2);
        tx.resend = timers.set(now + tx.gap, (at, o) -> again(at, tx, o));
        tx.resend(out);
    }

    private void over(long now, ClientTx tx, Failure failure, Out out) {
        boolean unanswered =
                tx.state == ClientTx.State.CALLING || tx.state == ClientTx.State.PROCEEDING;
        end(tx);
        if (unanswered && !tx.request.method().equals("CANCEL")) {
            user.failed(now, tx, failure, out);
        }
    }

    private void end(ClientTx tx) {
        tx.state = ClientTx.State.ENDED;
        timers.cancel(tx.resend);
        timers.cancel(tx.end);
        clients.remove(tx.key, tx);
    }

    private void response(long now, Hop from, SipMessage response, Out out) {
        Via via = response.via();
        ClientTx tx = via == null ? null : clients.get(key(via.branch(), response.cseqMethod()));
        if (via != null && via.branch().startsWith(Via.COOKIE + seed + ONCE)) {
            return;
        }
        if (tx == null || tx.state == ClientTx.State.ENDED) {
            out.log("stray-response", response.header("Session-ID", ""), response.toString());
            return;
        }
        if (!from.equals(tx.to)) {
            // The right branch from another address than the request went to: forged (RFC 3581 4
            // answers from there).
            forged++;
            out.log("forged-response", response.header("Session-ID", ""), from + " for " + tx.to);
            return;
        }
        int status = response.status();
        if (!tx.invite()) {
            if (status < 200) {
                tx.state = ClientTx.State.PROCEEDING;
                return;
            }
            if (tx.state != ClientTx.State.COMPLETED) {
                tx.state = ClientTx.State.COMPLETED;
                timers.cancel(tx.resend);
                timers.cancel(tx.end);
                tx.end = timers.set(now + (tx.to.tcp() ? 0 : T4), (at, o) -> end(tx));
                user.response(now, tx, response, out);
            }
            return;
        }
        switch (tx.state) {
            case CALLING, PROCEEDING -> inviteResponse(now, tx, response, out);
            case COMPLETED -> {
                if (status >= 300) {
                    out.send(tx.to, tx.ack);
                }
            }
            case ACCEPTED -> {
                if (status >= 200 && status < 300) {
                    user.response(now, tx, response, out);
                }
            }
            default -> {}
        }
    }

    private void inviteResponse(long now, ClientTx tx, SipMessage response, Out out) {
        int status = response.status();
        timers.cancel(tx.resend);
        if (status < 200) {
            // Once it is heard of, an INVITE waits for as long as its user lets it.
            timers.cancel(tx.end);
            tx.end = null;
            tx.state = ClientTx.State.PROCEEDING;
            user.response(now, tx, response, out);
            return;
        }
        timers.cancel(tx.end);
        if (status < 300) {
            tx.state = ClientTx.State.ACCEPTED;
            tx.end = timers.set(now + PATIENCE * T1, (at, o) -> end(tx));
        } else {
            tx.state = ClientTx.State.COMPLETED;
            tx.ack = ack(tx, response);
            out.send(tx.to, tx.ack);
            tx.end = timers.set(now + (tx.to.tcp() ? 0 : PATIENCE * T1), (at, o) -> end(tx));
        }
        user.response(now, tx, response, out);
    }

    /** The ACK of a refusal belongs to the INVITE's transaction (17.1.1.3). */
    private static SipMessage ack(ClientTx tx, SipMessage response) {
        SipMessage ack = SipMessage.request("ACK", tx.request.uri());
        ack.add("Via", tx.request.header("Via"));
        for (Field field : tx.request.fields()) {
            switch (field.name()) {
                case "From", "Call-ID", "Route", "Max-Forwards", "Session-ID" ->
                        ack.add(field.name(), field.value());
                default -> {}
            }
        }
        ack.add("To", response.header("To"));
        return ack.add("CSeq", tx.request.sequence() + " ACK");
    }

    /** The INVITE is given up on by its user and nothing is wanted of it any more. */
    public void forget(ClientTx tx) {
        end(tx);
    }

    // ---- requests in

    public void receive(long now, Hop from, SipMessage message, Out out) {
        if (!message.isRequest()) {
            response(now, from, message, out);
            return;
        }
        Via via = stamped(message, from);
        if (!via.branch().startsWith(Via.COOKIE)) {
            // RFC 2543 matching is not spoken here; protocol.md says so.
            if (!message.method().equals("ACK")) {
                out.send(via.back(), SipMessage.reply(message, 400, "Branch of RFC 2543", "b"));
            }
            return;
        }
        String top = via.branch() + "|" + via.host() + ":" + via.port();
        boolean ack = message.method().equals("ACK");
        ServerTx known = servers.get(key(top, ack ? "INVITE" : message.method()));
        if (ack) {
            acked(now, known, message, out);
        } else if (known != null) {
            if (known.last != null) {
                out.send(known.back, known.last);
            }
        } else if (servers.size() >= MOST) {
            dropped++;
        } else {
            ServerTx tx = new ServerTx(key(top, message.method()), message, via.back());
            servers.put(tx.key, tx);
            if (message.method().equals("CANCEL")) {
                cancel(now, tx, servers.get(key(top, "INVITE")), out);
            } else {
                if (tx.invite()) {
                    respond(now, tx, SipMessage.reply(message, 100, "Trying", ""), out);
                }
                user.request(now, tx, from, out);
            }
        }
    }

    /** Whether a request with this branch is in hand or was answered a while ago. */
    public boolean knows(SipMessage request) {
        Via via = request.via();
        return servers.containsKey(
                key(via.branch() + "|" + via.host() + ":" + via.port(), request.method()));
    }

    private static Via stamped(SipMessage message, Hop from) {
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
                                : via.host().equals(from.host())
                                        ? text
                                        : text + ";received=" + from.host();
        message.set("Via", value);
        return message.via();
    }

    private void cancel(long now, ServerTx tx, ServerTx invite, Out out) {
        if (invite == null) {
            respond(now, tx, SipMessage.reply(tx.request, 481, "No such transaction", "c"), out);
            return;
        }
        respond(now, tx, SipMessage.reply(tx.request, 200, "OK", "c"), out);
        if (!invite.answered()) {
            user.cancelled(now, invite, out);
        }
    }

    private void acked(long now, ServerTx known, SipMessage ack, Out out) {
        if (known != null && known.state == ServerTx.State.COMPLETED) {
            known.state = ServerTx.State.CONFIRMED;
            timers.cancel(known.resend);
            timers.cancel(known.end);
            known.end = timers.set(now + (known.back.tcp() ? 0 : T4), (at, o) -> end(known));
            return;
        }
        ServerTx tx = accepted.remove(dialog(ack));
        if (tx != null) {
            timers.cancel(tx.resend);
            timers.cancel(tx.end);
            tx.end = timers.set(now + PATIENCE * T1, (at, o) -> end(tx));
            user.acked(now, tx, out);
        }
    }

    private static String dialog(SipMessage message) {
        return message.callId() + "|" + message.fromTag() + "|" + message.sequence();
    }

    /** Sends an answer; after a final one, a further one is not sent and false is returned. */
    public boolean respond(long now, ServerTx tx, SipMessage response, Out out) {
        if (tx.state != ServerTx.State.PROCEEDING) {
            return false;
        }
        tx.last = response;
        out.send(tx.back, response);
        int status = response.status();
        if (status < 200) {
            return true;
        }
        if (!tx.invite()) {
            tx.state = ServerTx.State.COMPLETED;
            tx.end = timers.set(now + (tx.back.tcp() ? 0 : PATIENCE * T1), (at, o) -> end(tx));
            return true;
        }
        tx.gap = T1;
        tx.state = status < 300 ? ServerTx.State.ACCEPTED : ServerTx.State.COMPLETED;
        if (status < 300) {
            tx.dialog = dialog(tx.request);
            accepted.put(tx.dialog, tx);
        }
        // A 2xx goes from end to end and is sent again over any transport; a refusal over UDP only.
        if (status < 300 || !tx.back.tcp()) {
            tx.resend = timers.set(now + tx.gap, (at, o) -> answerAgain(at, tx, o));
        }
        tx.end =
                timers.set(
                        now + PATIENCE * T1,
                        (at, o) -> {
                            boolean lost =
                                    tx.state == ServerTx.State.ACCEPTED
                                            && accepted.containsKey(tx.dialog);
                            end(tx);
                            if (lost) {
                                user.unacked(at, tx, o);
                            }
                        });
        return true;
    }

    private void answerAgain(long now, ServerTx tx, Out out) {
        out.send(tx.back, tx.last);
        tx.gap = Math.min(T2, 2 * tx.gap);
        tx.resend = timers.set(now + tx.gap, (at, o) -> answerAgain(at, tx, o));
    }

    private void end(ServerTx tx) {
        tx.state = ServerTx.State.ENDED;
        timers.cancel(tx.resend);
        timers.cancel(tx.end);
        servers.remove(tx.key, tx);
        if (tx.dialog != null) {
            accepted.remove(tx.dialog, tx);
        }
    }

    /**
     * The transport could not carry requests to this hop: those not answered yet have failed
     * (18.4).
     */
    public void broken(long now, Hop peer, boolean refused, Out out) {
        for (ClientTx tx :
                clients.values().stream()
                        .filter(t -> t.to.equals(peer))
                        .sorted(java.util.Comparator.comparing(t -> t.key))
                        .toList()) {
            over(now, tx, refused ? Failure.REFUSED : Failure.BROKEN, out);
        }
        // Responses on a broken connection go to the address in Via by a new one (RFC 3261 18.2.2).
        for (ServerTx tx :
                servers.values().stream()
                        .filter(t -> t.back.equals(peer))
                        .sorted(java.util.Comparator.comparing(t -> t.key))
                        .toList()) {
            Via via = tx.request.via();
            tx.back = new Hop(true, via.params().get("received", via.host()), via.port());
            if (!tx.back.equals(peer) && tx.last != null && tx.last.status() >= 200) {
                out.send(tx.back, tx.last);
            }
        }
    }

    private static String key(String branch, String method) {
        return branch + "|" + method;
    }
}
