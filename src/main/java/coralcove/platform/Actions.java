package coralcove.platform;

import coralcove.platform.caller.CallerMessage;
import coralcove.sip.SipMessage;

/**
 * What the core has done on the sockets, in order. Callers' connections and legs (connections to
 * exchanges) have numbers.
 */
public interface Actions {
    void toCaller(long caller, CallerMessage message);

    /** Closes after all that was written before has gone out. */
    void closeCaller(long caller);

    /** Opens a leg; told by {@link RouterCore#legUp} or {@link RouterCore#legDown}. */
    void connect(long leg, String address);

    void toLeg(long leg, SipMessage message);

    /** Closes a leg; nothing more is told of it. */
    void closeLeg(long leg);

    void toPeers(byte[] body);

    void log(String event, String session, String detail);

    /** No further connection is taken; those that are open go on. */
    void deaf();

    /** Nothing is owed any more: the program may end once what was written has gone out. */
    void end();
}
