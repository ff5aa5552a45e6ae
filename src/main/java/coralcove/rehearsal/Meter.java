package coralcove.rehearsal;

import coralcove.sip.SipMessage;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The set-up delay that a router adds, from its captured traffic: from reading an INVITE to writing
 * the first one for it, and from reading its 200 to writing the 200 back. Only sessions that needed
 * one INVITE count.
 */
final class Meter {
    private static final class Way {
        long in;
        long out;
        int sent;
        long okIn;
    }

    private final Map<String, Way> ways = new HashMap<>();
    final Histogram added = new Histogram(60_000_000, 3);

    void read(long now, String node, boolean out, SipMessage message) {
        String session = message.header("Session-ID");
        if (session == null || !message.cseqMethod().equals("INVITE")) {
            return;
        }
        String key = node + session;
        if (message.isRequest()) {
            Way way = ways.computeIfAbsent(key, k -> new Way());
            if (!out && way.in == 0) {
                way.in = now;
            } else if (out) {
                way.sent++;
                way.out = way.out == 0 ? now : way.out;
            }
            return;
        }
        Way way = ways.get(key);
        if (way == null || message.status() < 200) {
            return;
        }
        if (!out) {
            way.okIn = message.status() == 200 && way.okIn == 0 ? now : way.okIn;
        } else {
            ways.remove(key);
            if (message.status() == 200 && way.okIn > 0 && way.sent == 1 && way.in > 0) {
                added.recordValue(Math.max(0, way.out - way.in + now - way.okIn));
            }
        }
    }
}
