package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.caller.CallerMessage;
import coralcove.platform.discovery.DiscoveryUpdate;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the router does while the discovery service is silent, in virtual time. */
class ExchangeListLeaseTest {
    /** By the protocol, events count as told 7 s after a silence began; the grace is 1 s. */
    private static final int EXPIRES_MS = 8_000;

    private final RouterCoreHarness harness = RouterCoreHarness.serving();

    @BeforeEach
    void silenceDiscoveryService() {
        harness.discoveryAnswers = false;
        harness.core.callerOpened(harness.now(), 1);
        harness.callerSends(1, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 1, 0));
    }

    private void answerPoll(long listCurrentAtMs) {
        harness.core.discoveryAnswered(
                harness.now(),
                RouterCoreHarness.START + listCurrentAtMs * 1000,
                new DiscoveryUpdate(1, List.of()));
    }

    /** Guards against INVITEs to an exchange that began to drain while nobody could tell of it. */
    @Test
    void sendsNoInviteOnceTheListHasExpired() {
        for (int call = 1; call < EXPIRES_MS / 100; call++) {
            harness.advanceTo(call * 100);
            harness.callerSends(1, harness.setUp(call, 1, 1500));
            harness.exchangeSends(harness.connectionOf(call), RouterCoreHarness.ok(call));
            harness.exchangeSends(1, RouterCoreHarness.bye(call, 16));
            harness.reportState(1, "x0:40;x1:40");
        }
        assertThat(harness.count(" INVITE")).isEqualTo(EXPIRES_MS / 100 - 1);
        harness.advanceTo(EXPIRES_MS);
        harness.callerSends(1, harness.setUp(0x1001, 1, 1500));
        assertThat(harness.count("call 1001,")).isZero();
        assertThat(harness.count("caller 1 release 1001 cause 42")).isEqualTo(1);
        assertThat(harness.trace.toString()).containsOnlyOnce("log list-expired");
        harness.advanceTo(12_000);
        answerPoll(12_000);
        assertThat(harness.trace.toString()).containsOnlyOnce("log list-renewed");
        harness.callerSends(1, harness.setUp(0x1002, 1, 1500));
        assertThat(harness.count("call 1002,")).isEqualTo(1);
    }

    /**
     * Guards against a lease that counts from the arrival of an answer that was long on its way.
     */
    @Test
    void countsFromTheTimeAtWhichTheListWasCurrent() {
        harness.advanceTo(5_000);
        answerPoll(1_000);
        harness.advanceTo(1_000 + EXPIRES_MS);
        harness.callerSends(1, harness.setUp(0x1001, 1, 1500));
        assertThat(harness.count("call 1001,")).isZero();
        answerPoll(500);
        harness.callerSends(1, harness.setUp(0x1002, 1, 1500));
        assertThat(harness.count("call 1002,")).isZero();
    }

    /**
     * Guards against an INVITE that was decided before and is sent when its connection comes up.
     */
    @Test
    void rejectsASessionThatWaitsForAConnectionWhenTheListExpires() {
        harness.advanceTo(EXPIRES_MS - 50);
        harness.connectionDown(1, ConnectionLoss.BROKEN);
        harness.connectionDown(3, ConnectionLoss.BROKEN);
        harness.callerSends(1, harness.setUp(0x1001, 1, 1500));
        harness.advanceTo(EXPIRES_MS + 50);
        assertThat(harness.count("caller 1 release 1001 cause 42")).isEqualTo(1);
        harness.connectAll();
        harness.processAll();
        assertThat(harness.count(" INVITE")).isZero();
        assertThat(harness.count("release 1001")).isEqualTo(1);
    }

    /**
     * Guards against a further INVITE of a session, and a refusal though the first may have run.
     */
    @Test
    void failsASessionThatIsRetriedAfterTheListHasExpired() {
        harness.listExchanges(
                2, false, RouterCoreHarness.entry("s-03", 3, DiscoveryUpdate.State.IN_SERVICE));
        harness.discoveryAnswers = false;
        harness.connectAll();
        harness.advanceTo(EXPIRES_MS - 200);
        harness.reportState(1, "x0:0;x1:40");
        harness.reportState(2, "x0:40;x1:40");
        harness.callerSends(1, harness.setUp(0x1001, 1, 1500));
        harness.connectionDown(harness.connectionOf(0x1001), ConnectionLoss.BROKEN);
        harness.advanceTo(EXPIRES_MS + 400);
        assertThat(harness.count(" INVITE")).isEqualTo(1);
        assertThat(harness.count("caller 1 release 1001 cause 38")).isEqualTo(1);
    }
}
