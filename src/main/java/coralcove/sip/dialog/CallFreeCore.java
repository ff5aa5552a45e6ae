package coralcove.sip.dialog;

import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;

/** A core that makes no calls and takes none: an INVITE is answered 405. */
public abstract class CallFreeCore extends AgentCore {
    protected CallFreeCore(Hop self, String seed) {
        super(self, seed);
    }

    @Override
    public void invited(long now, Call call, Hop from, Out out) {
        agent.reject(now, call, 405, "Method Not Allowed", out);
    }

    @Override
    public void progressed(long now, Call call, SipMessage response, Out out) {
        // It makes no calls.
    }

    @Override
    public void answered(long now, Call call, SipMessage response, Out out) {
        // It makes no calls.
    }

    @Override
    public void rejected(long now, Call call, SipMessage response, Agent.Lost lost, Out out) {
        // It makes no calls.
    }

    @Override
    public void cancelled(long now, Call call, Out out) {
        // It answers at once.
    }

    @Override
    public void hungUp(long now, Call call, SipMessage bye, Out out) {
        // No call stands here.
    }
}
