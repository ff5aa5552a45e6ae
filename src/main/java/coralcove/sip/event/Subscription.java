package coralcove.sip.event;

import coralcove.sip.Hop;
import coralcove.sip.SipMessage;
import coralcove.sip.Timers;

/**
 * One subscription of this node (RFC 6665 4.1): a dialog in which only the notifier that was asked
 * is heard.
 */
public final class Subscription {
    final Hop to;
    final String event;
    final Object owner;

    /** The first SUBSCRIBE: its From, Call-ID and Contact are the dialog's. */
    final SipMessage initialRequest;

    boolean ended;
    String remoteTag = "";
    long localSequence = 1;
    long remoteSequence = -1;
    String entityTag = "";
    long durationSeconds;
    long expiresAt;
    boolean requestPending;

    /** The whole state is wanted as soon as the answer under way has come. */
    boolean fullRefreshWanted;

    Timers.Timer renewalTimer;
    Timers.Timer expiryTimer;

    Subscription(Hop to, String event, Object owner, SipMessage first) {
        this.to = to;
        this.event = event;
        this.owner = owner;
        this.initialRequest = first;
    }

    public Hop to() {
        return to;
    }

    public String event() {
        return event;
    }

    /** What the user attached when it subscribed. */
    public Object owner() {
        return owner;
    }

    /** Whether it has not ended yet. */
    public boolean stands() {
        return !ended;
    }

    String key() {
        return initialRequest.callId() + "|" + initialRequest.fromTag();
    }
}
