package coralcove.sip.event;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.TraceFiles;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;
import coralcove.sip.dialog.Call;
import coralcove.sip.dialog.UserAgent;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A subscriber against a notifier whose messages the test creates one by one; the trace of all
 * messages and events is compared with a stored one.
 */
class SubscriptionTest implements SipOutput, Subscriber.Listener, UserAgent.Application {
    private static final TransportAddress SELF = new TransportAddress(false, "127.0.0.1", 1);
    private static final TransportAddress NOTIFIER = new TransportAddress(false, "127.0.0.1", 3);
    private final TimerWheel timers = new TimerWheel();
    private final UserAgent userAgent = new UserAgent(SELF, timers, "s", this);
    private final Subscriber subscriber =
            new Subscriber(userAgent, timers, new SplittableRandom(1), this);
    private final StringBuilder trace = new StringBuilder();
    private SipMessage lastRequest;
    private Subscriber.NotifyResult nextResult = Subscriber.NotifyResult.COMPLETE;
    private long now = 1_000_000;
    private long cseq;
    private int nextBranch;

    private SubscriptionTest subscribe() {
        subscriber.subscribe(now, NOTIFIER, "exchanges", 12, "owner", "0", this);
        return this;
    }

    private SubscriptionTest note(String text) {
        trace.append(now / 1000).append(" ms  ").append(text).append('\n');
        return this;
    }

    private SubscriptionTest runFor(long millis) {
        long end = now + millis * 1000;
        while (timers.nextDeadline() <= end) {
            now = Math.max(now, timers.nextDeadline());
            timers.fireExpired(now, this);
        }
        now = end;
        return this;
    }

    private SubscriptionTest answer(int status, String... headers) {
        SipMessage reply = SipMessage.responseTo(lastRequest, status, "x", "d");
        for (int i = 0; i < headers.length; i += 2) {
            reply.set(headers[i], headers[i + 1]);
        }
        userAgent.receive(now, NOTIFIER, reply, this);
        return this;
    }

    private SipMessage createNotify(String state) {
        nextBranch++;
        cseq++;
        return SipMessage.request("NOTIFY", "sip:127.0.0.1:1")
                .add("Via", "SIP/2.0/UDP 127.0.0.1:3;branch=z9hG4bKn" + nextBranch)
                .add("Max-Forwards", "70")
                .add("From", "<sip:d>;tag=d")
                .add("To", lastRequest.header("From"))
                .add("Call-ID", lastRequest.callId())
                .add("CSeq", cseq + " NOTIFY")
                .add("Contact", "<sip:127.0.0.1:3>")
                .add("Event", "exchanges")
                .add("Subscription-State", state)
                .add("SIP-ETag", "t" + cseq)
                .body("text/plain", "x".getBytes(StandardCharsets.UTF_8));
    }

    private SubscriptionTest receive(TransportAddress from, SipMessage message) {
        userAgent.receive(now, from, message, this);
        return this;
    }

    private SubscriptionTest receiveNotify(String state) {
        return receive(NOTIFIER, createNotify(state));
    }

    private void assertTraceEquals(String name) {
        assertThat(trace.toString()).isEqualTo(TraceFiles.read(name));
    }

    @Test
    void renewsBeforeExpiryAndAccepts204() {
        subscribe()
                .answer(200, "Expires", "12")
                .receiveNotify("active;expires=12")
                .runFor(6000)
                .answer(204, "Expires", "12")
                .runFor(6000)
                .note("no answer comes any more")
                .runFor(14_000)
                .assertTraceEquals("subscription-renewed");
    }

    @Test
    void acceptsNotifyOnlyInItsDialogAndFromTheNotifier() {
        subscribe()
                .receiveNotify("active;expires=12")
                .note("before its 200")
                .answer(200, "Expires", "12");
        receive(NOTIFIER, createNotify("active").set("Call-ID", "other")).note("another dialog");
        receive(NOTIFIER, createNotify("active").set("From", "<sip:d>;tag=forged"))
                .note("another tag");
        receive(new TransportAddress(false, "127.0.0.1", 9), createNotify("active"))
                .note("another port");
        receive(new TransportAddress(true, "127.0.0.2", 3), createNotify("active"))
                .note("another host");
        receive(NOTIFIER, createNotify("active").set("Event", "trunk-groups"))
                .note("another event");
        SipMessage outOfOrder = createNotify("active;expires=12");
        receiveNotify("active;expires=12").receive(NOTIFIER, outOfOrder).note("out of order");
        receive(NOTIFIER, createNotify("")).note("no state");
        nextResult = Subscriber.NotifyResult.MALFORMED;
        receiveNotify("active;expires=12").note("a body that cannot be read");
        assertThat(userAgent.counters())
                .containsEntry("notify-no-dialog", 2L)
                .containsEntry("notify-elsewhere", 3L)
                .containsEntry("notify-order", 1L);
        assertTraceEquals("subscription-forged");
    }

