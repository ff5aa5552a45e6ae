package coralcove.sip.dialog;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.sip.Hop;
import coralcove.sip.SipMessage;
import org.junit.jupiter.api.Test;

/** The hard cases of calls, each as a printed trace. */
class DialogTest {
    private static SimulatedNetwork network(SimulatedNetwork.DeliveryPolicy fate) {
        return new SimulatedNetwork(false, fate);
    }

    private static SimulatedNetwork lossless() {
        return network((what, nth) -> SimulatedNetwork.DELIVERED);
    }

    /** Loses the first n messages of one kind. */
    private static SimulatedNetwork losing(String kind, int n) {
        return network(
                (what, nth) ->
                        what.equals(kind) && nth <= n
                                ? SimulatedNetwork.LOST
                                : SimulatedNetwork.DELIVERED);
    }

    @Test
    void retransmitsLostInvite() {
        SimulatedNetwork wire = losing("a INVITE", 2);
        wire.a.call(wire.b);
        wire.runFor(3000).assertTraceEquals("dialog-invite-lost");
    }

    @Test
    void retransmitsLost200() {
        SimulatedNetwork wire = losing("b 200 INVITE", 2);
        wire.a.call(wire.b);
        wire.runFor(3000).assertTraceEquals("dialog-200-lost");
    }

    @Test
    void acknowledgesDuplicated200() {
        SimulatedNetwork wire =
                network(
                        (what, nth) ->
                                what.equals("b 200 INVITE")
                                        ? new int[] {10, 15}
                                        : SimulatedNetwork.DELIVERED);
        wire.a.call(wire.b);
        wire.runFor(2000).assertTraceEquals("dialog-200-doubled");
    }

    @Test
    void endsCallWhoseAckNeverArrives() {
        SimulatedNetwork wire = losing("a ACK", 99);
        wire.a.call(wire.b);
        wire.runFor(40_000).assertTraceEquals("dialog-ack-lost");
    }

    @Test
    void acceptsByeThatOvertakesAck() {
        SimulatedNetwork wire =
                network(
                        (what, nth) ->
                                what.equals("a ACK")
                                        ? new int[] {100}
                                        : SimulatedNetwork.DELIVERED);
        wire.a.call(wire.b);
        wire.runFor(25);
        wire.a.agent.bye(wire.now, wire.a.call, null, wire.a);
        wire.runFor(2000).assertTraceEquals("dialog-bye-overtakes");
    }

    @Test
    void delaysCancelUntilProvisionalResponse() {
        SimulatedNetwork wire =
                network(
                        (what, nth) ->
                                what.equals("b 100 INVITE")
                                        ? new int[] {80}
                                        : SimulatedNetwork.DELIVERED);
        wire.b.autoAnswer = false;
        wire.a.call(wire.b);
        wire.runFor(30);
        wire.a.agent.cancel(wire.now, wire.a.call, wire.a);
        wire.runFor(1000).assertTraceEquals("dialog-cancel-early");
    }

    @Test
    void ignoresRepeatedCancelAndCancelAfter200() {
        SimulatedNetwork wire = lossless();
        wire.b.autoAnswer = false;
        wire.a.call(wire.b);
        wire.runFor(30);
        wire.a.agent.cancel(wire.now, wire.a.call, wire.a);
        wire.a.agent.cancel(wire.now, wire.a.call, wire.a);
        wire.b.agent.answer(wire.now, wire.b.call, wire.b);
        wire.runFor(1000).note("once it stands, cancelling does nothing");
        wire.b.autoAnswer = true;
        wire.a.call(wire.b);
        wire.runFor(100);
        wire.a.agent.cancel(wire.now, wire.a.call, wire.a);
        wire.runFor(500).assertTraceEquals("dialog-cancel-late");
    }

    @Test
    void retransmitsFailureResponseUntilAck() {
        SimulatedNetwork wire = losing("a ACK", 1);
        wire.b.autoAnswer = false;
        wire.a.call(wire.b);
        wire.runFor(30);
        wire.b.agent.reject(wire.now, wire.b.call, 486, "Busy Here", wire.b);
        wire.b.agent.reject(wire.now, wire.b.call, 480, "not said twice", wire.b);
        wire.b.agent.answer(wire.now, wire.b.call, wire.b);
        wire.runFor(2000).assertTraceEquals("dialog-refused");
    }

    @Test
    void rejectsBothCrossingReinvitesWith491() {
        SimulatedNetwork wire = lossless();
        wire.a.call(wire.b);
        wire.runFor(100);
        wire.a.agent.change(wire.now, wire.a.call, "text/plain", "x".getBytes(), wire.a);
        wire.b.agent.change(wire.now, wire.b.call, "text/plain", "y".getBytes(), wire.b);
        wire.runFor(500);
        wire.a.agent.change(wire.now, wire.a.call, "text/plain", "z".getBytes(), wire.a);
        assertThat(wire.a.agent.change(wire.now, wire.a.call, "text/plain", "q".getBytes(), wire.a))
                .isFalse();
        wire.runFor(500).assertTraceEquals("dialog-glare");
    }

