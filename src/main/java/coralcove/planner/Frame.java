package coralcove.planner;

import coralcove.GroupFacts;
import coralcove.GroupPlan;
import coralcove.Plan;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * One message between a router's edge and its planner: four bytes of length, the link's version, a
 * type, four bytes of CRC-32C over what follows, the body. Numbers are big-endian.
 */
public sealed interface Frame {
    /**
     * Who speaks, for which router, with how many classes, since which start, and the plan in force
     * (0: none).
     */
    record Hello(boolean planner, int router, int classes, long start, long version)
            implements Frame {}

    /** The one who is turned away learns why, and tries again much later. */
    record Refused(String reason) implements Frame {}

    record Facts(List<GroupFacts> groups) implements Frame {}

    record Planned(Plan plan) implements Frame {}

    /** What the edge made of a plan. */
    record Taken(long version, String refusal) implements Frame {}

    /** Nothing to say, and alive. */
    record Alive() implements Frame {}

    /** Version of this link; another is refused. */
    int VERSION = 1;

    /** Bytes of a frame at most: a plan of 1,000 groups with 40 classes fits. */
    int LONGEST = 2 << 20;

    int HEAD = 10;
    int MOST_CLASSES = 256;
    int MOST_GROUPS = 65_536;
    int MOST_TEXT = 1000;

    /** Bytes that are no frame of this link; the link is closed. */
    final class Bad extends Exception {
        private static final long serialVersionUID = 1;

        Bad(String reason) {
            super(reason);
        }
    }

    // ---- written

    default byte[] bytes() {
        ByteBuffer body = ByteBuffer.allocate(size());
        int type = write(body);
        body.flip();
        CRC32C sum = new CRC32C();
        sum.update(type);
        sum.update(body.duplicate());
        ByteBuffer all = ByteBuffer.allocate(HEAD + body.remaining());
        all.putInt(HEAD - 4 + body.remaining())
                .put((byte) VERSION)
                .put((byte) type)
                .putInt((int) sum.getValue());
        return all.put(body).array();
    }

    private int size() {
        if (this instanceof Facts facts) {
            return 4 + facts.groups.stream().mapToInt(g -> 18 + 8 * g.calls().length).sum();
        }
        if (this instanceof Planned planned) {
            return 16 + planned.plan.groups().stream().mapToInt(g -> 22 + 25 * g.c0().length).sum();
        }
        return 64 + 4 * MOST_TEXT;
    }

    private int write(ByteBuffer out) {
        if (this instanceof Hello hello) {
            out.put((byte) (hello.planner ? 1 : 0))
                    .putInt(hello.router)
                    .putShort((short) hello.classes)
                    .putLong(hello.start)
                    .putLong(hello.version);
            return 1;
        }
        if (this instanceof Refused refused) {
            text(out, refused.reason);
            return 2;
        }
        if (this instanceof Facts facts) {
            out.putInt(facts.groups.size());
            for (GroupFacts each : facts.groups) {
                out.putLong(each.at())
                        .putInt(each.number())
                        .putInt(each.size())
                        .putShort((short) each.calls().length);
                for (double calls : each.calls()) {
                    out.putDouble(calls);
                }
            }
            return 3;
        }
        if (this instanceof Planned planned) {
            out.putInt(planned.plan.router())
                    .putLong(planned.plan.version())
                    .putInt(planned.plan.groups().size());
            for (GroupPlan each : planned.plan.groups()) {
                out.putLong(each.at())
                        .putInt(each.number())
                        .putDouble(each.beta())
                        .putShort((short) each.c0().length);
                for (int i = 0; i < each.c0().length; i++) {
                    out.putDouble(each.c0()[i])
                            .putDouble(each.c1()[i])
                            .putDouble(each.phantoms()[i])
                            .put((byte) (each.seen()[i] ? 1 : 0));
                }
            }
            return 4;
        }
        if (this instanceof Taken taken) {
            out.putLong(taken.version);
            text(out, taken.refusal);
            return 5;
        }
        return 6;
    }

