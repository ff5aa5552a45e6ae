package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Clients that send set-ups faster than the router decides them, in virtual time. */
class FloodTest {
    private static final int FLOOD = 5_000;
    private static final int UNKNOWN_NUMBER = 9;

    private final RouterCoreHarness harness = RouterCoreHarness.serving();

    /** One read of set-ups that are not decided before the next input. */
    private void flood(long caller, int firstCall) {
        harness.core.callerOpened(harness.now(), caller);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < FLOOD; i++) {
            all.writeBytes(harness.setUp(firstCall + i, UNKNOWN_NUMBER, 1500).encode());
        }
        harness.core.callerRead(harness.now(), caller, all.toByteArray());
    }

    /** Sends some set-ups of a caller at once; returns what the router sends for them. */
    private static List<String> placeCalls(RouterCoreHarness router) {
        router.sentMessages.clear();
        router.core.callerOpened(router.now(), 1);
        for (int call = 0x301; call <= 0x310; call++) {
            router.core.callerRead(router.now(), 1, router.setUp(call, 1, 1500).encode());
        }
        router.processAll();
        return router.sentMessages.stream()
                .filter(each -> each.contains(" INVITE") || each.startsWith("caller 1 "))
                .toList();
    }

    /** Guards against the refusal of callers because others' set-ups fill the pending sessions. */
    @Test
    void acceptsSetUpsOfACallerBesideAnyNumberOfFloods() {
        harness.traceDisabled = true;
        for (int client = 0; client < 20; client++) {
            flood(10 + client, 0x100_000 * (1 + client));
        }
        List<String> quiet = placeCalls(RouterCoreHarness.serving());
        assertThat(quiet).anyMatch(each -> each.contains(" INVITE")).hasSize(0x10);
        assertThat(placeCalls(harness)).isEqualTo(quiet);
    }

    /** Guards against a caller whose set-up waits until all set-ups of a flood are decided. */
    @Test
    void decidesSetUpsOfConnectionsInTurns() {
        harness.traceDisabled = true;
        flood(10, 0x100_000);
        long refusedUnread = harness.count("caller 10 release");
        harness.core.callerOpened(harness.now(), 1);
        harness.core.callerRead(harness.now(), 1, harness.setUp(0x301, 1, 1500).encode());
        harness.core.routeNext(harness.now());
        harness.core.routeNext(harness.now());
        assertThat(harness.count(" INVITE")).isEqualTo(1);
        assertThat(harness.count("caller 10 release")).isEqualTo(refusedUnread + 1);
    }
}
