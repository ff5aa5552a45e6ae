package coralcove.sip;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a byte stream into messages by Content-Length (RFC 3261 18.3) and skips keep-alives, which
 * are CRLFs between messages (RFC 5626). A message longer than the limit makes the stream invalid.
 */
public final class StreamFramer {
    private byte[] buffer = new byte[2048];
    private int length;
    private final int maxMessageBytes;

    /** A framer for messages of at most {@link SipParser#MAX_MESSAGE_BYTES}. */
    public StreamFramer() {
        this(SipParser.MAX_MESSAGE_BYTES);
    }

    /** A framer for messages of at most {@code maxMessageBytes}. */
    public StreamFramer(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    /** Whether the stream ends within a message so far. */
    public boolean hasPartialMessage() {
        return length > 0;
    }

    /**
     * Adds {@code count} bytes and passes on each message that is complete. After an exception the
     * stream cannot be read any further.
     */
    public void feed(byte[] data, int from, int count, Consumer<byte[]> consumer)
            throws MalformedMessageException {
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
                throw new MalformedMessageException(
                        "a message longer than " + maxMessageBytes + " bytes", null);
            }
            if (end < 0 || at + total > length) {
                break;
            }
            consumer.accept(Arrays.copyOfRange(buffer, at, at + total));
            at += total;
        }
        System.arraycopy(buffer, at, buffer, 0, length - at);
        length -= at;
    }

    /** The Content-Length of the header between these indices. */
    private int bodyLength(int from, int end) throws MalformedMessageException {
        int line = from;
        while (line < end - 2) {
            int lineEnd = line;
            while (buffer[lineEnd] != '\r' || buffer[lineEnd + 1] != '\n') {
                lineEnd++;
            }
            String text = contentLengthValue(line, lineEnd);
            if (text != null) {
                int contentLength = SipParser.parseNumber(text);
                if (contentLength < 0) {
                    throw new MalformedMessageException("Content-Length: " + text, null);
                }
                return contentLength;
            }
            line = lineEnd + 2;
        }
        throw new MalformedMessageException("a message on a stream without Content-Length", null);
    }

    /** The value of this header line if it is Content-Length, else null. */
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
        boolean isContentLength =
                name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("l");
        return isContentLength && colon < to
                ? new String(
                        buffer,
                        colon + 1,
                        to - colon - 1,
                        java.nio.charset.StandardCharsets.US_ASCII)
                : null;
    }
}
