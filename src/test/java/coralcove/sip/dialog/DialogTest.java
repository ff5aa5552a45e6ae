package coralcove.sip.dialog;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.sip.Hop;
import coralcove.sip.SipMessage;
import org.junit.jupiter.api.Test;

/** The hard cases of calls, each as a printed trace. */
class DialogTest {
    private static Wire wire(Wire.Fate fate) {
        return new Wire(false, fate);
    }

    private static Wire fair() {
        return wire((what, nth) -> Wire.FAIR);
    }

    /** Loses the first n messages of one kind. */
    private static Wire losing(String kind, int n) {
        return wire((what, nth) -> what.equals(kind) && nth <= n ? Wire.LOST : Wire.FAIR);
    }

    @Test
    void theInviteIsLostTwice() {
        Wire wire = losing("a INVITE", 2);
        wire.a.call(wire.b);
        wire.pass(3000).reads("dialog-invite-lost");
    }

    @Test
    void the200IsLost() {
        Wire wire = losing("b 200 INVITE", 2);
        wire.a.call(wire.b);
        wire.pass(3000).reads("dialog-200-lost");
    }

    @Test
    void the200IsDoubled() {
        Wire wire =
                wire((what, nth) -> what.equals("b 200 INVITE") ? new int[] {10, 15} : Wire.FAIR);
        wire.a.call(wire.b);
        wire.pass(2000).reads("dialog-200-doubled");
    }

    @Test
    void theAckIsLostForGood() {
        Wire wire = losing("a ACK", 99);
        wire.a.call(wire.b);
        wire.pass(40_000).reads("dialog-ack-lost");
    }

    @Test
    void theByeOvertakesTheAck() {
        Wire wire = wire((what, nth) -> what.equals("a ACK") ? new int[] {100} : Wire.FAIR);
        wire.a.call(wire.b);
        wire.pass(25);
        wire.a.agent.bye(wire.now, wire.a.call, null, wire.a);
        wire.pass(2000).reads("dialog-bye-overtakes");
    }

    @Test
    void cancelBeforeThe100WaitsForIt() {
        Wire wire = wire((what, nth) -> what.equals("b 100 INVITE") ? new int[] {80} : Wire.FAIR);
        wire.b.answers = false;
        wire.a.call(wire.b);
        wire.pass(30);
        wire.a.agent.cancel(wire.now, wire.a.call, wire.a);
        wire.pass(1000).reads("dialog-cancel-early");
    }

    @Test
    void cancelTwiceAndAfterThe200() {
        Wire wire = fair();
        wire.b.answers = false;
        wire.a.call(wire.b);
        wire.pass(30);
        wire.a.agent.cancel(wire.now, wire.a.call, wire.a);
        wire.a.agent.cancel(wire.now, wire.a.call, wire.a);
        wire.b.agent.answer(wire.now, wire.b.call, wire.b);
        wire.pass(1000).note("once it stands, cancelling does nothing");
        wire.b.answers = true;
        wire.a.call(wire.b);
        wire.pass(100);
        wire.a.agent.cancel(wire.now, wire.a.call, wire.a);
        wire.pass(500).reads("dialog-cancel-late");
    }

    @Test
    void aRefusalIsSentAgainUntilItsAck() {
        Wire wire = losing("a ACK", 1);
        wire.b.answers = false;
        wire.a.call(wire.b);
        wire.pass(30);
        wire.b.agent.reject(wire.now, wire.b.call, 486, "Busy Here", wire.b);
        wire.b.agent.reject(wire.now, wire.b.call, 480, "not said twice", wire.b);
        wire.b.agent.answer(wire.now, wire.b.call, wire.b);
        wire.pass(2000).reads("dialog-refused");
    }

