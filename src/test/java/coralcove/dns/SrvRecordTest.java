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
class SrvRecordTest {
    @Property
    void selectionOrderKeepsPrioritiesAndAllRecords(
            @ForAll @Size(max = 12) List<@IntRange(max = 3) Integer> priorities,
            @ForAll long seed) {
        List<SrvRecord> records = new ArrayList<>();
        for (int priority : priorities) {
            records.add(new SrvRecord(priority, records.size() % 4, 5060, "h" + records.size()));
        }
        List<SrvRecord> ordered =
                SrvRecord.selectionOrder(records, new SplittableRandom(seed)).stream()
                        .flatMap(List::stream)
                        .toList();
        assertThat(ordered).containsExactlyInAnyOrderElementsOf(records);
        assertThat(ordered)
                .isSortedAccordingTo((a, b) -> Integer.compare(a.priority(), b.priority()));
    }

    @Example
    void selectsInProportionToWeight() {
        Map<String, Integer> firstTargets = new HashMap<>();
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 20_000; i++) {
            String target =
                    SrvRecord.selectionOrder(
                                    List.of(
                                            new SrvRecord(1, 30, 1, "a"),
                                            new SrvRecord(1, 10, 1, "b"),
                                            new SrvRecord(1, 0, 1, "c")),
                                    random)
                            .get(0)
                            .get(0)
                            .target();
            firstTargets.merge(target, 1, Integer::sum);
        }
        assertThat(firstTargets.get("a")).isBetween(14_400, 15_000);
        assertThat(firstTargets.get("c")).isBetween(300, 700);
    }
}
