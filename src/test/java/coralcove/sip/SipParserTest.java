package coralcove.sip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SipParserTest {
    private static final String REQUEST_LINE = "INVITE sip:77@h:5061;transport=tcp SIP/2.0\r\n";
    private static final String COMMON_HEADERS =
            "f: \"A; <b>, \\\"c\\\"\" <sip:a@h>;tag=1\r\nt: <sip:b@h>\r\ni: x@y\r\n"
                    + "CSeq: 7 INVITE\r\n";
    private static final String VIA_HEADER =
            "v: SIP/2.0/UDP a:5062;branch=z9hG4bKq;rport, SIP/2.0/TCP [::1];branch=z9hG4bKr\r\n";

    static SipMessage parse(String text) throws MalformedMessageException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return SipParser.parse(bytes, 0, bytes.length);
    }

    @Test
    void parsesFoldingCompactNamesListsAndQuotes() throws MalformedMessageException {
        SipMessage message =
                parse(
                        REQUEST_LINE
                                + VIA_HEADER
                                + COMMON_HEADERS
                                + "Subject: one\r\n"
                                + "  two\r\n"
                                + "\tthree\r\n"
                                + "X-Odd: kept;as=is\r\n\r\n"
                                + "body");
        assertThat(message.headers("Via")).hasSize(2);
        Via via = Via.parse(message.header("Via"));
        assertThat(via.branch()).isEqualTo("z9hG4bKq");
        assertThat(Via.parse(message.headers("Via").get(1)).host()).isEqualTo("[::1]");
        assertThat(message.header("Subject")).isEqualTo("one two three");
        assertThat(message.fromTag()).isEqualTo("1");
        assertThat(message.cseqNumber()).isEqualTo(7);
        assertThat(message.bodyText()).isEqualTo("body");
        SipUri uri = SipUri.parse(message.uri());
        assertThat(uri.user()).isEqualTo("77");
        assertThat(uri.transportAddress()).isEqualTo(new TransportAddress(true, "h", 5061));
        SipMessage reparsed = parse(new String(message.encode(), StandardCharsets.UTF_8));
        assertThat(reparsed.fields()).containsAll(message.fields());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "INVITE sip:a SIP/2.0",
                "INVITE  SIP/2.0\r\n\r\n",
                "SIP/2.0 99 x\r\n\r\n",
                "SIP/2.0 20\r\n\r\n",
                "INV(TE sip:a@b SIP/2.0\r\n\r\n",
                "INVITE sip:a b SIP/2.0\r\n\r\n"
            })
    void hasNoPartialMessageWithoutStartLine(String text) {
        assertThatThrownBy(() -> parse(text))
                .isInstanceOfSatisfying(
                        MalformedMessageException.class,
                        e -> assertThat(e.partialMessage()).isNull());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "CSeq: 7 BYE\r\n",
                "CSeq: x INVITE\r\n",
                "CSeq: 99999999999 INVITE\r\n",
                "CSeq: 7 INVITE\r\nMax-Forwards: 256\r\n",
                "CSeq: 7 INVITE\r\nContent-Length: 9\r\n",
                "CSeq: 7 INVITE\r\nContent-Length: -1\r\n",
                "CSeq: 7 INVITE\r\nno colon\r\n"
            })
    void keepsHeadersNeededForA400Response(String malformedHeaders) {
        String text =
                REQUEST_LINE
                        + VIA_HEADER
                        + "From: <sip:a@h>;tag=1\r\nTo: <sip:b@h>\r\nCall-ID: x\r\n"
                        + malformedHeaders
                        + "\r\n";
        assertThatThrownBy(() -> parse(text))
                .isInstanceOfSatisfying(
                        MalformedMessageException.class,
                        e -> assertThat(e.partialMessage().callId()).isEqualTo("x"));
    }

    @Test
    void framesSameMessagesWhereverStreamIsSplit() throws MalformedMessageException {
        byte[] first =
                (REQUEST_LINE + VIA_HEADER + COMMON_HEADERS + "l: 4\r\n\r\nbody")
                        .getBytes(StandardCharsets.UTF_8);
        byte[] second =
                (REQUEST_LINE + VIA_HEADER + COMMON_HEADERS + "Content-Length : 0\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8);
        byte[] both = new byte[first.length + 4 + second.length];
        System.arraycopy(first, 0, both, 0, first.length);
        System.arraycopy("\r\n\r\n".getBytes(StandardCharsets.UTF_8), 0, both, first.length, 4);
        System.arraycopy(second, 0, both, first.length + 4, second.length);
        for (int split = 0; split <= both.length; split++) {
            List<byte[]> found = new ArrayList<>();
            StreamFramer framer = new StreamFramer();
            framer.feed(both, 0, split, found::add);
            framer.feed(both, split, both.length - split, found::add);
            assertThat(found).as("split at %d", split).containsExactly(first, second);
        }
        List<byte[]> found = new ArrayList<>();
        StreamFramer bytewiseFramer = new StreamFramer();
        for (int i = 0; i < both.length; i++) {
            bytewiseFramer.feed(both, i, 1, found::add);
        }
        assertThat(found).containsExactly(first, second);
    }

    @Test
    void rejectsStreamThatCannotBeFramed() {
        byte[] withoutLength =
                (REQUEST_LINE + VIA_HEADER + COMMON_HEADERS + "\r\n")
                        .getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(
                        () ->
                                new StreamFramer()
                                        .feed(withoutLength, 0, withoutLength.length, m -> {}))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessageContaining("Content-Length");
        byte[] endless = new byte[SipParser.MAX_MESSAGE_BYTES + 1];
        java.util.Arrays.fill(endless, (byte) 'a');
        assertThatThrownBy(() -> new StreamFramer().feed(endless, 0, endless.length, m -> {}))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessageContaining("longer");
    }
}
