package coralcove.simulator;

import coralcove.Exchange;
import coralcove.Exchange.Phase;
import coralcove.Micros;
import coralcove.Settings;
import coralcove.config.BadConfig;
import coralcove.settings.SettingsReader;
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
 * Adapter between the simulator's binary protocol and the routing policy. Reads frames with batches
 * of events, passes each event to the {@link RouterInstance} it is for, and writes one reply frame
 * per batch. All numbers are little-endian. Makes no routing decision itself.
 */
public final class SimulatorAdapter {
    private static final int HEADER_BYTES = 16;
    private static final int RECORD_BYTES = 48;
    private static final int LEDGER_ENTRY_BYTES = 22;
    private static final int MAX_FRAME_BYTES = 1 << 30;

    private final Map<Integer, RouterInstance> instances = new HashMap<>();
    private final Map<Integer, List<Exchange>> ledgers = new HashMap<>();

    private SimulatorAdapter() {}

    /** Answers frames until the input ends between two of them. */
    public static void run(InputStream in, OutputStream out)
            throws IOException, MalformedFrameException {
        SimulatorAdapter adapter = new SimulatorAdapter();
        InputStream input = new BufferedInputStream(in, 1 << 16);
        while (true) {
            byte[] length = input.readNBytes(4);
            if (length.length == 0) {
                return;
            }
            if (length.length < 4) {
                throw new MalformedFrameException("frame: input ends inside the length");
            }
            int size = ByteBuffer.wrap(length).order(ByteOrder.LITTLE_ENDIAN).getInt();
            if (size < HEADER_BYTES || size > MAX_FRAME_BYTES) {
                throw new MalformedFrameException(
                        "frame: invalid length " + Integer.toUnsignedString(size));
            }
            byte[] body = input.readNBytes(size);
            if (body.length < size) {
                throw new MalformedFrameException(
                        "frame: " + size + " bytes announced, input ends after " + body.length);
            }
            out.write(adapter.handleBatch(ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN)));
            out.flush();
        }
    }

    private byte[] handleBatch(ByteBuffer frame) throws MalformedFrameException {
        int count = frame.getInt(0);
        long clock = frame.getLong(4);
        int batch = frame.getInt(12);
        if (count < 0 || count > (frame.limit() - HEADER_BYTES) / RECORD_BYTES) {
            throw new MalformedFrameException(
                    "batch "
                            + batch
                            + ": "
                            + Integer.toUnsignedString(count)
                            + " records do not fit into the frame");
        }
        ReplyFrame reply = new ReplyFrame();
        Set<RouterInstance> active = new LinkedHashSet<>();
        for (int i = 0; i < count; i++) {
            handleEvent(
                    new EventRecord(
                            frame,
                            HEADER_BYTES + i * RECORD_BYTES,
                            HEADER_BYTES + count * RECORD_BYTES,
                            "batch " + batch + " record " + i),
                    clock,
                    reply,
                    active);
        }
        for (RouterInstance instance : active) {
            if (instances.get(instance.number()) == instance) {
                instance.endBatch(clock, reply);
            }
        }
        return reply.frame(batch);
    }

    /**
     * Handles one event. Code 3 creates an instance, 4 defines a ledger (a numbered list of
     * exchanges), 5 removes an instance, and 10 passes a ledger to an instance; all others go to
     * their instance. Events for an unknown instance are ignored.
     */
    private void handleEvent(
            EventRecord event, long clock, ReplyFrame reply, Set<RouterInstance> active)
            throws MalformedFrameException {
        int code = event.u8(0);
        if (code == 4) {
            ledgers.put(event.u16(1), ledger(event));
            return;
        }
        int number = event.u16(1);
        if (code == 3) {
            RouterInstance instance = new RouterInstance(number, event.i64(3), settings(event));
            instances.put(number, instance);
            active.add(instance);
            return;
        }
        if (code == 5) {
            instances.remove(number);
            return;
        }
        RouterInstance instance = instances.get(number);
        if (code > 10) {
            throw new MalformedFrameException(event.position() + ": unknown event code " + code);
        }
        if (instance == null) {
            return;
        }
        active.add(instance);
        if (code == 10) {
            int kind = event.u8(3);
            List<Exchange> exchanges = ledgers.get(event.u16(12));
            if (kind > 3 || kind < 3 && exchanges == null) {
                throw new MalformedFrameException(
                        event.position()
                                + ": invalid list of kind "
                                + kind
                                + ", ledger "
                                + event.u16(12));
            }
            instance.exchangeList(clock, kind, exchanges);
        } else {
            instance.event(code, event, clock, reply);
        }
    }

    private static Settings settings(EventRecord event) throws MalformedFrameException {
        try {
            return SettingsReader.parse(new String(event.tail(11), StandardCharsets.UTF_8))
                    .settings();
        } catch (BadConfig e) {
            throw new MalformedFrameException(e.getMessage());
        }
    }

    private static List<Exchange> ledger(EventRecord event) throws MalformedFrameException {
        int entries = event.i32(7);
        byte[] bytes = event.tail(event.i32(3), (long) entries * LEDGER_ENTRY_BYTES);
        ByteBuffer in = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        List<Exchange> exchanges = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += LEDGER_ENTRY_BYTES) {
            int phase = in.get(at + 11);
            if (phase < 0 || phase > 2) {
                throw new MalformedFrameException(event.position() + ": unknown phase " + phase);
            }
            exchanges.add(
                    new Exchange(
                            in.getInt(at + 12) & 0xffffffffL,
                            in.getShort(at + 16) & 0xffff,
                            Phase.values()[phase],
                            Micros.ceilFromNanos(in.getLong(at + 2))));
        }
        return exchanges;
    }
}
