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
 * Sends routers forged NOTIFY requests that belong to none of their subscriptions, as anyone who
 * reaches their ports can.
 */
final class ForgedNotifySender implements Core {
    private static final List<String> FORGED_BODIES =
            List.of(
                    "epoch forged version 99999 whole\n100 0 ready 1 1 - udp:127.0.0.1:9\n",
                    "epoch forged version 99999 changes after 99998\n"
                            + "101 1 left 9000000000000000 1 0 udp:127.0.0.1:9\n");

    private final Hop localAddress;
    private final String idPrefix;
    private final List<Hop> targets;
    private final long sendInterval;
    private final long endTime;
    private long nextSendTime;
    private long sentCount;

    ForgedNotifySender(
            Hop localAddress,
            String idPrefix,
            List<Hop> targets,
            double messagesPerSecond,
            long endTime) {
        this.localAddress = localAddress;
        this.idPrefix = idPrefix;
        this.targets = targets;
        this.endTime = endTime;
        sendInterval = Math.max(1, Math.round(1e6 / Math.max(0.001, messagesPerSecond)));
    }

    @Override
    public void start(long now, Out out) {
        nextSendTime = now;
    }

    @Override
    public void tick(long now, Out out) {
        while (nextSendTime <= now && nextSendTime < endTime) {
            nextSendTime += sendInterval;
            Hop target = targets.get((int) (sentCount % targets.size()));
            String id = idPrefix + "f" + sentCount++;
            SipMessage notify =
                    SipMessage.request("NOTIFY", SipUri.text("", target))
                            .add("Via", Via.text(localAddress, Via.COOKIE + id))
                            .add("Max-Forwards", "70")
                            .add("From", "<sip:directory>;tag=" + id)
                            .add("To", "<sip:" + target.host() + ":" + target.port() + ">")
                            .add("Call-ID", id)
                            .add("CSeq", "1 NOTIFY")
                            .add("Contact", "<" + SipUri.text("", localAddress) + ">")
                            .add("Event", "exchanges")
                            .add("Subscription-State", "active;expires=60");
            String body =
                    FORGED_BODIES.get((int) (sentCount / targets.size() % FORGED_BODIES.size()));
            out.send(target, notify.body("text/plain", body.getBytes(StandardCharsets.UTF_8)));
        }
    }

    @Override
    public long due() {
        return nextSendTime < endTime ? nextSendTime : Long.MAX_VALUE;
    }

    @Override
    public void receive(long now, Hop from, SipMessage message, Out out) {
        // Responses are ignored.
    }

    @Override
    public void malformed(long now, Hop from, BadMessage problem, Out out) {
        // Responses are ignored.
    }

    @Override
    public void broken(long now, Hop peer, boolean refused, Out out) {
        // It holds no connections.
    }
}
