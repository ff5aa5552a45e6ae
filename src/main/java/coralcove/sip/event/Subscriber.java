package coralcove.sip.event;

import coralcove.sip.ParameterizedValue;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.SipUri;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;
import coralcove.sip.dialog.UserAgent;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The subscriptions of one node (RFC 6665). Each is a dialog that is renewed before it expires. A
 * NOTIFY is accepted only within its dialog and from the notifier's address, otherwise answered
 * with 481, and only with a rising CSeq, otherwise answered with 500; both are counted. The
 * notifier suppresses unchanged state (RFC 5839). After a subscription has ended the user decides
 * when to subscribe again.
 */
public final class Subscriber {
    /**
     * How the user processed the body of a NOTIFY: malformed (answered with 400), valid but not
     * leading to the complete state, or the state is complete.
     */
    public enum NotifyResult {
        MALFORMED,
        INCOMPLETE,
        COMPLETE
    }

    /** The application that uses the subscriptions. */
    public interface Listener {
        /** A NOTIFY with a body arrived. */
        NotifyResult notifyReceived(
                long now, Subscription subscription, SipMessage notify, SipOutput out);

        /** A renewal was answered with 204: the last state received is current. */
        void subscriptionRenewed(long now, Subscription subscription, SipOutput out);

        /** The subscription has ended; no further method is called for it. */
        void subscriptionEnded(long now, Subscription subscription, String reason, SipOutput out);
    }

    /**
     * Share of its duration after which a subscription is renewed, plus random jitter so that many
     * subscribers do not renew at the same time.
     */
    private static final double MIN_RENEWAL_SHARE = 0.35;

    private static final double RENEWAL_JITTER_SHARE = 0.15;

    /** Subscriptions of one node at most. */
    private static final int MAX_SUBSCRIPTIONS = 64;

    /**
     * A granted duration outside of these limits is replaced by the nearer limit. RFC 6665 names an
     * hour as a common duration.
     */
    private static final long MIN_DURATION_SECONDS = 1;

    private static final long MAX_DURATION_SECONDS = 3600;

    private final UserAgent userAgent;
    private final TimerWheel timers;
    private final RandomGenerator random;
    private final Listener user;
    private final Map<String, Subscription> subscriptions = new HashMap<>();

    public Subscriber(
            UserAgent userAgent, TimerWheel timers, RandomGenerator random, Listener user) {
        this.userAgent = userAgent;
        this.timers = timers;
        this.random = random;
        this.user = user;
    }

    /**
     * Subscribes to an event package at {@code to}, renewing every time before {@code seconds} have
     * passed; returns null if the node has the maximum of subscriptions.
     */
    public Subscription subscribe(
            long now,
            TransportAddress to,
            String event,
            long seconds,
            Object owner,
            String localNumber,
            SipOutput out) {
        if (subscriptions.size() >= MAX_SUBSCRIPTIONS) {
            userAgent.incrementCounter("too-many-subscriptions");
            return null;
        }
        SipMessage request =
                userAgent
                        .createRequest("SUBSCRIBE", SipUri.format("", to))
                        .add("Event", event)
                        .add("Expires", Long.toString(seconds))
                        .add("X-Number", localNumber);
        Subscription subscription = new Subscription(to, event, owner, request.copy());
        subscription.durationSeconds = seconds;
        subscription.requestPending = true;
        subscriptions.put(subscription.key(), subscription);
        // 4.1.2.4, timer N: without a NOTIFY within its duration the subscription was not
        // established.
        subscription.expiresAt = now + seconds * 1_000_000;
        subscription.expiryTimer =
                timers.schedule(
                        subscription.expiresAt, (at, o) -> end(at, subscription, "no NOTIFY", o));
        userAgent.send(now, request, to, subscription, out);
        return subscription;
    }

