package coralcove.judge;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.protocol.InviteOutcomes;
import coralcove.sip.SipMessage;
import coralcove.sip.TransportAddress;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Captures that just break a rule, each paired with one that just complies with it. */
class JudgeTest {
    private static final long MS = 1000;
    private static final TransportAddress EXCHANGE = new TransportAddress(true, "x", 2);
    private static final String NODE = "edge-1";

    /**
     * Answer grace 10 ms, drain grace 1 s, release wait 300 ms; a cold exchange is overloaded by
     * twice half of 10 set-ups a second in 1 s.
     */
    private final RuleChecker judge =
            new RuleChecker(
                    new Rules(
                            10 * MS,
                            1000 * MS,
                            300 * MS,
                            2,
                            1000 * MS,
                            0.5,
                            1_000_000_000L * MS,
                            10));

    private static SipMessage message(String method, String call, String session) {
        return SipMessage.request(method, "sip:77@r:1")
                .add("Via", "SIP/2.0/UDP x:2;branch=z9hG4bK" + call)
                .add("From", "<sip:x>;tag=f")
                .add("To", "<sip:r>")
                .add("Call-ID", call)
                .add("CSeq", "1 " + method)
                .add("Session-ID", session);
    }

    private JudgeTest received(long at, SipMessage message) {
        judge.onMessage(at * MS, NODE, false, EXCHANGE, message.encode());
        return this;
    }

    private JudgeTest sent(long at, SipMessage message) {
        judge.onMessage(at * MS, NODE, true, EXCHANGE, message.encode());
        return this;
    }

    private static SipMessage invite(String call, String session, long left) {
        return message("INVITE", call, session)
                .add("X-Service", "0")
                .add("X-Far-End", "2")
                .add("X-Time-Left", Long.toString(left * MS))
                .add("Route", "<sip:2@far:4;lr>");
    }

    private JudgeTest session(long at) {
        return received(at, invite("in", "s", 2000));
    }

    private JudgeTest answer(long at, int status, String tag) {
        return sent(at, SipMessage.responseTo(invite("in", "s", 2000), status, "x", tag));
    }

    private JudgeTest reply(long at, String call, int status, int cause) {
        SipMessage reply = SipMessage.responseTo(invite(call, "s", 0), status, "x", "t");
        return received(
                at,
                cause == 0 ? reply : reply.add("Reason", InviteOutcomes.reasonHeader(cause, "t")));
    }

    private JudgeTest list(long at, String body) {
        return list(at, "d", body);
    }

    /** A NOTIFY in the dialog {@code call}; "d" is the dialog that the router subscribed with. */
    private JudgeTest list(long at, String call, String body) {
        sent(at, message("SUBSCRIBE", "d", "").add("Event", "exchanges"));
        return received(
                at,
                message("NOTIFY", call, "")
                        .set("CSeq", at + 1 + " NOTIFY")
                        .set("From", "<sip:d>;tag=d")
                        .set("To", "<sip:x>;tag=f")
                        .add("Event", "exchanges")
                        .body("text/plain", body.getBytes(StandardCharsets.UTF_8)));
    }

    private void expectBroken(String rule) {
        judge.finish(60_000 * MS);
        judge.verdicts()
                .forEach(
                        (name, verdict) ->
                                assertThat(verdict.broken())
                                        .as(name + " " + verdict.breaches())
                                        .isEqualTo(name.equals(rule) ? 1 : 0));
        if (!rule.isEmpty()) {
            assertThat(judge.verdicts().get(rule).checked()).isPositive();
        }
    }

    @Test
    void rejectsTwoFinalAnswers() {
        session(0).answer(5, 480, "a").answer(6, 480, "b").expectBroken("final_answer");
    }

    @Test
    void acceptsRetransmittedFinalAnswer() {
        session(0).answer(5, 480, "a").answer(6, 480, "a").expectBroken("");
    }

    @Test
    void rejectsAnswerOneMillisecondLate() {
        session(0).answer(2011, 480, "a").expectBroken("final_answer");
    }

