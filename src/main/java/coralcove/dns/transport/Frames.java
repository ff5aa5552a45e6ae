package coralcove.dns.transport;

import java.util.Arrays;
import org.apache.mina.core.session.IoSession;

/**
 * Messages on a stream: two bytes of length before each (RFC 1035 section 4.2.2). One message a
 * stream is read.
 */
final class Frames {
    private static final String HELD = "held";

    /** Bytes kept of a stream at most: one message of the largest size. */
    private static final int MOST = 65_537;

    private Frames() {}

    /**
     * Adds what was read; a whole message, or null while there is none. A stream that brings more
     * is closed.
     */
    static byte[] take(IoSession session, byte[] bytes) {
        byte[] held = (byte[]) session.getAttribute(HELD, new byte[0]);
        if (held.length + bytes.length > MOST) {
            session.closeNow();
            return null;
        }
        byte[] all = Arrays.copyOf(held, held.length + bytes.length);
        System.arraycopy(bytes, 0, all, held.length, bytes.length);
        session.setAttribute(HELD, all);
        if (all.length < 2) {
            return null;
        }
        int length = (all[0] & 255) << 8 | all[1] & 255;
        return all.length < 2 + length ? null : Arrays.copyOfRange(all, 2, 2 + length);
    }
}
