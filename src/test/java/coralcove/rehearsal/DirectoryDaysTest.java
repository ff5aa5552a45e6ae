package coralcove.rehearsal;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.baseline.Policies;
import coralcove.config.Toml;
import coralcove.directory.DirectoryCore;
import coralcove.edge.EdgeCore;
import coralcove.edge.EdgeSettings;
import coralcove.network.Network;
import coralcove.network.VirtualNetwork;
import coralcove.sip.Hop;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Directories that die, restart, are cut off or forged, and DNS that fails or lies, as troubles
 * that the judge sees.
 */
class DirectoryDaysTest {
    private static Result play(long seed, String directory, String troubles) throws Exception {
        String text = Files.readString(Path.of("days/bad-day.toml"));
        String day =
                text.substring(0, text.indexOf("[[trouble]]"))
                                .replace("[directory]", "[directory]\n" + directory)
                        + troubles;
        return Rehearse.virtual(
                DayFile.of(Toml.of("day.toml", day), seed), seed, "choice", null, null);
    }

    private static String trouble(String kind, int at, int length, String more) {
        return "[[trouble]]\nkind = \""
                + kind
                + "\"\nat_s = "
                + at
                + "\nlen_s = "
                + length
                + "\n"
                + more
                + "\n";
    }

    private static void kept(Result result, double share) {
        assertThat(result.rules().values().stream().flatMap(v -> v.breaches().stream()).toList())
                .isEmpty();
        assertThat(result.rules().get("drain").checked()).isPositive();
        assertThat(result.share()).isGreaterThan(share);
    }

    @Test
    void aDirectoryThatRestartsInTheMiddleOfADrainAndWithinItsGrace() throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            // The drain is told 1 s after it began; the restart comes within the grace after that,
            // and again later.
            String drain =
                    trouble("drain", 5, 1, "on = [1]\nextra = 9")
                            + trouble("directory-restart", 6, 1, "extra = 0");
            kept(play(seed, "", drain + trouble("directory-restart", 9, 1, "")), 0.6);
        }
    }

    @Test
    void aRouterThatRestartsWhileNoDirectoryIsUpKeepsWhatItWasTold() throws Exception {
        // Rule 3 is judged over the router's death: what it had been told it must still know.
        String text =
                trouble("drain", 4, 1, "on = [1]\nextra = 20")
                        + trouble("directory-death", 7, 18, "")
                        + trouble("router-death", 9, 1, "on = [0, 3, 5]");
        Result result = play(2, "", text);
        kept(result, 0.5);
        assertThat(result.lastSent().getMaxValue()).isLessThanOrEqualTo(1_000_000);
    }

    @Test
    void ofTwoDirectoriesOneCutOffOrDeadCostsNothing() throws Exception {
        double whole = play(3, "count = 2", trouble("drain", 8, 1, "on = [4]\nextra = 4")).share();
        for (String kind : List.of("directory-cut", "directory-death")) {
            Result result =
                    play(
                            3,
                            "count = 2",
                            trouble("drain", 8, 1, "on = [4]\nextra = 4")
                                    + trouble(kind, 3, 22, "extra = 1"));
            kept(result, whole - 0.02);
        }
    }

    @Test
    void forgedListsAtAHundredASecondCostNothing() throws Exception {
        String drain = trouble("drain", 8, 1, "on = [4]\nextra = 4");
        double quiet = play(4, "", drain).share();
        kept(play(4, "", drain + trouble("directory-forged", 1, 28, "size = 100")), quiet - 0.01);
    }

    @Test
    void dnsThatDiesCutsOrNamesOldPlacesBreaksNoRule() throws Exception {
        String text =
                trouble("drain", 5, 1, "on = [1]\nextra = 3")
                        + trouble("directory-death", 6, 12, "")
                        + trouble("dns-truncated", 4, 6, "")
                        + trouble("dns-stale", 8, 12, "on = [1, 2]")
                        + trouble("dns-dead", 20, 5, "")
                        + trouble("death", 10, 5, "on = [2]");
        kept(play(5, "dns_life_s = 2", text), 0.5);
    }

    /**
     * A directory comes back under 94 routers that all want it: how many ask within any tenth of a
     * second.
     */
    @Test
    void ninetyFourRoutersDoNotAllComeAtOnce() throws Exception {
        Day day =
                DayFile.of(Toml.of("day.toml", Files.readString(Path.of("days/bad-day.toml"))), 1);
        TreeMap<Long, Integer> asks = new TreeMap<>();
        Network.Tap tap =
                new Network.Tap() {
                    @Override
                    public void message(
                            long now, String node, boolean out, Hop peer, byte[] bytes) {
                        String text = new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
                        if (!out
                                && text.startsWith("SUBSCRIBE")
                                && text.contains("Event: exchanges")) {
                            asks.merge(now / 100_000, 1, Integer::sum);
                        }
                    }

                    @Override
                    public void broken(long now, String node, Hop peer, boolean refused) {}
                };
        VirtualNetwork network =
                new VirtualNetwork(
                        1_000_000_000, 7, VirtualNetwork.Weather.FAIR, Map.of(), tap, null);
        Hop at = new Hop(false, "127.0.0.1", 9000);
        DirectoryCore.Late late = new DirectoryCore.Late(1_000_000, 8_000_000, 800_000);
        network.add("directory", at, new DirectoryCore(at, late, "first"), true);
        List<EdgeCore> routers = new ArrayList<>();
        for (int i = 0; i < 94; i++) {
            Hop self = new Hop(false, "127.0.0.1", 10_000 + i);
            EdgeCore core =
                    new EdgeCore(
                            new EdgeSettings(
                                    i,
                                    self,
                                    new Hop(false, "127.0.0.1", 20_000 + i),
                                    List.of(at),
                                    day.settings(0),
                                    20_000,
                                    100,
                                    i,
                                    "r" + i),
                            Policies.router("choice", day.settings(0), i));
            routers.add(core);
            network.add("edge-" + i, self, core, false);
        }
        network.run(network.now() + 30_000_000);
        network.kill("directory");
        network.run(network.now() + 60_000_000);
        asks.clear();
        long back = network.now();
        network.add("directory", at, new DirectoryCore(at, late, "second"), true);
        network.run(back + 5_000_000);
        assertThat(asks.values().stream().mapToInt(n -> n).max().orElse(0))
                .as("of " + asks)
                .isLessThan(94 / 4);
        assertThat(
                        routers.stream()
                                .filter(
                                        core ->
                                                core.roster()
                                                        .say(network.now(), 0)
                                                        .name()
                                                        .equals("FRESH"))
                                .count())
                .isEqualTo(94);
    }
}
