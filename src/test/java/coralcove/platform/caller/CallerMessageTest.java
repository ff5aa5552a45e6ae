package coralcove.platform.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The callers' binary messages: bytes, cuts, bounds, and what is none. */
class CallerMessageTest {
    private static final String SET_UP =
            "0020"
                    + "01"
                    + "9b1f03aa5c7e2d41"
                    + "400005766f696365"
                    + "41000431353030"
                    + "430001"
                    + "31"
                    + "4e000110";

    @Test
    void bytesAreThoseOfThePage() {
        CallerMessage message =
                CallerMessage.of(CallerMessage.SET_UP, 0x9b1f03aa5c7e2d41L)
                        .add(CallerMessage.SERVICE, "voice")
                        .add(CallerMessage.WAIT, "1500")
                        .add(CallerMessage.REDIAL, "1")
                        .add(CallerMessage.CAUSE, new byte[] {16});
        assertThat(HexFormat.of().formatHex(message.bytes())).isEqualTo(SET_UP);
    }

    @Test
    void aStreamIsCutHoweverItComes() throws Exception {
        byte[] two = HexFormat.of().parseHex(SET_UP + SET_UP);
        for (int piece = 1; piece <= two.length; piece++) {
            CallerFramer framer = new CallerFramer();
            List<CallerMessage> found = new ArrayList<>();
            for (int at = 0; at < two.length; at += piece) {
                framer.take(
                        Arrays.copyOfRange(two, at, Math.min(two.length, at + piece)), found::add);
            }
            assertThat(found).hasSize(2);
            assertThat(found.get(1).text(CallerMessage.SERVICE)).isEqualTo("voice");
            assertThat(found.get(1).cause(0)).isEqualTo(16);
            assertThat(framer.partial()).isFalse();
        }
    }

    @Test
    void whatIsNoMessageEndsTheStreamAtOnce() {
        for (String bad :
                new String[] {
                    "0008",
                    "0000",
                    "ffff",
                    "3fff",
                    "000a010000000000000000ff",
                    "000c010000000000000000400001",
                    "000d0100000000000000004000ff31"
                }) {
            assertThatThrownBy(() -> new CallerFramer().take(HexFormat.of().parseHex(bad), m -> {}))
                    .as(bad)
                    .isInstanceOf(BadCallerMessage.class);
        }
    }

    @Test
    void theLargestMessagePasses() throws Exception {
        CallerMessage large =
                CallerMessage.of(1, 1)
                        .add(
                                CallerMessage.DESCRIPTION,
                                new byte[CallerMessage.MOST_BYTES - 2 - 9 - 3]);
        List<CallerMessage> found = new ArrayList<>();
        new CallerFramer().take(large.bytes(), found::add);
        assertThat(found).hasSize(1);
        byte[] over =
                CallerMessage.of(1, 1)
                        .add(
                                CallerMessage.DESCRIPTION,
                                new byte[CallerMessage.MOST_BYTES - 2 - 9 - 2])
                        .bytes();
        assertThatThrownBy(() -> new CallerFramer().take(over, found::add))
                .isInstanceOf(BadCallerMessage.class);
    }

    @Test
    void aParameterThatStandsTwiceSaysNothing() {
        CallerMessage twice =
                CallerMessage.of(1, 1).add(CallerMessage.WAIT, "1").add(CallerMessage.WAIT, "2");
        assertThat(twice.text(CallerMessage.WAIT)).isNull();
        assertThat(twice.has(CallerMessage.WAIT)).isTrue();
    }

    @Property(tries = 500, seed = "17")
    void noiseIsReadOrRefusedAndHoldsNoMoreThanAMessage(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] noise = new byte[random.nextInt(5000)];
        random.nextBytes(noise);
        CallerFramer framer = new CallerFramer();
        try {
            framer.take(
                    noise,
                    message ->
                            assertThat(message.bytes().length).isLessThanOrEqualTo(noise.length));
        } catch (BadCallerMessage e) {
            assertThat(e.getMessage()).isNotEmpty();
        }
    }

    @Test
    void aSetUpIsReadWithAllItsFigures() throws Exception {
        CallerMessage message =
                CallerMessage.of(1, 7)
                        .add(CallerMessage.SERVICE, "set")
                        .add(CallerMessage.WAIT, "900")
                        .add(CallerMessage.REDIAL, "1")
                        .add(CallerMessage.NUMBER, "f000000000000001")
                        .add(
                                CallerMessage.FIGURES,
                                "dest:3;width:2;via:1;transit:1;again:1;new:word")
                        .add(CallerMessage.DESCRIPTION, "9d41c07a5be2f318\r\n");
        SetUp setUp = SetUp.of(message, List.of("lookup", "set"), List.of(1, 2));
        assertThat(setUp)
                .usingRecursiveComparison()
                .isEqualTo(
                        new SetUp(
                                7,
                                "set",
                                1,
                                900,
                                true,
                                "f000000000000001",
                                3,
                                2,
                                1,
                                true,
                                true,
                                null,
                                "9d41c07a5be2f318\r\n"
                                        .getBytes(java.nio.charset.StandardCharsets.US_ASCII)));
    }
}
