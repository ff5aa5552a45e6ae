package coralcove.sip;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SipFuzzTest {
    /**
     * Guards against earlier findings: control characters lost at the ends of values, a list
     * truncated at the limit of header fields, and bytes replaced that are not valid UTF-8.
     */
    @Test
    void acceptsEarlierFindings() throws Exception {
        for (String finding :
                List.of("odd-control-in-via", "list-past-the-bound", "fields-at-the-bound")) {
            try (java.io.InputStream in =
                    SipFuzzTest.class.getResourceAsStream("/sip/finds/" + finding)) {
                SipFuzz.fuzzerTestOneInput(in.readAllBytes());
            }
        }
        byte[] latin1 =
                ("BYE sip:a@b SIP/2.0\r\n"
                                + "Via: SIP/2.0/UDP h;branch=z9hG4bKx\r\n"
                                + "From: <sip:a>;tag=1\r\n"
                                + "To: <sip:b>\r\n"
                                + "Call-ID: \u00eb1\r\n"
                                + "CSeq: 1 BYE\r\n"
                                + "Content-Length: 0\r\n\r\n")
                        .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        org.assertj.core.api.Assertions.assertThat(
                        SipParser.parse(latin1, 0, latin1.length).encode())
                .isEqualTo(latin1);
    }

    /** Each torture message as it is and with 300 seeded mutations. */
    @Test
    void acceptsMutatedCorpus() throws Exception {
        List<byte[]> corpus = SipFuzz.corpus();
        SplittableRandom random = new SplittableRandom(1);
        for (byte[] each : corpus) {
            SipFuzz.fuzzerTestOneInput(each);
            for (int i = 0; i < 300; i++) {
                SipFuzz.fuzzerTestOneInput(SipFuzz.mutate(each, random));
            }
        }
    }
}
