package coralcove.sip.dialog;

import coralcove.sip.Hop;
import coralcove.sip.SipMessage;
import coralcove.sip.Timers;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import java.util.List;

/**
 * One call leg: an INVITE sent or received, and the dialog that its 2xx establishes. Belongs to one
 * {@link Agent}.
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

    /** The object that the application attached. */
    Object owner;

    String remoteTag = "";
    String remoteTarget = "";

    /** The route set (RFC 3261 12.1), in the order in which requests in the dialog traverse it. */
    List<String> routeSet = List.of();

    /** The re-INVITE or UPDATE sent and not answered yet, or null. */
    ClientTx outgoingChange;

    /** The re-INVITE received and not answered yet, or null. */
    ServerTx incomingChange;

    /** The session interval (RFC 4028), 0 without one. */
    long sessionIntervalMicros;

    /** Refreshes the session, or ends it if the other side does not. */
    Timers.Timer sessionTimer;

    /** Where requests in the dialog are sent. */
    Hop remoteAddress;

    long localSequence;
    long remoteSequence = -1;
    ClientTx clientTransaction;
    ServerTx serverTransaction;

    /** The ACK of the 2xx, sent again for each copy of the 2xx. */
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

    /** The INVITE that started the call. */
    public SipMessage invite() {
        return invite;
    }

    /** The value of Session-ID (RFC 7989), or an empty string. */
    public String sessionId() {
        return sessionId;
    }

    /** The object that the application attached, or null. */
    public Object owner() {
        return owner;
    }

    public void owner(Object owner) {
        this.owner = owner;
    }

    /** Whether this node sent the INVITE. */
    public boolean outgoing() {
        return outgoing;
    }

    /** Whether the call was answered and has not ended. */
    public boolean stands() {
        return state == State.ESTABLISHED;
    }

    /** Whether the INVITE has no final response yet. */
    public boolean trying() {
        return state == State.TRYING;
    }

    /** Whether this side cancelled the outgoing call before it was answered. */
    public boolean cancelled() {
        return cancelled;
    }

    String key() {
        return invite.callId() + "|" + localTag;
    }
}
