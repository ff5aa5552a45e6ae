package coralcove.rehearsal;

import coralcove.network.Network;
import coralcove.sip.BadMessage;
import coralcove.sip.Hop;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The set-up delay that a router adds, from its captured traffic: from reading an INVITE to writing the first one
 * for it, and from reading its 200 to writing the 200 back. Only sessions that needed one INVITE count.
 */
final class Meter implements Network.Tap {
    private static final class Way {
        long in;
        long out;
        int sent;
        long okIn;
    }

    private final Map<String, Way> ways = new HashMap<>();
    final Histogram added = new Histogram(60_000_000, 3);

    @Override
    public void broken(long now, String node, Hop peer, boolean refused) {
        // A session that this ended did not stand, and does not count.
    }

    @Override
    public void message(long now, String node, boolean out, Hop peer, byte[] bytes) {
        SipMessage message;
        try {
            message = SipParser.parse(bytes, 0, bytes.length);
        } catch (BadMessage e) {
            return;
        }
        read(now, node, out, message);
    }

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
