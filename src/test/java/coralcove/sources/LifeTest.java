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
 * What is known of a machine is a join-semilattice, and only a newer start takes a drain or an end
 * back.
 */
class LifeTest {
    @Provide
    Arbitrary<Life> lives() {
        Arbitrary<Long> small = Arbitraries.longs().between(0, 3);
        return Combinators.combine(
                        small,
                        small,
                        Arbitraries.of(true, false),
                        Arbitraries.longs().between(-1, 3),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(1, 2),
                        Arbitraries.of("udp:a:1", "tcp:b:2"))
                .as(Life::new);
    }

    @Property
    void orderAndDoublingDoNotMatter(
            @ForAll("lives") Life a, @ForAll("lives") Life b, @ForAll("lives") Life c) {
        assertThat(a.join(b)).isEqualTo(b.join(a));
        assertThat(a.join(b).join(c)).isEqualTo(a.join(b.join(c)));
        assertThat(a.join(a)).isEqualTo(a);
        assertThat(a.join(b).join(b)).isEqualTo(a.join(b));
    }

    @Property
    void aDrainOrAnEndIsTakenBackByANewerStartOnly(
            @ForAll("lives") Life a, @ForAll("lives") Life b) {
        Life joined = a.join(b);
        if (b.start() <= a.start()) {
            assertThat(!a.drains() || joined.drains()).isTrue();
            assertThat(!a.left() || joined.left()).isTrue();
            assertThat(!a.drains() && !a.left() || joined.phase() != Phase.READY).isTrue();
        }
    }

    @Property
    void silenceIsTakenBackByALaterSignOfLifeOnly(
            @ForAll("lives") Life a, @ForAll("lives") Life b) {
        Life joined = a.join(b);
        if (a.silent() && !joined.silent()) {
            assertThat(b.start() > a.start() || b.beat() > a.quiet()).isTrue();
        }
    }

    @Property
    void aRosterBelievesTheSameWhateverOrderItsLinesComeIn(
            @ForAll List<@net.jqwik.api.From("lives") Life> lives) {
        List<Life> back = new java.util.ArrayList<>(lives);
        java.util.Collections.reverse(back);
        assertThat(believed(back)).isEqualTo(believed(lives));
    }

    private static String believed(List<Life> lives) {
        Roster roster = new Roster(List.of("d"));
        long version = 1;
        for (Life life : lives) {
            roster.listed(
                    1000,
                    0,
                    new Listing(
                            "e",
                            version,
                            Listing.Kind.CHANGES,
                            version,
                            List.of(new Listing.Line(7, life, Listing.LONG_AGO))));
            roster.news(1000);
            version++;
        }
        return String.valueOf(roster.belief(7));
    }
}
