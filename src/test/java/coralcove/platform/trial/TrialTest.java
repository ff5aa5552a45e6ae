package coralcove.platform.trial;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** One router on real loopback sockets, from its configuration to its drain. */
class TrialTest {
    @Test
    void eachSessionStandsAndIsReleased() throws Exception {
        assertThat(Trial.run(50)).isEqualTo(new Trial.Result(50, 50, 50));
    }
}