    @Test
    void acceptsAnswerAtTheLimit() {
        session(0).answer(2010, 480, "a").expectBroken("");
    }

    @Test
    void rejectsSessionWithoutAnswer() {
        session(0).expectBroken("final_answer");
    }

    @Test
    void requiresNoAnswerFromAKilledRouter() {
        session(0);
        judge.routerKilled(NODE);
        expectBroken("");
    }

    @Test
    void rejectsInviteAfterFinalAnswer() {
        session(0).answer(5, 480, "a").sent(6, invite("o", "s", 1000)).expectBroken("final_answer");
    }

    @Test
    void rejectsInvitesThatOverlapByOneMillisecond() {
        session(0)
                .sent(1, invite("o", "s", 1000))
                .sent(99, invite("p", "s", 800))
                .reply(100, "o", 503, 42)
                .reply(200, "p", 200, 0)
                .answer(201, 200, "a")
                .expectBroken("one_invite");
    }

    @Test
    void acceptsConsecutiveInvites() {
        session(0)
                .sent(1, invite("o", "s", 1000))
                .reply(100, "o", 503, 42)
                .sent(100, invite("p", "s", 800))
                .reply(200, "p", 200, 0)
                .answer(201, 200, "a")
                .expectBroken("");
    }

    @Test
    void rejectsRetransmissionAfterTheTimeLimit() {
        session(0)
                .sent(1, invite("o", "s", 100))
                .sent(102, invite("o", "s", 100))
                .answer(500, 480, "a")
                .expectBroken("one_invite");
    }

    /**
     * The answer was in the socket buffer when the INVITE was retransmitted, and the router had not
     * read it yet.
     */
    @Test
    void acceptsRetransmissionThatCrossesItsAnswer() {
        session(0)
                .sent(1, invite("o", "s", 1000))
                .reply(500, "o", 503, 42)
                .sent(502, invite("o", "s", 1000))
                .answer(600, 480, "a")
                .expectBroken("");
    }

    @Test
    void rejectsRetransmissionLongAfterItsAnswer() {
        session(0)
                .sent(1, invite("o", "s", 1000))
                .reply(500, "o", 503, 42)
                .sent(512, invite("o", "s", 1000))
                .answer(600, 480, "a")
                .expectBroken("one_invite");
    }

    @Test
    void rejectsRetryOneMillisecondBeforeTheReleaseWaitEnds() {
        session(0)
                .sent(1, invite("o", "s", 100))
                .sent(101, message("CANCEL", "o", "s"))
                .sent(400, invite("p", "s", 800))
                .answer(900, 480, "a")
                .expectBroken("release");
    }

    @Test
    void acceptsRetryAtTheEndOfTheReleaseWait() {
        session(0)
                .sent(1, invite("o", "s", 100))
                .sent(101, message("CANCEL", "o", "s"))
                .sent(401, invite("p", "s", 800))
                .answer(900, 480, "a")
                .expectBroken("");
    }

    @Test
    void requiresReleaseWaitAfterTimeOutWithoutCancel() {
        session(0)
                .sent(1, invite("o", "s", 100))
                .sent(400, invite("p", "s", 800))
                .answer(900, 480, "a")
                .expectBroken("release");
    }

    @Test
    void requiresReleaseWaitAfterBrokenButNotAfterRefusedStream() {
        session(0).sent(1, invite("o", "s", 1000));
        judge.onStreamFailure(50 * MS, NODE, EXCHANGE, true);
        sent(51, invite("p", "s", 800)).answer(900, 480, "a").expectBroken("");
        received(2000, invite("in2", "u", 2000)).sent(2001, invite("q", "u", 1000));
        judge.onStreamFailure(2050 * MS, NODE, EXCHANGE, false);
        sent(2349, invite("r", "u", 800));
        assertThat(judge.verdicts().get("release").broken()).isEqualTo(1);
    }

    private static final String READY = "epoch e version 1 whole\n102 2 ready 7 1 - udp:far:4\n";
    private static final String DRAINING =
            "epoch e version 2 changes after 1\n102 2 draining 7 2 - udp:far:4\n";

