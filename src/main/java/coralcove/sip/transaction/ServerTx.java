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
        ENDED
    }

    final String key;
    final SipMessage request;
    Hop back;
    State state = State.PROCEEDING;
    SipMessage last;
    long gap;
    Timers.Timer resend;
    Timers.Timer end;
    String dialog;
    private Object owner;

    ServerTx(String key, SipMessage request, Hop back) {
        this.key = key;
        this.request = request;
        this.back = back;
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

    public boolean answered() {
        return state != State.PROCEEDING;
    }

    boolean invite() {
        return request.method().equals("INVITE");
    }
}
