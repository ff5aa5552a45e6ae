package coralcove.sip.transaction;

import coralcove.sip.SipMessage;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;

/**
 * A server transaction (RFC 3261 17.2): one request received, and its last response, which is
 * retransmitted as needed.
 */
public final class ServerTransaction {
    enum State {
        PROCEEDING,
        COMPLETED,
        ACCEPTED,
        CONFIRMED,
        TERMINATED
    }

    final String key;
    final SipMessage request;

    /** The address that responses are sent to. */
    TransportAddress responseAddress;

    State state = State.PROCEEDING;
    SipMessage lastResponse;

    /** Microseconds from the last transmission of the response to the next (timer G). */
    long retransmitInterval;

    TimerWheel.Timer retransmitTimer;

    /** Ends the transaction: timers H, I, J and L. */
    TimerWheel.Timer endTimer;

    /** The key by which the ACK of a 2xx is matched; null until a 2xx was sent. */
    String ackKey;

    private Object owner;

    ServerTransaction(String key, SipMessage request, TransportAddress responseAddress) {
        this.key = key;
        this.request = request;
        this.responseAddress = responseAddress;
    }

    public SipMessage request() {
        return request;
    }

    /** The object that the transaction user attached, or null. */
    public Object owner() {
        return owner;
    }

    public void owner(Object owner) {
        this.owner = owner;
    }

    /** Whether a final response was sent. */
    public boolean hasFinalResponse() {
        return state != State.PROCEEDING;
    }

    boolean isInvite() {
        return request.method().equals("INVITE");
    }
}
