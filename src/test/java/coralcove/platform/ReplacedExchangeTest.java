package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.discovery.DiscoveryUpdate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A new exchange at the address of one that is gone, in virtual time. */
class ReplacedExchangeTest {
    private static final int NEWER_STARTS_MS = 150;
    private static final int NEWER_LISTED_MS = 1_000;

    private final RouterCoreHarness harness = RouterCoreHarness.serving();

    @BeforeEach
    void openConnection() {
        harness.core.callerOpened(harness.now(), 1);
    }

    private long establish(long call) {
        harness.callerSends(1, harness.setUp(call, 1, 1500));
        long connection = harness.connectionOf(call);
        harness.exchangeSends(connection, RouterCoreHarness.ok(call));
        return connection;
    }

    private void listNewer(long eventNumber) {
        harness.listExchanges(
                eventNumber,
                false,
                new DiscoveryUpdate.Entry(
                        "s-09",
                        "10.1.0.1:5080",
                        1,
                        DiscoveryUpdate.State.IN_SERVICE,
                        RouterCoreHarness.START / 1000 + NEWER_STARTS_MS));
    }

    /** The older process ends; the newer one accepts the connections meant for it. */
    private void replaceProcess() {
        harness.advanceTo(100);
        harness.connectionDown(1, ConnectionLoss.BROKEN);
        harness.connectionDown(3, ConnectionLoss.BROKEN);
        harness.advanceTo(NEWER_STARTS_MS + 150);
        assertThat(harness.openingConnections).isNotEmpty();
        harness.connectAll();
    }

    /** Guards against calls that are never released as the newer exchange's messages are heard. */
    @Test
    void releasesCallsOfAnExchangeWhoseAddressANewerOneHas() {
        establish(0x301);
        replaceProcess();
        for (int ms = 400; ms <= NEWER_LISTED_MS; ms += 100) {
            harness.advanceTo(ms);
            harness.reportState(5, "x0:39;x1:40");
        }
        assertThat(harness.count("release 301")).isZero();
        listNewer(2);
        assertThat(harness.count("caller 1 release 301 cause 41")).isEqualTo(1);
    }

    /** The same where the list told of the older one's end first. */
    @Test
    void releasesCallsOfAnExchangeThatIsGoneButStillHeard() {
        establish(0x301);
        replaceProcess();
        harness.listExchanges(
                2, false, RouterCoreHarness.entry("s-01", 1, DiscoveryUpdate.State.TERMINATED));
        harness.advanceTo(NEWER_LISTED_MS);
        harness.reportState(5, "x0:39;x1:40");
        assertThat(harness.count("release 301")).isZero();
        listNewer(3);
        assertThat(harness.count("caller 1 release 301 cause 41")).isEqualTo(1);
    }

    /** Guards against cutting calls that were set up at the newer exchange before it was listed. */
    @Test
    void keepsCallsThatWereSetUpAtTheNewerExchange() {
        establish(0x301);
        replaceProcess();
        final long connection = establish(0x302);
        harness.advanceTo(NEWER_LISTED_MS);
        listNewer(2);
        assertThat(harness.count("release 302")).isZero();
        assertThat(harness.closedConnections).contains(connection);
        harness.advanceTo(NEWER_LISTED_MS + 100);
        long newer = harness.openingConnections.get(0);
        harness.connectAll();
        harness.exchangeSends(newer, RouterCoreHarness.bye(0x302, 16));
        assertThat(harness.count("caller 1 release 302 cause 16")).isEqualTo(1);
    }

    /** Guards against cutting the calls of a process that lives on, with the list in error. */
    @Test
    void keepsCallsOfAnExchangeThatIsHeardOnAnOlderConnection() {
        establish(0x301);
        harness.advanceTo(NEWER_LISTED_MS - 100);
        harness.reportState(1, "x0:39;x1:40");
        harness.advanceTo(NEWER_LISTED_MS);
        listNewer(2);
        harness.advanceTo(NEWER_LISTED_MS + 1_000);
        assertThat(harness.count("release 301")).isZero();
        harness.exchangeSends(1, RouterCoreHarness.bye(0x301, 16));
        assertThat(harness.count("caller 1 release 301 cause 16")).isEqualTo(1);
    }
}
