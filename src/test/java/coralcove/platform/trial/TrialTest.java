package coralcove.platform.trial;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests one router on real loopback sockets, from its configuration file to its drain. */
class TrialTest {
    @Test
    void establishesAndReleasesEachSession() throws Exception {
        assertThat(LoopbackTrial.run(50)).isEqualTo(new LoopbackTrial.Result(50, 50, 50));
    }
}
