package coralcove.sip;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SipFuzzTest {
    /**
     * What fuzzing found: control characters lost at ends of values, a list cut at the bound, bytes
     * that are no UTF-8.
     */
    @Test
    void acceptsEarlierFindings() throws Exception {
        for (String find :
                List.of("odd-control-in-via", "list-past-the-bound", "fields-at-the-bound")) {
            try (java.io.InputStream in =
                    SipFuzzTest.class.getResourceAsStream("/sip/finds/" + find)) {
                SipFuzz.fuzzerTestOneInput(in.readAllBytes());
            }
        }
        byte[] latin =
                "BYE sip:a@b SIP/2.0\r\nVia: SIP/2.0/UDP h;branch=z9hG4bKx\r\nFrom: <sip:a>;tag=1\r\nTo: <sip:b>\r\nCall-ID: \u00eb1\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n"
                        .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        org.assertj.core.api.Assertions.assertThat(SipParser.parse(latin, 0, latin.length).bytes())
                .isEqualTo(latin);
    }

    /** The regression corpus: each torture message as it is and changed in 300 seeded ways. */
    @Test
    void acceptsMutatedCorpus() throws Exception {
        List<byte[]> corpus = SipFuzz.corpus();
        SplittableRandom chance = new SplittableRandom(1);
        for (byte[] each : corpus) {
            SipFuzz.fuzzerTestOneInput(each);
            for (int i = 0; i < 300; i++) {
                SipFuzz.fuzzerTestOneInput(SipFuzz.mutate(each, chance));
            }
        }
    }
}