    @Test
    void rejectsInviteOneMillisecondAfterDrainGrace() {
        list(0, READY)
                .list(100, DRAINING)
                .session(1000)
                .sent(1101, invite("o", "s", 900))
                .reply(1200, "o", 503, 42)
                .answer(1300, 480, "a")
                .expectBroken("drain");
    }

    @Test
    void acceptsInviteAtTheEndOfDrainGrace() {
        list(0, READY)
                .list(100, DRAINING)
                .session(1000)
                .sent(1100, invite("o", "s", 900))
                .reply(1200, "o", 503, 42)
                .answer(1300, 480, "a")
                .expectBroken("");
        assertThat(judge.inviteDelaysAfterDrain().getMaxValue()).isBetween(1000 * MS, 1001 * MS);
    }

    @Test
    void treatsExchangeMissingFromCompleteListAsGone() {
        list(0, READY)
                .list(100, "epoch e version 3 whole\n")
                .session(2000)
                .sent(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .expectBroken("drain");
    }

    @Test
    void ignoresNotifyOutsideOfTheSubscription() {
        list(0, READY)
                .list(100, "other", DRAINING)
                .session(2000)
                .sent(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .expectBroken("");
    }

    @Test
    void doesNotInferDeparturesFromLearningList() {
        list(0, READY)
                .list(100, "epoch f version 1 learning\n")
                .session(2000)
                .sent(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .expectBroken("");
    }

    @Test
    void drainingExchangeIsReadyAgainOnlyAfterANewStart() {
        list(0, READY)
                .list(100, DRAINING)
                .list(200, "epoch f version 1 whole\n102 2 ready 7 9 - udp:far:4\n")
                .session(2000)
                .sent(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .expectBroken("drain");
    }

    @Test
    void newStartEndsDraining() {
        list(0, READY)
                .list(100, DRAINING)
                .list(200, "epoch f version 1 whole\n102 2 ready 8 1 - udp:far:4\n")
                .session(2000)
                .sent(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .expectBroken("");
    }

    @Test
    void drainStateSurvivesRestartOfTheRouter() {
        list(0, READY).list(100, DRAINING);
        judge.routerKilled(NODE);
        session(2000)
                .sent(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .expectBroken("drain");
    }

    /**
     * Sends set-ups from router 2 to a cold exchange whose budget is ten a second.
     *
     * @param notified whether router 2 was notified of the start
     */
    private JudgeTest coldStart(int setUps, boolean notified) {
        judge.coldStarted(1, 50 * MS);
        if (notified) {
            judge.onMessage(
                    59 * MS,
                    "edge-2",
                    true,
                    EXCHANGE,
                    message("SUBSCRIBE", "d", "").add("Event", "exchanges").encode());
            judge.onMessage(
                    60 * MS,
                    "edge-2",
                    false,
                    EXCHANGE,
                    message("NOTIFY", "d", "")
                            .set("From", "<sip:d>;tag=d")
                            .set("To", "<sip:x>;tag=f")
                            .add("Event", "exchanges")
                            .body(
                                    "text/plain",
                                    "epoch e version 1 whole\n101 1 ready 50000 1 0 udp:r:1\n"
                                            .getBytes(StandardCharsets.UTF_8))
                            .encode());
        }
        for (int i = 0; i < setUps; i++) {
            SipMessage invite =
                    invite("c" + i, "c" + i, 2000).set("X-Far-End", "1").add("X-Origin", "2");
            received(100 + i * 90, invite)
                    .sent(101 + i * 90, SipMessage.responseTo(invite, 480, "x", "t"));
        }
        return this;
    }

    @Test
    void rejectsOneSetUpOverTheColdBudget() {
        coldStart(11, true).expectBroken("cold");
    }

    @Test
    void acceptsColdBudgetUsedUp() {
        coldStart(10, true).expectBroken("");
    }

    @Test
    void ignoresColdOverloadByRoutersUnawareOfTheStart() {
        coldStart(11, false).expectBroken("");
    }
}
