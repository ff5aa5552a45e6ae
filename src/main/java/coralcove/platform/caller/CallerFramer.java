package coralcove.platform.caller;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a caller's stream into messages by their length fields. Buffers at most one message of
 * {@link CallerMessage#MAX_BYTES} bytes: a length out of range fails before the bytes of its
 * message have arrived.
 */
public final class CallerFramer {
    private byte[] buffer = new byte[512];
    private int length;

    /** Adds data of the stream and passes on each message that is complete. */
    public void feed(byte[] data, Consumer<CallerMessage> consumer)
            throws MalformedCallerMessageException {
        int from = 0;
        while (from < data.length) {
            int count = Math.min(data.length - from, CallerMessage.MAX_BYTES);
            append(data, from, count);
            from += count;
            extractMessages(consumer);
        }
    }

    /** Whether the last message is still incomplete. */
    public boolean hasPartialMessage() {
        return length > 0;
    }

    private void append(byte[] data, int from, int count) {
        if (length + count > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + count, 2 * buffer.length));
        }
        System.arraycopy(data, from, buffer, length, count);
        length += count;
    }

    private void extractMessages(Consumer<CallerMessage> consumer)
            throws MalformedCallerMessageException {
        int at = 0;
        while (length - at >= 2) {
            int size = (buffer[at] & 0xff) << 8 | buffer[at + 1] & 0xff;
            if (size < CallerMessage.MIN_BODY_BYTES || size + 2 > CallerMessage.MAX_BYTES) {
                throw new MalformedCallerMessageException("invalid message length " + size);
            }
            if (length - at < 2 + size) {
                break;
            }
            consumer.accept(
                    CallerMessage.decode(Arrays.copyOfRange(buffer, at + 2, at + 2 + size)));
            at += 2 + size;
        }
        System.arraycopy(buffer, at, buffer, 0, length - at);
        length -= at;
        if (length == 0 && buffer.length > 4096) {
            buffer = new byte[512];
        }
    }
}
