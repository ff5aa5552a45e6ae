package coralcove.sip.dialog;

import coralcove.sip.Hop;
import coralcove.sip.SipMessage;
import coralcove.sip.Timers;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import java.util.List;

/**
 * One leg: an INVITE sent or received, and the dialog that its 2xx makes. Owned by one {@link
 * Agent}.
 */
public final class Call {
    enum State {
        TRYING,
        ESTABLISHED,
        TERMINATED
    }

    final boolean outgoing;
    final SipMessage invite;
    final String localTag;
    final String sessionId;
    Object owner;
    String remoteTag = "";
    String remoteTarget = "";

    /** The route set (RFC 3261 12.1), in the order in which in-dialog requests pass it. */
    List<String> routeSet = List.of();

    /** The re-INVITE or UPDATE that is out, and the one that came and waits for its answer. */
    ClientTx outgoingChange;

    ServerTx incomingChange;

    /** µs of the session interval (RFC 4028), 0 for none. */
    long sessionIntervalMicros;

    Timers.Timer sessionTimer;
    Hop remoteAddress;
    long localSequence;
    long remoteSequence = -1;
    ClientTx clientTransaction;
    ServerTx serverTransaction;
    SipMessage ack;
    boolean provisionalReceived;
    boolean cancelled;
    State state = State.TRYING;

    Call(boolean outgoing, SipMessage invite, String localTag) {
        this.outgoing = outgoing;
        this.invite = invite;
        this.localTag = localTag;
        sessionId = invite.header("Session-ID", "");
        localSequence = outgoing ? invite.sequence() : 1;
    }

    public SipMessage invite() {
        return invite;
    }

    public String sessionId() {
        return sessionId;
    }

    public Object owner() {
        return owner;
    }

    public void owner(Object it) {
        owner = it;
    }

    public boolean outgoing() {
        return outgoing;
    }

    public boolean stands() {
        return state == State.ESTABLISHED;
    }

    public boolean trying() {
        return state == State.TRYING;
    }

    /** Whether its own side gave it up before it was answered. */
    public boolean cancelled() {
        return cancelled;
    }

    String key() {
        return invite.callId() + "|" + localTag;
    }
}
