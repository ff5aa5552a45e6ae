package coralcove.sip.dialog;

import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;

/** A core that neither makes nor accepts calls: each INVITE is rejected with 405. */
public abstract class CallFreeCore extends AgentCore {
    protected CallFreeCore(Hop localAddress, String startTag) {
        super(localAddress, startTag);
    }

    @Override
    public void invited(long now, Call call, Hop from, Out out) {
        agent.reject(now, call, 405, "Method Not Allowed", out);
    }

    @Override
    public void progressed(long now, Call call, SipMessage response, Out out) {
        // Makes no calls.
    }

    @Override
    public void answered(long now, Call call, SipMessage response, Out out) {
        // Makes no calls.
    }

    @Override
    public void rejected(long now, Call call, SipMessage response, Agent.Lost failure, Out out) {
        // Makes no calls.
    }

    @Override
    public void cancelled(long now, Call call, Out out) {
        // Each INVITE is rejected at once.
    }

    @Override
    public void hungUp(long now, Call call, SipMessage bye, Out out) {
        // Has no established calls.
    }
}
