package coralcove.sources;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Exchange.Phase;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * The liveness of an exchange instance is a join-semilattice, and only a newer start reverses a
 * drain or a departure.
 */
class LivenessTest {
    @Provide
    Arbitrary<Liveness> livenessValues() {
        Arbitrary<Long> smallNumbers = Arbitraries.longs().between(0, 3);
        return Combinators.combine(
                        smallNumbers,
                        smallNumbers,
                        Arbitraries.of(true, false),
                        Arbitraries.longs().between(-1, 3),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(1, 2),
                        Arbitraries.of("udp:a:1", "tcp:b:2"))
                .as(Liveness::new);
    }

    @Property
    void orderAndDuplicationDoNotMatter(
            @ForAll("livenessValues") Liveness a,
            @ForAll("livenessValues") Liveness b,
            @ForAll("livenessValues") Liveness c) {
        assertThat(a.join(b)).isEqualTo(b.join(a));
        assertThat(a.join(b).join(c)).isEqualTo(a.join(b.join(c)));
        assertThat(a.join(a)).isEqualTo(a);
        assertThat(a.join(b).join(b)).isEqualTo(a.join(b));
    }

    @Property
    void onlyANewerStartReversesADrainOrADeparture(
            @ForAll("livenessValues") Liveness a, @ForAll("livenessValues") Liveness b) {
        Liveness joined = a.join(b);
        if (b.startNumber() <= a.startNumber()) {
            assertThat(!a.draining() || joined.draining()).isTrue();
            assertThat(!a.left() || joined.left()).isTrue();
            assertThat(!a.draining() && !a.left() || joined.phase() != Phase.READY).isTrue();
        }
    }

    @Property
    void onlyALaterHeartbeatReversesSilence(
            @ForAll("livenessValues") Liveness a, @ForAll("livenessValues") Liveness b) {
        Liveness joined = a.join(b);
        if (a.isSilent() && !joined.isSilent()) {
            assertThat(b.startNumber() > a.startNumber() || b.heartbeat() > a.silentAfter())
                    .isTrue();
        }
    }

    @Property
    void theRosterDoesNotDependOnTheOrderOfLines(
            @ForAll List<@net.jqwik.api.From("livenessValues") Liveness> reports) {
        List<Liveness> reversed = new java.util.ArrayList<>(reports);
        java.util.Collections.reverse(reversed);
        assertThat(rosterEntryAfter(reversed)).isEqualTo(rosterEntryAfter(reports));
    }

    private static String rosterEntryAfter(List<Liveness> reports) {
        Roster roster = new Roster(List.of("d"));
        long version = 1;
        for (Liveness liveness : reports) {
            roster.applyListing(
                    1000,
                    0,
                    new DirectoryListing(
                            "e",
                            version,
                            DirectoryListing.Kind.CHANGES,
                            version,
                            List.of(
                                    new DirectoryListing.Entry(
                                            7, liveness, DirectoryListing.LONG_AGO))));
            roster.pollChanges(1000);
            version++;
        }
        return String.valueOf(roster.entry(7));
    }
}
