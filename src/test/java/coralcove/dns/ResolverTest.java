package coralcove.dns;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import coralcove.TraceFiles;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the resolver with a simulated server in virtual time, for each fault of the server. */
class ResolverTest {
    private static final Resolver.Server FIRST = new Resolver.Server("s1", 53);
    private static final Resolver.Server SECOND = new Resolver.Server("s2", 53);
    private static final String SUFFIX = "e164.arpa";

    private record Event(long time, long sequence, Runnable action) {}

    /**
     * Resolver and servers in the same virtual time. The trace omits ids and ports, which are
     * random.
     */
    private static final class SimulatedNetwork implements Resolver.Actions {
        final StringBuilder trace = new StringBuilder();
        final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        (a, b) ->
                                a.time != b.time
                                        ? Long.compare(a.time, b.time)
                                        : Long.compare(a.sequence, b.sequence));
        final Resolver resolver;
        final SimulatedDnsServer firstServer = newServer();
        final SimulatedDnsServer secondServer = newServer();
        byte[] lastSent;
        int lastSocket;
        long now;
        long nextSequence;

        SimulatedNetwork(int maxAttempts) {
            resolver =
                    new Resolver(
                            new Resolver.Settings(
                                    List.of(FIRST, SECOND), 200_000, maxAttempts, 16, 4),
                            new SplittableRandom(3));
        }

        static SimulatedDnsServer newServer() {
            return new SimulatedDnsServer(
                    SUFFIX, Map.of("8190123", "81410001")::get, 300, 4000, new SplittableRandom(1));
        }

        void schedule(long time, Runnable action) {
            events.add(new Event(time, nextSequence++, action));
        }

        void appendToTrace(String line) {
            trace.append(now / 1000).append(" ms  ").append(line).append('\n');
        }

        SimulatedNetwork queryAndRun(String digits) {
            resolver.query(
                    now, EnumRecords.domainName(digits, SUFFIX), DnsMessage.NAPTR, digits, this);
            return runUntil(now + 2_000_000);
        }

        SimulatedNetwork runUntil(long until) {
            while (true) {
                long next =
                        Math.min(
                                resolver.nextTickAt(),
                                events.isEmpty() ? Long.MAX_VALUE : events.peek().time);
                if (next > until) {
                    now = until;
                    return this;
                }
                now = Math.max(now, next);
                if (!events.isEmpty() && events.peek().time <= now) {
                    events.poll().action.run();
                } else {
                    resolver.tick(now, this);
                }
            }
        }

        @Override
        public void sendDatagram(int socket, Resolver.Server to, byte[] bytes) {
            appendToTrace("asks " + to.host());
            lastSent = bytes;
            lastSocket = socket;
            (to.equals(FIRST) ? firstServer : secondServer)
                    .handleQuery(bytes, false)
                    .forEach(
                            packet ->
                                    schedule(
                                            now + packet.delay(),
                                            () ->
                                                    resolver.datagramReceived(
                                                            now,
                                                            socket,
                                                            to,
                                                            packet.bytes(),
                                                            this)));
        }

        @Override
        public void sendOnStream(long key, Resolver.Server to, byte[] bytes) {
            appendToTrace("asks " + to.host() + " over a stream");
            (to.equals(FIRST) ? firstServer : secondServer)
                    .handleQuery(bytes, true)
                    .forEach(
                            packet ->
                                    schedule(
                                            now + packet.delay(),
                                            () ->
                                                    resolver.streamMessageReceived(
                                                            now, key, packet.bytes(), this)));
        }

        @Override
        public void closeStream(long key) {
            appendToTrace("closes the stream");
        }

