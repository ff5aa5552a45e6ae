package coralcove.dns;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * A simulated name server, which answers from its zone and can be made to misbehave. It has no
 * sockets and no clock: it is given a query and returns the packets to send, with their delays.
 */
public final class SimulatedDnsServer {
    /** How the server misbehaves. */
    public enum Fault {
        /** Answers correctly. */
        NONE,
        /** Delays each response by the delay given with the fault. */
        SLOW,
        /** Does not respond. */
        UNRESPONSIVE,
        /** Truncates responses over UDP; answers over TCP. */
        TRUNCATED_DATAGRAMS,
        /** Sends a record length or record count that exceeds the message. */
        WRONG_LENGTH,
        /** Sends the response to another question. */
        WRONG_QUESTION,
        /** Sends each response twice. */
        DUPLICATED,
        /** Answers with the response code SERVFAIL. */
        SERVER_FAILURE,
        /** Sends a name that is a compression pointer to itself. */
        COMPRESSION_LOOP,
        /** Truncates responses over UDP and does not respond over TCP. */
        TRUNCATED_WITHOUT_TCP
    }

    /** A packet to be sent after {@code delay} µs. */
    public record Packet(long delay, byte[] bytes) {}

    /** The records that the server answers from. */
    public interface Zone {
        /** The response to a query. */
        DnsMessage answer(DnsMessage query);
    }

    private final Zone zone;
    private final long typicalDelay;
    private final RandomGenerator random;
    private Fault fault = Fault.NONE;
    private long faultDelay;
    private long queryCount;

    /** {@code typicalDelay} is the mean response delay in µs. */
    public SimulatedDnsServer(Zone zone, long typicalDelay, RandomGenerator random) {
        this.zone = zone;
        this.typicalDelay = typicalDelay;
        this.random = random;
    }

    /**
     * A portability server. {@code routingNumbers} maps a number to the digits of its routing
     * number, or to null if it was not ported; {@code ttl} in seconds.
     */
    public SimulatedDnsServer(
            String suffix,
            UnaryOperator<String> routingNumbers,
            long ttl,
            long typicalDelay,
            RandomGenerator random) {
        this(query -> portabilityAnswer(query, suffix, routingNumbers, ttl), typicalDelay, random);
    }

    /** From now on misbehaves like {@code fault}; {@code delay} (µs) applies to SLOW. */
    public void injectFault(Fault fault, long delay) {
        this.fault = fault;
        faultDelay = delay;
    }

    /** Number of packets received. */
    public long queryCount() {
        return queryCount;
    }

    /**
     * The packets that the server sends for a query received as a datagram or over TCP ({@code
     * stream}); none if the query is malformed.
     */
    public List<Packet> handleQuery(byte[] bytes, boolean stream) {
        queryCount++;
        DnsMessage query;
        try {
            query = DnsMessage.decode(bytes);
        } catch (MalformedDnsException e) {
            return List.of();
        }
        long responseDelay = Math.max(1, (long) (typicalDelay * (0.5 + random.nextDouble())));
        List<Packet> packets = new ArrayList<>();
        DnsMessage response = zone.answer(query);
        switch (fault) {
            case NONE -> packets.add(new Packet(responseDelay, response.encode()));
            case SLOW -> packets.add(new Packet(responseDelay + faultDelay, response.encode()));
            case UNRESPONSIVE -> {}
            case TRUNCATED_DATAGRAMS ->
                    packets.add(
                            new Packet(
                                    responseDelay,
                                    (stream ? response : response.asTruncated()).encode()));
            case TRUNCATED_WITHOUT_TCP -> {
                // Truncated over UDP; the TCP query that follows is not answered.
                if (!stream) {
                    packets.add(new Packet(responseDelay, response.asTruncated().encode()));
                }
            }
            case WRONG_LENGTH -> {
                byte[] corrupted = response.encode();
                // Corrupts the length of the last record, which is just before its data, or the
                // answer count if there is no record.
                if (!response.answers().isEmpty()) {
                    int lengthOffset =
                            corrupted.length - response.answers().get(0).data().length - 2;
                    corrupted[lengthOffset] = 0x7f;
                } else {
                    corrupted[7] = 9;
                }
                packets.add(new Packet(responseDelay, corrupted));
            }
            case WRONG_QUESTION ->
                    packets.add(
                            new Packet(
                                    responseDelay,
                                    new DnsMessage(
                                                    response.id(),
                                                    true,
                                                    false,
                                                    response.responseCode(),
                                                    "9." + response.questionName(),
                                                    response.questionType(),
                                                    response.answers(),
                                                    response.authority(),
                                                    response.additional())
                                            .encode()));
            case DUPLICATED -> {
                packets.add(new Packet(responseDelay, response.encode()));
                packets.add(new Packet(2 * responseDelay, response.encode()));
            }
            case SERVER_FAILURE ->
                    packets.add(
                            new Packet(
                                    responseDelay,
                                    query.reply(DnsMessage.SERVER_FAILURE, List.of(), List.of())
                                            .encode()));
            case COMPRESSION_LOOP -> {
                // Makes the name of the question a pointer to itself.
                byte[] corrupted = response.encode();
                corrupted[12] = (byte) 0xc0;
                corrupted[13] = 12;
                packets.add(new Packet(responseDelay, corrupted));
            }
        }
        return packets;
    }

    private static DnsMessage portabilityAnswer(
            DnsMessage query, String suffix, UnaryOperator<String> routingNumbers, long ttl) {
        String digits = EnumRecords.digitsOf(query.questionName(), suffix);
        String routingNumber =
                digits == null || query.questionType() != DnsMessage.NAPTR
                        ? null
                        : routingNumbers.apply(digits);
        if (routingNumber == null) {
            byte[] soa = new byte[22];
            soa[21] = (byte) Math.min(60, ttl);
            return query.reply(
                    DnsMessage.NAME_ERROR,
                    List.of(),
                    List.of(
                            new DnsMessage.ResourceRecord(
                                    suffix, DnsMessage.SOA, Math.min(60, ttl), soa)));
        }
        NaptrRecord naptr =
                new NaptrRecord(
                        10,
                        100,
                        "u",
                        "E2U+pstn:tel",
                        "!^(.*)$!tel:\\1;npdi;rn=+" + routingNumber + "!",
                        "");
        return query.reply(
                DnsMessage.NO_ERROR,
                List.of(
                        new DnsMessage.ResourceRecord(
                                query.questionName(), DnsMessage.NAPTR, ttl, naptr.encode())),
                List.of());
    }
}
