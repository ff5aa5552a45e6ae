package coralcove.drill;

import java.nio.ByteBuffer;

/** Reads the fields of one event record and its part of the frame's tail. */
record Event(ByteBuffer frame, int at, int tailAt, String where) {
    int u8(int offset) {
        return frame.get(at + offset) & 0xff;
    }

    int u16(int offset) {
        return frame.getShort(at + offset) & 0xffff;
    }

    int i32(int offset) {
        return frame.getInt(at + offset);
    }

    long u32(int offset) {
        return frame.getInt(at + offset) & 0xffffffffL;
    }

    long i64(int offset) {
        return frame.getLong(at + offset);
    }

    float f32(int offset) {
        return frame.getFloat(at + offset);
    }

    byte[] tail(int offset) throws BadFrame {
        return tail(i32(offset), u32(offset + 4));
    }

    byte[] tail(int from, long length) throws BadFrame {
        if (from < 0 || length < 0 || (long) tailAt + from + length > frame.limit()) {
            throw new BadFrame(where + ": tail " + from + "+" + length + " lies outside the frame");
        }
        byte[] bytes = new byte[(int) length];
        frame.get(tailAt + from, bytes);
        return bytes;
    }

    float[] floats(int offset) {
        float[] values = new float[Math.min(4, u8(offset))];
        for (int i = 0; i < values.length; i++) {
            values[i] = f32(offset + 1 + 4 * i);
        }
        return values;
    }
}
