package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.caller.CallerMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients that report established calls without end, in virtual time. */
class ReportedCallsTest {
    /** More than the calls that the router can keep. */
    private static final int FLOOD = 60_000;

    private final RouterCoreHarness harness = RouterCoreHarness.serving();

    @BeforeEach
    void floodWithReports() {
        harness.traceDisabled = true;
        harness.core.callerOpened(harness.now(), 9);
        for (int call = 1; call <= FLOOD; call++) {
            harness.core.callerRead(harness.now(), 9, report(0x100_000 + call, "s-01").encode());
        }
        harness.core.callerOpened(harness.now(), 1);
    }

    private static CallerMessage report(long call, String exchange) {
        return CallerMessage.of(CallerMessage.SET_UP, call)
                .add(CallerMessage.SERVICE, "lookup")
                .add(CallerMessage.NUMBER, "7f3a9c21e0b4d655")
                .add(CallerMessage.ATTRIBUTES, "dest:1;width:1;via:-1;at:" + exchange);
    }

    /** Guards against reports that fill the table of calls, so that all set-ups are refused. */
    @Test
    void keepsRoomForSetUps() {
        assertThat(harness.core.counterLine()).contains(" standing 8000 ", " told-not-kept 52000 ");
        harness.callerSends(1, harness.setUp(0x301, 1, 1500));
        harness.exchangeSends(harness.connectionOf(0x301), RouterCoreHarness.ok(0x301));
        assertThat(harness.count("caller 1 answer 301")).isEqualTo(1);
    }

    /** Guards against reports of one client that leave no room for those of callers. */
    @Test
    void keepsReportsOfOtherConnections() {
        for (long call = 0x301; call <= 0x400; call++) {
            harness.callerSends(1, report(call, "s-02"));
        }
        harness.core.callerRead(harness.now(), 9, report(0x200_000, "s-02").encode());
        harness.connectionDown(2, ConnectionLoss.BROKEN);
        harness.connectionDown(4, ConnectionLoss.BROKEN);
        for (int i = 0; i < 2; i++) {
            harness.advanceTo(1_000 + 1_000 * i);
            harness.connectionDown(harness.openingConnections.get(0), ConnectionLoss.REFUSED);
        }
        assertThat(harness.count("caller 1 release")).isEqualTo(0x100);
        assertThat(harness.core.counterLine()).contains(" standing 7744 ");
    }

    /** Guards against releases of calls that never were, in place of those that are owed. */
    @Test
    void keepsReleasesOwedToOtherConnections() {
        harness.callerSends(1, harness.setUp(0x301, 1, 1500));
        harness.exchangeSends(harness.connectionOf(0x301), RouterCoreHarness.ok(0x301));
        harness.exchangeSends(1, RouterCoreHarness.bye(0x301, 16));
        for (int call = 1; call <= FLOOD; call++) {
            harness.core.callerRead(harness.now(), 9, report(0x400_000 + call, "s-77").encode());
        }
        assertThat(harness.core.counterLine()).contains(" owed 1001 ");
        harness.core.callerClosed(harness.now(), 1);
        assertThat(harness.count("caller 9 release 301 cause 16")).isEqualTo(1);
    }
}
