package coralcove.sip.dialog;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.sip.SipMessage;
import coralcove.sip.TransportAddress;
import org.junit.jupiter.api.Test;

/**
 * Calls under loss, duplication, reordering, glare and forgery; most compare the trace of all
 * messages with a stored one.
 */
class DialogTest {
    private static SimulatedNetwork network(SimulatedNetwork.DeliveryPolicy deliveryPolicy) {
        return new SimulatedNetwork(false, deliveryPolicy);
    }

    private static SimulatedNetwork lossless() {
        return network((kind, nth) -> SimulatedNetwork.DELIVERED);
    }

    /** Loses the first {@code count} messages of one kind. */
    private static SimulatedNetwork losing(String lostKind, int count) {
        return network(
                (kind, nth) ->
                        kind.equals(lostKind) && nth <= count
                                ? SimulatedNetwork.LOST
                                : SimulatedNetwork.DELIVERED);
    }

    @Test
    void retransmitsLostInvite() {
        SimulatedNetwork network = losing("a INVITE", 2);
        network.a.call(network.b);
        network.runFor(3000).assertTraceEquals("dialog-invite-lost");
    }

    @Test
    void retransmitsLost200() {
        SimulatedNetwork network = losing("b 200 INVITE", 2);
        network.a.call(network.b);
        network.runFor(3000).assertTraceEquals("dialog-200-lost");
    }

    @Test
    void acknowledgesDuplicated200() {
        SimulatedNetwork network =
                network(
                        (kind, nth) ->
                                kind.equals("b 200 INVITE")
                                        ? new int[] {10, 15}
                                        : SimulatedNetwork.DELIVERED);
        network.a.call(network.b);
        network.runFor(2000).assertTraceEquals("dialog-200-doubled");
    }

    @Test
    void endsCallWhoseAckNeverArrives() {
        SimulatedNetwork network = losing("a ACK", 99);
        network.a.call(network.b);
        network.runFor(40_000).assertTraceEquals("dialog-ack-lost");
    }

    @Test
    void acceptsByeThatOvertakesAck() {
        SimulatedNetwork network =
                network(
                        (kind, nth) ->
                                kind.equals("a ACK")
                                        ? new int[] {100}
                                        : SimulatedNetwork.DELIVERED);
        network.a.call(network.b);
        network.runFor(25);
        network.a.userAgent.bye(network.now, network.a.call, null, network.a);
        network.runFor(2000).assertTraceEquals("dialog-bye-overtakes");
    }

    @Test
    void delaysCancelUntilProvisionalResponse() {
        SimulatedNetwork network =
                network(
                        (kind, nth) ->
                                kind.equals("b 100 INVITE")
                                        ? new int[] {80}
                                        : SimulatedNetwork.DELIVERED);
        network.b.autoAnswer = false;
        network.a.call(network.b);
        network.runFor(30);
        network.a.userAgent.cancel(network.now, network.a.call, network.a);
        network.runFor(1000).assertTraceEquals("dialog-cancel-early");
    }

    @Test
    void ignoresRepeatedCancelAndCancelAfter200() {
        SimulatedNetwork network = lossless();
        network.b.autoAnswer = false;
        network.a.call(network.b);
        network.runFor(30);
        network.a.userAgent.cancel(network.now, network.a.call, network.a);
        network.a.userAgent.cancel(network.now, network.a.call, network.a);
        network.b.userAgent.answer(network.now, network.b.call, network.b);
        network.runFor(1000).note("once it stands, cancelling does nothing");
        network.b.autoAnswer = true;
        network.a.call(network.b);
        network.runFor(100);
        network.a.userAgent.cancel(network.now, network.a.call, network.a);
        network.runFor(500).assertTraceEquals("dialog-cancel-late");
    }

    @Test
    void retransmitsFailureResponseUntilAck() {
        SimulatedNetwork network = losing("a ACK", 1);
        network.b.autoAnswer = false;
        network.a.call(network.b);
        network.runFor(30);
        network.b.userAgent.reject(network.now, network.b.call, 486, "Busy Here", network.b);
        network.b.userAgent.reject(network.now, network.b.call, 480, "not said twice", network.b);
        network.b.userAgent.answer(network.now, network.b.call, network.b);
        network.runFor(2000).assertTraceEquals("dialog-refused");
    }

    @Test
    void rejectsBothCrossingReinvitesWith491() {
        SimulatedNetwork network = lossless();
        network.a.call(network.b);
        network.runFor(100);
        network.a.userAgent.sendReinvite(
                network.now, network.a.call, "text/plain", "x".getBytes(), network.a);
        network.b.userAgent.sendReinvite(
                network.now, network.b.call, "text/plain", "y".getBytes(), network.b);
        network.runFor(500);
        network.a.userAgent.sendReinvite(
                network.now, network.a.call, "text/plain", "z".getBytes(), network.a);
        assertThat(
                        network.a.userAgent.sendReinvite(
                                network.now,
                                network.a.call,
                                "text/plain",
                                "q".getBytes(),
                                network.a))
                .isFalse();
        network.runFor(500).assertTraceEquals("dialog-glare");
    }