    private static void text(ByteBuffer out, String text) {
        byte[] bytes =
                text.substring(0, Math.min(MOST_TEXT, text.length()))
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8);
        out.putShort((short) bytes.length).put(bytes);
    }

    // ---- read

    /** Reads what stands behind the length. */
    static Frame read(byte[] bytes) throws Bad {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            int version = in.get();
            if (version != VERSION) {
                throw new Bad("link version " + version);
            }
            int type = in.get();
            int sum = in.getInt();
            CRC32C found = new CRC32C();
            found.update(type);
            found.update(in.duplicate());
            if ((int) found.getValue() != sum) {
                throw new Bad("checksum of a frame of type " + type);
            }
            Frame frame = body(type, in);
            if (in.hasRemaining()) {
                throw new Bad(in.remaining() + " bytes behind a frame of type " + type);
            }
            return frame;
        } catch (BufferUnderflowException e) {
            throw new Bad("a frame that ends early");
        }
    }

    private static Frame body(int type, ByteBuffer in) throws Bad {
        return switch (type) {
            case 1 ->
                    new Hello(
                            in.get() != 0, in.getInt(), in.getShort(), in.getLong(), in.getLong());
            case 2 -> new Refused(text(in));
            case 3 -> {
                int count = count(in, MOST_GROUPS);
                List<GroupFacts> groups = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    long at = in.getLong();
                    int number = in.getInt();
                    int size = in.getInt();
                    double[] calls = new double[classes(in)];
                    for (int c = 0; c < calls.length; c++) {
                        calls[c] = in.getDouble();
                        if (!(calls[c] >= 0 && calls[c] < 1e12)) {
                            throw new Bad("a load of " + calls[c]);
                        }
                    }
                    if (number < 0 || size < 0) {
                        throw new Bad("group " + number + " of " + size);
                    }
                    groups.add(new GroupFacts(at, number, size, calls));
                }
                yield new Facts(groups);
            }
            case 4 -> {
                int router = in.getInt();
                long version = in.getLong();
                int count = count(in, MOST_GROUPS);
                List<GroupPlan> groups = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    groups.add(group(in));
                }
                yield new Planned(new Plan(router, version, groups));
            }
            case 5 -> new Taken(in.getLong(), text(in));
            case 6 -> new Alive();
            default -> throw new Bad("a frame of type " + type);
        };
    }

    private static GroupPlan group(ByteBuffer in) throws Bad {
        long at = in.getLong();
        int number = in.getInt();
        double beta = in.getDouble();
        int n = classes(in);
        GroupPlan plan =
                new GroupPlan(
                        at,
                        number,
                        beta,
                        new double[n],
                        new double[n],
                        new boolean[n],
                        new double[n]);
        for (int i = 0; i < n; i++) {
            plan.c0()[i] = in.getDouble();
            plan.c1()[i] = in.getDouble();
            plan.phantoms()[i] = in.getDouble();
            plan.seen()[i] = in.get() != 0;
        }
        return plan;
    }

    private static int count(ByteBuffer in, int most) throws Bad {
        int count = in.getInt();
        if (count < 0 || count > most) {
            throw new Bad(count + " entries");
        }
        return count;
    }

    private static int classes(ByteBuffer in) throws Bad {
        int count = in.getShort();
        if (count < 0 || count > MOST_CLASSES) {
            throw new Bad(count + " classes");
        }
        return count;
    }

    private static String text(ByteBuffer in) throws Bad {
        int length = in.getShort();
        if (length < 0 || length > 4 * MOST_TEXT || length > in.remaining()) {
            throw new Bad("a text of " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
    }

    /** Cuts a stream into frames, over any split of it. */
    final class Framer {
        private byte[] held = new byte[0];

        /** The whole frames that these bytes complete, without their lengths. */
        public List<byte[]> take(byte[] bytes) throws Bad {
            byte[] all = Arrays.copyOf(held, held.length + bytes.length);
            System.arraycopy(bytes, 0, all, held.length, bytes.length);
            List<byte[]> frames = new ArrayList<>();
            int at = 0;
            while (all.length - at >= 4) {
                int length = ByteBuffer.wrap(all, at, 4).getInt();
                if (length < HEAD - 4 || length > LONGEST) {
                    throw new Bad("a frame of " + length + " bytes");
                }
                if (all.length - at - 4 < length) {
                    break;
                }
                frames.add(Arrays.copyOfRange(all, at + 4, at + 4 + length));
                at += 4 + length;
            }
            held = Arrays.copyOfRange(all, at, all.length);
            return frames;
        }
    }
}
