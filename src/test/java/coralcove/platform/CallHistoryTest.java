package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Ids that are used again, and late messages of exchanges, in virtual time. */
class CallHistoryTest {
    private final RouterCoreHarness harness = RouterCoreHarness.serving();

    @BeforeEach
    void openConnections() {
        harness.traceDisabled = true;
        for (long caller = 1; caller <= 3; caller++) {
            harness.core.callerOpened(harness.now(), caller);
        }
    }

    private void establishAndRelease(long call) {
        harness.callerSends(2, harness.setUp(call, 1, 1500));
        long connection = harness.connectionOf(call);
        harness.exchangeSends(connection, RouterCoreHarness.ok(call));
        harness.exchangeSends(connection, RouterCoreHarness.bye(call, 16));
        harness.reportState(1, "x0:40;x1:40");
    }

    /** Guards against an id that stands twice as it comes again after its client has left. */
    @Test
    void sendsNoSecondInviteForAnIdWhoseCallerHasLeft() {
        harness.callerSends(1, harness.setUp(0x301, 1, 1500));
        long connection = harness.connectionOf(0x301);
        harness.core.callerClosed(harness.now(), 1);
        harness.callerSends(2, harness.setUp(0x301, 1, 1500));
        harness.exchangeSends(connection, RouterCoreHarness.ok(0x301));
        harness.callerSends(3, harness.setUp(0x301, 1, 1500));
        assertThat(harness.count(" INVITE")).isEqualTo(1);
        assertThat(harness.count("CANCEL")).isEqualTo(1);
        assertThat(harness.count("BYE sip:0000000000000301@net")).isEqualTo(1);
        assertThat(harness.count("caller 2 release 301 cause 81")).isEqualTo(1);
        assertThat(harness.count("caller 3 release 301 cause 81")).isEqualTo(1);
    }

    /** Guards against a second final message, or INVITE, as refusals push an id out of memory. */
    @Test
    void remembersCallsWithInvitesWhateverNumberIsRefused() {
        establishAndRelease(0x301);
        for (int call = 0; call < 10_000; call++) {
            harness.sentMessages.clear();
            harness.callerSends(2, harness.setUp(0x100_000 + call, 9, 1500));
        }
        for (int call = 0; call < 5_000; call++) {
            harness.sentMessages.clear();
            establishAndRelease(0x200_000 + call);
        }
        harness.sentMessages.clear();
        harness.exchangeSends(1, RouterCoreHarness.bye(0x301, 16));
        assertThat(harness.count("caller")).isZero();
    }
}
