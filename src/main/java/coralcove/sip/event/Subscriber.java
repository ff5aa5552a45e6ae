package coralcove.sip.event;

import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.Params;
import coralcove.sip.SipMessage;
import coralcove.sip.SipUri;
import coralcove.sip.Timers;
import coralcove.sip.dialog.Agent;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The subscriptions of one node (RFC 6665): each is a dialog, renewed before its end, and a NOTIFY
 * counts only within it, from where it was asked for, in order of CSeq; any other is answered 481
 * and counted. What has not changed is not sent again (RFC 5839). When a subscription has ended its
 * user decides when to ask anew.
 */
public final class Subscriber {
    /**
     * What a NOTIFY's body was: not to be read (answered 400), read but with a gap before it, or
     * all that holds.
     */
    public enum News {
        BAD,
        GAP,
        WHOLE
    }

    /** What is told to the program above. */
    public interface User {
        News notified(long now, Subscription it, SipMessage notify, Out out);

        /** It was renewed: what it said last holds as of now. */
        void renewed(long now, Subscription it, Out out);

        /** It is not in force any more; nothing more comes of it. */
        void ended(long now, Subscription it, String why, Out out);
    }

    /**
     * Share of its life after which a subscription is renewed, and what chance adds: many must not
     * come together.
     */
    private static final double MIN_RENEWAL_SHARE = 0.35;

    private static final double RENEWAL_JITTER_SHARE = 0.15;

    /** Subscriptions of one node at most. */
    private static final int MAX_SUBSCRIPTIONS = 64;

    /**
     * Seconds: lives granted outside of this are taken as the nearest (an hour is RFC 6665's common
     * one).
     */
    private static final long MIN_DURATION_SECONDS = 1;

    private static final long MAX_DURATION_SECONDS = 3600;

    private final Agent agent;
    private final Timers timers;
    private final RandomGenerator random;
    private final User user;
    private final Map<String, Subscription> subscriptions = new HashMap<>();

    public Subscriber(Agent agent, Timers timers, RandomGenerator chance, User user) {
        this.agent = agent;
        this.timers = timers;
        this.random = chance;
        this.user = user;
    }

    /**
     * Asks {@code to} for news of {@code event}, for {@code seconds} at a time; null past the
     * bound.
     */
    public Subscription subscribe(
            long now, Hop to, String event, long seconds, Object owner, String ownNumber, Out out) {
        if (subscriptions.size() >= MAX_SUBSCRIPTIONS) {
            agent.count("too-many-subscriptions");
            return null;
        }
        SipMessage request =
                agent.request("SUBSCRIBE", SipUri.text("", to))
                        .add("Event", event)
                        .add("Expires", Long.toString(seconds))
                        .add("X-Number", ownNumber);
        Subscription it = new Subscription(to, event, owner, request.copy());
        it.durationSeconds = seconds;
        it.requestPending = true;
        subscriptions.put(it.key(), it);
        // 4.1.2.4, timer N: no NOTIFY within one life and the subscription never was.
        it.expiresAt = now + seconds * 1_000_000;
        it.expiryTimer = timers.set(it.expiresAt, (at, o) -> end(at, it, "no NOTIFY", o));
        agent.send(now, request, to, it, out);
        return it;
    }

    /**
     * Asks for all that holds now, unless the answer is under way; {@code whole}: also if nothing
     * has changed.
     */
    public void refresh(long now, Subscription it, boolean whole, Out out) {
        if (!it.stands() || it.requestPending || it.remoteTag.isEmpty()) {
            it.fullRefreshWanted |= whole;
            return;
        }
        it.requestPending = true;
        it.localSequence++;
        SipMessage request =
                SipMessage.request("SUBSCRIBE", SipUri.text("", it.to))
                        .add("Max-Forwards", "70")
                        .add("From", it.initialRequest.header("From"))
                        .add("To", it.initialRequest.header("To") + ";tag=" + it.remoteTag)
                        .add("Call-ID", it.initialRequest.callId())
                        .add("CSeq", it.localSequence + " SUBSCRIBE")
                        .add("Contact", it.initialRequest.header("Contact"))
                        .add("Event", it.event)
                        .add("Expires", Long.toString(it.durationSeconds))
                        .add("X-Number", it.initialRequest.header("X-Number", ""));
        if (!whole && !it.entityTag.isEmpty()) {
            request.add("Suppress-If-Match", it.entityTag);
        }
        agent.send(now, request, it.to, it, out);
    }

    private void end(long now, Subscription it, String why, Out out) {
        if (!it.stands()) {
            return;
        }
        it.ended = true;
        timers.cancel(it.renewalTimer);
        timers.cancel(it.expiryTimer);
        subscriptions.remove(it.key());
        agent.count("subscription-ended");
        user.ended(now, it, why, out);
    }