        @Override
        public void completed(Object owner, Resolver.Result result) {
            try {
                appendToTrace(
                        owner
                                + ": "
                                + (result.response() == null
                                        ? "failed, " + result.failure()
                                        : EnumRecords.readPortability(
                                                result.response(), (String) owner)));
            } catch (MalformedDnsException e) {
                appendToTrace(owner + ": bad, " + e.getMessage());
            }
        }
    }

    /** The name by which the trace file calls a fault. */
    private static String nameInTrace(SimulatedDnsServer.Fault fault) {
        return switch (fault) {
            case NONE -> "NONE";
            case SLOW -> "SLOW";
            case UNRESPONSIVE -> "DEAD";
            case TRUNCATED_DATAGRAMS -> "CUTS";
            case WRONG_LENGTH -> "LIES_ABOUT_LENGTH";
            case WRONG_QUESTION -> "OTHER_QUESTION";
            case DUPLICATED -> "TWICE";
            case SERVER_FAILURE -> "FAILS";
            case COMPRESSION_LOOP -> "CIRCLES";
            case TRUNCATED_WITHOUT_TCP -> "CUTS_ALL";
        };
    }

    @Test
    void completesQueryOnceAndInTimeForEachServerFault() {
        StringBuilder trace = new StringBuilder();
        for (SimulatedDnsServer.Fault fault : SimulatedDnsServer.Fault.values()) {
            SimulatedNetwork network = new SimulatedNetwork(3);
            network.firstServer.injectFault(fault, 500_000);
            network.queryAndRun("8190123").queryAndRun("8190999");
            trace.append("== the first server: ")
                    .append(nameInTrace(fault))
                    .append('\n')
                    .append(network.trace)
                    .append(network.resolver.counters())
                    .append('\n');
            assertThat(network.resolver.outstandingCount()).isZero();
        }
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("resolver-faults"));
    }

    /**
     * A response with another id, from another server, to another port or to another question is
     * ignored.
     */
    @Test
    void ignoresForgedResponses() throws Exception {
        SimulatedNetwork network = new SimulatedNetwork(1);
        network.firstServer.injectFault(SimulatedDnsServer.Fault.UNRESPONSIVE, 0);
        network.resolver.query(
                0, EnumRecords.domainName("8190123", SUFFIX), DnsMessage.NAPTR, "8190123", network);
        DnsMessage query = DnsMessage.decode(network.lastSent);
        byte[] forged =
                SimulatedNetwork.newServer().handleQuery(network.lastSent, false).get(0).bytes();
        network.resolver.datagramReceived(1, network.lastSocket, SECOND, forged, network);
        network.resolver.datagramReceived(1, network.lastSocket + 1, FIRST, forged, network);
        byte[] otherId =
                DnsMessage.query(query.id() + 1, query.questionName(), query.questionType())
                        .reply(0, List.of(), List.of())
                        .encode();
        network.resolver.datagramReceived(1, network.lastSocket, FIRST, otherId, network);
        network.resolver.datagramReceived(1, network.lastSocket, FIRST, network.lastSent, network);
        network.resolver.datagramReceived(1, network.lastSocket, FIRST, new byte[] {1}, network);
        assertThat(network.resolver.outstandingCount()).isEqualTo(1);
        network.resolver.datagramReceived(2, network.lastSocket, FIRST, forged, network);
        network.resolver.datagramReceived(2, network.lastSocket, FIRST, forged, network);
        assertThat(network.trace.toString())
                .isEqualTo("0 ms  asks s1\n0 ms  8190123: Ported[routing=81410001, life=300]\n");
        assertThat(network.resolver.counters().toString())
                .isEqualTo("{answered=1, other-question=1, sent=1, unasked=5}");
    }

    @Test
    void failsExcessQueriesImmediately() {
        SimulatedNetwork network = new SimulatedNetwork(1);
        network.firstServer.injectFault(SimulatedDnsServer.Fault.UNRESPONSIVE, 0);
        for (int i = 0; i < 6; i++) {
            network.resolver.query(0, "x" + i, DnsMessage.NAPTR, "x" + i, network);
        }
        assertThat(network.trace.toString())
                .endsWith(
                        "x4: failed, too many outstanding queries\n"
                                + "0 ms  x5: failed, too many outstanding queries\n");
    }

    @Test
    void evaluatesNaptrExpressionsAndRoutingNumbers() throws Exception {
        StringBuilder trace = new StringBuilder();
        for (String regexp :
                List.of(
                        "!^.*$!tel:+8190;npdi;rn=+8141!",
                        "!^\\+81(.*)$!tel:+81\\1;npdi;rn=\\1!",
                        "!^(.*)$!tel:\\1;rn=4100;rn-context=+81!",
                        "!^.*$!tel:+819;npdi!",
                        "!^.*$!sip:x@y!",
                        "!^.*$!tel:+8;rn=x!",
                        "!^(.*$!tel:+1!",
                        "no",
                        "!!!",
                        "!^.*$!tel:\\9!")) {
            DnsMessage query = DnsMessage.query(1, "n", DnsMessage.NAPTR);
            DnsMessage response =
                    DnsMessage.decode(
                            query.reply(
                                            0,
                                            List.of(
                                                    new DnsMessage.ResourceRecord(
                                                            "n",
                                                            DnsMessage.NAPTR,
                                                            60,
                                                            new NaptrRecord(
                                                                            1,
                                                                            1,
                                                                            "u",
                                                                            "E2U+pstn:tel",
                                                                            regexp,
                                                                            "")
                                                                    .encode())),
                                            List.of())
                                    .encode());
            try {
                trace.append(regexp)
                        .append("  ")
                        .append(EnumRecords.readPortability(response, "81901"))
                        .append('\n');
            } catch (MalformedDnsException e) {
                trace.append(regexp).append("  ").append(e.getMessage()).append('\n');
            }
        }
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("enum"));
    }

    /** Decoding any bytes either succeeds or throws {@link MalformedDnsException}, nothing else. */
    @Test
    void decodesOrRejectsAnyBytes() throws Exception {
        SplittableRandom random = new SplittableRandom(9);
        byte[] valid =
                SimulatedNetwork.newServer()
                        .handleQuery(
                                DnsMessage.query(
                                                7,
                                                EnumRecords.domainName("8190123", SUFFIX),
                                                DnsMessage.NAPTR)
                                        .encode(),
                                false)
                        .get(0)
                        .bytes();
        assertThat(DnsMessage.decode(valid).encode()).isEqualTo(valid);
        int rejected = 0;
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes = java.util.Arrays.copyOf(valid, random.nextInt(valid.length + 1));
            for (int j = random.nextInt(4); j > 0 && bytes.length > 0; j--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                EnumRecords.readPortability(DnsMessage.decode(bytes), "8190123");
            } catch (MalformedDnsException e) {
                rejected++;
            }
        }
        assertThat(rejected).isBetween(100_000, 199_999);
        assertThatThrownBy(() -> DnsMessage.decode(new byte[0]))
                .hasMessage("message truncated at byte 0");
    }
}
