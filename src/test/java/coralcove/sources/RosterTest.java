package coralcove.sources;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Exchange;
import coralcove.TraceFiles;
import coralcove.protocol.ExchangeListFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * How the roster merges sources that disagree, restart, fall silent or report wrong data. Each test
 * covers a row of the table in docs/design/sources.md.
 */
class RosterTest {
    private static final String READY_LINE = "101 1 ready 7 3 - udp:a:1\n";
    private Roster roster = new Roster(List.of("d0", "d1"));
    private final StringBuilder trace = new StringBuilder();
    private long now = 1_000_000;

    private RosterTest receiveListing(int source, String text) {
        Roster.ListingRejection rejection =
                roster.applyListing(now, source, ExchangeListFormat.parse(text));
        String queried =
                IntStream.range(0, 2)
                        .filter(i -> roster.pollCompleteListWanted(i))
                        .mapToObj(i -> " asks d" + i)
                        .collect(Collectors.joining());
        return traceChanges(
                "d"
                        + source
                        + " "
                        + text.lines().findFirst().orElse("")
                        + (rejection == Roster.ListingRejection.NONE ? "" : " refused " + rejection)
                        + queried);
    }

    /** Traces an event and the changes of the roster after it. */
    private RosterTest traceChanges(String event) {
        trace.append(now / 1_000_000).append(" s  ").append(event).append('\n');
        for (Exchange exchange : roster.pollChanges(now)) {
            RosterEntry entry = roster.entry(exchange.id());
            trace.append("      ")
                    .append(exchange.id())
                    .append(" of ")
                    .append(exchange.number())
                    .append(' ')
                    .append(exchange.phase())
                    .append(
                            exchange.startedAt() == 0
                                    ? ""
                                    : " since " + exchange.startedAt() / 1000 + " ms")
                    .append(
                            entry == null
                                    ? " forgotten"
                                    : " " + entry.reason() + " at " + entry.routerAddress())
                    .append('\n');
        }
        return this;
    }

    private RosterTest advance(long seconds) {
        now += seconds * 1_000_000;
        return traceChanges("passes");
    }

    private RosterTest receiveDnsAnswer(int number, boolean stale, String... addresses) {
        roster.applyDnsAnswer(now, number, List.of(addresses), stale);
        return traceChanges(
                "dns " + number + " " + List.of(addresses) + (stale ? " past its life" : ""));
    }

    private RosterTest resubscribe(int source) {
        roster.subscriptionStarted(source);
        return traceChanges("d" + source + " is asked anew");
    }

    private void assertTrace(String name) {
        assertThat(trace.toString()).isEqualTo(TraceFiles.read(name));
    }

    @Test
    void aRestartedDirectoryRemovesNobodyWhileItIsLearning() {
        receiveListing(0, "epoch a version 7 whole\n" + READY_LINE + "102 2 ready 7 3 - udp:b:1\n")
                .receiveListing(0, "epoch b version 1 learning\n")
                .resubscribe(0)
                .receiveListing(0, "epoch b version 1 learning\n")
                .receiveListing(0, "epoch b version 2 changes after 1\n" + READY_LINE)
                .advance(10)
                .receiveListing(0, "epoch b version 3 whole\n101 1 ready 7 12 - udp:a:1\n")
                .assertTrace("roster-restart");
    }

    @Test
    void aDrainSurvivesTheDirectorysRestartUntilANewStart() {
        receiveListing(0, "epoch a version 7 whole\n" + READY_LINE)
                .receiveListing(
                        0, "epoch a version 8 changes after 7\n" + "101 1 draining 7 4 - udp:a:1\n")
                .resubscribe(0)
                .receiveListing(0, "epoch b version 1 learning\n101 1 ready 7 5 - udp:a:1\n")
                .receiveListing(
                        0, "epoch b version 2 changes after 1\n101 1 ready 8 1 200000 udp:a:1\n")
                .assertTrace("roster-drain");
    }

    @Test
    void aDirectoryCutOffFromAnExchangeIsContradictedByTheOther() {
        receiveListing(0, "epoch a version 1 whole\n" + READY_LINE)
                .receiveListing(1, "epoch b version 1 whole\n" + READY_LINE)
                .advance(10)
                .receiveListing(
                        1, "epoch b version 2 changes after 1\n101 1 silent 7 4 - udp:a:1\n")
                .receiveListing(0, "epoch a version 1 whole\n101 1 ready 7 13 - udp:a:1\n")
                .advance(5)
                .receiveListing(
                        0, "epoch a version 2 changes after 1\n101 1 silent 7 15 - udp:a:1\n")
                .assertTrace("roster-contradicted");
    }

    @Test
    void anExchangeIsReplacedWhileNoDirectoryIsUp() {
        receiveListing(0, "epoch a version 1 whole\n" + READY_LINE)
                .advance(40)
                .resubscribe(0)
                .receiveListing(0, "epoch b version 1 learning\n1101 1 ready 9 2 5000000 udp:a:1\n")
                .advance(10)
                .receiveListing(0, "epoch b version 2 whole\n1101 1 ready 9 12 15000000 udp:a:1\n")
                .assertTrace("roster-replaced");
    }

