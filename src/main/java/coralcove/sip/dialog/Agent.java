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
import coralcove.sip.transaction.Transactions;
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
public final class Agent implements Transactions.User {
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
        void request(long now, ServerTx tx, Hop from, Out out);

        /** The answer to another request, or null where none came. */
        void replied(long now, ClientTx tx, SipMessage response, Out out);
    }

    /** A BYE that is out: how many of its call were tried. */
    private record Farewell(Call call, int tries) {}

    /** BYEs of one call at most, where streams break under them; and the µs between two. */
    private static final int MOST_BYES = 4;

    private static final long BYE_AGAIN = 500_000;

    /** Seconds of the session interval asked for, and the least taken (RFC 4028 section 4). */
    private static final int INTERVAL = 90;

    /**
     * µs until a refresh that met another change is tried again: a change takes less unless
     * messages are lost.
     */
    private static final long REFRESH_AGAIN = 2_000_000;

    /**
     * µs before its end at which a session that was not refreshed is ended: a third, 32 s at most
     * (RFC 4028 10).
     */
    private static final long LATEST_END = 32_000_000;

    /** Bytes: a request longer than this goes by TCP (RFC 3261 18.1.1). */
    public static final int LONGEST_DATAGRAM = 1300;

    /** Header bytes that are added to a request after its length is taken: the Via. */
    private static final int VIA_BYTES = 120;

    private static final Set<String> METHODS =
            Set.of("OPTIONS", "SUBSCRIBE", "NOTIFY", "MESSAGE", "REGISTER");

    private final Hop self;
    private final Timers timers;
    private final Transactions transactions;
    private final User user;
    private final String seed;
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<String, Call> incoming = new HashMap<>();
    private final TreeMap<String, Long> counters = new TreeMap<>();
    private long numbers;

    /** The Retry-After with which the request now being taken is turned away, or null. */
    private String turnedAway;

    /** {@code seed} makes the ids of this start unlike those of any other node or start. */
    public Agent(Hop self, Timers timers, String seed, User user) {
        this.self = self;
        this.timers = timers;
        this.seed = seed;
        this.user = user;
        transactions = new Transactions(self, timers, seed, this);
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
        SipMessage partial = problem.partial();
        count("malformed");
        out.log("malformed", "", from + ": " + problem.getMessage());
        if (partial != null
                && partial.isRequest()
                && !partial.method().equals("ACK")
                && partial.answerable()) {
            out.send(from, SipMessage.reply(partial, 400, "Bad Request", "m"));
        }
    }

    /** Whether this request was taken before and is a repeat. */
    public boolean repeat(SipMessage request) {
        return transactions.knows(request);
    }

    /**
     * Takes one request only to turn it down with 503; what would repeat it is answered the same.
     */
    public void turnAway(long now, Hop from, SipMessage request, String retryAfter, Out out) {
        turnedAway = retryAfter;
        transactions.receive(now, from, request, out);
        turnedAway = null;
    }

    public void broken(long now, Hop peer, boolean refused, Out out) {
        transactions.broken(now, peer, refused, out);
    }

    // ---- calls out

    /** A request of this node outside any dialog, to be completed and sent. */
    public SipMessage request(String method, String uri) {
        String id = Long.toString(numbers++, 36);
        return SipMessage.request(method, uri)
                .add("Max-Forwards", "70")
                .add("From", "<sip:" + self.host() + ":" + self.port() + ">;tag=" + seed + id)
                .add("To", "<" + uri + ">")
                .add("Call-ID", seed + "-" + id)
                .add("CSeq", "1 " + method)
                .add("Contact", "<" + SipUri.text("", self) + ">");
    }

    /** Sets a call up; {@code invite} is made by {@link #request}. */
    public Call invite(long now, SipMessage invite, Hop to, Object owner, Out out) {
        invite.add("Supported", "timer")
                .add("Session-Expires", INTERVAL + ";refresher=uac")
                .add("Min-SE", Integer.toString(INTERVAL));
        Call call = new Call(true, invite, invite.fromTag());
        call.owner = owner;
        calls.put(call.key(), call);
        Hop hop = fitting(invite, to);
        call.remoteHop = hop;
        call.client = transactions.send(now, invite, hop, call, out);
        return call;
    }

    /** Sends another request. */
    public ClientTx send(long now, SipMessage request, Hop to, Object owner, Out out) {
        return transactions.send(now, request, fitting(request, to), owner, out);
    }

    /** Sends a request once, without a transaction: whether it arrives is nobody's concern. */
    public void sendOnce(SipMessage request, Hop to, Out out) {
        request.addFirst(
                "Via",
                Via.text(self.over(to.tcp()), Via.COOKIE + seed + Transactions.ONCE + numbers++));
        out.send(to, request);
    }

    private static Hop fitting(SipMessage request, Hop to) {
        return to.tcp() || request.length() + VIA_BYTES <= LONGEST_DATAGRAM ? to : to.over(true);
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
        if (call.heard) {
            transactions.cancel(now, call.client, out);
        } else {
            transactions.hush(call.client);
        }
        // 9.1: an INVITE cancelled and not answered within 64 T1 is taken for cancelled.
        timers.set(
                now + 64 * Transactions.T1,
                (at, o) -> {
                    if (call.state == Call.State.TRYING) {
                        transactions.forget(call.client);
                        lost(at, call, Lost.TIMED_OUT, o);
                    }
                });
    }

    /** Ends a standing call by BYE; {@code reason} is a Reason header or null. */
    public void bye(long now, Call call, String reason, Out out) {
        if (call.state != Call.State.STANDS) {
            return;
        }
        end(call);
        SipMessage bye = inDialog("BYE", call);
        if (reason != null) {
            bye.add("Reason", reason);
        }
        transactions.send(now, bye, call.remoteHop, new Farewell(call, 1), out);
    }

    /** A BYE whose stream broke under it is sent again on a new one, as a request of its own. */
    private void byeAgain(long now, Farewell last, Out out) {
        if (last.tries < MOST_BYES) {
            timers.set(
                    now + BYE_AGAIN,
                    (at, o) ->
                            transactions.send(
                                    at,
                                    inDialog("BYE", last.call),
                                    last.call.remoteHop,
                                    new Farewell(last.call, last.tries + 1),
                                    o));
        }
    }

    private SipMessage inDialog(String method, Call call) {
        call.localSequence++;
        return dialogRequest(method, call, call.localSequence);
    }

    private SipMessage dialogRequest(String method, Call call, long sequence) {
        SipMessage request =
                SipMessage.request(method, call.remoteTarget).add("Max-Forwards", "70");
        call.routes.forEach(route -> request.add("Route", route));
        if (call.outgoing) {
            request.add("From", call.invite.header("From"));
            request.add("To", tagged(call.invite.header("To"), call.remoteTag));
        } else {
            request.add("From", tagged(call.invite.header("To"), call.localTag));
            request.add("To", call.invite.header("From"));
        }
        request.add("Call-ID", call.invite.callId()).add("CSeq", sequence + " " + method);
        if (!call.sessionId.isEmpty()) {
            request.add("Session-ID", call.sessionId);
        }
        return request;
    }

    /** The ACK of a 2xx: a request of its own, outside any transaction (RFC 3261 13.2.2.4). */
    private SipMessage ack(Call call, long sequence) {
        return dialogRequest("ACK", call, sequence)
                .addFirst(
                        "Via",
                        Via.text(
                                self.over(call.remoteHop.tcp()),
                                Via.COOKIE + seed + ".a" + numbers++));
    }

    private static String tagged(String value, String tag) {
        return tag.isEmpty() || Params.of(value).has("tag") ? value : value + ";tag=" + tag;
    }

    // ---- calls in

    public void progress(long now, Call call, int status, String reason, Out out) {
        transactions.respond(now, call.server, reply(call, status, reason), out);
    }

    /** Answers a call with 200. */
    public void answer(long now, Call call, Out out) {
        answer(now, call, null, out);
    }

    /** Answers a call with 200 and the body of {@code like}, which may be null. */
    public void answer(long now, Call call, SipMessage like, Out out) {
        if (call.state == Call.State.TRYING) {
            call.state = Call.State.STANDS;
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
            transactions.respond(now, call.server, ok, out);
            interval(now, call, asked, false);
        }
    }

    /** Turns a call down; {@code extra} fields are name and value in turn. */
    public void reject(long now, Call call, int status, String reason, Out out, String... extra) {
        if (call.state != Call.State.TRYING) {
            return;
        }
        end(call);
        SipMessage reply = reply(call, status, reason);
        for (int i = 0; i + 1 < extra.length; i += 2) {
            reply.add(extra[i], extra[i + 1]);
        }
        transactions.respond(now, call.server, reply, out);
    }

    private SipMessage reply(Call call, int status, String reason) {
        SipMessage reply = SipMessage.reply(call.invite, status, reason, call.localTag);
        if (!call.sessionId.isEmpty()) {
            reply.add("Session-ID", call.sessionId);
        }
        return reply;
    }

    public void respond(long now, ServerTx tx, SipMessage response, Out out) {
        transactions.respond(now, tx, response, out);
    }

    public SipMessage reply(ServerTx tx, int status, String reason) {
        return SipMessage.reply(tx.request(), status, reason, seed + "r" + numbers++);
    }

    // ---- changes of a standing call, and its session timer

    /**
     * Sends a re-INVITE with this body; false while another change of the call is under way (RFC
     * 3261 14.1).
     */
    public boolean change(long now, Call call, String type, byte[] body, Out out) {
        if (call.state != Call.State.STANDS || call.change != null || call.changing != null) {
            return false;
        }
        SipMessage invite =
                inDialog("INVITE", call).add("Contact", "<" + SipUri.text("", self) + ">");
        if (body.length > 0) {
            invite.body(type, body);
        }
        call.change = transactions.send(now, invite, fitting(invite, call.remoteHop), call, out);
        return true;
    }

    /** Answers the re-INVITE that {@link User#changing} told of. */
    public void answerChange(
            long now, Call call, int status, String reason, String type, byte[] body, Out out) {
        if (call.changing == null) {
            return;
        }
        SipMessage reply =
                reply(call.changing, status, reason)
                        .add("Contact", "<" + SipUri.text("", self) + ">");
        if (body.length > 0) {
            reply.body(type, body);
        }
        ServerTx changing = call.changing;
        call.changing = null;
        transactions.respond(now, changing, reply, out);
    }

    /**
     * Starts or renews the session timer: the refresher renews at half time, the other side ends a
     * dead session.
     */
    private void interval(long now, Call call, Params expires, boolean refresher) {
        timers.cancel(call.refresh);
        long seconds = seconds(expires.value());
        if (seconds < INTERVAL || call.state != Call.State.STANDS) {
            return;
        }
        call.interval = seconds * 1_000_000;
        if (refresher) {
            call.refresh = timers.set(now + call.interval / 2, (at, o) -> refresh(at, call, o));
        } else {
            long last = call.interval - Math.min(LATEST_END, call.interval / 3);
            call.refresh = timers.set(now + last, (at, o) -> dead(at, call, o));
        }
    }

    private static long seconds(String text) {
        return text.matches("\\d{1,9}") ? Long.parseLong(text) : 0;
    }

    private void refresh(long now, Call call, Out out) {
        if (call.state != Call.State.STANDS) {
            return;
        }
        boolean free = call.change == null && call.changing == null;
        if (free) {
            SipMessage update =
                    inDialog("UPDATE", call)
                            .add("Contact", "<" + SipUri.text("", self) + ">")
                            .add("Supported", "timer")
                            .add("Session-Expires", INTERVAL + ";refresher=uac");
            call.change =
                    transactions.send(now, update, fitting(update, call.remoteHop), call, out);
        }
        // A refresh that finds another change under way comes a little later: after half an
        // interval more the other
        // side would take the session for dead.
        call.refresh =
                timers.set(
                        now + (free ? call.interval / 2 : REFRESH_AGAIN),
                        (at, o) -> refresh(at, call, o));
    }

    /**
     * The other side has gone without a BYE: the call is ended here, so that its circuits are free
     * (RFC 4028 10).
     */
    private void dead(long now, Call call, Out out) {
        if (call.state == Call.State.STANDS) {
            count("session-expired");
            out.log("session-expired", call.sessionId, "");
            bye(now, call, null, out);
            user.hungUp(now, call, null, out);
        }
    }

    private void changedBy(long now, Call call, ClientTx tx, SipMessage response, Out out) {
        boolean invite = tx.request().method().equals("INVITE");
        if (response != null && response.status() < 200) {
            return;
        }
        int status = response == null ? 408 : response.status();
        if (invite && status < 300) {
            // Each copy of the 200 gets its ACK.
            SipMessage ack = ack(call, tx.request().sequence());
            retarget(call, response);
            out.send(call.remoteHop, ack);
        }
        if (call.change != tx) {
            return;
        }
        call.change = null;
        if (status == 481 || status == 408) {
            // RFC 3261 12.2.1.2: the dialog is gone at the other side.
            if (call.state == Call.State.STANDS) {
                bye(now, call, null, out);
                user.hungUp(now, call, null, out);
            }
        } else if (!invite) {
            if (status < 300) {
                retarget(call, response);
                interval(now, call, Params.of(response.header("Session-Expires", "0")), true);
            }
        } else {
            user.changed(now, call, response, out);
        }
    }

    private void retarget(Call call, SipMessage message) {
        SipUri contact = SipUri.of(message.header("Contact", ""));
        if (contact != null) {
            call.remoteTarget = SipUri.text(contact.user(), contact.hop());
            call.remoteHop = call.routes.isEmpty() ? contact.hop() : call.remoteHop;
        }
    }

    /**
     * The route set's first hop, or the target's where there is none (RFC 3261 12.2.1.1; strict
     * routes are not spoken).
     */
    private static Hop firstHop(Call call, Hop target) {
        SipUri first = call.routes.isEmpty() ? null : SipUri.of(call.routes.get(0));
        return first == null ? target : first.hop();
    }

    private void inDialogRequest(long now, ServerTx tx, Out out) {
        SipMessage request = tx.request();
        String method = request.method();
        Call call = calls.get(request.callId() + "|" + request.toTag());
        if (call == null
                || call.state != Call.State.STANDS
                || !request.fromTag().equals(call.remoteTag)) {
            refuse(now, tx, 481, "No such dialog", out);
        } else if (request.sequence() <= call.remoteSequence) {
            refuse(now, tx, 500, "CSeq out of order", out);
        } else if (method.equals("BYE")) {
            call.remoteSequence = request.sequence();
            end(call);
            respond(now, tx, reply(tx, 200, "OK"), out);
            user.hungUp(now, call, request, out);
        } else if (call.change != null) {
            // Glare (14.1): both sides' changes crossed, and neither is taken.
            call.remoteSequence = request.sequence();
            refuse(now, tx, 491, "Request Pending", out);
        } else if (call.changing != null) {
            call.remoteSequence = request.sequence();
            count("500");
            respond(now, tx, reply(tx, 500, "Earlier change pending").add("Retry-After", "1"), out);
        } else if (method.equals("UPDATE")) {
            call.remoteSequence = request.sequence();
            retarget(call, request);
            Params expires = Params.of(request.header("Session-Expires", "0"));
            SipMessage ok = reply(tx, 200, "OK").add("Contact", "<" + SipUri.text("", self) + ">");
            if (seconds(expires.value()) > 0) {
                ok.add("Session-Expires", expires.value() + ";refresher=uac");
            }
            respond(now, tx, ok, out);
            interval(now, call, expires, false);
        } else {
            call.remoteSequence = request.sequence();
            retarget(call, request);
            call.changing = tx;
            tx.owner(call);
            user.changing(now, call, request, out);
        }
    }

    private void end(Call call) {
        timers.cancel(call.refresh);
        call.state = Call.State.ENDED;
        calls.remove(call.key(), call);
        incoming.remove(call.invite.callId() + "|" + call.invite.fromTag(), call);
    }

    // ---- from the transactions

    @Override
    public void request(long now, ServerTx tx, Hop from, Out out) {
        SipMessage request = tx.request();
        String method = request.method();
        String tag = request.toTag();
        if (turnedAway != null && tag.isEmpty()) {
            count("turned-away");
            respond(now, tx, reply(tx, 503, "Overloaded").add("Retry-After", turnedAway), out);
        } else if (request.header("Max-Forwards", "70").strip().equals("0")
                && !method.equals("OPTIONS")
                && tag.isEmpty()) {
            refuse(now, tx, 483, "Too Many Hops", out);
        } else if (method.equals("INVITE") && tag.isEmpty()) {
            invited(now, tx, from, out);
        } else if (method.equals("BYE") || method.equals("INVITE") || method.equals("UPDATE")) {
            inDialogRequest(now, tx, out);
        } else if (METHODS.contains(method)) {
            user.request(now, tx, from, out);
        } else {
            count("unknown-method");
            respond(
                    now,
                    tx,
                    reply(tx, 405, "Method Not Allowed")
                            .add(
                                    "Allow",
                                    "INVITE, ACK, CANCEL, BYE, UPDATE, OPTIONS, SUBSCRIBE, NOTIFY,"
                                            + " MESSAGE, REGISTER"),
                    out);
        }
    }

    private void refuse(long now, ServerTx tx, int status, String reason, Out out) {
        count(Integer.toString(status));
        respond(now, tx, reply(tx, status, reason), out);
    }

    private void invited(long now, ServerTx tx, Hop from, Out out) {
        SipMessage invite = tx.request();
        SipUri contact = SipUri.of(invite.header("Contact", ""));
        if (contact == null) {
            refuse(now, tx, 400, "Contact is missing", out);
            return;
        }
        String merged = invite.callId() + "|" + invite.fromTag();
        if (incoming.containsKey(merged)) {
            // RFC 3261 8.2.2.2, and a copy so late that its transaction is over: one call, not two.
            refuse(now, tx, 482, "Loop Detected", out);
            return;
        }
        Call call = new Call(false, invite, seed + "t" + Long.toString(numbers++, 36));
        call.server = tx;
        tx.owner(call);
        call.remoteTag = invite.fromTag();
        call.remoteTarget = SipUri.text(contact.user(), contact.hop());
        call.routes = invite.headers("Record-Route");
        call.remoteHop = firstHop(call, contact.hop());
        call.remoteSequence = invite.sequence();
        calls.put(call.key(), call);
        incoming.put(merged, call);
        user.invited(now, call, from, out);
    }

    @Override
    public void cancelled(long now, ServerTx invite, Out out) {
        Call call = callOf(invite);
        if (call != null && call.changing == invite) {
            call.changing = null;
            transactions.respond(now, invite, reply(invite, 487, "Request Terminated"), out);
        } else if (call != null && call.state == Call.State.TRYING) {
            reject(now, call, 487, "Request Terminated", out);
            user.cancelled(now, call, out);
        }
    }

    private Call callOf(ServerTx tx) {
        return tx.owner() instanceof Call call ? call : null;
    }

    @Override
    public void acked(long now, ServerTx tx, Out out) {
        count("acked");
    }

    @Override
    public void unacked(long now, ServerTx tx, Out out) {
        Call call = callOf(tx);
        if (call != null && call.state == Call.State.STANDS) {
            count("unacked");
            bye(now, call, null, out);
            user.hungUp(now, call, null, out);
        }
    }

    @Override
    public void response(long now, ClientTx tx, SipMessage response, Out out) {
        if (tx.owner() instanceof Call changed && tx != changed.client) {
            changedBy(now, changed, tx, response, out);
            return;
        }
        if (!(tx.owner() instanceof Call call) || !tx.request().method().equals("INVITE")) {
            if (!tx.request().method().equals("BYE") && !tx.request().method().equals("CANCEL")) {
                user.replied(now, tx, response, out);
            }
            return;
        }
        if (response.status() < 200) {
            boolean first = !call.heard;
            call.heard = true;
            if (call.cancelled && first) {
                transactions.cancel(now, call.client, out);
            } else if (!call.cancelled && response.status() > 100) {
                user.progressed(now, call, response, out);
            }
        } else if (response.status() < 300) {
            accepted(now, call, response, out);
        } else if (call.state == Call.State.TRYING) {
            end(call);
            user.rejected(now, call, response, Lost.NO, out);
        }
    }

    private void accepted(long now, Call call, SipMessage response, Out out) {
        if (call.ack != null) {
            if (response.toTag().equals(call.remoteTag)) {
                out.send(call.remoteHop, call.ack);
            } else {
                fork(now, call, response, out);
            }
            return;
        }
        SipUri contact = SipUri.of(response.header("Contact", ""));
        call.remoteTag = response.toTag();
        call.remoteTarget =
                contact == null ? call.invite.uri() : SipUri.text(contact.user(), contact.hop());
        List<String> routes = response.headers("Record-Route");
        Collections.reverse(routes);
        call.routes = routes;
        call.remoteHop = firstHop(call, contact == null ? call.remoteHop : contact.hop());
        call.ack = ack(call, call.invite.sequence());
        out.send(call.remoteHop, call.ack);
        call.state = Call.State.STANDS;
        if (call.cancelled) {
            // The 200 crossed the CANCEL: the call is ended at once and no circuit stays held (RFC
            // 3261 15).
            bye(now, call, null, out);
            user.rejected(now, call, null, Lost.NO, out);
        } else {
            interval(now, call, Params.of(response.header("Session-Expires", "0")), true);
            user.answered(now, call, response, out);
        }
    }

    /**
     * A second 2xx, of another branch of a fork: it is acknowledged and ended (RFC 3261 13.2.2.4).
     */
    private void fork(long now, Call call, SipMessage response, Out out) {
        SipUri contact = SipUri.of(response.header("Contact", ""));
        if (contact == null) {
            return;
        }
        count("forked");
        Call other = new Call(true, call.invite, call.localTag);
        other.remoteTag = response.toTag();
        other.remoteTarget = SipUri.text(contact.user(), contact.hop());
        other.remoteHop = contact.hop();
        out.send(other.remoteHop, ack(other, call.invite.sequence()));
        transactions.send(now, inDialog("BYE", other), other.remoteHop, null, out);
    }

    @Override
    public void failed(long now, ClientTx tx, Transactions.Failure failure, Out out) {
        if (tx.owner() instanceof Farewell last) {
            if (failure != Transactions.Failure.TIME_OUT) {
                byeAgain(now, last, out);
            }
        } else if (tx.owner() instanceof Call changed && tx != changed.client) {
            changedBy(now, changed, tx, null, out);
        } else if (tx.owner() instanceof Call call && tx.request().method().equals("INVITE")) {
            if (call.state == Call.State.TRYING) {
                lost(
                        now,
                        call,
                        switch (failure) {
                            case TIME_OUT -> Lost.TIMED_OUT;
                            case REFUSED -> Lost.UNREACHABLE;
                            case BROKEN -> Lost.RESET;
                        },
                        out);
            }
        } else if (!tx.request().method().equals("BYE")) {
            user.replied(now, tx, null, out);
        }
    }

    private void lost(long now, Call call, Lost lost, Out out) {
        end(call);
        user.rejected(now, call, null, lost, out);
    }
}
