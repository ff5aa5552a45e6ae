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
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The user agent of one node: sets calls up, takes them, gives them up and ends them over the transaction layer,
 * and passes other requests through. What RFC 3261 leaves to no one's choice is done here: the ACK of each 2xx,
 * the BYE for a 2xx that crossed a CANCEL, 481 for an unknown dialog, 405 for an unknown method, 483.
 */
public final class Agent implements Transactions.User {
    /** How a call that was not answered ended without a final response. */
    public enum Lost { NO, TIMED_OUT, UNREACHABLE, RESET }

    /** The program above. */
    public interface User {
        void invited(long now, Call call, Hop from, Out out);

        void progressed(long now, Call call, SipMessage response, Out out);

        void answered(long now, Call call, SipMessage response, Out out);

        /** The call does not stand; {@code response} is null where none came. Also the end of a cancelled one. */
        void rejected(long now, Call call, SipMessage response, Lost lost, Out out);

        /** A call coming in was given up by its caller; it has its 487. */
        void cancelled(long now, Call call, Out out);

        /** A standing call has ended by the other side; {@code bye} is null where its ACK never came. */
        void hungUp(long now, Call call, SipMessage bye, Out out);

        /** Another request; answered through {@link Agent#respond}. */
        void request(long now, ServerTx tx, Hop from, Out out);

        /** The answer to another request, or null where none came. */
        void replied(long now, ClientTx tx, SipMessage response, Out out);
    }

    /** Bytes: a request longer than this goes by TCP (RFC 3261 18.1.1). */
    public static final int LONGEST_DATAGRAM = 1300;
    /** Header bytes that are added to a request after its length is taken: the Via. */
    private static final int VIA_BYTES = 120;
    private static final Set<String> METHODS = Set.of("OPTIONS", "SUBSCRIBE", "NOTIFY", "MESSAGE", "REGISTER");

    private final Hop self;
    private final Timers timers;
    private final Transactions transactions;
    private final User user;
    private final String seed;
    private final Map<String, Call> calls = new HashMap<>();
    private final TreeMap<String, Long> counters = new TreeMap<>();
    private long numbers;

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

    /** 400 where a reply is possible (a request with all that a reply copies), else counted and dropped. */
    public void malformed(long now, Hop from, BadMessage problem, Out out) {
        SipMessage partial = problem.partial();
        count("malformed");
        out.log("malformed", "", from + ": " + problem.getMessage());
        boolean possible = partial != null && partial.isRequest() && !partial.method().equals("ACK")
                && partial.header("Via") != null && Via.of(partial.header("Via")) != null
                && partial.header("From") != null && partial.header("To") != null
                && partial.header("Call-ID") != null && partial.header("CSeq") != null;
        if (possible) {
            out.send(from, SipMessage.reply(partial, 400, "Bad Request", "m"));
        }
    }

    public void broken(long now, Hop peer, boolean refused, Out out) {
        transactions.broken(now, peer, refused, out);
    }

    // ---- calls out

    /** A request of this node outside any dialog, to be completed and sent. */
    public SipMessage request(String method, String uri) {
        String id = Long.toString(numbers++, 36);
        return SipMessage.request(method, uri).add("Max-Forwards", "70")
                .add("From", "<sip:" + self.host() + ":" + self.port() + ">;tag=" + seed + id)
                .add("To", "<" + uri + ">").add("Call-ID", seed + "-" + id).add("CSeq", "1 " + method)
                .add("Contact", "<" + SipUri.text("", self) + ">");
    }

    /** Sets a call up; {@code invite} is made by {@link #request}. */
    public Call invite(long now, SipMessage invite, Hop to, Object owner, Out out) {
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
        request.addFirst("Via", Via.text(self.over(to.tcp()), Via.COOKIE + seed + Transactions.ONCE + numbers++));
        out.send(to, request);
    }

    private static Hop fitting(SipMessage request, Hop to) {
        return to.tcp() || request.bytes().length + VIA_BYTES <= LONGEST_DATAGRAM ? to : to.over(true);
    }

