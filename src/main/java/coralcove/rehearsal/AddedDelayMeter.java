package coralcove.rehearsal;

import coralcove.sip.SipMessage;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measures from captured messages the set-up delay that a router adds: the time from receiving an
 * INVITE to sending the first INVITE for it, and from receiving its 200 to sending the 200 back.
 * Only sessions with a single INVITE count.
 */
final class AddedDelayMeter {
    /** Times of one set-up at one router, in µs; 0 while unknown. */
    private static final class SetUp {
        long inviteReadTime;
        long inviteSentTime;
        int invitesSent;
        long okReadTime;
    }

    private final Map<String, SetUp> setUps = new HashMap<>();

    /** Added delays in µs. */
    final Histogram addedDelay = new Histogram(60_000_000, 3);

    /** Records a message that {@code node} sent ({@code out}) or received at {@code now}. */
    void observe(long now, String node, boolean out, SipMessage message) {
        String sessionId = message.header("Session-ID");
        if (sessionId == null || !message.cseqMethod().equals("INVITE")) {
            return;
        }
        String key = node + sessionId;
        if (message.isRequest()) {
            SetUp setUp = setUps.computeIfAbsent(key, k -> new SetUp());
            if (!out && setUp.inviteReadTime == 0) {
                setUp.inviteReadTime = now;
            } else if (out) {
                setUp.invitesSent++;
                setUp.inviteSentTime = setUp.inviteSentTime == 0 ? now : setUp.inviteSentTime;
            }
            return;
        }
        SetUp setUp = setUps.get(key);
        if (setUp == null || message.status() < 200) {
            return;
        }
        if (!out) {
            setUp.okReadTime =
                    message.status() == 200 && setUp.okReadTime == 0 ? now : setUp.okReadTime;
        } else {
            setUps.remove(key);
            if (message.status() == 200
                    && setUp.okReadTime > 0
                    && setUp.invitesSent == 1
                    && setUp.inviteReadTime > 0) {
                addedDelay.recordValue(
                        Math.max(
                                0,
                                setUp.inviteSentTime
                                        - setUp.inviteReadTime
                                        + now
                                        - setUp.okReadTime));
            }
        }
    }
}
