package coralcove.sip;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TransportAddressTest {
    @Test
    void normalizesIpv6Addresses() {
        TransportAddress parsed =
                SipUri.parse("<sip:7@[::1]:5062;transport=tcp>").transportAddress();
        assertThat(parsed)
                .isEqualTo(new TransportAddress(true, "0:0:0:0:0:0:0:1", 5062))
                .isEqualTo(new TransportAddress(true, "[0::1]", 5062));
        assertThat(SipUri.parse(SipUri.format("7", parsed)).transportAddress()).isEqualTo(parsed);
        assertThat(Via.parse(Via.format(parsed, "z9hG4bK1")).responseAddress()).isEqualTo(parsed);
        assertThat(new TransportAddress(false, "ex12.hokkaido.example.org", 1).host())
                .isEqualTo("ex12.hokkaido.example.org");
        assertThat(new TransportAddress(false, "no:address", 1).host()).isEqualTo("no:address");
    }
}
