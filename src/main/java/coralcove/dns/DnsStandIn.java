package coralcove.dns;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * A stand-in name server: it answers from its zone, and misbehaves as told. It has no sockets and
 * no clock: a question in, packets with their delays out.
 */
public final class DnsStandIn {
    /** How it misbehaves; SLOW delays each answer by {@code delay}. */
    public enum Fault {
        NONE,
        SLOW,
        DEAD,
        CUTS,
        LIES_ABOUT_LENGTH,
        OTHER_QUESTION,
        TWICE,
        FAILS,
        CIRCLES,
        CUTS_ALL
    }

    /** A packet to be sent {@code delay} µs later. */
    public record Packet(long delay, byte[] bytes) {}

    /** What it knows. */
    public interface Zone {
        DnsMessage answer(DnsMessage question);
    }

    private final Zone zone;
    private final long usual;
    private final RandomGenerator chance;
    private Fault fault = Fault.NONE;
    private long delay;
    private long asked;

    /** {@code usual} is the usual delay in µs. */
    public DnsStandIn(Zone zone, long usual, RandomGenerator chance) {
        this.zone = zone;
        this.usual = usual;
        this.chance = chance;
    }

    /**
     * A portability server: {@code moved} gives a number's routing number, digits, or null; {@code
     * life} in seconds.
     */
    public DnsStandIn(
            String suffix,
            UnaryOperator<String> moved,
            long life,
            long usual,
            RandomGenerator chance) {
        this(question -> ported(question, suffix, moved, life), usual, chance);
    }

    public void misbehave(Fault how, long by) {
        fault = how;
        delay = by;
    }

    public long asked() {
        return asked;
    }

    /** What it sends for a question that came as a datagram or ({@code stream}) on a stream. */
    public List<Packet> ask(byte[] bytes, boolean stream) {
        asked++;
        DnsMessage question;
        try {
            question = DnsMessage.read(bytes);
        } catch (BadDns e) {
            return List.of();
        }
        long after = Math.max(1, (long) (usual * (0.5 + chance.nextDouble())));
        List<Packet> packets = new ArrayList<>();
        DnsMessage good = zone.answer(question);
        switch (fault) {
            case NONE -> packets.add(new Packet(after, good.bytes()));
            case SLOW -> packets.add(new Packet(after + delay, good.bytes()));
            case DEAD -> {}
            case CUTS -> packets.add(new Packet(after, (stream ? good : good.cut()).bytes()));
            case CUTS_ALL -> {
                // Cut as a datagram, and nobody there for the stream that it asks for.
                if (!stream) {
                    packets.add(new Packet(after, good.cut().bytes()));
                }
            }
            case LIES_ABOUT_LENGTH -> {
                byte[] lie = good.bytes();
                // The two bytes of the last record's length lie before its data; there may be no
                // record at all.
                if (!good.answers().isEmpty()) {
                    int at = lie.length - good.answers().get(0).data().length - 2;
                    lie[at] = 0x7f;
                } else {
                    lie[7] = 9;
                }
                packets.add(new Packet(after, lie));
            }
            case OTHER_QUESTION ->
                    packets.add(
                            new Packet(
                                    after,
                                    new DnsMessage(
                                                    good.id(),
                                                    true,
                                                    false,
                                                    good.code(),
                                                    "9." + good.name(),
                                                    good.type(),
                                                    good.answers(),
                                                    good.authority(),
                                                    good.additional())
                                            .bytes()));
            case TWICE -> {
                packets.add(new Packet(after, good.bytes()));
                packets.add(new Packet(2 * after, good.bytes()));
            }
            case FAILS ->
                    packets.add(
                            new Packet(
                                    after,
                                    question.answer(DnsMessage.SERVER_FAILURE, List.of(), List.of())
                                            .bytes()));
            case CIRCLES -> {
                // The question's name is a pointer to itself.
                byte[] circle = good.bytes();
                circle[12] = (byte) 0xc0;
                circle[13] = 12;
                packets.add(new Packet(after, circle));
            }
        }
        return packets;
    }

    private static DnsMessage ported(
            DnsMessage question, String suffix, UnaryOperator<String> moved, long life) {
        String digits = Enum.digits(question.name(), suffix);
        String routing =
                digits == null || question.type() != DnsMessage.NAPTR ? null : moved.apply(digits);
        if (routing == null) {
            byte[] soa = new byte[22];
            soa[21] = (byte) Math.min(60, life);
            return question.answer(
                    DnsMessage.NO_SUCH_NAME,
                    List.of(),
                    List.of(
                            new DnsMessage.Resource(
                                    suffix, DnsMessage.SOA, Math.min(60, life), soa)));
        }
        Naptr naptr =
                new Naptr(
                        10,
                        100,
                        "u",
                        "E2U+pstn:tel",
                        "!^(.*)$!tel:\\1;npdi;rn=+" + routing + "!",
                        "");
        return question.answer(
                DnsMessage.NO_ERROR,
                List.of(
                        new DnsMessage.Resource(
                                question.name(), DnsMessage.NAPTR, life, naptr.bytes())),
                List.of());
    }
}