    /**
     * Requests the current state, with {@code full} also if it has not changed. While a request is
     * pending nothing is sent, but a full refresh follows its response.
     */
    public void refresh(long now, Subscription subscription, boolean full, SipOutput out) {
        if (!subscription.isActive()
                || subscription.requestPending
                || subscription.remoteTag.isEmpty()) {
            subscription.fullRefreshWanted |= full;
            return;
        }
        subscription.requestPending = true;
        subscription.localSequence++;
        SipMessage request =
                SipMessage.request("SUBSCRIBE", SipUri.format("", subscription.notifierAddress))
                        .add("Max-Forwards", "70")
                        .add("From", subscription.initialRequest.header("From"))
                        .add(
                                "To",
                                subscription.initialRequest.header("To")
                                        + ";tag="
                                        + subscription.remoteTag)
                        .add("Call-ID", subscription.initialRequest.callId())
                        .add("CSeq", subscription.localSequence + " SUBSCRIBE")
                        .add("Contact", subscription.initialRequest.header("Contact"))
                        .add("Event", subscription.event)
                        .add("Expires", Long.toString(subscription.durationSeconds))
                        .add("X-Number", subscription.initialRequest.header("X-Number", ""));
        if (!full && !subscription.entityTag.isEmpty()) {
            request.add("Suppress-If-Match", subscription.entityTag);
        }
        userAgent.send(now, request, subscription.notifierAddress, subscription, out);
    }

    private void end(long now, Subscription subscription, String reason, SipOutput out) {
        if (!subscription.isActive()) {
            return;
        }
        subscription.ended = true;
        timers.cancel(subscription.renewalTimer);
        timers.cancel(subscription.expiryTimer);
        subscriptions.remove(subscription.key());
        userAgent.incrementCounter("subscription-ended");
        user.subscriptionEnded(now, subscription, reason, out);
    }

    /** Starts the granted duration: sets the timers of expiry and renewal. */
    private void startDuration(long now, Subscription subscription, long seconds) {
        long duration =
                Math.max(MIN_DURATION_SECONDS, Math.min(MAX_DURATION_SECONDS, seconds)) * 1_000_000;
        subscription.expiresAt = now + duration;
        timers.cancel(subscription.expiryTimer);
        timers.cancel(subscription.renewalTimer);
        subscription.expiryTimer =
                timers.schedule(
                        subscription.expiresAt, (at, o) -> end(at, subscription, "not renewed", o));
        long renewalDelay =
                (long)
                        (duration
                                * (MIN_RENEWAL_SHARE + RENEWAL_JITTER_SHARE * random.nextDouble()));
        subscription.renewalTimer =
                timers.schedule(now + renewalDelay, (at, o) -> refresh(at, subscription, false, o));
    }

    /**
     * Handles a response to a SUBSCRIBE, null if none arrived; returns false if the request is not
     * one of this class.
     */
    public boolean handleResponse(
            long now, ClientTransaction transaction, SipMessage response, SipOutput out) {
        if (!(transaction.owner() instanceof Subscription subscription)) {
            return false;
        }
        if (response != null && response.status() < 200) {
            return true;
        }
        subscription.requestPending = false;
        if (!subscription.isActive()) {
            return true;
        }
        boolean refreshAgain = subscription.fullRefreshWanted;
        subscription.fullRefreshWanted = false;
        boolean renewal = !subscription.remoteTag.isEmpty();
        int status = response == null ? 408 : response.status();
        if (status < 300) {
            if (subscription.remoteTag.isEmpty()) {
                subscription.remoteTag = response.toTag();
            }
            startDuration(
                    now,
                    subscription,
                    response.numericHeader("Expires", subscription.durationSeconds));
            if (renewal && status == 204) {
                user.subscriptionRenewed(now, subscription, out);
            }
            if (refreshAgain) {
                refresh(now, subscription, true, out);
            }
        } else if (status == 423
                && response.numericHeader("Min-Expires", 0) > subscription.durationSeconds
                && subscription.durationSeconds < MAX_DURATION_SECONDS
                && !renewal) {
            // The notifier requires a longer duration: subscribe again with its minimum.
            subscription.durationSeconds =
                    Math.min(MAX_DURATION_SECONDS, response.numericHeader("Min-Expires", 0));
            subscription.localSequence++;
            subscription.requestPending = true;
            userAgent.send(
                    now,
                    subscription
                            .initialRequest
                            .copy()
                            .set("CSeq", subscription.localSequence + " SUBSCRIBE")
                            .set("Expires", Long.toString(subscription.durationSeconds)),
                    subscription.notifierAddress,
                    subscription,
                    out);
        } else if (!renewal || status == 481 || status == 489 || status == 403 || status == 404) {
            end(now, subscription, response == null ? "no answer" : "answered " + status, out);
        } else {
            // 4.1.2.2: after any other failed renewal the subscription remains valid until it
            // expires; the renewal is retried.
            subscription.renewalTimer =
                    timers.schedule(
                            now + Math.max(1, (subscription.expiresAt - now) / 2),
                            (at, o) -> refresh(at, subscription, false, o));
        }
        return true;
    }

