package coralcove.sip.event;

import coralcove.sip.SipMessage;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;

/**
 * One subscription of this node (RFC 6665 4.1): a dialog in which only the notifier at the address
 * subscribed to is accepted.
 */
public final class Subscription {
    final TransportAddress notifierAddress;
    final String event;
    final Object owner;

    /** The first SUBSCRIBE, whose From, Call-ID and Contact are used throughout the dialog. */
    final SipMessage initialRequest;

    boolean ended;
    String remoteTag = "";
    long localSequence = 1;
    long remoteSequence = -1;

    /** The SIP-ETag of the last complete state, or an empty string. */
    String entityTag = "";

    /** The duration that is requested. */
    long durationSeconds;

    long expiresAt;

    /** Whether a SUBSCRIBE has no final response yet. */
    boolean requestPending;

    /** Whether the full state is to be requested after the pending SUBSCRIBE is answered. */
    boolean fullRefreshWanted;

    TimerWheel.Timer renewalTimer;
    TimerWheel.Timer expiryTimer;

    Subscription(TransportAddress to, String event, Object owner, SipMessage initialRequest) {
        this.notifierAddress = to;
        this.event = event;
        this.owner = owner;
        this.initialRequest = initialRequest;
    }

    /** The address of the notifier. */
    public TransportAddress notifierAddress() {
        return notifierAddress;
    }

    /** The event package. */
    public String event() {
        return event;
    }

    /** The object that the user attached when it subscribed. */
    public Object owner() {
        return owner;
    }

    /** Whether the subscription has not ended. */
    public boolean isActive() {
        return !ended;
    }

    String key() {
        return initialRequest.callId() + "|" + initialRequest.fromTag();
    }
}
