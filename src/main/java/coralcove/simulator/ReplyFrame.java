package coralcove.simulator;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Builds one reply frame: records of fixed length, then a tail that holds the bodies of broadcasts.
 * Durations and times are in nanoseconds.
 */
final class ReplyFrame {
    private static final int RECORD_BYTES = 24;
    private final ByteArrayOutputStream records = new ByteArrayOutputStream();
    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private int count;

    /** Sends the session to an exchange; its answer may take {@code timeLimitNanos}. */
    void forward(int instance, int session, long timeLimitNanos, int exchange) {
        add(open(64, instance).putInt(session).putLong(timeLimitNanos).putInt(exchange));
    }

    /** Rejects the session; the caller may retry after this delay. */
    void decline(int instance, int session, long retryAfterNanos) {
        add(open(65, instance).putInt(session).putLong(retryAfterNanos));
    }

    /** Fails the session. */
    void fail(int instance, int session) {
        add(open(66, instance).putInt(session));
    }

    /** Sets a timer; its expiry event will name {@code label}. */
    void timer(int instance, int label, long nanos) {
        add(open(68, instance).putInt(label).putLong(nanos));
    }

    /** Requests a load report from an exchange. */
    void probe(int instance, int exchange) {
        add(open(69, instance).putInt(exchange));
    }

    /** Sends a message to all peers. */
    void broadcast(int instance, byte[] body) {
        add(open(71, instance).putInt(-1).putInt(tail.size()).putInt(body.length));
        tail.writeBytes(body);
    }

    /** Subscribes to the exchange list. */
    void subscribe(int instance) {
        add(open(74, instance).put((byte) 1));
    }

    /** The complete frame in reply to this batch, its length field included. */
    byte[] frame(int batch) {
        int length = 8 + records.size() + tail.size();
        ByteBuffer out = ByteBuffer.allocate(4 + length).order(ByteOrder.LITTLE_ENDIAN);
        out.putInt(length)
                .putInt(count)
                .putInt(batch)
                .put(records.toByteArray())
                .put(tail.toByteArray());
        return out.array();
    }

    private static ByteBuffer open(int code, int instance) {
        return ByteBuffer.allocate(RECORD_BYTES)
                .order(ByteOrder.LITTLE_ENDIAN)
                .put((byte) code)
                .putShort((short) instance);
    }

    private void add(ByteBuffer record) {
        records.writeBytes(record.array());
        count++;
    }
}
