package coralcove.sip.event;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.TraceFiles;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.Timers;
import coralcove.sip.dialog.Agent;
import coralcove.sip.dialog.Call;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A subscriber against a notifier whose messages the test creates one by one; the trace of all
 * messages and events is compared with a stored one.
 */
class SubscriptionTest implements Out, Subscriber.User, Agent.User {
    private static final Hop SELF = new Hop(false, "127.0.0.1", 1);
    private static final Hop NOTIFIER = new Hop(false, "127.0.0.1", 3);
    private final Timers timers = new Timers();
    private final Agent userAgent = new Agent(SELF, timers, "s", this);
    private final Subscriber subscriber =
            new Subscriber(userAgent, timers, new SplittableRandom(1), this);
    private final StringBuilder trace = new StringBuilder();
    private SipMessage lastRequest;
    private Subscriber.News nextResult = Subscriber.News.WHOLE;
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
            timers.run(now, this);
        }
        now = end;
        return this;
    }

    private SubscriptionTest answer(int status, String... headers) {
        SipMessage reply = SipMessage.reply(lastRequest, status, "x", "d");
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

    private SubscriptionTest receive(Hop from, SipMessage message) {
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
        receive(new Hop(false, "127.0.0.1", 9), createNotify("active")).note("another port");
        receive(new Hop(true, "127.0.0.2", 3), createNotify("active")).note("another host");
        receive(NOTIFIER, createNotify("active").set("Event", "trunk-groups"))
                .note("another event");
        SipMessage outOfOrder = createNotify("active;expires=12");
        receiveNotify("active;expires=12").receive(NOTIFIER, outOfOrder).note("out of order");
        receive(NOTIFIER, createNotify("")).note("no state");
        nextResult = Subscriber.News.BAD;
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
        nextResult = Subscriber.News.GAP;
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
    private static String traceName(Subscriber.News result) {
        return switch (result) {
            case BAD -> "BAD";
            case GAP -> "GAP";
            case WHOLE -> "WHOLE";
        };
    }

    private Subscription lastNotified;

    @Override
    public Subscriber.News notified(
            long time, Subscription subscription, SipMessage notify, Out out) {
        lastNotified = subscription;
        note("news " + notify.text() + " is " + traceName(nextResult));
        return nextResult;
    }

    @Override
    public void renewed(long time, Subscription subscription, Out out) {
        note("renewed");
    }

    @Override
    public void ended(long time, Subscription subscription, String reason, Out out) {
        note("ended: " + reason);
    }

    @Override
    public void send(Hop to, SipMessage message) {
        if (message.isRequest()) {
            lastRequest = message.copy();
        }
        note(
                "-> "
                        + (message.isRequest()
                                ? message.method()
                                        + " "
                                        + message.sequence()
                                        + (message.toTag().isEmpty() ? "" : " in dialog")
                                : message.status() + " to " + message.cseqMethod())
                        + (message.header("Suppress-If-Match") == null
                                ? ""
                                : " unless " + message.header("Suppress-If-Match")));
    }

    @Override
    public void log(String event, String session, String detail) {}

    @Override
    public void request(long time, ServerTx transaction, Hop from, Out out) {
        subscriber.notified(time, transaction, from, out);
    }

    @Override
    public void replied(long time, ClientTx transaction, SipMessage response, Out out) {
        subscriber.replied(time, transaction, response, out);
    }

    @Override
    public void invited(long time, Call call, Hop from, Out out) {}

    @Override
    public void progressed(long time, Call call, SipMessage response, Out out) {}

    @Override
    public void answered(long time, Call call, SipMessage response, Out out) {}

    @Override
    public void rejected(long time, Call call, SipMessage response, Agent.Lost failure, Out out) {}

    @Override
    public void cancelled(long time, Call call, Out out) {}

    @Override
    public void hungUp(long time, Call call, SipMessage bye, Out out) {}
}
