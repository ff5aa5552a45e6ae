package coralcove.rehearsal;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.baseline.RoutingPolicies;
import coralcove.config.TomlSettings;
import coralcove.directory.SimulatedDirectory;
import coralcove.edge.EdgeCore;
import coralcove.edge.EdgeSettings;
import coralcove.network.Network;
import coralcove.network.VirtualNetwork;
import coralcove.sip.TransportAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Scenarios in which directories fail, restart, are cut off or impersonated, and in which DNS fails
 * or names wrong addresses. The judge checks the rules; the share of value served has a lower
 * bound.
 */
class DirectoryFaultTest {
    private static ScenarioResult play(long seed, String directorySettings, String faults)
            throws Exception {
        String template = Files.readString(Path.of("days/bad-day.toml"));
        String toml =
                template.substring(0, template.indexOf("[[trouble]]"))
                                .replace("[directory]", "[directory]\n" + directorySettings)
                        + faults;
        return ScenarioRunner.runVirtual(
                ScenarioFile.parse(TomlSettings.from("day.toml", toml), seed),
                seed,
                "choice",
                null,
                null);
    }

    private static String faultTable(String kind, int at, int length, String settings) {
        return "[[trouble]]\nkind = \""
                + kind
                + "\"\nat_s = "
                + at
                + "\nlen_s = "
                + length
                + "\n"
                + settings
                + "\n";
    }

    private static void assertRulesKept(ScenarioResult result, double minShare) {
        assertThat(
                        result.ruleResults().values().stream()
                                .flatMap(v -> v.breaches().stream())
                                .toList())
                .isEmpty();
        assertThat(result.ruleResults().get("drain").checked()).isPositive();
        assertThat(result.servedShare()).isGreaterThan(minShare);
    }

    @Test
    void directoryRestartDuringDrainAndItsGrace() throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            // The drain is notified 1 s after its begin. The directory restarts once within the
            // grace period after that and once later.
            String drain =
                    faultTable("drain", 5, 1, "on = [1]\nextra = 9")
                            + faultTable("directory-restart", 6, 1, "extra = 0");
            assertRulesKept(play(seed, "", drain + faultTable("directory-restart", 9, 1, "")), 0.6);
        }
    }

    @Test
    void routerRestartWithoutDirectoryRetainsDrainState() throws Exception {
        // Rule 3 also applies after the restart of the router, which has to remember the drain.
        String text =
                faultTable("drain", 4, 1, "on = [1]\nextra = 20")
                        + faultTable("directory-death", 7, 18, "")
                        + faultTable("router-death", 9, 1, "on = [0, 3, 5]");
        ScenarioResult result = play(2, "", text);
        assertRulesKept(result, 0.5);
        assertThat(result.lastInviteDelays().getMaxValue()).isLessThanOrEqualTo(1_000_000);
    }

    @Test
    void lossOfOneOfTwoDirectoriesCostsNoValue() throws Exception {
        double undisturbedShare =
                play(3, "count = 2", faultTable("drain", 8, 1, "on = [4]\nextra = 4"))
                        .servedShare();
        for (String kind : List.of("directory-cut", "directory-death")) {
            ScenarioResult result =
                    play(
                            3,
                            "count = 2",
                            faultTable("drain", 8, 1, "on = [4]\nextra = 4")
                                    + faultTable(kind, 3, 22, "extra = 1"));
            assertRulesKept(result, undisturbedShare - 0.02);
        }
    }

    @Test
    void hundredForgedListsPerSecondCostNoValue() throws Exception {
        String drain = faultTable("drain", 8, 1, "on = [4]\nextra = 4");
        double undisturbedShare = play(4, "", drain).servedShare();
        assertRulesKept(
                play(4, "", drain + faultTable("directory-forged", 1, 28, "size = 100")),
                undisturbedShare - 0.01);
    }

    @Test
    void dnsFaultsBreakNoRule() throws Exception {
        String text =
                faultTable("drain", 5, 1, "on = [1]\nextra = 3")
                        + faultTable("directory-death", 6, 12, "")
                        + faultTable("dns-truncated", 4, 6, "")
                        + faultTable("dns-stale", 8, 12, "on = [1, 2]")
                        + faultTable("dns-dead", 20, 5, "")
                        + faultTable("death", 10, 5, "on = [2]");
        assertRulesKept(play(5, "dns_life_s = 2", text), 0.5);
    }

    /**
     * Guards against a burst of subscriptions when a directory comes back with 94 routers waiting.
     */
    @Test
    void resubscriptionsOf94RoutersAreSpreadOut() throws Exception {
        Scenario scenario =
                ScenarioFile.parse(
                        TomlSettings.from(
                                "day.toml", Files.readString(Path.of("days/bad-day.toml"))),
                        1);
        TreeMap<Long, Integer> subscribesByInterval = new TreeMap<>();
        Network.MessageObserver tap =
                new Network.MessageObserver() {
                    @Override
                    public void onMessage(
                            long now,
                            String node,
                            boolean out,
                            TransportAddress peer,
                            byte[] bytes) {
                        String text = new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
                        if (!out
                                && text.startsWith("SUBSCRIBE")
                                && text.contains("Event: exchanges")) {
                            subscribesByInterval.merge(now / 100_000, 1, Integer::sum);
                        }
                    }

                    @Override
                    public void onStreamFailure(
                            long now, String node, TransportAddress peer, boolean refused) {}
                };
        VirtualNetwork network =
                new VirtualNetwork(
                        1_000_000_000,
                        7,
                        VirtualNetwork.NetworkConditions.FAULT_FREE,
                        Map.of(),
                        tap,
                        null);
        TransportAddress directoryAddress = new TransportAddress(false, "127.0.0.1", 9000);
        SimulatedDirectory.NotificationDelays delays =
                new SimulatedDirectory.NotificationDelays(1_000_000, 8_000_000, 800_000);
        network.addNode(
                "directory",
                directoryAddress,
                new SimulatedDirectory(directoryAddress, delays, "first"),
                true);
        List<EdgeCore> routers = new ArrayList<>();
        for (int i = 0; i < 94; i++) {
            TransportAddress routerAddress = new TransportAddress(false, "127.0.0.1", 10_000 + i);
            EdgeCore core =
                    new EdgeCore(
                            new EdgeSettings(
                                    i,
                                    routerAddress,
                                    new TransportAddress(false, "127.0.0.1", 20_000 + i),
                                    List.of(directoryAddress),
                                    scenario.settings(0),
                                    20_000,
                                    100,
                                    i,
                                    "r" + i),
                            RoutingPolicies.create("choice", scenario.settings(0), i));
            routers.add(core);
            network.addNode("edge-" + i, routerAddress, core, false);
        }
        network.run(network.now() + 30_000_000);
        network.killNode("directory");
        network.run(network.now() + 60_000_000);
        subscribesByInterval.clear();
        long restartTime = network.now();
        network.addNode(
                "directory",
                directoryAddress,
                new SimulatedDirectory(directoryAddress, delays, "second"),
                true);
        network.run(restartTime + 5_000_000);
        assertThat(subscribesByInterval.values().stream().mapToInt(n -> n).max().orElse(0))
                .as("of " + subscribesByInterval)
                .isLessThan(94 / 4);
        assertThat(
                        routers.stream()
                                .filter(
                                        core ->
                                                core.roster()
                                                        .listAuthority(network.now(), 0)
                                                        .name()
                                                        .equals("FRESH"))
                                .count())
                .isEqualTo(94);
    }
}