    @Test
    void refreshesSessionAndEndsItWhenPeerIsGone() {
        boolean[] gone = {false};
        SimulatedNetwork wire =
                network(
                        (what, nth) ->
                                gone[0] ? SimulatedNetwork.LOST : SimulatedNetwork.DELIVERED);
        wire.a.call(wire.b);
        wire.runFor(100_000).note("from now on nothing arrives");
        gone[0] = true;
        wire.runFor(200_000).assertTraceEquals("dialog-session-timer");
        assertThat(wire.a.agent.calls() + wire.b.agent.calls()).isZero();
    }

    /**
     * A refresh that met a change under way waited half an interval more, and the other side ended
     * the session.
     */
    @Test
    void retriesRefreshThatMeetsPendingReinvite() {
        SimulatedNetwork wire =
                network(
                        (what, nth) ->
                                what.equals("a INVITE") && nth == 2
                                        ? SimulatedNetwork.LOST
                                        : SimulatedNetwork.DELIVERED);
        wire.a.call(wire.b);
        wire.runFor(44_900);
        wire.a.agent.change(wire.now, wire.a.call, "text/plain", "x".getBytes(), wire.a);
        wire.runFor(60_000).assertTraceEquals("dialog-refresh-meets-change");
        assertThat(wire.a.agent.calls() + wire.b.agent.calls()).isEqualTo(2);
    }

    @Test
    void ignoresResponseFromAnotherAddress() {
        SimulatedNetwork wire = losing("b 100 INVITE", 99);
        wire.b.autoAnswer = false;
        wire.a.call(wire.b);
        SipMessage forged = SipMessage.reply(wire.a.call.invite, 486, "Busy", "evil");
        wire.deliver(new Hop(false, "hx", 2), new Hop(false, "ha", 1), forged.bytes());
        wire.runFor(20).assertTraceEquals("dialog-forged");
    }

    @Test
    void acknowledgesAndEndsSecondForkedCall() {
        SimulatedNetwork wire = lossless();
        wire.a.call(wire.b);
        wire.runFor(100);
        SipMessage second =
                SipMessage.reply(wire.a.call.invite, 200, "OK", "other")
                        .add("Contact", "<sip:hc:3>");
        wire.deliver(new Hop(false, "hb", 2), new Hop(false, "ha", 1), second.bytes());
        wire.runFor(100).assertTraceEquals("dialog-fork");
    }

    @Test
    void sendsDialogRequestsAlongRouteSet() {
        StringBuilder seen = new StringBuilder();
        SimulatedNetwork wire = lossless();
        wire.b.autoAnswer = false;
        wire.a.call(wire.b);
        wire.runFor(20);
        SipMessage ok =
                SipMessage.reply(wire.a.call.invite, 200, "OK", "t")
                        .add("Contact", "<sip:9@hc:3>")
                        .add("Record-Route", "<sip:hb:2;lr>")
                        .add("Record-Route", "<sip:hp:4;lr>");
        wire.deliver(new Hop(false, "hb", 2), new Hop(false, "ha", 1), ok.bytes());
        Call call = wire.a.call;
        wire.a.agent.bye(
                wire.now,
                call,
                null,
                new coralcove.sip.Out() {
                    @Override
                    public void send(Hop to, SipMessage message) {
                        seen.append(to)
                                .append(' ')
                                .append(message.uri())
                                .append(' ')
                                .append(message.headers("Route"));
                    }

                    @Override
                    public void log(String event, String session, String detail) {
                        seen.append(event);
                    }
                });
        assertThat(seen.toString()).isEqualTo("udp:hp:4 sip:9@hc:3 [<sip:hp:4;lr>, <sip:hb:2;lr>]");
    }

    @Test
    void endsUnansweredCallWhenConnectionIsLost() {
        for (int step = 0; step < 4; step++) {
            SimulatedNetwork wire =
                    new SimulatedNetwork(true, (what, nth) -> SimulatedNetwork.DELIVERED);
            wire.b.autoAnswer = step == 3;
            wire.a.call(wire.b);
            wire.runFor(step == 0 ? 0 : 50);
            if (step == 2) {
                wire.b.agent.progress(wire.now, wire.b.call, 180, "Ringing", wire.b);
                wire.runFor(20);
            }
            boolean stood = wire.a.call.stands();
            wire.a.agent.broken(wire.now, wire.b.self, false, wire.a);
            // What stands goes on, and its BYE opens a stream anew; what was not answered is over.
            assertThat(wire.a.call.stands()).isEqualTo(stood).isEqualTo(step == 3);
            assertThat(wire.a.call.trying()).isFalse();
            if (stood) {
                wire.a.agent.bye(wire.now, wire.a.call, null, wire.a);
                wire.runFor(100);
                assertThat(wire.b.agent.calls()).isZero();
            }
        }
    }
}
