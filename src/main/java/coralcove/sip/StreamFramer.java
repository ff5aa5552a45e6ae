package coralcove.sip;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts a stream into messages by Content-Length (RFC 3261 18.3); CRLFs between messages are
 * keep-alives (RFC 5626) and skipped. Holds at most one message of the bound, {@link
 * SipParser#MOST_BYTES} if none is given; past that the stream is bad.
 */
public final class StreamFramer {
    private byte[] held = new byte[2048];
    private int length;
    private final int most;

    public StreamFramer() {
        this(SipParser.MOST_BYTES);
    }

    public StreamFramer(int most) {
        this.most = most;
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
        if (length + count > held.length) {
            held = Arrays.copyOf(held, Math.max(length + count, 2 * held.length));
        }
        System.arraycopy(data, from, held, length, count);
        length += count;
        int at = 0;
        while (true) {
            while (at + 1 < length && held[at] == '\r' && held[at + 1] == '\n') {
                at += 2;
            }
            int end = SipParser.headerEnd(held, at, length);
            int total = end < 0 ? length - at : end - at + bodyLength(at, end);
            if (total > most) {
                throw new BadMessage("a message longer than " + most + " bytes", null);
            }
            if (end < 0 || at + total > length) {
                break;
            }
            whole.accept(Arrays.copyOfRange(held, at, at + total));
            at += total;
        }
        System.arraycopy(held, at, held, 0, length - at);
        length -= at;
    }

    private int bodyLength(int from, int end) throws BadMessage {
        int line = from;
        while (line < end - 2) {
            int stop = line;
            while (held[stop] != '\r' || held[stop + 1] != '\n') {
                stop++;
            }
            String text = named(line, stop);
            if (text != null) {
                int found = SipParser.contentLength(text);
                if (found < 0) {
                    throw new BadMessage("Content-Length: " + text, null);
                }
                return found;
            }
            line = stop + 2;
        }
        throw new BadMessage("a message on a stream without Content-Length", null);
    }

    private String named(int from, int to) {
        char first = Character.toLowerCase((char) held[from]);
        if (first != 'c' && first != 'l') {
            return null;
        }
        int colon = from;
        while (colon < to && held[colon] != ':') {
            colon++;
        }
        String name =
                new String(held, from, colon - from, java.nio.charset.StandardCharsets.US_ASCII)
                        .strip();
        boolean wanted = name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("l");
        return wanted && colon < to
                ? new String(
                        held, colon + 1, to - colon - 1, java.nio.charset.StandardCharsets.US_ASCII)
                : null;
    }
}
