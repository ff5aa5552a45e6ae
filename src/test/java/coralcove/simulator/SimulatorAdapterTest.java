package coralcove.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** Exchanges hand-written frames with the adapter and compares its replies to the byte. */
class SimulatorAdapterTest {
    private static final String SETTINGS =
            """
            balancers=2
            classes.count=1
            classes.0.aim=1000000000
            classes.0.credit=1.0
            classes.0.deadline=9000000000
            contract.cold_from=0.3
            contract.fall_multiple=2.0
            contract.overload_for=2000000000
            contract.warm_up=9000000000
            family_info.call_length=9000000000
            family_info.class_width=1
            family_info.release_guard=300000001
            family_info.this_node=0
            limits.max_retry_after=2000000000
            limits.retry_after=true
            limits.try_limit=4
            some.unknown=key
            """;

    private final ByteBuffer records = ByteBuffer.allocate(4096).order(ByteOrder.LITTLE_ENDIAN);
    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private final ByteArrayOutputStream input = new ByteArrayOutputStream();
    private int count;

    private ByteBuffer record(int code) {
        records.position(48 * count++);
        return records.put((byte) code);
    }

    private void createInstance(String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        record(3).putShort((short) 3).putLong(1).putInt(tail.size()).putInt(text.length);
        tail.writeBytes(text);
    }

    private void ledger(int ledger, int exchange, int number, int phase) {
        record(4).putShort((short) ledger).putInt(tail.size()).putInt(1);
        tail.writeBytes(
                ByteBuffer.allocate(22)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putShort((short) 0)
                        .putLong(0)
                        .put((byte) 0)
                        .put((byte) phase)
                        .putInt(exchange)
                        .putShort((short) number)
                        .putFloat(1)
                        .array());
    }

    private void exchangeList(int kind, int ledger) {
        record(10).putShort((short) 3).put((byte) kind).putLong(1).putShort((short) ledger);
    }

    private void circuits(int exchange, float free, float size) {
        record(8)
                .putShort((short) 3)
                .putLong(0)
                .putInt(exchange)
                .putShort((short) 1)
                .put((byte) 2)
                .putFloat(free)
                .putFloat(size);
    }

    private void session(int id, int farEnd) {
        record(6)
                .putShort((short) 3)
                .putInt(id)
                .put((byte) 0)
                .putShort((short) 0)
                .putLong(5)
                .putLong(3_000_000_999L)
                .putLong(0)
                .putFloat(farEnd)
                .putFloat(1)
                .putFloat(-1)
                .putShort((short) 0);
    }

    private void inviteOutcome(int id, int outcome, boolean over) {
        record(2)
                .putShort((short) 3)
                .putInt(id)
                .putShort((short) 0)
                .putInt(-9)
                .putShort((short) outcome)
                .putLong(1000)
                .put((byte) (over ? 1 : 0));
    }

    private void endBatch(long clock) {
        int length = 16 + 48 * count + tail.size();
        ByteBuffer frame = ByteBuffer.allocate(4 + length).order(ByteOrder.LITTLE_ENDIAN);
        frame.putInt(length).putInt(count).putLong(clock).putInt(7);
        input.writeBytes(frame.put(records.array(), 0, 48 * count).put(tail.toByteArray()).array());
        records.clear();
        Arrays.fill(records.array(), (byte) 0);
        tail.reset();
        count = 0;
    }

    private String replies() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SimulatorAdapter.run(new ByteArrayInputStream(input.toByteArray()), out);
        return HexFormat.of().formatHex(out.toByteArray());
    }

    private static String sendRecord(String id, String timeLimitNanos) {
        return "400300" + id + timeLimitNanos + "f7ffffff" + "0000000000";
    }

    @Test
    void roundsTimeLimitsDownAndKeepsLargeIds() throws Exception {
        endBatch(0);
        createInstance(SETTINGS);
        ledger(0, -9, 1, 0);
        exchangeList(2, 0);
        circuits(-9, 20, 20);
        session(-2, 1);
        endBatch(1_000_000_500L);
        assertThat(replies())
                .isEqualTo(
                        "08000000"
                                + "00000000"
                                + "07000000"
                                + "20000000"
                                + "01000000"
                                + "07000000"
                                + sendRecord("feffffff", "005ed0b200000000"));
    }

    @Test
    void handlesEventsInOrderAndIgnoresRemovedInstances() throws Exception {
        createInstance(SETTINGS);
        ledger(0, -9, 1, 0);
        exchangeList(1, 0);
        ledger(0, -9, 1, 1);
        exchangeList(0, 0);
        circuits(-9, 20, 20);
        session(8, 1);
        record(5).putShort((short) 3);
        session(9, 1);
        endBatch(1_000_000_000L);
        assertThat(replies())
                .isEqualTo(
                        "20000000"
                                + "01000000"
                                + "07000000"
                                + "410300"
                                + "08000000"
                                + "00a3e11100000000"
                                + "000000000000000000");
    }

    @Test
    void answersOnceWhenOutcomeAndAbandonmentShareABatch() throws Exception {
        createInstance(SETTINGS);
        ledger(0, -9, 1, 0);
        exchangeList(1, 0);
        circuits(-9, 20, 20);
        session(8, 1);
        endBatch(1_000_000_000L);
        inviteOutcome(8, 3, false);
        record(9).putShort((short) 3).putInt(8);
        inviteOutcome(8, 5, true);
        record(0).putShort((short) 3).putInt(55);
        endBatch(4_000_000_000L);
        assertThat(replies())
                .endsWith(
                        "20000000"
                                + "01000000"
                                + "07000000"
                                + "410300"
                                + "08000000"
                                + "00a3e11100000000"
                                + "000000000000000000");
    }

    @Test
    void reportsWhatIsMalformedAndWhere() {
        createInstance(SETTINGS.replace("limits.try_limit=4\n", ""));
        endBatch(0);
        assertThatThrownBy(this::replies)
                .isInstanceOf(MalformedFrameException.class)
                .hasMessage("settings: limits.try_limit is missing");
        input.reset();
        createInstance(SETTINGS);
        record(11).putShort((short) 3);
        endBatch(0);
        assertThatThrownBy(this::replies).hasMessage("batch 7 record 1: unknown event code 11");
        input.reset();
        record(3).putShort((short) 3).putLong(1).putInt(0).putInt(999);
        endBatch(0);
        assertThatThrownBy(this::replies)
                .hasMessage("batch 7 record 0: tail 0+999 lies outside the frame");
        input.reset();
        input.writeBytes(new byte[] {99, 0, 0, 0, 1});
        assertThatThrownBy(this::replies)
                .hasMessage("frame: 99 bytes announced, input ends after 1");
        input.reset();
        input.writeBytes(new byte[] {1, 0, 0, 0, 1});
        assertThatThrownBy(this::replies).hasMessage("frame: invalid length 1");
    }
}
