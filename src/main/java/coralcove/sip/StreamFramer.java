package coralcove.sip;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts a stream into messages by Content-Length (RFC 3261 18.3); CRLFs between messages are
 * keep-alives (RFC 5626) and skipped. Holds at most one message of the bound, {@link
 * SipParser#MAX_MESSAGE_BYTES} if none is given; past that the stream is bad.
 */
public final class StreamFramer {
    private byte[] buffer = new byte[2048];
    private int length;
    private final int maxMessageBytes;

    public StreamFramer() {
        this(SipParser.MAX_MESSAGE_BYTES);
    }

    public StreamFramer(int most) {
        this.maxMessageBytes = most;
    }

    /** Whether a message has begun and not ended. */
    public boolean partial() {
        return length > 0;
    }

    /**
     * Takes {@code count} bytes and hands out each whole message; what is not a message ends the
     * stream.
     */
    public void take(byte[] data, int from, int count, Consumer<byte[]> whole) throws BadMessage {
        if (length + count > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + count, 2 * buffer.length));
        }
        System.arraycopy(data, from, buffer, length, count);
        length += count;
        int at = 0;
        while (true) {
            while (at + 1 < length && buffer[at] == '\r' && buffer[at + 1] == '\n') {
                at += 2;
            }
            int end = SipParser.headerEnd(buffer, at, length);
            int total = end < 0 ? length - at : end - at + bodyLength(at, end);
            if (total > maxMessageBytes) {
                throw new BadMessage("a message longer than " + maxMessageBytes + " bytes", null);
            }
            if (end < 0 || at + total > length) {
                break;
            }
            whole.accept(Arrays.copyOfRange(buffer, at, at + total));
            at += total;
        }
        System.arraycopy(buffer, at, buffer, 0, length - at);
        length -= at;
    }

    private int bodyLength(int from, int end) throws BadMessage {
        int line = from;
        while (line < end - 2) {
            int stop = line;
            while (buffer[stop] != '\r' || buffer[stop + 1] != '\n') {
                stop++;
            }
            String text = contentLengthValue(line, stop);
            if (text != null) {
                int found = SipParser.parseNumber(text);
                if (found < 0) {
                    throw new BadMessage("Content-Length: " + text, null);
                }
                return found;
            }
            line = stop + 2;
        }
        throw new BadMessage("a message on a stream without Content-Length", null);
    }

    private String contentLengthValue(int from, int to) {
        char first = Character.toLowerCase((char) buffer[from]);
        if (first != 'c' && first != 'l') {
            return null;
        }
        int colon = from;
        while (colon < to && buffer[colon] != ':') {
            colon++;
        }
        String name =
                new String(buffer, from, colon - from, java.nio.charset.StandardCharsets.US_ASCII)
                        .strip();
        boolean wanted = name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("l");
        return wanted && colon < to
                ? new String(
                        buffer,
                        colon + 1,
                        to - colon - 1,
                        java.nio.charset.StandardCharsets.US_ASCII)
                : null;
    }
}
