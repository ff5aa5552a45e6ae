package coralcove.sip.transaction;

import coralcove.sip.Hop;
import coralcove.sip.SipMessage;
import coralcove.sip.Timers;

/**
 * A server transaction (RFC 3261 17.2): one request received, and the answer that is sent again as
 * needed.
 */
public final class ServerTx {
    enum State {
        PROCEEDING,
        COMPLETED,
        ACCEPTED,
        CONFIRMED,
        TERMINATED
    }

    final String key;
    final SipMessage request;
    Hop responseAddress;
    State state = State.PROCEEDING;
    SipMessage lastResponse;
    long retransmitInterval;
    Timers.Timer retransmitTimer;
    Timers.Timer endTimer;
    String ackKey;
    private Object owner;

    ServerTx(String key, SipMessage request, Hop back) {
        this.key = key;
        this.request = request;
        this.responseAddress = back;
    }

    public SipMessage request() {
        return request;
    }

    /** What the user attached. */
    public Object owner() {
        return owner;
    }

    public void owner(Object it) {
        owner = it;
    }

    public boolean hasFinalResponse() {
        return state != State.PROCEEDING;
    }

    boolean isInvite() {
        return request.method().equals("INVITE");
    }
}
