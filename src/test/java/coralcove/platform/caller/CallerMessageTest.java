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

/** The callers' binary messages: encoding, framing, bounds and malformed input. */
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
    void encodesAsSpecified() {
        CallerMessage message =
                CallerMessage.of(CallerMessage.SET_UP, 0x9b1f03aa5c7e2d41L)
                        .add(CallerMessage.SERVICE, "voice")
                        .add(CallerMessage.WAIT, "1500")
                        .add(CallerMessage.REDIAL, "1")
                        .add(CallerMessage.CAUSE, new byte[] {16});
        assertThat(HexFormat.of().formatHex(message.encode())).isEqualTo(SET_UP);
    }

    @Test
    void splitsAStreamThatArrivesInPiecesOfAnySize() throws Exception {
        byte[] twoMessages = HexFormat.of().parseHex(SET_UP + SET_UP);
        for (int piece = 1; piece <= twoMessages.length; piece++) {
            CallerFramer framer = new CallerFramer();
            List<CallerMessage> found = new ArrayList<>();
            for (int at = 0; at < twoMessages.length; at += piece) {
                framer.feed(
                        Arrays.copyOfRange(
                                twoMessages, at, Math.min(twoMessages.length, at + piece)),
                        found::add);
            }
            assertThat(found).hasSize(2);
            assertThat(found.get(1).text(CallerMessage.SERVICE)).isEqualTo("voice");
            assertThat(found.get(1).cause(0)).isEqualTo(16);
            assertThat(framer.hasPartialMessage()).isFalse();
        }
    }

    @Test
    void rejectsMalformedMessagesAtOnce() {
        for (String malformed :
                new String[] {
                    "0008",
                    "0000",
                    "ffff",
                    "3fff",
                    "000a010000000000000000ff",
                    "000c010000000000000000400001",
                    "000d0100000000000000004000ff31"
                }) {
            assertThatThrownBy(
                            () ->
                                    new CallerFramer()
                                            .feed(
                                                    HexFormat.of().parseHex(malformed),
                                                    message -> {}))
                    .as(malformed)
                    .isInstanceOf(MalformedCallerMessageException.class);
        }
    }

    @Test
    void acceptsTheLargestMessageAndRejectsALongerOne() throws Exception {
        CallerMessage largest =
                CallerMessage.of(1, 1)
                        .add(
                                CallerMessage.DESCRIPTION,
                                new byte[CallerMessage.MAX_BYTES - 2 - 9 - 3]);
        List<CallerMessage> found = new ArrayList<>();
        new CallerFramer().feed(largest.encode(), found::add);
        assertThat(found).hasSize(1);
        byte[] tooLong =
                CallerMessage.of(1, 1)
                        .add(
                                CallerMessage.DESCRIPTION,
                                new byte[CallerMessage.MAX_BYTES - 2 - 9 - 2])
                        .encode();
        assertThatThrownBy(() -> new CallerFramer().feed(tooLong, found::add))
                .isInstanceOf(MalformedCallerMessageException.class);
    }

    @Test
    void ignoresTheValuesOfARepeatedParameter() {
        CallerMessage message =
                CallerMessage.of(1, 1).add(CallerMessage.WAIT, "1").add(CallerMessage.WAIT, "2");
        assertThat(message.text(CallerMessage.WAIT)).isNull();
        assertThat(message.has(CallerMessage.WAIT)).isTrue();
    }

    @Property(tries = 500, seed = "17")
    void randomInputIsReadOrRejected(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] input = new byte[random.nextInt(5000)];
        random.nextBytes(input);
        CallerFramer framer = new CallerFramer();
        try {
            framer.feed(
                    input,
                    message ->
                            assertThat(message.encode().length).isLessThanOrEqualTo(input.length));
        } catch (MalformedCallerMessageException e) {
            assertThat(e.getMessage()).isNotEmpty();
        }
    }

    @Test
    void readsASetUpRequestWithAllItsAttributes() throws Exception {
        CallerMessage message =
                CallerMessage.of(1, 7)
                        .add(CallerMessage.SERVICE, "set")
                        .add(CallerMessage.WAIT, "900")
                        .add(CallerMessage.REDIAL, "1")
                        .add(CallerMessage.NUMBER, "f000000000000001")
                        .add(
                                CallerMessage.ATTRIBUTES,
                                "dest:3;width:2;via:1;transit:1;again:1;new:word")
                        .add(CallerMessage.DESCRIPTION, "9d41c07a5be2f318\r\n");
        SetUpRequest request = SetUpRequest.parse(message, List.of("lookup", "set"), List.of(1, 2));
        assertThat(request)
                .usingRecursiveComparison()
                .isEqualTo(
                        new SetUpRequest(
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
