package coralcove.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The order in which SRV targets are tried (RFC 2782). */
class SrvTest {
    @Property
    void orderKeepsPrioritiesAndLosesNobody(
            @ForAll @Size(max = 12) List<@IntRange(max = 3) Integer> priorities,
            @ForAll long seed) {
        List<Srv> records = new ArrayList<>();
        for (int priority : priorities) {
            records.add(new Srv(priority, records.size() % 4, 5060, "h" + records.size()));
        }
        List<Srv> all =
                Srv.order(records, new SplittableRandom(seed)).stream()
                        .flatMap(List::stream)
                        .toList();
        assertThat(all).containsExactlyInAnyOrderElementsOf(records);
        assertThat(all).isSortedAccordingTo((a, b) -> Integer.compare(a.priority(), b.priority()));
    }

    @Example
    void weightsAreShares() {
        Map<String, Integer> first = new HashMap<>();
        SplittableRandom chance = new SplittableRandom(5);
        for (int i = 0; i < 20_000; i++) {
            String target =
                    Srv.order(
                                    List.of(
                                            new Srv(1, 30, 1, "a"),
                                            new Srv(1, 10, 1, "b"),
                                            new Srv(1, 0, 1, "c")),
                                    chance)
                            .get(0)
                            .get(0)
                            .target();
            first.merge(target, 1, Integer::sum);
        }
        assertThat(first.get("a")).isBetween(14_400, 15_000);
        assertThat(first.get("c")).isBetween(300, 700);
    }
}
