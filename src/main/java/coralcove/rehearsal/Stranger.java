package coralcove.rehearsal;

import coralcove.sip.BadMessage;
import coralcove.sip.Core;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.SipUri;
import coralcove.sip.Via;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Sends routers NOTIFYs that no subscription of theirs asked for, as whoever reaches their ports
 * can.
 */
final class Stranger implements Core {
    private static final List<String> BODIES =
            List.of(
                    "epoch forged version 99999 whole\n100 0 ready 1 1 - udp:127.0.0.1:9\n",
                    "epoch forged version 99999 changes after 99998\n"
                            + "101 1 left 9000000000000000 1 0 udp:127.0.0.1:9\n");

    private final Hop self;
    private final String seed;
    private final List<Hop> at;
    private final long gap;
    private final long until;
    private long next;
    private long count;

    Stranger(Hop self, String seed, List<Hop> at, double perSecond, long until) {
        this.self = self;
        this.seed = seed;
        this.at = at;
        this.until = until;
        gap = Math.max(1, Math.round(1e6 / Math.max(0.001, perSecond)));
    }

    @Override
    public void start(long now, Out out) {
        next = now;
    }

    @Override
    public void tick(long now, Out out) {
        while (next <= now && next < until) {
            next += gap;
            Hop to = at.get((int) (count % at.size()));
            String id = seed + "f" + count++;
            SipMessage notify =
                    SipMessage.request("NOTIFY", SipUri.text("", to))
                            .add("Via", Via.text(self, Via.COOKIE + id))
                            .add("Max-Forwards", "70")
                            .add("From", "<sip:directory>;tag=" + id)
                            .add("To", "<sip:" + to.host() + ":" + to.port() + ">")
                            .add("Call-ID", id)
                            .add("CSeq", "1 NOTIFY")
                            .add("Contact", "<" + SipUri.text("", self) + ">")
                            .add("Event", "exchanges")
                            .add("Subscription-State", "active;expires=60");
            String body = BODIES.get((int) (count / at.size() % BODIES.size()));
            out.send(to, notify.body("text/plain", body.getBytes(StandardCharsets.UTF_8)));
        }
    }

    @Override
    public long due() {
        return next < until ? next : Long.MAX_VALUE;
    }

    @Override
    public void receive(long now, Hop from, SipMessage message, Out out) {
        // Whatever it is answered.
    }

    @Override
    public void malformed(long now, Hop from, BadMessage problem, Out out) {
        // Whatever it is answered.
    }

    @Override
    public void broken(long now, Hop peer, boolean refused, Out out) {
        // It keeps no streams.
    }
}
