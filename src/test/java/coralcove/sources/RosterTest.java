package coralcove.sources;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Exchange;
import coralcove.Kept;
import coralcove.protocol.ListingText;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Who is believed when sources disagree, restart, go silent or lie; each test a row of the table in
 * the design note.
 */
class RosterTest {
    private static final String READY = "101 1 ready 7 3 - udp:a:1\n";
    private Roster roster = new Roster(List.of("d0", "d1"));
    private final StringBuilder trace = new StringBuilder();
    private long now = 1_000_000;

    private RosterTest list(int source, String text) {
        Roster.Refusal refusal = roster.listed(now, source, ListingText.read(text));
        String wants =
                IntStream.range(0, 2)
                        .filter(i -> roster.wantsWhole(i))
                        .mapToObj(i -> " asks d" + i)
                        .collect(Collectors.joining());
        return tell(
                "d"
                        + source
                        + " "
                        + text.lines().findFirst().orElse("")
                        + (refusal == Roster.Refusal.NONE ? "" : " refused " + refusal)
                        + wants);
    }

    private RosterTest tell(String what) {
        trace.append(now / 1_000_000).append(" s  ").append(what).append('\n');
        for (Exchange each : roster.news(now)) {
            Belief belief = roster.belief(each.id());
            trace.append("      ")
                    .append(each.id())
                    .append(" of ")
                    .append(each.number())
                    .append(' ')
                    .append(each.phase())
                    .append(each.since() == 0 ? "" : " since " + each.since() / 1000 + " ms")
                    .append(
                            belief == null
                                    ? " forgotten"
                                    : " " + belief.why() + " at " + belief.address())
                    .append('\n');
        }
        return this;
    }

    private RosterTest pass(long seconds) {
        now += seconds * 1_000_000;
        return tell("passes");
    }

    private RosterTest dns(int number, boolean stale, String... addresses) {
        roster.located(now, number, List.of(addresses), stale);
        return tell("dns " + number + " " + List.of(addresses) + (stale ? " past its life" : ""));
    }

    private RosterTest anew(int source) {
        roster.begun(source);
        return tell("d" + source + " is asked anew");
    }

    private void reads(String name) {
        assertThat(trace.toString()).isEqualTo(Kept.trace(name));
    }

    @Test
    void aDirectoryThatRestartsDropsNobodyUntilItHasLearnt() {
        list(0, "epoch a version 7 whole\n" + READY + "102 2 ready 7 3 - udp:b:1\n")
                .list(0, "epoch b version 1 learning\n")
                .anew(0)
                .list(0, "epoch b version 1 learning\n")
                .list(0, "epoch b version 2 changes after 1\n" + READY)
                .pass(10)
                .list(0, "epoch b version 3 whole\n101 1 ready 7 12 - udp:a:1\n")
                .reads("roster-restart");
    }

    @Test
    void aDrainHoldsOverTheDirectorysRestartUntilANewStart() {
        list(0, "epoch a version 7 whole\n" + READY)
                .list(0, "epoch a version 8 changes after 7\n" + "101 1 draining 7 4 - udp:a:1\n")
                .anew(0)
                .list(0, "epoch b version 1 learning\n101 1 ready 7 5 - udp:a:1\n")
                .list(0, "epoch b version 2 changes after 1\n101 1 ready 8 1 200000 udp:a:1\n")
                .reads("roster-drain");
    }

    @Test
    void ofTwoDirectoriesTheOneCutOffTakesNobodyDown() {
        list(0, "epoch a version 1 whole\n" + READY)
                .list(1, "epoch b version 1 whole\n" + READY)
                .pass(10)
                .list(1, "epoch b version 2 changes after 1\n101 1 silent 7 4 - udp:a:1\n")
                .list(0, "epoch a version 1 whole\n101 1 ready 7 13 - udp:a:1\n")
                .pass(5)
                .list(0, "epoch a version 2 changes after 1\n101 1 silent 7 15 - udp:a:1\n")
                .reads("roster-contradicted");
    }

    @Test
    void aMachineReplacedWhileNoDirectoryIsUp() {
        list(0, "epoch a version 1 whole\n" + READY)
                .pass(40)
                .anew(0)
                .list(0, "epoch b version 1 learning\n1101 1 ready 9 2 5000000 udp:a:1\n")
                .pass(10)
                .list(0, "epoch b version 2 whole\n1101 1 ready 9 12 15000000 udp:a:1\n")
                .reads("roster-replaced");
    }

