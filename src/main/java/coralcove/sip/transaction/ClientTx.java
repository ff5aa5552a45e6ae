package coralcove.sip.transaction;

import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.Timers;

/**
 * A client transaction (RFC 3261 17.1): one request that is retransmitted until it is answered,
 * times out or is abandoned.
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

    /** The object that the transaction user attached. */
    final Object owner;

    State state = State.CALLING;

    /** Microseconds from the last transmission to the next (timers A and E). */
    long retransmitInterval;

    Timers.Timer retransmitTimer;

    /** Ends the transaction: timers B, D, F, K and M. */
    Timers.Timer endTimer;

    /** The ACK of a failure response, sent again for each copy of the response. */
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

    /** The address that the request is sent to. */
    public Hop to() {
        return to;
    }

    /** The object that the transaction user attached when it sent the request, or null. */
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
