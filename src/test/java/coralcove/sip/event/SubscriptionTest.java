package coralcove.sip.event;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Kept;
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
 * One subscriber, its notifier played by the test message by message; all that it says is printed.
 */
class SubscriptionTest implements Out, Subscriber.User, Agent.User {
    private static final Hop SELF = new Hop(false, "127.0.0.1", 1);
    private static final Hop NOTIFIER = new Hop(false, "127.0.0.1", 3);
    private final Timers timers = new Timers();
    private final Agent agent = new Agent(SELF, timers, "s", this);
    private final Subscriber subscriber =
            new Subscriber(agent, timers, new SplittableRandom(1), this);
    private final StringBuilder trace = new StringBuilder();
    private SipMessage asked;
    private Subscriber.News next = Subscriber.News.WHOLE;
    private long now = 1_000_000;
    private long cseq;
    private int ids;

    private SubscriptionTest ask() {
        subscriber.subscribe(now, NOTIFIER, "exchanges", 12, "owner", "0", this);
        return this;
    }

    private SubscriptionTest note(String text) {
        trace.append(now / 1000).append(" ms  ").append(text).append('\n');
        return this;
    }

    private SubscriptionTest pass(long millis) {
        long to = now + millis * 1000;
        while (timers.due() <= to) {
            now = Math.max(now, timers.due());
            timers.run(now, this);
        }
        now = to;
        return this;
    }

    private SubscriptionTest answered(int status, String... extra) {
        SipMessage reply = SipMessage.reply(asked, status, "x", "d");
        for (int i = 0; i < extra.length; i += 2) {
            reply.set(extra[i], extra[i + 1]);
        }
        agent.receive(now, NOTIFIER, reply, this);
        return this;
    }

    private SipMessage notice(String state) {
        ids++;
        cseq++;
        return SipMessage.request("NOTIFY", "sip:127.0.0.1:1")
                .add("Via", "SIP/2.0/UDP 127.0.0.1:3;branch=z9hG4bKn" + ids)
                .add("Max-Forwards", "70")
                .add("From", "<sip:d>;tag=d")
                .add("To", asked.header("From"))
                .add("Call-ID", asked.callId())
                .add("CSeq", cseq + " NOTIFY")
                .add("Contact", "<sip:127.0.0.1:3>")
                .add("Event", "exchanges")
                .add("Subscription-State", state)
                .add("SIP-ETag", "t" + cseq)
                .body("text/plain", "x".getBytes(StandardCharsets.UTF_8));
    }

    private SubscriptionTest take(Hop from, SipMessage message) {
        agent.receive(now, from, message, this);
        return this;
    }

    private SubscriptionTest told(String state) {
        return take(NOTIFIER, notice(state));
    }

    private void reads(String name) {
        assertThat(trace.toString()).isEqualTo(Kept.trace(name));
    }

    @Test
    void renewsBeforeItsEndAndTakesNoAnswerForUnchanged() {
        ask().answered(200, "Expires", "12")
                .told("active;expires=12")
                .pass(6000)
                .answered(204, "Expires", "12")
                .pass(6000)
                .note("no answer comes any more")
                .pass(14_000)
                .reads("subscription-renewed");
    }

    @Test
    void aNotifyCountsOnlyInItsDialogAndFromWhoWasAsked() {
        ask().told("active;expires=12").note("before its 200").answered(200, "Expires", "12");
        take(NOTIFIER, notice("active").set("Call-ID", "other")).note("another dialog");
        take(NOTIFIER, notice("active").set("From", "<sip:d>;tag=forged")).note("another tag");
        take(new Hop(false, "127.0.0.1", 9), notice("active")).note("another port");
        take(new Hop(true, "127.0.0.2", 3), notice("active")).note("another host");
        take(NOTIFIER, notice("active").set("Event", "trunk-groups")).note("another event");
        SipMessage late = notice("active;expires=12");
        told("active;expires=12").take(NOTIFIER, late).note("out of order");
        take(NOTIFIER, notice("")).note("no state");
        next = Subscriber.News.BAD;
        told("active;expires=12").note("a body that cannot be read");
        assertThat(agent.counters())
                .containsEntry("notify-no-dialog", 2L)
                .containsEntry("notify-elsewhere", 3L)
                .containsEntry("notify-order", 1L);
        reads("subscription-forged");
    }

    @Test
    void afterAGapTheWholeIsAskedForAlsoWhileARenewalIsUnderWay() {
        ask().answered(200).told("active;expires=12").pass(5700).note("a renewal is under way");
        next = Subscriber.News.GAP;
        told("active;expires=6");
        // The user asks, as it does after a gap; the answer to the renewal would be 204 and bring
        // nothing.
        subscriber.refresh(now, lastTold, true, this);
        answered(204, "Expires", "12").reads("subscription-gap");
    }

    @Test
    void endsWhenTheNotifierSaysSoOrKnowsNothingOfIt() {
        ask().answered(200)
                .told("active;expires=12")
                .told("terminated;reason=deactivated")
                .told("active");
        ask().answered(200);
        cseq = 0;
        told("active;expires=12").pass(6000).answered(481).pass(20_000).reads("subscription-ended");
    }

    @Test
    void takesALongerLifeWhereTheNotifierWantsOne() {
        ask().answered(423, "Min-Expires", "30")
                .answered(200, "Expires", "30")
                .told("active;expires=30")
                .pass(14_000)
                .reads("subscription-brief");
    }

    private Subscription lastTold;

    @Override
    public Subscriber.News notified(long at, Subscription it, SipMessage notify, Out out) {
        lastTold = it;
        note("news " + notify.text() + " is " + next);
        return next;
    }

    @Override
    public void renewed(long at, Subscription it, Out out) {
        note("renewed");
    }

    @Override
    public void ended(long at, Subscription it, String why, Out out) {
        note("ended: " + why);
    }

    @Override
    public void send(Hop to, SipMessage message) {
        if (message.isRequest()) {
            asked = message.copy();
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
    public void request(long at, ServerTx tx, Hop from, Out out) {
        subscriber.notified(at, tx, from, out);
    }

    @Override
    public void replied(long at, ClientTx tx, SipMessage response, Out out) {
        subscriber.replied(at, tx, response, out);
    }

    @Override
    public void invited(long at, Call call, Hop from, Out out) {}

    @Override
    public void progressed(long at, Call call, SipMessage response, Out out) {}

    @Override
    public void answered(long at, Call call, SipMessage response, Out out) {}

    @Override
    public void rejected(long at, Call call, SipMessage response, Agent.Lost lost, Out out) {}

    @Override
    public void cancelled(long at, Call call, Out out) {}

    @Override
    public void hungUp(long at, Call call, SipMessage bye, Out out) {}
}
