package coralcove.planner;

import coralcove.GroupLoad;
import coralcove.GroupTargets;
import coralcove.Plan;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A message on the link between a router's edge and its planner. A frame holds four bytes of
 * length, the version of the link, a type, four bytes of CRC-32C over the type and the body, and
 * the body. The length counts the bytes that follow it. Numbers are big-endian.
 */
public sealed interface Frame {
    /**
     * First message of either end.
     *
     * @param fromPlanner whether the sender is a planner; false for an edge
     * @param router number of the router that the sender serves
     * @param classCount number of classes that loads and plans hold
     * @param startTag distinguishes this start of the sender from its other starts
     * @param planVersion version of the plan in force, 0 for none
     */
    record Hello(boolean fromPlanner, int router, int classCount, long startTag, long planVersion)
            implements Frame {}

    /** Rejects the hello of a planner, which then waits for its longest reconnect delay. */
    record HelloRejected(String reason) implements Frame {}

    /** Loads of some groups, from the edge. */
    record GroupLoads(List<GroupLoad> groups) implements Frame {}

    /** A plan for some groups, from the planner. */
    record PlanOffer(Plan plan) implements Frame {}

    /** The edge's reply to a plan: {@code result} is NONE if accepted, else why it was rejected. */
    record PlanReply(long version, String result) implements Frame {}

    /** Sent by either end when it has had nothing else to send for a while. */
    record Heartbeat() implements Frame {}

    /** Version of the link; frames of another version are rejected. */
    int VERSION = 1;

    /** Bytes of the length field. */
    int LENGTH_BYTES = 4;

    /** Greatest value of the length field: a plan of 1,000 groups with 40 classes fits. */
    int MAX_LENGTH = 2 << 20;

    /** Bytes before the body, including the length field. */
    int HEADER_BYTES = 10;

    int MAX_CLASSES = 256;
    int MAX_GROUPS = 65_536;
    int MAX_TEXT_CHARS = 1000;

    /** Loads of a class are below this, in calls in progress at the same time. */
    double MAX_LOAD = 1e12;

    int TYPE_HELLO = 1;
    int TYPE_HELLO_REJECTED = 2;
    int TYPE_GROUP_LOADS = 3;
    int TYPE_PLAN_OFFER = 4;
    int TYPE_PLAN_REPLY = 5;
    int TYPE_HEARTBEAT = 6;