    @Test
    void listsLoseAuthorityInStepsButStayInUseWhenNoneIsRenewed() {
        receiveListing(0, "epoch a version 1 whole\n" + READY_LINE)
                .advance(29)
                .advance(1)
                .advance(570)
                .advance(3600)
                .receiveListing(1, "epoch b version 1 whole\n102 2 ready 7 3 - udp:b:1\n")
                .assertTrace("roster-steps");
    }

    @Test
    void aGapTriggersAQueryAndItsLinesCountMeanwhile() {
        receiveListing(0, "epoch a version 1 whole\n" + READY_LINE)
                .receiveListing(
                        0, "epoch a version 4 changes after 3\n101 1 draining 7 5 - udp:a:1\n")
                .receiveListing(0, "epoch a version 3 changes after 1\n102 2 ready 7 1 - udp:b:1\n")
                .receiveListing(0, "epoch a version 4 whole\n101 1 draining 7 5 - udp:a:1\n")
                .assertTrace("roster-gap");
    }

    @Test
    void dnsAddsAnExchangeButOverridesNoDirectory() {
        receiveDnsAnswer(1, false, "udp:a:1")
                .receiveListing(0, "epoch a version 1 learning\n101 1 draining 7 3 - udp:a:1\n")
                .advance(5)
                .receiveListing(0, "epoch a version 2 changes after 1\n101 1 left 7 4 - udp:a:1\n")
                .receiveDnsAnswer(1, false, "udp:a:1")
                .receiveDnsAnswer(1, false, "udp:new:1")
                .advance(1)
                .receiveListing(
                        0, "epoch a version 3 changes after 2\n" + "201 1 ready 20 1 0 udp:new:1\n")
                .receiveDnsAnswer(2, true, "udp:stale:1")
                .receiveDnsAnswer(2, false, "udp:b:1")
                .receiveDnsAnswer(2, true, "udp:other:1")
                .receiveDnsAnswer(2, false)
                .assertTrace("roster-dns");
    }

    @Test
    void theAgeOfAnExchangeDoesNotDependOnTheDirectorysClock() {
        // The directory's clock is an hour ahead. The first start time derived is retained, also
        // when later messages are delayed differently.
        receiveListing(0, "epoch a version 1 whole\n101 1 ready 3600007000000 3 200000 udp:a:1\n")
                .advance(4)
                .receiveListing(
                        0, "epoch a version 1 whole\n101 1 ready 3600007000000 7 4500000 udp:a:1\n")
                .receiveListing(
                        1, "epoch b version 1 whole\n101 1 ready 3600007000000 7 3900000 udp:a:1\n")
                .assertTrace("roster-ages");
    }

    @Test
    void restoredReportsCountUntilTheirDirectoryContradictsThem() {
        receiveListing(
                0,
                "epoch a version 1 whole\n"
                        + READY_LINE
                        + "102 2 draining 7 3 - udp:b:1\n103 3 ready 7 3 1000000 udp:c:1\n");
        List<Roster.SourceReport> stored = roster.reports();
        roster = new Roster(List.of("d0", "d1"));
        now += 60_000_000;
        assertThat(roster.restore(now, stored)).isEqualTo(3);
        traceChanges("starts again")
                .receiveListing(0, "epoch b version 1 learning\n102 2 ready 7 50 - udp:b:1\n")
                .receiveListing(0, "epoch b version 2 whole\n" + READY_LINE)
                .assertTrace("roster-kept");
    }

    @Test
    void aClockSetBackDuringARestartMakesNothingWarmOrFresh() {
        receiveListing(0, "epoch a version 1 whole\n103 3 ready 7 3 1000 udp:c:1\n");
        List<Roster.SourceReport> stored = roster.reports();
        roster = new Roster(List.of("d0"));
        now = 500_000;
        roster.restore(now, stored);
        traceChanges("starts again an hour earlier").assertTrace("roster-clock");
        assertThat(roster.listAuthority(now, 0)).isEqualTo(Roster.ListAuthority.STALE);
    }

    @Test
    void aListAboveTheLimitIsRejectedAsAWhole() {
        List<DirectoryListing.Entry> lines = new ArrayList<>();
        for (int i = 0; i <= Roster.MAX_INSTANCES_PER_SOURCE; i++) {
            lines.add(
                    new DirectoryListing.Entry(
                            i + 1,
                            Liveness.running(1, 1, i % 65_536, "udp:a:1"),
                            DirectoryListing.LONG_AGO));
        }
        assertThat(
                        roster.applyListing(
                                now,
                                0,
                                new DirectoryListing(
                                        "a", 1, DirectoryListing.Kind.WHOLE, 0, lines)))
                .isEqualTo(Roster.ListingRejection.TOO_LONG);
        assertThat(roster.pollChanges(now)).isEmpty();
    }
}
