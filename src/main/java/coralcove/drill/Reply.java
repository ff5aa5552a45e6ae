package coralcove.drill;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** One reply frame in the making. */
final class Reply {
    private static final int RECORD = 24;
    private final ByteArrayOutputStream records = new ByteArrayOutputStream();
    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private int count;

    void forward(int who, int ticket, long capNanos, int exchange) {
        add(open(64, who).putInt(ticket).putLong(capNanos).putInt(exchange));
    }

    void decline(int who, int ticket, long pauseNanos) {
        add(open(65, who).putInt(ticket).putLong(pauseNanos));
    }

    void fail(int who, int ticket) {
        add(open(66, who).putInt(ticket));
    }

    void timer(int who, int label, long nanos) {
        add(open(68, who).putInt(label).putLong(nanos));
    }

    void probe(int who, int exchange) {
        add(open(69, who).putInt(exchange));
    }

    void broadcast(int who, byte[] body) {
        add(open(71, who).putInt(-1).putInt(tail.size()).putInt(body.length));
        tail.writeBytes(body);
    }

    void subscribe(int who) {
        add(open(74, who).put((byte) 1));
    }

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

    private static ByteBuffer open(int code, int who) {
        return ByteBuffer.allocate(RECORD)
                .order(ByteOrder.LITTLE_ENDIAN)
                .put((byte) code)
                .putShort((short) who);
    }

    private void add(ByteBuffer record) {
        records.writeBytes(record.array());
        count++;
    }
}
