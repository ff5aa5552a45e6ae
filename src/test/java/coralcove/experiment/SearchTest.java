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
    void findsTheThresholdByBisection() {
        GoalSearch.Threshold threshold =
                GoalSearch.findThreshold(0.5, 2, 0.01, value -> value > 1.2345 ? "over" : "");
        assertThat(threshold.lastHolding()).isLessThanOrEqualTo(1.2345);
        assertThat(threshold.firstBreaking())
                .isGreaterThan(1.2345)
                .isCloseTo(threshold.lastHolding(), within(0.01));
        assertThat(threshold.reason()).isEqualTo("over");
        assertThat(threshold.trials()).isEqualTo(10);
        // A descending range works as well, and the number of trials is bounded.
        assertThat(
                        GoalSearch.findThreshold(2, 0.5, 0, value -> value < 1.1 ? "under" : "")
                                .trials())
                .isEqualTo(40);
        assertThatThrownBy(() -> GoalSearch.findThreshold(0.5, 2, 0.1, value -> ""))
                .hasMessage("the goal still holds at 2.0");
        assertThatThrownBy(() -> GoalSearch.findThreshold(0.5, 2, 0.1, value -> "no"))
                .hasMessage("the goal breaks at 0.5 already: no");
    }

    /** Finds any set of elements that break the goal together, and tries no subset twice. */
    @Test
    void findsTheSmallestSubset() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < 300; round++) {
            int count = 1 + random.nextInt(12);
            List<Integer> all = IntStream.range(0, count).boxed().toList();
            Set<Integer> breaking = new HashSet<>();
            for (int i = 1 + random.nextInt(3); i > 0; i--) {
                breaking.add(random.nextInt(count));
            }
            List<List<Integer>> tried = new ArrayList<>();
            List<Integer> smallest =
                    GoalSearch.minimalSubset(
                            all,
                            subset -> {
                                tried.add(subset);
                                return subset.containsAll(breaking);
                            });
            assertThat(smallest).containsExactlyElementsOf(breaking.stream().sorted().toList());
            assertThat(tried).doesNotHaveDuplicates();
        }
        assertThat(GoalSearch.minimalSubset(List.of(1, 2), subset -> true)).isEmpty();
        assertThatThrownBy(() -> GoalSearch.minimalSubset(List.of(1, 2), subset -> false))
                .hasMessage("the goal holds with all 2");
    }

    @Test
    void intervalsContainTheMeanInAbout95Percent() {
        SplittableRandom random = new SplittableRandom(8);
        int containing = 0;
        for (int i = 0; i < 400; i++) {
            MeanEstimate estimate = MeanEstimate.of(random.doubles(30).toArray());
            containing += estimate.low() <= 0.5 && estimate.high() >= 0.5 ? 1 : 0;
        }
        assertThat(containing).isBetween(360, 395);
        assertThat(MeanEstimate.of(new double[] {3}).halfWidth()).isZero();
        assertThat(MeanEstimate.of(new double[0]).count()).isZero();
    }
}
