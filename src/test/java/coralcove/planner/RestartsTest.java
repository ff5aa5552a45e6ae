package coralcove.planner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RestartsTest {
    /**
     * A planner that dies at once is tried ever more seldom; one that ran for a while is back soon.
     */
    @Test
    void gapsGrowWithShortLivesAndBeginAnewAfterALongOne() {
        Restarts restarts = new Restarts(new SplittableRandom(1));
        long now = 0;
        long gap = 200_000;
        for (int i = 0; i < 12; i++) {
            restarts.started(now);
            long at = restarts.ended(now + 1000);
            assertThat(at - now - 1000).isBetween(gap / 2, gap / 2 + gap);
            gap = Math.min(30_000_000, 2 * gap);
            now = at;
        }
        assertThat(gap).isEqualTo(30_000_000);
        restarts.started(now);
        assertThat(restarts.ended(now + 20_000_000) - now - 20_000_000)
                .isBetween(100_000L, 300_000L);
        assertThat(restarts.count()).isEqualTo(13);
    }

    /** Two that die at the same moment do not come back at the same moment. */
    @Test
    void gapsAreDrawn() {
        Restarts one = new Restarts(new SplittableRandom(1));
        Restarts two = new Restarts(new SplittableRandom(2));
        one.started(0);
        two.started(0);
        assertThat(one.ended(5)).isNotEqualTo(two.ended(5));
    }
}
