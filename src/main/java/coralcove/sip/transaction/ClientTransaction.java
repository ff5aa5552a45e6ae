package coralcove.sip.transaction;

import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;

/**
 * A client transaction (RFC 3261 17.1): one request that is retransmitted until it is answered,
 * times out or is abandoned.
 */
public final class ClientTransaction {
    enum State {
        CALLING,
        PROCEEDING,
        COMPLETED,
        ACCEPTED,
        TERMINATED
    }

    final String key;
    final SipMessage request;
    final TransportAddress destination;

    /** The object that the transaction user attached. */
    final Object owner;

    State state = State.CALLING;

    /** Microseconds from the last transmission to the next (timers A and E). */
    long retransmitInterval;

    TimerWheel.Timer retransmitTimer;

    /** Ends the transaction: timers B, D, F, K and M. */
    TimerWheel.Timer endTimer;

    /** The ACK of a failure response, sent again for each copy of the response. */
    SipMessage ack;

    boolean retransmissionStopped;

    ClientTransaction(String key, SipMessage request, TransportAddress to, Object owner) {
        this.key = key;
        this.request = request;
        this.destination = to;
        this.owner = owner;
    }

    public SipMessage request() {
        return request;
    }

    /** The address that the request is sent to. */
    public TransportAddress destination() {
        return destination;
    }

    /** The object that the transaction user attached when it sent the request, or null. */
    public Object owner() {
        return owner;
    }

    boolean isInvite() {
        return request.method().equals("INVITE");
    }

    void transmit(SipOutput out) {
        out.send(destination, request);
    }
}
