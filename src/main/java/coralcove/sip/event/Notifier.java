package coralcove.sip.event;

import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.SipUri;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;
import coralcove.sip.dialog.UserAgent;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The notifier of one event package (RFC 6665 4.2): accepts subscriptions and sends NOTIFY to the
 * subscribers. State whose entity tag the subscriber already has is not sent again (RFC 5839: 204).
 */
public final class Notifier {
    /** The event state: its text, and an entity tag that changes whenever the state does. */
    public record EventState(String entityTag, String body) {}

    /** Provides the current event state. */
    public interface EventStateSource {
        EventState currentState(long now);
    }

    /** A subscription of another node. */
    private static final class RemoteSubscription {
        SipMessage initialRequest;
        TransportAddress address;
        String localTag;
        long sequence;
        long expiresAt;
        TimerWheel.Timer expiryTimer;
    }

    /** Subscriptions at most; a further SUBSCRIBE is answered with 503. */
    private static final int MAX_SUBSCRIPTIONS = 10_000;

    /** The longest duration of a subscription, and the duration if Expires is absent. */
    private static final long MAX_DURATION_SECONDS = 3600;

    private final UserAgent userAgent;
    private final TimerWheel timers;
    private final String event;
    private final String startTag;
    private final EventStateSource source;
    private final Map<String, RemoteSubscription> subscriptions = new LinkedHashMap<>();
    private long nextTag;

    /** {@code startTag} distinguishes the tags of this start from those of all others. */
    public Notifier(
            UserAgent userAgent,
            TimerWheel timers,
            String event,
            String startTag,
            EventStateSource source) {
        this.userAgent = userAgent;
        this.timers = timers;
        this.event = event;
        this.startTag = startTag;
        this.source = source;
    }

    /** Subscriptions that have not expired. */
    public int subscriptionCount() {
        return subscriptions.size();
    }

    /** Handles and answers a SUBSCRIBE. */
    public void handleSubscribe(long now, ServerTransaction transaction, SipOutput out) {
        SipMessage request = transaction.request();
        SipUri contact = SipUri.parse(request.header("Contact", ""));
        long seconds =
                Math.min(
                        MAX_DURATION_SECONDS,
                        request.numericHeader("Expires", MAX_DURATION_SECONDS));
        RemoteSubscription existing = subscriptions.get(request.callId() + "|" + request.toTag());
        if (!request.header("Event", "").equals(event)) {
            userAgent.respond(
                    now,
                    transaction,
                    userAgent
                            .createResponse(transaction, 489, "Bad Event")
                            .add("Allow-Events", event),
                    out);
        } else if (!request.toTag().isEmpty() && existing == null) {
            // 4.2.1.1: the dialog belongs to an earlier start of this program, or has ended.
            userAgent.respond(
                    now,
                    transaction,
                    userAgent.createResponse(transaction, 481, "No such subscription"),
                    out);
        } else if (contact == null || seconds < 0) {
            userAgent.respond(
                    now,
                    transaction,
                    userAgent.createResponse(transaction, 400, "Bad Request"),
                    out);
        } else if (existing == null && subscriptions.size() >= MAX_SUBSCRIPTIONS) {
            userAgent.respond(
                    now,
                    transaction,
                    userAgent.createResponse(transaction, 503, "Full").add("Retry-After", "5"),
                    out);
        } else {
            boolean isNew = existing == null;
            RemoteSubscription subscription = isNew ? new RemoteSubscription() : existing;
            EventState state = source.currentState(now);
            if (isNew) {
                subscription.initialRequest = request.copy();
                subscription.localTag = startTag + "w" + nextTag++;
                subscriptions.put(request.callId() + "|" + subscription.localTag, subscription);
            }
            subscription.address = contact.transportAddress();
            subscription.expiresAt = now + seconds * 1_000_000;
            timers.cancel(subscription.expiryTimer);
            subscription.expiryTimer =
                    timers.schedule(
                            subscription.expiresAt,
                            (at, o) -> subscriptions.values().remove(subscription));
            boolean unchanged = state.entityTag().equals(request.header("Suppress-If-Match"));
            SipMessage reply =
                    SipMessage.responseTo(
                                    request,
                                    unchanged ? 204 : 200,
                                    unchanged ? "No Notification" : "OK",
                                    subscription.localTag)
                            .add("Expires", Long.toString(seconds))
                            .add(
                                    "Contact",
                                    "<" + SipUri.format("", userAgent.localAddress()) + ">");
            userAgent.respond(now, transaction, reply, out);
            if (!unchanged) {
                notify(now, subscription, state.entityTag(), state.body(), out);
            }
            if (seconds == 0) {
                subscriptions.values().remove(subscription);
            }
        }
    }

    /**
     * Notifies all subscribers of a change; {@code tag} is the entity tag of the state after
     * subscription.
     */
    public void notifySubscribers(long now, String tag, String text, SipOutput out) {
        new ArrayList<>(subscriptions.values())
                .forEach(subscription -> notify(now, subscription, tag, text, out));
    }

    private void notify(
            long now, RemoteSubscription subscription, String tag, String text, SipOutput out) {
        subscription.sequence++;
        long secondsLeft = Math.max(0, subscription.expiresAt - now + 999_999) / 1_000_000;
        SipMessage notify =
                SipMessage.request("NOTIFY", SipUri.format("", subscription.address))
                        .add("Max-Forwards", "70")
                        .add(
                                "From",
                                subscription.initialRequest.header("To")
                                        + ";tag="
                                        + subscription.localTag)
                        .add("To", subscription.initialRequest.header("From"))
                        .add("Call-ID", subscription.initialRequest.callId())
                        .add("CSeq", subscription.sequence + " NOTIFY")
                        .add("Contact", "<" + SipUri.format("", userAgent.localAddress()) + ">")
                        .add("Event", event)
                        .add(
                                "Subscription-State",
                                secondsLeft == 0
                                        ? "terminated;reason=timeout"
                                        : "active;expires=" + secondsLeft)
                        .add("SIP-ETag", tag);
        userAgent.send(
                now,
                notify.body("text/plain", text.getBytes(StandardCharsets.UTF_8)),
                subscription.address,
                subscription,
                out);
    }

    /**
     * Handles the response to a NOTIFY, null if none arrived; returns false if the request is not
     * one of this class.
     */
    public boolean handleResponse(ClientTransaction transaction, SipMessage response) {
        if (!(transaction.owner() instanceof RemoteSubscription subscription)) {
            return false;
        }
        if (response == null || response.status() == 481) {
            // 4.2.2: the subscriber no longer exists.
            timers.cancel(subscription.expiryTimer);
            subscriptions.values().remove(subscription);
        }
        return true;
    }
}
