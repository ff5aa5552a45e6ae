package coralcove.drill;

import coralcove.Exchange;
import coralcove.Exchange.Phase;
import coralcove.Micros;
import coralcove.Settings;
import coralcove.boot.Boot;
import coralcove.config.BadConfig;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The simulator's wire: batches in, replies out, one {@link Line} for each instance. It decides
 * nothing.
 */
public final class Drill {
    private static final int HEADER = 16;
    private static final int RECORD = 48;
    private static final int ENTRY = 22;
    private static final int LARGEST = 1 << 30;

    private final Map<Integer, Line> lines = new HashMap<>();
    private final Map<Integer, List<Exchange>> ledgers = new HashMap<>();

    private Drill() {}

    public static void run(InputStream in, OutputStream out) throws IOException, BadFrame {
        Drill drill = new Drill();
        InputStream input = new BufferedInputStream(in, 1 << 16);
        while (true) {
            byte[] length = input.readNBytes(4);
            if (length.length == 0) {
                return;
            }
            if (length.length < 4) {
                throw new BadFrame("frame: input ends inside the length");
            }
            int size = ByteBuffer.wrap(length).order(ByteOrder.LITTLE_ENDIAN).getInt();
            if (size < HEADER || size > LARGEST) {
                throw new BadFrame(
                        "frame: length " + Integer.toUnsignedString(size) + " cannot be");
            }
            byte[] body = input.readNBytes(size);
            if (body.length < size) {
                throw new BadFrame(
                        "frame: " + size + " bytes announced, input ends after " + body.length);
            }
            out.write(drill.answer(ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN)));
            out.flush();
        }
    }

    private byte[] answer(ByteBuffer frame) throws BadFrame {
        int count = frame.getInt(0);
        long clock = frame.getLong(4);
        int batch = frame.getInt(12);
        if (count < 0 || count > (frame.limit() - HEADER) / RECORD) {
            throw new BadFrame(
                    "batch "
                            + batch
                            + ": "
                            + Integer.toUnsignedString(count)
                            + " records do not fit");
        }
        Reply reply = new Reply();
        Set<Line> woken = new LinkedHashSet<>();
        for (int i = 0; i < count; i++) {
            event(
                    new Event(
                            frame,
                            HEADER + i * RECORD,
                            HEADER + count * RECORD,
                            "batch " + batch + " record " + i),
                    clock,
                    reply,
                    woken);
        }
        for (Line line : woken) {
            if (lines.get(line.who()) == line) {
                line.rest(clock, reply);
            }
        }
        return reply.frame(batch);
    }

    private void event(Event event, long clock, Reply reply, Set<Line> woken) throws BadFrame {
        int code = event.u8(0);
        if (code == 4) {
            ledgers.put(event.u16(1), ledger(event));
            return;
        }
        int who = event.u16(1);
        if (code == 3) {
            Line line = new Line(who, event.i64(3), settings(event));
            lines.put(who, line);
            woken.add(line);
            return;
        }
        if (code == 5) {
            lines.remove(who);
            return;
        }
        Line line = lines.get(who);
        if (code > 10) {
            throw new BadFrame(event.where() + ": event code " + code + " cannot be");
        }
        if (line == null) {
            return;
        }
        woken.add(line);
        if (code == 10) {
            int kind = event.u8(3);
            List<Exchange> list = ledgers.get(event.u16(12));
            if (kind > 3 || kind < 3 && list == null) {
                throw new BadFrame(
                        event.where()
                                + ": list of kind "
                                + kind
                                + " names ledger "
                                + event.u16(12));
            }
            line.list(clock, kind, list);
        } else {
            line.event(code, event, clock, reply);
        }
    }

    private static Settings settings(Event event) throws BadFrame {
        try {
            return Boot.read(new String(event.tail(11), StandardCharsets.UTF_8)).settings();
        } catch (BadConfig e) {
            throw new BadFrame(e.getMessage());
        }
    }

    private static List<Exchange> ledger(Event event) throws BadFrame {
        int entries = event.i32(7);
        byte[] bytes = event.tail(event.i32(3), (long) entries * ENTRY);
        ByteBuffer in = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        List<Exchange> list = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += ENTRY) {
            int phase = in.get(at + 11);
            if (phase < 0 || phase > 2) {
                throw new BadFrame(event.where() + ": phase " + phase + " cannot be");
            }
            list.add(
                    new Exchange(
                            in.getInt(at + 12) & 0xffffffffL,
                            in.getShort(at + 16) & 0xffff,
                            Phase.values()[phase],
                            Micros.up(in.getLong(at + 2))));
        }
        return list;
    }
}
