package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.caller.CallerMessage;
import org.junit.jupiter.api.Test;

/** Tests which connections get the releases of calls, in virtual time. */
class ReleaseNotifierTest {
    private static final int UNKNOWN_NUMBER = 9;

    private final RouterCoreHarness harness = RouterCoreHarness.serving();
    private long lastRefusedCall = 0x10_000;

    private void establish(long caller, long call) {
        if (!harness.closedCallers.contains(caller)) {
            harness.core.callerOpened(harness.now(), caller);
        }
        harness.callerSends(caller, harness.setUp(call, 1, 1500));
        harness.exchangeSends(harness.connectionOf(call), RouterCoreHarness.ok(call));
    }

    private void release(long call) {
        harness.exchangeSends(1, RouterCoreHarness.bye(call, 16));
    }

    /** Each of these connections requests a call that no exchange can take. */
    private void requestRefusedCalls(long firstCaller, long lastCaller) {
        for (long caller = firstCaller; caller <= lastCaller; caller++) {
            harness.callerSends(caller, harness.setUp(++lastRefusedCall, UNKNOWN_NUMBER, 1500));
        }
    }

    private void open(long firstCaller, long lastCaller) {
        for (long caller = firstCaller; caller <= lastCaller; caller++) {
            harness.core.callerOpened(harness.now(), caller);
        }
    }

    /**
     * Guards against releases that go to clients which request and are refused, and to no other.
     */
    @Test
    void sendsReleaseWhereCallsWereEstablishedNotWhereRequestsAreRefused() {
        open(10, 21);
        for (long call = 0x301; call <= 0x308; call++) {
            // Caller 1 keeps its connection, but the last requests are always those of others.
            establish(1, call);
            establish(2, call + 0x100);
            harness.core.callerClosed(harness.now(), 2);
            requestRefusedCalls(10, 21);
            release(call + 0x100);
            assertThat(harness.count("caller 1 release " + Long.toHexString(call + 0x100)))
                    .isEqualTo(1);
        }
    }

    /** Guards against a release that stays with a client which never acknowledges any. */
    @Test
    void sendsReleaseAgainWhenACallIsEstablishedOnAnotherConnection() {
        open(10, 21);
        establish(1, 0x301);
        harness.core.callerClosed(harness.now(), 1);
        requestRefusedCalls(10, 21);
        release(0x301);
        for (int ms = 100; ms <= 3_000; ms += 100) {
            harness.advanceTo(ms);
            requestRefusedCalls(10, 21);
        }
        assertThat(harness.count("release 301")).as("attempts").isEqualTo(4);
        establish(2, 0x302);
        assertThat(harness.count("caller 2 release 301")).isEqualTo(1);
        harness.callerSends(2, CallerMessage.of(CallerMessage.RELEASE_COMPLETE, 0x301));
        establish(3, 0x303);
        assertThat(harness.count("release 301"))
                .as("attempts after the acknowledgement")
                .isEqualTo(5);
    }

    /** Guards against clients that get releases because they acknowledge what was not sent. */
    @Test
    void takesNoAcknowledgementOfAnUnknownReleaseAsEvidence() {
        establish(1, 0x301);
        establish(2, 0x302);
        open(10, 10);
        harness.callerSends(10, CallerMessage.of(CallerMessage.RELEASE_COMPLETE, 0x301));
        harness.core.callerClosed(harness.now(), 1);
        release(0x301);
        assertThat(harness.count("caller 2 release 301")).isEqualTo(1);
    }

    /** Guards against releases and timers that are kept for callers who never come back. */
    @Test
    void keepsNoReleaseLongerThanAnyCallerMayTakeToHearIt() {
        establish(1, 0x301);
        release(0x301);
        harness.advanceTo(7_900);
        assertThat(harness.core.counterLine()).contains("owed 1 unheard 0");
        harness.advanceTo(8_100);
        assertThat(harness.core.counterLine()).contains("owed 0 unheard 0");
        final int timersAtRest = harness.core.timerCount();
        establish(1, 0x302);
        harness.core.callerClosed(harness.now(), 1);
        release(0x302);
        harness.advanceTo(600_000);
        assertThat(harness.core.counterLine()).contains("owed 1 unheard 0");
        harness.advanceTo(609_000);
        assertThat(harness.core.counterLine()).contains("owed 0 unheard 1");
        assertThat(harness.core.timerCount()).isEqualTo(timersAtRest);
    }

    @Test
    void dropsAndCountsTheOldestReleaseAtTheBound() {
        harness.traceDisabled = true;
        for (int call = 1; call <= 10_001; call++) {
            release(0x100_000 + call);
        }
        assertThat(harness.core.counterLine()).contains("owed 10000 unheard 1");
        establish(1, 0x301);
        assertThat(harness.count("caller 1 release 100001 ")).isZero();
        assertThat(harness.count("caller 1 release 100002 ")).isEqualTo(1);
    }
}