    @Test
    void changesCrossAndBothGet491() {
        Wire wire = fair();
        wire.a.call(wire.b);
        wire.pass(100);
        wire.a.agent.change(wire.now, wire.a.call, "text/plain", "x".getBytes(), wire.a);
        wire.b.agent.change(wire.now, wire.b.call, "text/plain", "y".getBytes(), wire.b);
        wire.pass(500);
        wire.a.agent.change(wire.now, wire.a.call, "text/plain", "z".getBytes(), wire.a);
        assertThat(wire.a.agent.change(wire.now, wire.a.call, "text/plain", "q".getBytes(), wire.a))
                .isFalse();
        wire.pass(500).reads("dialog-glare");
    }

    @Test
    void aSessionIsRefreshedAndEndsWhenTheOtherSideIsGone() {
        boolean[] gone = {false};
        Wire wire = wire((what, nth) -> gone[0] ? Wire.LOST : Wire.FAIR);
        wire.a.call(wire.b);
        wire.pass(100_000).note("from now on nothing arrives");
        gone[0] = true;
        wire.pass(200_000).reads("dialog-session-timer");
        assertThat(wire.a.agent.calls() + wire.b.agent.calls()).isZero();
    }

    /**
     * A refresh that met a change under way waited half an interval more, and the other side ended
     * the session.
     */
    @Test
    void aRefreshThatMeetsAChangeComesALittleLater() {
        Wire wire =
                wire((what, nth) -> what.equals("a INVITE") && nth == 2 ? Wire.LOST : Wire.FAIR);
        wire.a.call(wire.b);
        wire.pass(44_900);
        wire.a.agent.change(wire.now, wire.a.call, "text/plain", "x".getBytes(), wire.a);
        wire.pass(60_000).reads("dialog-refresh-meets-change");
        assertThat(wire.a.agent.calls() + wire.b.agent.calls()).isEqualTo(2);
    }

    @Test
    void aForgedAnswerFromElsewhereIsNotHeard() {
        Wire wire = losing("b 100 INVITE", 99);
        wire.b.answers = false;
        wire.a.call(wire.b);
        SipMessage forged = SipMessage.reply(wire.a.call.invite, 486, "Busy", "evil");
        wire.deliver(new Hop(false, "hx", 2), new Hop(false, "ha", 1), forged.bytes());
        wire.pass(20).reads("dialog-forged");
    }

    @Test
    void aForkedSecondAnswerIsAcknowledgedAndEnded() {
        Wire wire = fair();
        wire.a.call(wire.b);
        wire.pass(100);
        SipMessage second =
                SipMessage.reply(wire.a.call.invite, 200, "OK", "other")
                        .add("Contact", "<sip:hc:3>");
        wire.deliver(new Hop(false, "hb", 2), new Hop(false, "ha", 1), second.bytes());
        wire.pass(100).reads("dialog-fork");
    }

    @Test
    void inDialogRequestsFollowTheRouteSetAndTheTarget() {
        StringBuilder seen = new StringBuilder();
        Wire wire = fair();
        wire.b.answers = false;
        wire.a.call(wire.b);
        wire.pass(20);
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
    void aStreamBrokenAfterEachStepEndsWhatItCarried() {
        for (int step = 0; step < 4; step++) {
            Wire wire = new Wire(true, (what, nth) -> Wire.FAIR);
            wire.b.answers = step == 3;
            wire.a.call(wire.b);
            wire.pass(step == 0 ? 0 : 50);
            if (step == 2) {
                wire.b.agent.progress(wire.now, wire.b.call, 180, "Ringing", wire.b);
                wire.pass(20);
            }
            boolean stood = wire.a.call.stands();
            wire.a.agent.broken(wire.now, wire.b.self, false, wire.a);
            // What stands goes on, and its BYE opens a stream anew; what was not answered is over.
            assertThat(wire.a.call.stands()).isEqualTo(stood).isEqualTo(step == 3);
            assertThat(wire.a.call.trying()).isFalse();
            if (stood) {
                wire.a.agent.bye(wire.now, wire.a.call, null, wire.a);
                wire.pass(100);
                assertThat(wire.b.agent.calls()).isZero();
            }
        }
    }
}
