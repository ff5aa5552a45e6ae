package coralcove.simulator;

import java.nio.ByteBuffer;

/**
 * One event record of an input frame: reads its fields and its part of the frame's tail.
 *
 * @param start offset of the record in the frame
 * @param tailStart offset in the frame at which the tail starts
 * @param position batch and record number, for error messages
 */
record EventRecord(ByteBuffer frame, int start, int tailStart, String position) {
    int u8(int offset) {
        return frame.get(start + offset) & 0xff;
    }

    int u16(int offset) {
        return frame.getShort(start + offset) & 0xffff;
    }

    int i32(int offset) {
        return frame.getInt(start + offset);
    }

    long u32(int offset) {
        return frame.getInt(start + offset) & 0xffffffffL;
    }

    long i64(int offset) {
        return frame.getLong(start + offset);
    }

    float f32(int offset) {
        return frame.getFloat(start + offset);
    }

    /** The part of the tail whose start and length are the fields at this offset. */
    byte[] tail(int offset) throws MalformedFrameException {
        return tail(i32(offset), u32(offset + 4));
    }

    byte[] tail(int from, long length) throws MalformedFrameException {
        if (from < 0 || length < 0 || (long) tailStart + from + length > frame.limit()) {
            throw new MalformedFrameException(
                    position + ": tail " + from + "+" + length + " lies outside the frame");
        }
        byte[] bytes = new byte[(int) length];
        frame.get(tailStart + from, bytes);
        return bytes;
    }

    /** At most four floats, preceded by their count. */
    float[] floats(int offset) {
        float[] values = new float[Math.min(4, u8(offset))];
        for (int i = 0; i < values.length; i++) {
            values[i] = f32(offset + 1 + 4 * i);
        }
        return values;
    }
}
