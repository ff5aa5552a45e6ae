package coralcove.sip;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TransportAddressTest {
    @Test
    void normalizesIpv6Addresses() {
        Hop parsed = SipUri.of("<sip:7@[::1]:5062;transport=tcp>").hop();
        assertThat(parsed)
                .isEqualTo(new Hop(true, "0:0:0:0:0:0:0:1", 5062))
                .isEqualTo(new Hop(true, "[0::1]", 5062));
        assertThat(SipUri.of(SipUri.text("7", parsed)).hop()).isEqualTo(parsed);
        assertThat(Via.of(Via.text(parsed, "z9hG4bK1")).responseAddress()).isEqualTo(parsed);
        assertThat(new Hop(false, "ex12.hokkaido.example.org", 1).host())
                .isEqualTo("ex12.hokkaido.example.org");
        assertThat(new Hop(false, "no:address", 1).host()).isEqualTo("no:address");
    }
}
