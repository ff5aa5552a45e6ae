package coralcove.judge;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.protocol.Outcomes;
import coralcove.sip.Hop;
import coralcove.sip.SipMessage;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Captures that break a rule by a hair, each beside its twin that just keeps it. */
class JudgeTest {
    private static final long MS = 1000;
    private static final Hop EXCHANGE = new Hop(true, "x", 2);
    private static final String NODE = "edge-1";

    /**
     * 10 ms to answer, 1 s after a drain, 300 ms release, cold: 2 times 0.5 of 10 a second for 1 s.
     */
    private final Judge judge =
            new Judge(
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

    private JudgeTest read(long at, SipMessage message) {
        judge.message(at * MS, NODE, false, EXCHANGE, message.bytes());
        return this;
    }

    private JudgeTest wrote(long at, SipMessage message) {
        judge.message(at * MS, NODE, true, EXCHANGE, message.bytes());
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
        return read(at, invite("in", "s", 2000));
    }

    private JudgeTest answer(long at, int status, String tag) {
        return wrote(at, SipMessage.reply(invite("in", "s", 2000), status, "x", tag));
    }

    private JudgeTest reply(long at, String call, int status, int cause) {
        SipMessage reply = SipMessage.reply(invite(call, "s", 0), status, "x", "t");
        return read(at, cause == 0 ? reply : reply.add("Reason", Outcomes.reason(cause, "t")));
    }

    private JudgeTest list(long at, String body) {
        return list(at, "d", body);
    }

    /** A NOTIFY in the dialog {@code call}, which is the router's own where that is "d". */
    private JudgeTest list(long at, String call, String body) {
        wrote(at, message("SUBSCRIBE", "d", "").add("Event", "exchanges"));
        return read(
                at,
                message("NOTIFY", call, "")
                        .set("CSeq", at + 1 + " NOTIFY")
                        .set("From", "<sip:d>;tag=d")
                        .set("To", "<sip:x>;tag=f")
                        .add("Event", "exchanges")
                        .body("text/plain", body.getBytes(StandardCharsets.UTF_8)));
    }

    private void broken(String rule) {
        judge.end(60_000 * MS);
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
    void twoFinalAnswers() {
        session(0).answer(5, 480, "a").answer(6, 480, "b").broken("final_answer");
    }

    @Test
    void oneFinalAnswerSentTwice() {
        session(0).answer(5, 480, "a").answer(6, 480, "a").broken("");
    }

    @Test
    void anAnswerAMillisecondLate() {
        session(0).answer(2011, 480, "a").broken("final_answer");
    }

    @Test
    void anAnswerJustInTime() {
        session(0).answer(2010, 480, "a").broken("");
    }

    @Test
    void noAnswer() {
        session(0).broken("final_answer");
    }

    @Test
    void noAnswerOwedAfterAKill() {
        session(0);
        judge.killed(NODE);
        broken("");
    }

    @Test
    void anInviteAfterTheFinalAnswer() {
        session(0).answer(5, 480, "a").wrote(6, invite("o", "s", 1000)).broken("final_answer");
    }

    @Test
    void twoInvitesOverlappingByAMillisecond() {
        session(0)
                .wrote(1, invite("o", "s", 1000))
                .wrote(99, invite("p", "s", 800))
                .reply(100, "o", 503, 42)
                .reply(200, "p", 200, 0)
                .answer(201, 200, "a")
                .broken("one_invite");
    }

    @Test
    void twoInvitesOneAfterTheOther() {
        session(0)
                .wrote(1, invite("o", "s", 1000))
                .reply(100, "o", 503, 42)
                .wrote(100, invite("p", "s", 800))
                .reply(200, "p", 200, 0)
                .answer(201, 200, "a")
                .broken("");
    }

    @Test
    void anInviteSentAgainOnceItsTimeIsUp() {
        session(0)
                .wrote(1, invite("o", "s", 100))
                .wrote(102, invite("o", "s", 100))
                .answer(500, 480, "a")
                .broken("one_invite");
    }

    /**
     * The answer was on the socket when the INVITE was sent again, and the router had not looked at
     * it yet.
     */
    @Test
    void anInviteThatCrossesItsAnswerIsNoSecondOne() {
        session(0)
                .wrote(1, invite("o", "s", 1000))
                .reply(500, "o", 503, 42)
                .wrote(502, invite("o", "s", 1000))
                .answer(600, 480, "a")
                .broken("");
    }

    @Test
    void anInviteSentAgainLongAfterItsAnswer() {
        session(0)
                .wrote(1, invite("o", "s", 1000))
                .reply(500, "o", 503, 42)
                .wrote(512, invite("o", "s", 1000))
                .answer(600, 480, "a")
                .broken("one_invite");
    }

    @Test
    void aResendAMillisecondInsideTheReleaseWait() {
        session(0)
                .wrote(1, invite("o", "s", 100))
                .wrote(101, message("CANCEL", "o", "s"))
                .wrote(400, invite("p", "s", 800))
                .answer(900, 480, "a")
                .broken("release");
    }

    @Test
    void aResendAtTheEndOfTheReleaseWait() {
        session(0)
                .wrote(1, invite("o", "s", 100))
                .wrote(101, message("CANCEL", "o", "s"))
                .wrote(401, invite("p", "s", 800))
                .answer(900, 480, "a")
                .broken("");
    }

    @Test
    void theWaitAfterATimeOutThatNoCancelTells() {
        session(0)
                .wrote(1, invite("o", "s", 100))
                .wrote(400, invite("p", "s", 800))
                .answer(900, 480, "a")
                .broken("release");
    }

    @Test
    void theWaitAfterABrokenStreamAndNoneAfterARefusedOne() {
        session(0).wrote(1, invite("o", "s", 1000));
        judge.broken(50 * MS, NODE, EXCHANGE, true);
        wrote(51, invite("p", "s", 800)).answer(900, 480, "a").broken("");
        read(2000, invite("in2", "u", 2000)).wrote(2001, invite("q", "u", 1000));
        judge.broken(2050 * MS, NODE, EXCHANGE, false);
        wrote(2349, invite("r", "u", 800));
        assertThat(judge.verdicts().get("release").broken()).isEqualTo(1);
    }

    private static final String READY = "epoch e version 1 whole\n102 2 ready 7 1 - udp:far:4\n";
    private static final String DRAINING =
            "epoch e version 2 changes after 1\n102 2 draining 7 2 - udp:far:4\n";

    @Test
    void anInviteAMillisecondPastTheGrace() {
        list(0, READY)
                .list(100, DRAINING)
                .session(1000)
                .wrote(1101, invite("o", "s", 900))
                .reply(1200, "o", 503, 42)
                .answer(1300, 480, "a")
                .broken("drain");
    }

    @Test
    void anInviteAtTheEndOfTheGrace() {
        list(0, READY)
                .list(100, DRAINING)
                .session(1000)
                .wrote(1100, invite("o", "s", 900))
                .reply(1200, "o", 503, 42)
                .answer(1300, 480, "a")
                .broken("");
        assertThat(judge.lastSent().getMaxValue()).isBetween(1000 * MS, 1001 * MS);
    }

    @Test
    void anExchangeThatTheWholeListLeavesOutIsGone() {
        list(0, READY)
                .list(100, "epoch e version 3 whole\n")
                .session(2000)
                .wrote(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .broken("drain");
    }

    @Test
    void aStrangersNotifyTellsNothing() {
        list(0, READY)
                .list(100, "other", DRAINING)
                .session(2000)
                .wrote(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .broken("");
    }

    @Test
    void aLearningListLeavesNobodyOut() {
        list(0, READY)
                .list(100, "epoch f version 1 learning\n")
                .session(2000)
                .wrote(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .broken("");
    }

    @Test
    void onlyANewStartTakesADrainBack() {
        list(0, READY)
                .list(100, DRAINING)
                .list(200, "epoch f version 1 whole\n102 2 ready 7 9 - udp:far:4\n")
                .session(2000)
                .wrote(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .broken("drain");
    }

    @Test
    void aNewStartDoes() {
        list(0, READY)
                .list(100, DRAINING)
                .list(200, "epoch f version 1 whole\n102 2 ready 8 1 - udp:far:4\n")
                .session(2000)
                .wrote(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .broken("");
    }

    @Test
    void aDrainToldHoldsOverTheRoutersDeath() {
        list(0, READY).list(100, DRAINING);
        judge.killed(NODE);
        session(2000)
                .wrote(2001, invite("o", "s", 900))
                .reply(2100, "o", 503, 42)
                .answer(2200, 480, "a")
                .broken("drain");
    }

    /**
     * The budget of each second is ten set-ups; all come from router 2, which knows of the start or
     * does not.
     */
    private JudgeTest cold(int setUps, boolean told) {
        judge.started(1, 50 * MS);
        if (told) {
            judge.message(
                    59 * MS,
                    "edge-2",
                    true,
                    EXCHANGE,
                    message("SUBSCRIBE", "d", "").add("Event", "exchanges").bytes());
            judge.message(
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
                            .bytes());
        }
        for (int i = 0; i < setUps; i++) {
            SipMessage invite =
                    invite("c" + i, "c" + i, 2000).set("X-Far-End", "1").add("X-Origin", "2");
            read(100 + i * 90, invite).wrote(101 + i * 90, SipMessage.reply(invite, 480, "x", "t"));
        }
        return this;
    }

    @Test
    void aColdBudgetOverByOne() {
        cold(11, true).broken("cold");
    }

    @Test
    void aColdBudgetJustSpent() {
        cold(10, true).broken("");
    }

    @Test
    void aColdBudgetSpentByThoseWhoWereNotTold() {
        cold(11, false).broken("");
    }
}
