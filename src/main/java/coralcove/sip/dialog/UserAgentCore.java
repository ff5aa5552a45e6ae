package coralcove.sip.dialog;

import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipCore;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;

/** A core with one {@link UserAgent}: passes its inputs to the user agent and its timers. */
public abstract class UserAgentCore implements SipCore, UserAgent.Application {
    protected final TimerWheel timers = new TimerWheel();
    protected final UserAgent userAgent;

    /**
     * {@code startTag} distinguishes the ids of this start from those of other nodes and starts.
     */
    protected UserAgentCore(TransportAddress localAddress, String startTag) {
        userAgent = new UserAgent(localAddress, timers, startTag, this);
    }

    public final UserAgent userAgent() {
        return userAgent;
    }

    @Override
    public void receive(long now, TransportAddress from, SipMessage message, SipOutput out) {
        userAgent.receive(now, from, message, out);
    }

    @Override
    public void malformedReceived(
            long now, TransportAddress from, MalformedMessageException problem, SipOutput out) {
        userAgent.malformedReceived(now, from, problem, out);
    }

    @Override
    public void connectionFailed(long now, TransportAddress peer, boolean refused, SipOutput out) {
        userAgent.connectionFailed(now, peer, refused, out);
    }

    @Override
    public void tick(long now, SipOutput out) {
        timers.fireExpired(now, out);
    }

    @Override
    public long nextTickAt() {
        return timers.nextDeadline();
    }
}