    @Test
    void listsLoseTheirSayByStepsAndAreServedOnWhenAllAreSilent() {
        list(0, "epoch a version 1 whole\n" + READY)
                .pass(29)
                .pass(1)
                .pass(570)
                .pass(3600)
                .list(1, "epoch b version 1 whole\n102 2 ready 7 3 - udp:b:1\n")
                .reads("roster-steps");
    }

    @Test
    void aGapIsAskedForAndItsLinesCountMeanwhile() {
        list(0, "epoch a version 1 whole\n" + READY)
                .list(0, "epoch a version 4 changes after 3\n101 1 draining 7 5 - udp:a:1\n")
                .list(0, "epoch a version 3 changes after 1\n102 2 ready 7 1 - udp:b:1\n")
                .list(0, "epoch a version 4 whole\n101 1 draining 7 5 - udp:a:1\n")
                .reads("roster-gap");
    }

    @Test
    void dnsAddsAnExchangeAndLiftsNothing() {
        dns(1, false, "udp:a:1")
                .list(0, "epoch a version 1 learning\n101 1 draining 7 3 - udp:a:1\n")
                .pass(5)
                .list(0, "epoch a version 2 changes after 1\n101 1 left 7 4 - udp:a:1\n")
                .dns(1, false, "udp:a:1")
                .dns(1, false, "udp:new:1")
                .pass(1)
                .list(0, "epoch a version 3 changes after 2\n" + "201 1 ready 20 1 0 udp:new:1\n")
                .dns(2, true, "udp:stale:1")
                .dns(2, false, "udp:b:1")
                .dns(2, true, "udp:other:1")
                .dns(2, false)
                .reads("roster-dns");
    }

    @Test
    void agesNotDatesTellHowColdAMachineIs() {
        // A directory whose clock is an hour ahead; the moment is the first that was told, whatever
        // its messages' delays.
        list(0, "epoch a version 1 whole\n101 1 ready 3600007000000 3 200000 udp:a:1\n")
                .pass(4)
                .list(0, "epoch a version 1 whole\n101 1 ready 3600007000000 7 4500000 udp:a:1\n")
                .list(1, "epoch b version 1 whole\n101 1 ready 3600007000000 7 3900000 udp:a:1\n")
                .reads("roster-ages");
    }

    @Test
    void whatWasKeptHoldsUntilItsDirectorySaysOtherwise() {
        list(
                0,
                "epoch a version 1 whole\n"
                        + READY
                        + "102 2 draining 7 3 - udp:b:1\n103 3 ready 7 3 1000000 udp:c:1\n");
        List<Roster.Said> disk = roster.said();
        roster = new Roster(List.of("d0", "d1"));
        now += 60_000_000;
        assertThat(roster.kept(now, disk)).isEqualTo(3);
        tell("starts again")
                .list(0, "epoch b version 1 learning\n102 2 ready 7 50 - udp:b:1\n")
                .list(0, "epoch b version 2 whole\n" + READY)
                .reads("roster-kept");
    }

    @Test
    void aClockSetBackOverARestartMakesNothingWarmOrFresh() {
        list(0, "epoch a version 1 whole\n103 3 ready 7 3 1000 udp:c:1\n");
        List<Roster.Said> disk = roster.said();
        roster = new Roster(List.of("d0"));
        now = 500_000;
        roster.kept(now, disk);
        tell("starts again an hour earlier").reads("roster-clock");
        assertThat(roster.say(now, 0)).isEqualTo(Roster.Say.OLD);
    }

    @Test
    void aListPastTheBoundIsRefusedWhole() {
        List<Listing.Line> lines = new ArrayList<>();
        for (int i = 0; i <= Roster.MOST; i++) {
            lines.add(
                    new Listing.Line(
                            i + 1, Life.runs(1, 1, i % 65_536, "udp:a:1"), Listing.LONG_AGO));
        }
        assertThat(roster.listed(now, 0, new Listing("a", 1, Listing.Kind.WHOLE, 0, lines)))
                .isEqualTo(Roster.Refusal.TOO_LONG);
        assertThat(roster.news(now)).isEmpty();
    }
}
