package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DescriptorsTest {
    @Test
    void allPartsFitTogetherWhereverAThirdForCallersAndALegToEachExchangeDo() {
        // 0.7 of them for callers and two legs to each of 60 exchanges, some replaced: 550 of 512.
        for (int total = 200; total <= 2_000; total += 4) {
            for (int exchanges = 1; exchanges <= 300; exchanges++) {
                Descriptors room = new Descriptors(total, exchanges);
                double legs = room.legs() * 1.6 * exchanges;
                if (40 + 0.36 * total + 1.6 * exchanges <= total) {
                    assertThat(40 + room.callers() + legs)
                            .as(total + " for " + exchanges)
                            .isLessThanOrEqualTo(total);
                }
                assertThat(room.callersOfUse()).isGreaterThanOrEqualTo(total / 3);
                assertThat(room.callersInAll()).isLessThanOrEqualTo(room.callers());
            }
        }
        assertThat(new Descriptors(512, 60).legs()).isEqualTo(2);
        assertThat(new Descriptors(256, 94).legs()).isEqualTo(1);
    }
}
