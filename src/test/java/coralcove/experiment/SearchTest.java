package coralcove.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SearchTest {
    @Test
    void theEdgeIsFound() {
        Search.Edge edge = Search.edge(0.5, 2, 0.01, value -> value > 1.2345 ? "over" : "");
        assertThat(edge.holds()).isLessThanOrEqualTo(1.2345);
        assertThat(edge.breaks()).isGreaterThan(1.2345).isCloseTo(edge.holds(), within(0.01));
        assertThat(edge.why()).isEqualTo("over");
        assertThat(edge.trials()).isEqualTo(10);
        // Downwards too, and never for ever.
        assertThat(Search.edge(2, 0.5, 0, value -> value < 1.1 ? "under" : "").trials())
                .isEqualTo(40);
        assertThatThrownBy(() -> Search.edge(0.5, 2, 0.1, value -> ""))
                .hasMessage("the goal still holds at 2.0");
        assertThatThrownBy(() -> Search.edge(0.5, 2, 0.1, value -> "no"))
                .hasMessage("the goal breaks at 0.5 already: no");
    }

    /** Any set of culprits that must all be there is found, and no part is tried twice. */
    @Test
    void theSmallestSetIsFound() {
        SplittableRandom chance = new SplittableRandom(3);
        for (int round = 0; round < 300; round++) {
            int count = 1 + chance.nextInt(12);
            List<Integer> all = IntStream.range(0, count).boxed().toList();
            Set<Integer> culprits = new HashSet<>();
            for (int i = 1 + chance.nextInt(3); i > 0; i--) {
                culprits.add(chance.nextInt(count));
            }
            List<List<Integer>> asked = new ArrayList<>();
            List<Integer> found =
                    Search.smallest(
                            all,
                            part -> {
                                asked.add(part);
                                return part.containsAll(culprits);
                            });
            assertThat(found).containsExactlyElementsOf(culprits.stream().sorted().toList());
            assertThat(asked).doesNotHaveDuplicates();
        }
        assertThat(Search.smallest(List.of(1, 2), part -> true)).isEmpty();
        assertThatThrownBy(() -> Search.smallest(List.of(1, 2), part -> false))
                .hasMessage("the goal holds with all 2");
    }

    @Test
    void intervalsHoldTheMeanAboutNineteenTimesOfTwenty() {
        SplittableRandom chance = new SplittableRandom(8);
        int held = 0;
        for (int i = 0; i < 400; i++) {
            Sample sample = Sample.of(chance.doubles(30).toArray());
            held += sample.low() <= 0.5 && sample.high() >= 0.5 ? 1 : 0;
        }
        assertThat(held).isBetween(360, 395);
        assertThat(Sample.of(new double[] {3}).halfWidth()).isZero();
        assertThat(Sample.of(new double[0]).count()).isZero();
    }
}
