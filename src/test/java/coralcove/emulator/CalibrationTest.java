package coralcove.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * A short version of the calibration in docs/measurements: fewer calls and fixed seeds, so that the
 * result is the same in every run.
 */
class CalibrationTest {
    @Test
    void emulatedNetworkMatchesTheory() {
        Calibration calibration = new Calibration(500, 12);
        assertThat(calibration.erlangB()).hasSize(6).allMatch(Calibration.Comparison::agrees);
        assertThat(calibration.kaufmanRoberts())
                .hasSize(2)
                .allMatch(Calibration.Comparison::agrees);
    }

    /**
     * A comparison with a wrong theoretical value must fail; otherwise agreement proves nothing.
     */
    @Test
    void detectsDeviationFromTheory() {
        double[] observed = {0.060, 0.066, 0.071, 0.058, 0.069, 0.065};
        assertThat(Calibration.compare("its own", 0.065, observed).agrees()).isTrue();
        assertThat(Calibration.compare("another", 0.078, observed).agrees()).isFalse();
        assertThat(Calibration.compare("another", 0.055, observed).agrees()).isFalse();
    }
}
