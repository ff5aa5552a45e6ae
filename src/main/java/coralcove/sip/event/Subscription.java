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
    final SipMessage first;

    boolean ended;
    String remoteTag = "";
    long sequence = 1;
    long heardSequence = -1;
    String etag = "";
    long seconds;
    long expiresAt;
    boolean asking;

    /** The whole state is wanted as soon as the answer under way has come. */
    boolean again;

    Timers.Timer renew;
    Timers.Timer end;

    Subscription(Hop to, String event, Object owner, SipMessage first) {
        this.to = to;
        this.event = event;
        this.owner = owner;
        this.first = first;
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
        return first.callId() + "|" + first.fromTag();
    }
}
