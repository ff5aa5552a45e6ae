package coralcove.sip.dialog;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Kept;
import coralcove.sip.BadMessage;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.Timers;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Two user agents on a wire that a test drops, doubles and delays messages on; all that crosses it
 * is printed.
 */
final class SimulatedNetwork {
    /**
     * What becomes of the n-th message of this kind ("INVITE", "200 INVITE"): lost, or how often
     * and how late in ms.
     */
    interface DeliveryPolicy {
        int[] delaysFor(String what, int nth);
    }

    static final int[] LOST = {};
    static final int[] DELIVERED = {10};

    final class TestUserAgent implements Agent.User, Out {
        final String name;
        final Hop self;
        final Timers timers = new Timers();
        final Agent agent;
        Call call;
        boolean autoAnswer = true;

        /** Answers a change with this status. */
        int reinviteStatus = 200;

        TestUserAgent(String name, Hop self) {
            this.name = name;
            this.self = self;
            agent = new Agent(self, timers, name, this);
        }

        void call(TestUserAgent to) {
            SipMessage invite = agent.request("INVITE", "sip:7@" + to.self.host());
            call = agent.invite(now, invite, to.self, null, this);
        }

        @Override
        public void send(Hop to, SipMessage message) {
            String what =
                    message.isRequest()
                            ? message.method()
                            : message.status() + " " + message.cseqMethod();
            int nth = 1;
            for (String each : sent) {
                nth += each.equals(name + what) ? 1 : 0;
            }
            sent.add(name + what);
            int[] delays = deliveryPolicy.delaysFor(name + " " + what, nth);
            note(
                    name
                            + " "
                            + what
                            + (delays.length == 0
                                    ? " (lost)"
                                    : delays.length > 1 ? " (doubled)" : ""));
            for (int delay : delays) {
                messagesInFlight.add(
                        new InFlightMessage(
                                now + delay * 1000L, nextOrder++, this, to, message.bytes()));
            }
        }

        @Override
        public void log(String event, String session, String detail) {
            note(name + " logs " + event);
        }

        private void record(String text) {
            note(name + ": " + text);
        }

        @Override
        public void invited(long at, Call it, Hop from, Out out) {
            call = it;
            record("invited");
            if (autoAnswer) {
                agent.answer(at, it, out);
            }
        }

        @Override
        public void progressed(long at, Call it, SipMessage response, Out out) {
            record("hears " + response.status());
        }

        @Override
        public void answered(long at, Call it, SipMessage response, Out out) {
            record("answered");
        }

        @Override
        public void rejected(long at, Call it, SipMessage response, Agent.Lost lost, Out out) {
            record("rejected " + (response == null ? lost : response.status()));
        }

        @Override
        public void cancelled(long at, Call it, Out out) {
            record("cancelled");
        }

        @Override
        public void hungUp(long at, Call it, SipMessage bye, Out out) {
            record("hung up" + (bye == null ? " by itself" : ""));
        }

        @Override
        public void changing(long at, Call it, SipMessage invite, Out out) {
            record("asked to change to " + invite.text());
            if (reinviteStatus > 0) {
                agent.answerChange(at, it, reinviteStatus, "x", "text/plain", invite.body(), out);
            }
        }

        @Override
        public void changed(long at, Call it, SipMessage response, Out out) {
            record("its change came to " + response.status());
        }

        @Override
        public void request(long at, ServerTx transaction, Hop from, Out out) {
            agent.respond(at, transaction, agent.reply(transaction, 200, "OK"), out);
        }

        @Override
        public void replied(long at, ClientTx transaction, SipMessage response, Out out) {
            record("replied");
        }
    }

    private record InFlightMessage(
            long arrivesAt, long order, TestUserAgent from, Hop to, byte[] bytes) {}

    final TestUserAgent a;
    final TestUserAgent b;
    private final DeliveryPolicy deliveryPolicy;
    private final StringBuilder trace = new StringBuilder();
    private final List<InFlightMessage> messagesInFlight = new ArrayList<>();
    private final List<String> sent = new ArrayList<>();
    long now;
    private long nextOrder;

    SimulatedNetwork(boolean tcp, DeliveryPolicy fate) {
        this.deliveryPolicy = fate;
        a = new TestUserAgent("a", new Hop(tcp, "ha", 1));
        b = new TestUserAgent("b", new Hop(tcp, "hb", 2));
    }

    SimulatedNetwork note(String text) {
        trace.append(now / 1000).append(" ms  ").append(text).append('\n');
        return this;
    }

    /** Runs for so many ms. */
    SimulatedNetwork runFor(long millis) {
        long end = now + millis * 1000;
        while (true) {
            InFlightMessage next =
                    messagesInFlight.stream()
                            .min(
                                    Comparator.comparingLong(InFlightMessage::arrivesAt)
                                            .thenComparingLong(InFlightMessage::order))
                            .orElse(null);
            long timer = Math.min(a.timers.nextDeadline(), b.timers.nextDeadline());
            long at = Math.min(timer, next == null ? Long.MAX_VALUE : next.arrivesAt);
            if (at > end) {
                now = end;
                return this;
            }
            now = Math.max(now, at);
            if (next != null && next.arrivesAt <= timer) {
                messagesInFlight.remove(next);
                deliver(next.from.self, next.to, next.bytes);
            } else {
                a.timers.run(now, a);
                b.timers.run(now, b);
            }
        }
    }

    // ---- driven by hand, for the model checker: messages stand until one of these is called

    int inFlightCount() {
        return messagesInFlight.size();
    }

    /** Takes message {@code i} off the wire and delivers it, or not; {@code keep} leaves a copy. */
    void resolve(int i, boolean delivered, boolean keep) {
        InFlightMessage flight = keep ? messagesInFlight.get(i) : messagesInFlight.remove(i);
        note(delivered ? "delivered" + (keep ? ", and a copy kept" : "") : "lost");
        if (delivered) {
            deliver(flight.from.self, flight.to, flight.bytes);
        }
    }

    /** Lets time pass to the next timer of either side, and fires it. */
    boolean fireNextTimer() {
        long at = Math.min(a.timers.nextDeadline(), b.timers.nextDeadline());
        if (at == Long.MAX_VALUE) {
            return false;
        }
        now = Math.max(now, at);
        a.timers.run(now, a);
        b.timers.run(now, b);
        // Every message lives less than T4 in a network that RFC 3261 is made for.
        messagesInFlight.removeIf(
                flight ->
                        flight.arrivesAt
                                <= now - coralcove.sip.transaction.TransactionLayer.T4_MICROS);
        return true;
    }

    String trace() {
        return trace.toString();
    }

    SimulatedNetwork deliver(Hop from, Hop to, byte[] bytes) {
        TestUserAgent target = to.host().equals("ha") ? a : to.host().equals("hb") ? b : null;
        if (target != null) {
            try {
                target.agent.receive(now, from, SipParser.parse(bytes, 0, bytes.length), target);
            } catch (BadMessage e) {
                target.agent.malformed(now, from, e, target);
            }
        }
        return this;
    }

    void assertTraceEquals(String name) {
        assertThat(trace.toString()).isEqualTo(Kept.trace(name));
    }
}