    @Test
    void refreshesSessionAndEndsItWhenPeerIsGone() {
        boolean[] unreachable = {false};
        SimulatedNetwork network =
                network(
                        (kind, nth) ->
                                unreachable[0]
                                        ? SimulatedNetwork.LOST
                                        : SimulatedNetwork.DELIVERED);
        network.a.call(network.b);
        network.runFor(100_000).note("from now on nothing arrives");
        unreachable[0] = true;
        network.runFor(200_000).assertTraceEquals("dialog-session-timer");
        assertThat(network.a.userAgent.activeCallCount() + network.b.userAgent.activeCallCount())
                .isZero();
    }

    /**
     * Guards against a refresh that waits another half interval because a re-INVITE is pending, so
     * that the other side ends the session.
     */
    @Test
    void retriesRefreshThatMeetsPendingReinvite() {
        SimulatedNetwork network =
                network(
                        (kind, nth) ->
                                kind.equals("a INVITE") && nth == 2
                                        ? SimulatedNetwork.LOST
                                        : SimulatedNetwork.DELIVERED);
        network.a.call(network.b);
        network.runFor(44_900);
        network.a.userAgent.sendReinvite(
                network.now, network.a.call, "text/plain", "x".getBytes(), network.a);
        network.runFor(60_000).assertTraceEquals("dialog-refresh-meets-change");
        assertThat(network.a.userAgent.activeCallCount() + network.b.userAgent.activeCallCount())
                .isEqualTo(2);
    }

    @Test
    void ignoresResponseFromAnotherAddress() {
        SimulatedNetwork network = losing("b 100 INVITE", 99);
        network.b.autoAnswer = false;
        network.a.call(network.b);
        SipMessage forged = SipMessage.responseTo(network.a.call.invite, 486, "Busy", "evil");
        network.deliver(
                new TransportAddress(false, "hx", 2),
                new TransportAddress(false, "ha", 1),
                forged.encode());
        network.runFor(20).assertTraceEquals("dialog-forged");
    }

    @Test
    void acknowledgesAndEndsSecondForkedCall() {
        SimulatedNetwork network = lossless();
        network.a.call(network.b);
        network.runFor(100);
        SipMessage secondOk =
                SipMessage.responseTo(network.a.call.invite, 200, "OK", "other")
                        .add("Contact", "<sip:hc:3>");
        network.deliver(
                new TransportAddress(false, "hb", 2),
                new TransportAddress(false, "ha", 1),
                secondOk.encode());
        network.runFor(100).assertTraceEquals("dialog-fork");
    }

    @Test
    void sendsDialogRequestsAlongRouteSet() {
        StringBuilder sent = new StringBuilder();
        SimulatedNetwork network = lossless();
        network.b.autoAnswer = false;
        network.a.call(network.b);
        network.runFor(20);
        SipMessage ok =
                SipMessage.responseTo(network.a.call.invite, 200, "OK", "t")
                        .add("Contact", "<sip:9@hc:3>")
                        .add("Record-Route", "<sip:hb:2;lr>")
                        .add("Record-Route", "<sip:hp:4;lr>");
        network.deliver(
                new TransportAddress(false, "hb", 2),
                new TransportAddress(false, "ha", 1),
                ok.encode());
        Call call = network.a.call;
        network.a.userAgent.bye(
                network.now,
                call,
                null,
                new coralcove.sip.SipOutput() {
                    @Override
                    public void send(TransportAddress to, SipMessage message) {
                        sent.append(to)
                                .append(' ')
                                .append(message.uri())
                                .append(' ')
                                .append(message.headers("Route"));
                    }

                    @Override
                    public void log(String event, String session, String detail) {
                        sent.append(event);
                    }
                });
        assertThat(sent.toString()).isEqualTo("udp:hp:4 sip:9@hc:3 [<sip:hp:4;lr>, <sip:hb:2;lr>]");
    }

    @Test
    void endsUnansweredCallWhenConnectionIsLost() {
        for (int step = 0; step < 4; step++) {
            SimulatedNetwork network =
                    new SimulatedNetwork(true, (kind, nth) -> SimulatedNetwork.DELIVERED);
            network.b.autoAnswer = step == 3;
            network.a.call(network.b);
            network.runFor(step == 0 ? 0 : 50);
            if (step == 2) {
                network.b.userAgent.sendProvisional(
                        network.now, network.b.call, 180, "Ringing", network.b);
                network.runFor(20);
            }
            boolean established = network.a.call.isEstablished();
            network.a.userAgent.connectionFailed(network.now, network.b.address, false, network.a);
            // An established call continues, and its BYE opens a new connection; an unanswered one
            // has failed.
            assertThat(network.a.call.isEstablished()).isEqualTo(established).isEqualTo(step == 3);
            assertThat(network.a.call.isPending()).isFalse();
            if (established) {
                network.a.userAgent.bye(network.now, network.a.call, null, network.a);
                network.runFor(100);
                assertThat(network.b.userAgent.activeCallCount()).isZero();
            }
        }
    }
}