    /**
     * Gives up a call that has not been answered. CANCEL waits for a provisional answer (RFC 3261 9.1); an INVITE
     * nothing was heard of is sent no more. {@link User#rejected} follows when it is over.
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
        timers.set(now + 64 * Transactions.T1, (at, o) -> {
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
        transactions.send(now, bye, call.remoteHop, null, out);
    }

    private SipMessage inDialog(String method, Call call) {
        call.localSequence++;
        return dialogRequest(method, call, call.localSequence);
    }

    private SipMessage dialogRequest(String method, Call call, long sequence) {
        SipMessage request = SipMessage.request(method, call.remoteTarget).add("Max-Forwards", "70");
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

    private static String tagged(String value, String tag) {
        return tag.isEmpty() || Params.of(value).has("tag") ? value : value + ";tag=" + tag;
    }

    // ---- calls in

    public void progress(long now, Call call, int status, String reason, Out out) {
        transactions.respond(now, call.server, reply(call, status, reason), out);
    }

    /** Answers a call with 200. */
    public void answer(long now, Call call, Out out) {
        if (call.state == Call.State.TRYING) {
            call.state = Call.State.STANDS;
            SipMessage ok = reply(call, 200, "OK").add("Contact", "<" + SipUri.text("", self) + ">");
            transactions.respond(now, call.server, ok, out);
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

    private void end(Call call) {
        call.state = Call.State.ENDED;
        calls.remove(call.key(), call);
    }

    // ---- from the transactions

    @Override
    public void request(long now, ServerTx tx, Hop from, Out out) {
        SipMessage request = tx.request();
        String method = request.method();
        String tag = request.toTag();
        if (request.header("Max-Forwards", "70").strip().equals("0") && !method.equals("OPTIONS") && tag.isEmpty()) {
            refuse(now, tx, 483, "Too Many Hops", out);
        } else if (method.equals("INVITE") && tag.isEmpty()) {
            invited(now, tx, from, out);
        } else if (method.equals("BYE") || method.equals("INVITE")) {
            Call call = calls.get(request.callId() + "|" + tag);
            if (call == null || call.state != Call.State.STANDS) {
                refuse(now, tx, 481, "No such dialog", out);
            } else if (request.sequence() <= call.remoteSequence) {
                refuse(now, tx, 500, "CSeq out of order", out);
            } else if (method.equals("INVITE")) {
                call.remoteSequence = request.sequence();
                refuse(now, tx, 488, "Not Acceptable Here", out);
            } else {
                call.remoteSequence = request.sequence();
                end(call);
                respond(now, tx, reply(tx, 200, "OK"), out);
                user.hungUp(now, call, request, out);
            }
        } else if (METHODS.contains(method)) {
            user.request(now, tx, from, out);
        } else {
            count("unknown-method");
            respond(now, tx, reply(tx, 405, "Method Not Allowed")
                    .add("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS, SUBSCRIBE, NOTIFY, MESSAGE, REGISTER"), out);
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
        Call call = new Call(false, invite, seed + "t" + Long.toString(numbers++, 36));
        call.server = tx;
        tx.owner(call);
        call.remoteTag = invite.fromTag();
        call.remoteTarget = SipUri.text(contact.user(), contact.hop());
        call.remoteHop = contact.hop();
        call.remoteSequence = invite.sequence();
        calls.put(call.key(), call);
        user.invited(now, call, from, out);
    }

    @Override
    public void cancelled(long now, ServerTx invite, Out out) {
        Call call = callOf(invite);
        if (call != null && call.state == Call.State.TRYING) {
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
            bye(now, call, null, out);
            user.hungUp(now, call, null, out);
        }
    }

    @Override
    public void response(long now, ClientTx tx, SipMessage response, Out out) {
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
            out.send(call.remoteHop, call.ack);
            return;
        }
        SipUri contact = SipUri.of(response.header("Contact", ""));
        call.remoteTag = response.toTag();
        call.remoteTarget = contact == null ? call.invite.uri() : SipUri.text(contact.user(), contact.hop());
        call.remoteHop = contact == null ? call.remoteHop : contact.hop();
        call.ack = dialogRequest("ACK", call, call.invite.sequence());
        call.ack.addFirst("Via", Via.text(self.over(call.remoteHop.tcp()), Via.COOKIE + seed + ".a" + numbers++));
        out.send(call.remoteHop, call.ack);
        call.state = Call.State.STANDS;
        if (call.cancelled) {
            // The 200 crossed the CANCEL: the call is ended at once and no circuit stays held (RFC 3261 15).
            bye(now, call, null, out);
            user.rejected(now, call, null, Lost.NO, out);
        } else {
            user.answered(now, call, response, out);
        }
    }

    @Override
    public void failed(long now, ClientTx tx, Transactions.Failure failure, Out out) {
        if (tx.owner() instanceof Call call && tx.request().method().equals("INVITE")) {
            if (call.state == Call.State.TRYING) {
                lost(now, call, switch (failure) {
                    case TIME_OUT -> Lost.TIMED_OUT;
                    case REFUSED -> Lost.UNREACHABLE;
                    case BROKEN -> Lost.RESET;
                }, out);
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
