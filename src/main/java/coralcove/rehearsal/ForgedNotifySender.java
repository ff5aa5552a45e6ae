package coralcove.rehearsal;

import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipCore;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.SipUri;
import coralcove.sip.TransportAddress;
import coralcove.sip.Via;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Sends routers forged NOTIFY requests that belong to none of their subscriptions, as anyone who
 * reaches their ports can.
 */
final class ForgedNotifySender implements SipCore {
    private static final List<String> FORGED_BODIES =
            List.of(
                    "epoch forged version 99999 whole\n100 0 ready 1 1 - udp:127.0.0.1:9\n",
                    "epoch forged version 99999 changes after 99998\n"
                            + "101 1 left 9000000000000000 1 0 udp:127.0.0.1:9\n");

    private final TransportAddress localAddress;
    private final String idPrefix;
    private final List<TransportAddress> targets;
    private final long sendInterval;
    private final long endTime;
    private long nextSendTime;
    private long sentCount;

    ForgedNotifySender(
            TransportAddress localAddress,
            String idPrefix,
            List<TransportAddress> targets,
            double messagesPerSecond,
            long endTime) {
        this.localAddress = localAddress;
        this.idPrefix = idPrefix;
        this.targets = targets;
        this.endTime = endTime;
        sendInterval = Math.max(1, Math.round(1e6 / Math.max(0.001, messagesPerSecond)));
    }

    @Override
    public void start(long now, SipOutput out) {
        nextSendTime = now;
    }

    @Override
    public void tick(long now, SipOutput out) {
        while (nextSendTime <= now && nextSendTime < endTime) {
            nextSendTime += sendInterval;
            TransportAddress target = targets.get((int) (sentCount % targets.size()));
            String id = idPrefix + "f" + sentCount++;
            SipMessage notify =
                    SipMessage.request("NOTIFY", SipUri.format("", target))
                            .add("Via", Via.format(localAddress, Via.MAGIC_COOKIE + id))
                            .add("Max-Forwards", "70")
                            .add("From", "<sip:directory>;tag=" + id)
                            .add("To", "<sip:" + target.host() + ":" + target.port() + ">")
                            .add("Call-ID", id)
                            .add("CSeq", "1 NOTIFY")
                            .add("Contact", "<" + SipUri.format("", localAddress) + ">")
                            .add("Event", "exchanges")
                            .add("Subscription-State", "active;expires=60");
            String body =
                    FORGED_BODIES.get((int) (sentCount / targets.size() % FORGED_BODIES.size()));
            out.send(target, notify.body("text/plain", body.getBytes(StandardCharsets.UTF_8)));
        }
    }

    @Override
    public long nextTickAt() {
        return nextSendTime < endTime ? nextSendTime : Long.MAX_VALUE;
    }

    @Override
    public void receive(long now, TransportAddress from, SipMessage message, SipOutput out) {
        // Responses are ignored.
    }

    @Override
    public void malformedReceived(
            long now, TransportAddress from, MalformedMessageException problem, SipOutput out) {
        // Responses are ignored.
    }

    @Override
    public void connectionFailed(long now, TransportAddress peer, boolean refused, SipOutput out) {
        // It holds no connections.
    }
}