    /** Handles and answers a NOTIFY. */
    public void handleNotify(
            long now, ServerTransaction transaction, TransportAddress from, SipOutput out) {
        SipMessage notify = transaction.request();
        Subscription subscription = subscriptions.get(notify.callId() + "|" + notify.toTag());
        boolean dialogMatches =
                subscription != null
                        && (subscription.remoteTag.isEmpty()
                                || subscription.remoteTag.equals(notify.fromTag()));
        if (!dialogMatches
                || !isFromNotifier(subscription, from)
                || !ParameterizedValue.parse(notify.header("Event", ""))
                        .value()
                        .equals(subscription.event)) {
            // Anyone who can reach the port can send a NOTIFY, so its body is not read.
            userAgent.incrementCounter(dialogMatches ? "notify-elsewhere" : "notify-no-dialog");
            userAgent.respond(
                    now,
                    transaction,
                    userAgent.createResponse(transaction, 481, "No such subscription"),
                    out);
            return;
        }
        if (notify.cseqNumber() <= subscription.remoteSequence) {
            userAgent.incrementCounter("notify-order");
            userAgent.respond(
                    now,
                    transaction,
                    userAgent.createResponse(transaction, 500, "CSeq out of order"),
                    out);
            return;
        }
        ParameterizedValue state =
                ParameterizedValue.parse(notify.header("Subscription-State", ""));
        if (state.value().isEmpty() || notify.fromTag().isEmpty()) {
            userAgent.incrementCounter("bad-notify");
            userAgent.respond(
                    now,
                    transaction,
                    userAgent.createResponse(transaction, 400, "Subscription-State is missing"),
                    out);
            return;
        }
        subscription.remoteTag = notify.fromTag();
        subscription.remoteSequence = notify.cseqNumber();
        boolean terminated = state.value().equalsIgnoreCase("terminated");
        NotifyResult result =
                notify.body().length == 0
                        ? NotifyResult.INCOMPLETE
                        : user.notifyReceived(now, subscription, notify, out);
        boolean accepted = result != NotifyResult.MALFORMED;
        if (!accepted) {
            userAgent.incrementCounter("bad-notify");
        }
        userAgent.respond(
                now,
                transaction,
                accepted
                        ? userAgent.createResponse(transaction, 200, "OK")
                        : userAgent.createResponse(transaction, 400, "Bad Request"),
                out);
        if (terminated) {
            end(now, subscription, "terminated, " + state.parameter("reason", "no reason"), out);
            return;
        }
        // After a gap the entity tag would suppress the full state that is needed.
        subscription.entityTag =
                result == NotifyResult.COMPLETE ? notify.header("SIP-ETag", "") : "";
        startDuration(
                now, subscription, state.numericParameter("expires", subscription.durationSeconds));
    }

    /**
     * Whether the address is the notifier's: the same host, and over UDP the same port; a TCP
     * connection can come from any port. A host given by name is not compared.
     */
    private static boolean isFromNotifier(Subscription subscription, TransportAddress from) {
        boolean isAddressLiteral =
                subscription.notifierAddress.host().matches("[0-9.]+|\\[.*]|.*:.*");
        return (from.host().equals(subscription.notifierAddress.host()) || !isAddressLiteral)
                && (from.tcp() || from.port() == subscription.notifierAddress.port());
    }
}
