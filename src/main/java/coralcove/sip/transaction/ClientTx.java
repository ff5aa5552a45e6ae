package coralcove.sip.transaction;

import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.Timers;

/**
 * A client transaction (RFC 3261 17.1): one request sent until it is answered, timed out or given
 * up on.
 */
public final class ClientTx {
    enum State {
        CALLING,
        PROCEEDING,
        COMPLETED,
        ACCEPTED,
        TERMINATED
    }

    final String key;
    final SipMessage request;
    final Hop to;
    final Object owner;
    State state = State.CALLING;
    long retransmitInterval;
    Timers.Timer retransmitTimer;
    Timers.Timer endTimer;
    SipMessage ack;
    boolean retransmissionStopped;

    ClientTx(String key, SipMessage request, Hop to, Object owner) {
        this.key = key;
        this.request = request;
        this.to = to;
        this.owner = owner;
    }

    public SipMessage request() {
        return request;
    }

    public Hop to() {
        return to;
    }

    /** What the user attached when it sent the request. */
    public Object owner() {
        return owner;
    }

    boolean isInvite() {
        return request.method().equals("INVITE");
    }

    void transmit(Out out) {
        out.send(to, request);
    }
}
