package coralcove.sip.dialog;

import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.TransportAddress;

/** A core that neither makes nor accepts calls: each INVITE is rejected with 405. */
public abstract class InviteRejectingCore extends UserAgentCore {
    protected InviteRejectingCore(TransportAddress localAddress, String startTag) {
        super(localAddress, startTag);
    }

    @Override
    public void callReceived(long now, Call call, TransportAddress from, SipOutput out) {
        userAgent.reject(now, call, 405, "Method Not Allowed", out);
    }

    @Override
    public void provisionalReceived(long now, Call call, SipMessage response, SipOutput out) {
        // Makes no calls.
    }

    @Override
    public void callAnswered(long now, Call call, SipMessage response, SipOutput out) {
        // Makes no calls.
    }

    @Override
    public void callFailed(
            long now,
            Call call,
            SipMessage response,
            UserAgent.CallFailure failure,
            SipOutput out) {
        // Makes no calls.
    }

    @Override
    public void callCancelled(long now, Call call, SipOutput out) {
        // Each INVITE is rejected at once.
    }

    @Override
    public void callEnded(long now, Call call, SipMessage bye, SipOutput out) {
        // Has no established calls.
    }
}
