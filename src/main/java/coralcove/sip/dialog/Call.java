package coralcove.sip.dialog;

import coralcove.sip.SipMessage;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
import java.util.List;

/**
 * One call leg: an INVITE sent or received, and the dialog that its 2xx establishes. Belongs to one
 * {@link UserAgent}.
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
    ClientTransaction outgoingChange;

    /** The re-INVITE received and not answered yet, or null. */
    ServerTransaction incomingChange;

    /** The session interval (RFC 4028), 0 without one. */
    long sessionIntervalMicros;

    /** Refreshes the session, or ends it if the other side does not. */
    TimerWheel.Timer sessionTimer;

    /** Where requests in the dialog are sent. */
    TransportAddress remoteAddress;

    long localSequence;
    long remoteSequence = -1;
    ClientTransaction clientTransaction;
    ServerTransaction serverTransaction;

    /** The ACK of the 2xx, sent again for each copy of the 2xx. */
    SipMessage ack;

    boolean provisionalReceived;
    boolean isCancelled;
    State state = State.TRYING;

    Call(boolean outgoing, SipMessage invite, String localTag) {
        this.outgoing = outgoing;
        this.invite = invite;
        this.localTag = localTag;
        sessionId = invite.header("Session-ID", "");
        localSequence = outgoing ? invite.cseqNumber() : 1;
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
    public boolean isEstablished() {
        return state == State.ESTABLISHED;
    }

    /** Whether the INVITE has no final response yet. */
    public boolean isPending() {
        return state == State.TRYING;
    }

    /** Whether this side cancelled the outgoing call before it was answered. */
    public boolean isCancelled() {
        return isCancelled;
    }

    String key() {
        return invite.callId() + "|" + localTag;
    }
}
