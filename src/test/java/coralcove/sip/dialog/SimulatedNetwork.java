package coralcove.sip.dialog;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.TraceFiles;
import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.SipParser;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Two user agents on a network that loses, duplicates and delays messages as the test prescribes;
 * every message is written to a trace.
 */
final class SimulatedNetwork {
    /** Decides which messages are delivered, and when. */
    interface DeliveryPolicy {
        /**
         * The delays in milliseconds of each delivery of the n-th message of this kind ("a INVITE",
         * "b 200 INVITE"); none if it is lost.
         */
        int[] delaysFor(String kind, int nth);
    }

    static final int[] LOST = {};
    static final int[] DELIVERED = {10};

    /** One of the two user agents; answers each call at once unless told otherwise. */
    final class TestUserAgent implements UserAgent.Application, SipOutput {
        final String name;
        final TransportAddress address;
        final TimerWheel timers = new TimerWheel();
        final UserAgent userAgent;
        Call call;
        boolean autoAnswer = true;

        /** The status with which a re-INVITE is answered. */
        int reinviteStatus = 200;

        TestUserAgent(String name, TransportAddress address) {
            this.name = name;
            this.address = address;
            userAgent = new UserAgent(address, timers, name, this);
        }

        void call(TestUserAgent callee) {
            SipMessage invite = userAgent.createRequest("INVITE", "sip:7@" + callee.address.host());
            call = userAgent.invite(now, invite, callee.address, null, this);
        }

