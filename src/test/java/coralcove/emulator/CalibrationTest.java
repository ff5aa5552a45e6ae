package coralcove.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * A short calibration: what the long one of docs/measurements shows, on few calls, with the same
 * verdict each time.
 */
class CalibrationTest {
    @Test
    void theEmulatedNetworkKeepsTheLaws() {
        Calibration calibration = new Calibration(500, 12);
        assertThat(calibration.erlangB()).hasSize(6).allMatch(Calibration.Row::agrees);
        assertThat(calibration.kaufmanRoberts()).hasSize(2).allMatch(Calibration.Row::agrees);
    }

    /**
     * The same figures against a law that is not theirs must not agree, or agreeing says nothing.
     */
    @Test
    void aWrongLawIsSeen() {
        double[] seen = {0.060, 0.066, 0.071, 0.058, 0.069, 0.065};
        assertThat(Calibration.row("its own", 0.065, seen).agrees()).isTrue();
        assertThat(Calibration.row("another", 0.078, seen).agrees()).isFalse();
        assertThat(Calibration.row("another", 0.055, seen).agrees()).isFalse();
    }
}
