package coralcove.dns.transport;

import java.util.Arrays;
import org.apache.mina.core.session.IoSession;

/**
 * Framing of messages over TCP: a two-byte length before each (RFC 1035 section 4.2.2). Only one
 * message is read from a stream.
 */
final class StreamFraming {
    private static final String BUFFER_ATTRIBUTE = "held";

    /** Maximum number of bytes buffered for a stream: one message of the largest size. */
    private static final int MAX_BUFFERED_BYTES = 65_537;

    private StreamFraming() {}

    /**
     * Adds received bytes. Returns the message once it is complete, otherwise null. A stream that
     * sends more than one largest message is closed.
     */
    static byte[] addBytes(IoSession session, byte[] bytes) {
        byte[] buffered = (byte[]) session.getAttribute(BUFFER_ATTRIBUTE, new byte[0]);
        if (buffered.length + bytes.length > MAX_BUFFERED_BYTES) {
            session.closeNow();
            return null;
        }
        byte[] all = Arrays.copyOf(buffered, buffered.length + bytes.length);
        System.arraycopy(bytes, 0, all, buffered.length, bytes.length);
        session.setAttribute(BUFFER_ATTRIBUTE, all);
        if (all.length < 2) {
            return null;
        }
        int length = (all[0] & 255) << 8 | all[1] & 255;
        return all.length < 2 + length ? null : Arrays.copyOfRange(all, 2, 2 + length);
    }
}