        @Override
        public void send(TransportAddress to, SipMessage message) {
            String kind =
                    message.isRequest()
                            ? message.method()
                            : message.status() + " " + message.cseqMethod();
            int nth = 1;
            for (String each : sent) {
                nth += each.equals(name + kind) ? 1 : 0;
            }
            sent.add(name + kind);
            int[] delays = deliveryPolicy.delaysFor(name + " " + kind, nth);
            note(
                    name
                            + " "
                            + kind
                            + (delays.length == 0
                                    ? " (lost)"
                                    : delays.length > 1 ? " (doubled)" : ""));
            for (int delay : delays) {
                messagesInFlight.add(
                        new InFlightMessage(
                                now + delay * 1000L, nextOrder++, this, to, message.encode()));
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
        public void callReceived(
                long time, Call affectedCall, TransportAddress from, SipOutput out) {
            call = affectedCall;
            record("invited");
            if (autoAnswer) {
                userAgent.answer(time, affectedCall, out);
            }
        }

        @Override
        public void provisionalReceived(
                long time, Call affectedCall, SipMessage response, SipOutput out) {
            record("hears " + response.status());
        }

        @Override
        public void callAnswered(long time, Call affectedCall, SipMessage response, SipOutput out) {
            record("answered");
        }

        @Override
        public void callFailed(
                long time,
                Call affectedCall,
                SipMessage response,
                UserAgent.CallFailure failure,
                SipOutput out) {
            record("rejected " + (response == null ? failure : response.status()));
        }

        @Override
        public void callCancelled(long time, Call affectedCall, SipOutput out) {
            record("cancelled");
        }

        @Override
        public void callEnded(long time, Call affectedCall, SipMessage bye, SipOutput out) {
            record("hung up" + (bye == null ? " by itself" : ""));
        }

        @Override
        public void reinviteReceived(
                long time, Call affectedCall, SipMessage invite, SipOutput out) {
            record("asked to change to " + invite.bodyText());
            if (reinviteStatus > 0) {
                userAgent.answerReinvite(
                        time, affectedCall, reinviteStatus, "x", "text/plain", invite.body(), out);
            }
        }

        @Override
        public void reinviteAnswered(
                long time, Call affectedCall, SipMessage response, SipOutput out) {
            record("its change came to " + response.status());
        }

        @Override
        public void requestReceived(
                long time, ServerTransaction transaction, TransportAddress from, SipOutput out) {
            userAgent.respond(
                    time, transaction, userAgent.createResponse(transaction, 200, "OK"), out);
        }

        @Override
        public void responseReceived(
                long time, ClientTransaction transaction, SipMessage response, SipOutput out) {
            record("replied");
        }
    }

    private record InFlightMessage(
            long arrivesAt, long order, TestUserAgent sender, TransportAddress to, byte[] bytes) {}

    final TestUserAgent a;
    final TestUserAgent b;
    private final DeliveryPolicy deliveryPolicy;
    private final StringBuilder trace = new StringBuilder();
    private final List<InFlightMessage> messagesInFlight = new ArrayList<>();
    private final List<String> sent = new ArrayList<>();
    long now;
    private long nextOrder;

    SimulatedNetwork(boolean tcp, DeliveryPolicy deliveryPolicy) {
        this.deliveryPolicy = deliveryPolicy;
        a = new TestUserAgent("a", new TransportAddress(tcp, "ha", 1));
        b = new TestUserAgent("b", new TransportAddress(tcp, "hb", 2));
    }

    SimulatedNetwork note(String text) {
        trace.append(now / 1000).append(" ms  ").append(text).append('\n');
        return this;
    }

    /** Advances the time by {@code millis}, delivering messages and firing timers on the way. */
    SimulatedNetwork runFor(long millis) {
        long end = now + millis * 1000;
        while (true) {
            InFlightMessage next =
                    messagesInFlight.stream()
                            .min(
                                    Comparator.comparingLong(InFlightMessage::arrivesAt)
                                            .thenComparingLong(InFlightMessage::order))
                            .orElse(null);
            long nextTimer = Math.min(a.timers.nextDeadline(), b.timers.nextDeadline());
            long at = Math.min(nextTimer, next == null ? Long.MAX_VALUE : next.arrivesAt);
            if (at > end) {
                now = end;
                return this;
            }
            now = Math.max(now, at);
            if (next != null && next.arrivesAt <= nextTimer) {
                messagesInFlight.remove(next);
                deliver(next.sender.address, next.to, next.bytes);
            } else {
                a.timers.fireExpired(now, a);
                b.timers.fireExpired(now, b);
            }
        }
    }

    // ---- steps of the model checker: messages stay in flight until one of these is called

    int inFlightCount() {
        return messagesInFlight.size();
    }

    /** Delivers or loses message {@code i}; with {@code keepCopy} a copy of it stays in flight. */
    void resolve(int i, boolean delivered, boolean keepCopy) {
        InFlightMessage message = keepCopy ? messagesInFlight.get(i) : messagesInFlight.remove(i);
        note(delivered ? "delivered" + (keepCopy ? ", and a copy kept" : "") : "lost");
        if (delivered) {
            deliver(message.sender.address, message.to, message.bytes);
        }
    }

    /** Advances the time to the next timer of either side and fires it; false if there is none. */
    boolean fireNextTimer() {
        long at = Math.min(a.timers.nextDeadline(), b.timers.nextDeadline());
        if (at == Long.MAX_VALUE) {
            return false;
        }
        now = Math.max(now, at);
        a.timers.fireExpired(now, a);
        b.timers.fireExpired(now, b);
        // RFC 3261 assumes that no message remains in the network for T4 or longer.
        messagesInFlight.removeIf(
                message ->
                        message.arrivesAt
                                <= now - coralcove.sip.transaction.TransactionLayer.T4_MICROS);
        return true;
    }

    String trace() {
        return trace.toString();
    }

    /** Hands a message to the user agent at {@code to}, if there is one. */
    SimulatedNetwork deliver(TransportAddress from, TransportAddress to, byte[] bytes) {
        TestUserAgent target = to.host().equals("ha") ? a : to.host().equals("hb") ? b : null;
        if (target != null) {
            try {
                target.userAgent.receive(
                        now, from, SipParser.parse(bytes, 0, bytes.length), target);
            } catch (MalformedMessageException e) {
                target.userAgent.malformedReceived(now, from, e, target);
            }
        }
        return this;
    }

    /** Compares the trace with the stored trace of this name. */
    void assertTraceEquals(String name) {
        assertThat(trace.toString()).isEqualTo(TraceFiles.read(name));
    }
}