    /** Thrown for bytes that are not a valid frame; the receiver closes the connection. */
    final class MalformedFrameException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedFrameException(String reason) {
            super(reason);
        }
    }

    // ---- encoding

    /** Returns the complete frame, with its length. */
    default byte[] encode() {
        ByteBuffer body = ByteBuffer.allocate(maxBodyBytes());
        int type = writeBody(body);
        body.flip();
        CRC32C checksum = new CRC32C();
        checksum.update(type);
        checksum.update(body.duplicate());
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + body.remaining());
        frame.putInt(HEADER_BYTES - LENGTH_BYTES + body.remaining())
                .put((byte) VERSION)
                .put((byte) type)
                .putInt((int) checksum.getValue());
        return frame.put(body).array();
    }

    /** Bytes that the body takes at most: exact for loads and plans, an upper bound for others. */
    private int maxBodyBytes() {
        if (this instanceof GroupLoads loads) {
            return 4
                    + loads.groups.stream()
                            .mapToInt(group -> 18 + 8 * group.erlangs().length)
                            .sum();
        }
        if (this instanceof PlanOffer offer) {
            return 16
                    + offer.plan.groups().stream()
                            .mapToInt(group -> 22 + 25 * group.c0().length)
                            .sum();
        }
        return 64 + 4 * MAX_TEXT_CHARS;
    }

    /** Writes the body and returns the type of the frame. */
    private int writeBody(ByteBuffer out) {
        if (this instanceof Hello hello) {
            out.put((byte) (hello.fromPlanner ? 1 : 0))
                    .putInt(hello.router)
                    .putShort((short) hello.classCount)
                    .putLong(hello.startTag)
                    .putLong(hello.planVersion);
            return TYPE_HELLO;
        }
        if (this instanceof HelloRejected rejected) {
            writeText(out, rejected.reason);
            return TYPE_HELLO_REJECTED;
        }
        if (this instanceof GroupLoads loads) {
            out.putInt(loads.groups.size());
            for (GroupLoad load : loads.groups) {
                out.putLong(load.measuredAt())
                        .putInt(load.number())
                        .putInt(load.size())
                        .putShort((short) load.erlangs().length);
                for (double calls : load.erlangs()) {
                    out.putDouble(calls);
                }
            }
            return TYPE_GROUP_LOADS;
        }
        if (this instanceof PlanOffer offer) {
            out.putInt(offer.plan.router())
                    .putLong(offer.plan.version())
                    .putInt(offer.plan.groups().size());
            for (GroupTargets group : offer.plan.groups()) {
                out.putLong(group.measuredAt())
                        .putInt(group.number())
                        .putDouble(group.beta())
                        .putShort((short) group.c0().length);
                for (int i = 0; i < group.c0().length; i++) {
                    out.putDouble(group.c0()[i])
                            .putDouble(group.c1()[i])
                            .putDouble(group.initialPhantoms()[i])
                            .put((byte) (group.hasLoad()[i] ? 1 : 0));
                }
            }
            return TYPE_PLAN_OFFER;
        }
        if (this instanceof PlanReply reply) {
            out.putLong(reply.version);
            writeText(out, reply.result);
            return TYPE_PLAN_REPLY;
        }
        return TYPE_HEARTBEAT;
    }

    private static void writeText(ByteBuffer out, String text) {
        byte[] bytes =
                text.substring(0, Math.min(MAX_TEXT_CHARS, text.length()))
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8);
        out.putShort((short) bytes.length).put(bytes);
    }

    // ---- decoding

    /** Decodes a frame without its length field. */
    static Frame decode(byte[] bytes) throws MalformedFrameException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            int version = in.get();
            if (version != VERSION) {
                throw new MalformedFrameException("unsupported link version " + version);
            }
            int type = in.get();
            int expected = in.getInt();
            CRC32C checksum = new CRC32C();
            checksum.update(type);
            checksum.update(in.duplicate());
            if ((int) checksum.getValue() != expected) {
                throw new MalformedFrameException("wrong checksum in a frame of type " + type);
            }
            Frame frame = readBody(type, in);
            if (in.hasRemaining()) {
                throw new MalformedFrameException(
                        in.remaining() + " bytes after the body of a frame of type " + type);
            }
            return frame;
        } catch (BufferUnderflowException e) {
            throw new MalformedFrameException("truncated frame");
        }
    }

    private static Frame readBody(int type, ByteBuffer in) throws MalformedFrameException {
        return switch (type) {
            case TYPE_HELLO ->
                    new Hello(
                            in.get() != 0, in.getInt(), in.getShort(), in.getLong(), in.getLong());
            case TYPE_HELLO_REJECTED -> new HelloRejected(readText(in));
            case TYPE_GROUP_LOADS -> {
                int count = readGroupCount(in, MAX_GROUPS);
                List<GroupLoad> groups = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    long at = in.getLong();
                    int number = in.getInt();
                    int size = in.getInt();
                    double[] calls = new double[readClassCount(in)];
                    for (int c = 0; c < calls.length; c++) {
                        calls[c] = in.getDouble();
                        if (!(calls[c] >= 0 && calls[c] < MAX_LOAD)) {
                            throw new MalformedFrameException("invalid load " + calls[c]);
                        }
                    }
                    if (number < 0 || size < 0) {
                        throw new MalformedFrameException(
                                "invalid group " + number + " of size " + size);
                    }
                    groups.add(new GroupLoad(at, number, size, calls));
                }
                yield new GroupLoads(groups);
            }
            case TYPE_PLAN_OFFER -> {
                int router = in.getInt();
                long version = in.getLong();
                int count = readGroupCount(in, MAX_GROUPS);
                List<GroupTargets> groups = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    groups.add(readGroupPlan(in));
                }
                yield new PlanOffer(new Plan(router, version, groups));
            }
            case TYPE_PLAN_REPLY -> new PlanReply(in.getLong(), readText(in));
            case TYPE_HEARTBEAT -> new Heartbeat();
            default -> throw new MalformedFrameException("unknown frame type " + type);
        };
    }

    private static GroupTargets readGroupPlan(ByteBuffer in) throws MalformedFrameException {
        long at = in.getLong();
        int number = in.getInt();
        double beta = in.getDouble();
        int classes = readClassCount(in);
        GroupTargets plan =
                new GroupTargets(
                        at,
                        number,
                        beta,
                        new double[classes],
                        new double[classes],
                        new boolean[classes],
                        new double[classes]);
        for (int i = 0; i < classes; i++) {
            plan.c0()[i] = in.getDouble();
            plan.c1()[i] = in.getDouble();
            plan.initialPhantoms()[i] = in.getDouble();
            plan.hasLoad()[i] = in.get() != 0;
        }
        return plan;
    }

    private static int readGroupCount(ByteBuffer in, int max) throws MalformedFrameException {
        int count = in.getInt();
        if (count < 0 || count > max) {
            throw new MalformedFrameException("invalid group count " + count);
        }
        return count;
    }

    private static int readClassCount(ByteBuffer in) throws MalformedFrameException {
        int count = in.getShort();
        if (count < 0 || count > MAX_CLASSES) {
            throw new MalformedFrameException("invalid class count " + count);
        }
        return count;
    }

    private static String readText(ByteBuffer in) throws MalformedFrameException {
        int length = in.getShort();
        if (length < 0 || length > 4 * MAX_TEXT_CHARS || length > in.remaining()) {
            throw new MalformedFrameException("invalid text length " + length);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
    }

    /** Splits a stream of bytes into frames, however the stream is divided. */
    final class FrameDecoder {
        private byte[] incomplete = new byte[0];

        /** Returns the frames that these bytes complete, without their length fields. */
        public List<byte[]> feed(byte[] bytes) throws MalformedFrameException {
            byte[] all = Arrays.copyOf(incomplete, incomplete.length + bytes.length);
            System.arraycopy(bytes, 0, all, incomplete.length, bytes.length);
            List<byte[]> frames = new ArrayList<>();
            int start = 0;
            while (all.length - start >= LENGTH_BYTES) {
                int length = ByteBuffer.wrap(all, start, LENGTH_BYTES).getInt();
                if (length < HEADER_BYTES - LENGTH_BYTES || length > MAX_LENGTH) {
                    throw new MalformedFrameException("invalid frame length " + length);
                }
                if (all.length - start - LENGTH_BYTES < length) {
                    break;
                }
                frames.add(
                        Arrays.copyOfRange(
                                all, start + LENGTH_BYTES, start + LENGTH_BYTES + length));
                start += LENGTH_BYTES + length;
            }
            incomplete = Arrays.copyOfRange(all, start, all.length);
            return frames;
        }
    }
}
