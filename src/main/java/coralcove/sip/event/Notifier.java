package coralcove.sip.event;

import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.SipUri;
import coralcove.sip.Timers;
import coralcove.sip.dialog.Agent;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The other side of {@link Subscriber}: who has subscribed at this node, until when, and the
 * NOTIFYs in their dialogs (RFC 6665 4.2). What a subscriber says it has is not sent again (RFC
 * 5839: 204).
 */
public final class Notifier {
    /** What holds now: its text, and a tag that differs whenever the text says something else. */
    public record State(String tag, String text) {}

    /** Tells what holds at a moment. */
    public interface Source {
        State state(long now);
    }

    private static final class RemoteSubscription {
        SipMessage initialRequest;
        Hop address;
        String localTag;
        long sequence;
        long expiresAt;
        Timers.Timer expiryTimer;
    }

    /** Subscribers at most; a SUBSCRIBE past that is answered 503. */
    private static final int MAX_SUBSCRIPTIONS = 10_000;

    /** Seconds a subscription lasts at most, and where none are named. */
    private static final long MAX_DURATION_SECONDS = 3600;

    private final Agent agent;
    private final Timers timers;
    private final String event;
    private final String startTag;
    private final Source source;
    private final Map<String, RemoteSubscription> watchers = new LinkedHashMap<>();
    private long nextTag;

    /** {@code seed} makes the tags of this start unlike those of any other. */
    public Notifier(Agent agent, Timers timers, String event, String seed, Source source) {
        this.agent = agent;
        this.timers = timers;
        this.event = event;
        this.startTag = seed;
        this.source = source;
    }

    public int watchers() {
        return watchers.size();
    }

    /** A SUBSCRIBE, answered here. */
    public void subscribe(long now, ServerTx transaction, Out out) {
        SipMessage request = transaction.request();
        SipUri contact = SipUri.of(request.header("Contact", ""));
        long seconds =
                Math.min(MAX_DURATION_SECONDS, request.number("Expires", MAX_DURATION_SECONDS));
        RemoteSubscription known = watchers.get(request.callId() + "|" + request.toTag());
        if (!request.header("Event", "").equals(event)) {
            agent.respond(
                    now,
                    transaction,
                    agent.reply(transaction, 489, "Bad Event").add("Allow-Events", event),
                    out);
        } else if (!request.toTag().isEmpty() && known == null) {
            // 4.2.1.1: the dialog is of an earlier start of this program, or has ended.
            agent.respond(
                    now, transaction, agent.reply(transaction, 481, "No such subscription"), out);
        } else if (contact == null || seconds < 0) {
            agent.respond(now, transaction, agent.reply(transaction, 400, "Bad Request"), out);
        } else if (known == null && watchers.size() >= MAX_SUBSCRIPTIONS) {
            agent.respond(
                    now,
                    transaction,
                    agent.reply(transaction, 503, "Full").add("Retry-After", "5"),
                    out);
        } else {
            boolean first = known == null;
            RemoteSubscription it = first ? new RemoteSubscription() : known;
            State state = source.state(now);
            if (first) {
                it.initialRequest = request.copy();
                it.localTag = startTag + "w" + nextTag++;
                watchers.put(request.callId() + "|" + it.localTag, it);
            }
            it.address = contact.hop();
            it.expiresAt = now + seconds * 1_000_000;
            timers.cancel(it.expiryTimer);
            it.expiryTimer = timers.set(it.expiresAt, (at, o) -> watchers.values().remove(it));
            boolean same = state.tag().equals(request.header("Suppress-If-Match"));
            SipMessage reply =
                    SipMessage.reply(
                                    request,
                                    same ? 204 : 200,
                                    same ? "No Notification" : "OK",
                                    it.localTag)
                            .add("Expires", Long.toString(seconds))
                            .add("Contact", "<" + SipUri.text("", agent.localAddress()) + ">");
            agent.respond(now, transaction, reply, out);
            if (!same) {
                notify(now, it, state.tag(), state.text(), out);
            }
            if (seconds == 0) {
                watchers.values().remove(it);
            }
        }
    }

    /** Tells all subscribers of a change; {@code tag} is what holds with it. */
    public void changed(long now, String tag, String text, Out out) {
        new ArrayList<>(watchers.values()).forEach(it -> notify(now, it, tag, text, out));
    }

    private void notify(long now, RemoteSubscription it, String tag, String text, Out out) {
        it.sequence++;
        long left = Math.max(0, it.expiresAt - now + 999_999) / 1_000_000;
        SipMessage notify =
                SipMessage.request("NOTIFY", SipUri.text("", it.address))
                        .add("Max-Forwards", "70")
                        .add("From", it.initialRequest.header("To") + ";tag=" + it.localTag)
                        .add("To", it.initialRequest.header("From"))
                        .add("Call-ID", it.initialRequest.callId())
                        .add("CSeq", it.sequence + " NOTIFY")
                        .add("Contact", "<" + SipUri.text("", agent.localAddress()) + ">")
                        .add("Event", event)
                        .add(
                                "Subscription-State",
                                left == 0 ? "terminated;reason=timeout" : "active;expires=" + left)
                        .add("SIP-ETag", tag);
        agent.send(
                now,
                notify.body("text/plain", text.getBytes(StandardCharsets.UTF_8)),
                it.address,
                it,
                out);
    }

    /** The answer to a NOTIFY; false if the request was another's. */
    public boolean replied(ClientTx transaction, SipMessage response) {
        if (!(transaction.owner() instanceof RemoteSubscription it)) {
            return false;
        }
        if (response == null || response.status() == 481) {
            // 4.2.2: nobody is there.
            timers.cancel(it.expiryTimer);
            watchers.values().remove(it);
        }
        return true;
    }
}
