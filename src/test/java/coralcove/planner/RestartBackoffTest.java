package coralcove.planner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RestartBackoffTest {
    /**
     * The delay doubles while a planner ends soon after each start, and is reset after a long run.
     */
    @Test
    void delayGrowsAfterShortRunsAndIsResetAfterALongRun() {
        RestartBackoff backoff = new RestartBackoff(new SplittableRandom(1));
        long now = 0;
        long delay = 200_000;
        for (int i = 0; i < 12; i++) {
            backoff.started(now);
            long restartAt = backoff.restartTimeAfterExit(now + 1000);
            assertThat(restartAt - now - 1000).isBetween(delay / 2, delay / 2 + delay);
            delay = Math.min(30_000_000, 2 * delay);
            now = restartAt;
        }
        assertThat(delay).isEqualTo(30_000_000);
        backoff.started(now);
        assertThat(backoff.restartTimeAfterExit(now + 20_000_000) - now - 20_000_000)
                .isBetween(100_000L, 300_000L);
        assertThat(backoff.startCount()).isEqualTo(13);
    }

    /** Two planners that end at the same time are not restarted at the same time. */
    @Test
    void delayIsRandomized() {
        RestartBackoff first = new RestartBackoff(new SplittableRandom(1));
        RestartBackoff second = new RestartBackoff(new SplittableRandom(2));
        first.started(0);
        second.started(0);
        assertThat(first.restartTimeAfterExit(5)).isNotEqualTo(second.restartTimeAfterExit(5));
    }
}