    @Test
    void requestsFullStateAfterGapDuringRenewal() {
        subscribe()
                .answer(200)
                .receiveNotify("active;expires=12")
                .runFor(5700)
                .note("a renewal is under way");
        nextResult = Subscriber.NotifyResult.INCOMPLETE;
        receiveNotify("active;expires=6");
        // After a gap the user requests a refresh; the pending renewal is answered with 204, which
        // brings no state.
        subscriber.refresh(now, lastNotified, true, this);
        answer(204, "Expires", "12").assertTraceEquals("subscription-gap");
    }

    @Test
    void endsWhenNotifierTerminatesOrDoesNotKnowIt() {
        subscribe()
                .answer(200)
                .receiveNotify("active;expires=12")
                .receiveNotify("terminated;reason=deactivated")
                .receiveNotify("active");
        subscribe().answer(200);
        cseq = 0;
        receiveNotify("active;expires=12")
                .runFor(6000)
                .answer(481)
                .runFor(20_000)
                .assertTraceEquals("subscription-ended");
    }

    @Test
    void acceptsLongerDurationRequiredByNotifier() {
        subscribe()
                .answer(423, "Min-Expires", "30")
                .answer(200, "Expires", "30")
                .receiveNotify("active;expires=30")
                .runFor(14_000)
                .assertTraceEquals("subscription-brief");
    }

    /** The name of a result in the stored traces. */
    private static String traceName(Subscriber.NotifyResult result) {
        return switch (result) {
            case MALFORMED -> "BAD";
            case INCOMPLETE -> "GAP";
            case COMPLETE -> "WHOLE";
        };
    }

    private Subscription lastNotified;

    @Override
    public Subscriber.NotifyResult notifyReceived(
            long time, Subscription subscription, SipMessage notify, SipOutput out) {
        lastNotified = subscription;
        note("news " + notify.bodyText() + " is " + traceName(nextResult));
        return nextResult;
    }

    @Override
    public void subscriptionRenewed(long time, Subscription subscription, SipOutput out) {
        note("renewed");
    }

    @Override
    public void subscriptionEnded(
            long time, Subscription subscription, String reason, SipOutput out) {
        note("ended: " + reason);
    }

    @Override
    public void send(TransportAddress to, SipMessage message) {
        if (message.isRequest()) {
            lastRequest = message.copy();
        }
        note(
                "-> "
                        + (message.isRequest()
                                ? message.method()
                                        + " "
                                        + message.cseqNumber()
                                        + (message.toTag().isEmpty() ? "" : " in dialog")
                                : message.status() + " to " + message.cseqMethod())
                        + (message.header("Suppress-If-Match") == null
                                ? ""
                                : " unless " + message.header("Suppress-If-Match")));
    }

    @Override
    public void log(String event, String session, String detail) {}

    @Override
    public void requestReceived(
            long time, ServerTransaction transaction, TransportAddress from, SipOutput out) {
        subscriber.handleNotify(time, transaction, from, out);
    }

    @Override
    public void responseReceived(
            long time, ClientTransaction transaction, SipMessage response, SipOutput out) {
        subscriber.handleResponse(time, transaction, response, out);
    }

    @Override
    public void callReceived(long time, Call call, TransportAddress from, SipOutput out) {}

    @Override
    public void provisionalReceived(long time, Call call, SipMessage response, SipOutput out) {}

    @Override
    public void callAnswered(long time, Call call, SipMessage response, SipOutput out) {}

    @Override
    public void callFailed(
            long time,
            Call call,
            SipMessage response,
            UserAgent.CallFailure failure,
            SipOutput out) {}

    @Override
    public void callCancelled(long time, Call call, SipOutput out) {}

    @Override
    public void callEnded(long time, Call call, SipMessage bye, SipOutput out) {}
}
