package coralcove.platform.caller;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts a caller's stream into messages by their lengths. Holds at most one message of {@link
 * CallerMessage#MOST_BYTES}: a longer or shorter length than can be ends the stream, before its
 * bytes come.
 */
public final class CallerFramer {
    private byte[] held = new byte[512];
    private int length;

    public void take(byte[] data, Consumer<CallerMessage> whole) throws BadCallerMessage {
        int from = 0;
        while (from < data.length) {
            int count = Math.min(data.length - from, CallerMessage.MOST_BYTES);
            add(data, from, count);
            from += count;
            cut(whole);
        }
    }

    /** Whether a message has begun and not ended. */
    public boolean partial() {
        return length > 0;
    }

    private void add(byte[] data, int from, int count) {
        if (length + count > held.length) {
            held = Arrays.copyOf(held, Math.max(length + count, 2 * held.length));
        }
        System.arraycopy(data, from, held, length, count);
        length += count;
    }

    private void cut(Consumer<CallerMessage> whole) throws BadCallerMessage {
        int at = 0;
        while (length - at >= 2) {
            int size = (held[at] & 0xff) << 8 | held[at + 1] & 0xff;
            if (size < CallerMessage.LEAST || size + 2 > CallerMessage.MOST_BYTES) {
                throw new BadCallerMessage("a length of " + size);
            }
            if (length - at < 2 + size) {
                break;
            }
            whole.accept(CallerMessage.read(Arrays.copyOfRange(held, at + 2, at + 2 + size)));
            at += 2 + size;
        }
        System.arraycopy(held, at, held, 0, length - at);
        length -= at;
        if (length == 0 && held.length > 4096) {
            held = new byte[512];
        }
    }
}