    private void startDuration(long now, Subscription it, long seconds) {
        long life =
                Math.max(MIN_DURATION_SECONDS, Math.min(MAX_DURATION_SECONDS, seconds)) * 1_000_000;
        it.expiresAt = now + life;
        timers.cancel(it.expiryTimer);
        timers.cancel(it.renewalTimer);
        it.expiryTimer = timers.set(it.expiresAt, (at, o) -> end(at, it, "not renewed", o));
        long wait =
                (long) (life * (MIN_RENEWAL_SHARE + RENEWAL_JITTER_SHARE * random.nextDouble()));
        it.renewalTimer = timers.set(now + wait, (at, o) -> refresh(at, it, false, o));
    }

    /**
     * The answer to one of this class's requests, or null where none came; false if the request was
     * another's.
     */
    public boolean replied(long now, ClientTx transaction, SipMessage response, Out out) {
        if (!(transaction.owner() instanceof Subscription it)) {
            return false;
        }
        if (response != null && response.status() < 200) {
            return true;
        }
        it.requestPending = false;
        if (!it.stands()) {
            return true;
        }
        boolean again = it.fullRefreshWanted;
        it.fullRefreshWanted = false;
        boolean renewal = !it.remoteTag.isEmpty();
        int status = response == null ? 408 : response.status();
        if (status < 300) {
            if (it.remoteTag.isEmpty()) {
                it.remoteTag = response.toTag();
            }
            startDuration(now, it, response.number("Expires", it.durationSeconds));
            if (renewal && status == 204) {
                user.renewed(now, it, out);
            }
            if (again) {
                refresh(now, it, true, out);
            }
        } else if (status == 423
                && response.number("Min-Expires", 0) > it.durationSeconds
                && it.durationSeconds < MAX_DURATION_SECONDS
                && !renewal) {
            // The notifier wants longer lives: asked once more, with its least.
            it.durationSeconds = Math.min(MAX_DURATION_SECONDS, response.number("Min-Expires", 0));
            it.localSequence++;
            it.requestPending = true;
            agent.send(
                    now,
                    it.initialRequest
                            .copy()
                            .set("CSeq", it.localSequence + " SUBSCRIBE")
                            .set("Expires", Long.toString(it.durationSeconds)),
                    it.to,
                    it,
                    out);
        } else if (!renewal || status == 481 || status == 489 || status == 403 || status == 404) {
            end(now, it, response == null ? "no answer" : "answered " + status, out);
        } else {
            // 4.1.2.2: a renewal that failed otherwise leaves the subscription in force to its end;
            // it is tried again.
            it.renewalTimer =
                    timers.set(
                            now + Math.max(1, (it.expiresAt - now) / 2),
                            (at, o) -> refresh(at, it, false, o));
        }
        return true;
    }

    /** A NOTIFY, answered here. */
    public void notified(long now, ServerTx transaction, Hop from, Out out) {
        SipMessage notify = transaction.request();
        Subscription it = subscriptions.get(notify.callId() + "|" + notify.toTag());
        boolean dialog =
                it != null && (it.remoteTag.isEmpty() || it.remoteTag.equals(notify.fromTag()));
        if (!dialog
                || !isFromNotifier(it, from)
                || !Params.of(notify.header("Event", "")).value().equals(it.event)) {
            // Anyone who reaches the port can send one: it is not looked into.
            agent.count(dialog ? "notify-elsewhere" : "notify-no-dialog");
            agent.respond(
                    now, transaction, agent.reply(transaction, 481, "No such subscription"), out);
            return;
        }
        if (notify.sequence() <= it.remoteSequence) {
            agent.count("notify-order");
            agent.respond(
                    now, transaction, agent.reply(transaction, 500, "CSeq out of order"), out);
            return;
        }
        Params state = Params.of(notify.header("Subscription-State", ""));
        if (state.value().isEmpty() || notify.fromTag().isEmpty()) {
            agent.count("bad-notify");
            agent.respond(
                    now,
                    transaction,
                    agent.reply(transaction, 400, "Subscription-State is missing"),
                    out);
            return;
        }
        it.remoteTag = notify.fromTag();
        it.remoteSequence = notify.sequence();
        boolean over = state.value().equalsIgnoreCase("terminated");
        News news = notify.body().length == 0 ? News.GAP : user.notified(now, it, notify, out);
        boolean taken = news != News.BAD;
        if (!taken) {
            agent.count("bad-notify");
        }
        agent.respond(
                now,
                transaction,
                taken
                        ? agent.reply(transaction, 200, "OK")
                        : agent.reply(transaction, 400, "Bad Request"),
                out);
        if (over) {
            end(now, it, "terminated, " + state.get("reason", "no reason"), out);
            return;
        }
        // After a gap the tag would suppress the very list that is wanted.
        it.entityTag = news == News.WHOLE ? notify.header("SIP-ETag", "") : "";
        startDuration(now, it, state.number("expires", it.durationSeconds));
    }

    /**
     * Only the host that was asked, and over UDP only its port: a stream comes from any port of it.
     */
    private static boolean isFromNotifier(Subscription it, Hop from) {
        boolean literal = it.to.host().matches("[0-9.]+|\\[.*]|.*:.*");
        return (from.host().equals(it.to.host()) || !literal)
                && (from.tcp() || from.port() == it.to.port());
    }
}
