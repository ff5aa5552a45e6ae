package coralcove.rehearsal;

import coralcove.dns.DnsStandIn;
import coralcove.exchange.Stats;
import coralcove.judge.Judge;
import coralcove.judge.Witness;
import coralcove.network.LiveNetwork;
import coralcove.network.Network;
import coralcove.network.VirtualNetwork;
import coralcove.portability.Portability;
import coralcove.sip.BadMessage;
import coralcove.sip.Hop;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/** Runs one rehearsal from a day to its result, in virtual time or live. */
public final class Rehearse {
    /** µs: where virtual time starts; any moment after the epoch does. */
    private static final long VIRTUAL_START = 1_000_000_000_000L;

    /** Where a block of free ports is looked for: below the ephemeral range. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 32_000;

    /** All that listen to one capture; each message is read once for all of them. */
    private record Audience(Judge judge, Meter meter, Capture file) implements Network.Tap {
        @Override
        public void message(long now, String node, boolean out, Hop peer, byte[] bytes) {
            try {
                SipMessage message = SipParser.parse(bytes, 0, bytes.length);
                judge.read(now, node, out, peer, message);
                meter.read(now, node, out, message);
            } catch (BadMessage e) {
                judge.unreadable();
            }
            file.message(now, node, out, peer, bytes);
        }

        @Override
        public void message(long now, String node, boolean out, Hop peer, SipMessage message) {
            judge.read(now, node, out, peer, message);
            meter.read(now, node, out, message);
        }

        @Override
        public void broken(long now, String node, Hop peer, boolean refused) {
            judge.broken(now, node, peer, refused);
            file.broken(now, node, peer, refused);
        }
    }

    /** Nobody judges. */
    private static final Witness NOBODY =
            new Witness() {
                @Override
                public void killed(String node) {}

                @Override
                public void started(int number, long since) {}
            };

    private Rehearse() {}

    /** In virtual time; {@code capture} may be null. */
    public static Result virtual(
            Day day, long seed, String policy, Path capture, VirtualNetwork.Log log)
            throws IOException {
        return virtual(day, seed, policy, capture, log, true, true);
    }

    /**
     * In virtual time, {@code judged} or not; without {@code text} messages cross unwritten and
     * unread, with the same decisions at the same moments. A capture needs the text.
     */
    public static Result virtual(
            Day day,
            long seed,
            String policy,
            Path capture,
            VirtualNetwork.Log log,
            boolean text,
            boolean judged)
            throws IOException {
        if (capture != null && !(text && judged)) {
            throw new IllegalArgumentException("a capture needs the messages' text");
        }
        Judge judge = new Judge(day.rules());
        Meter meter = new Meter();
        try (Capture file = Capture.to(capture)) {
            Map<String, Integer> zones = new HashMap<>();
            for (int i = 0; i < day.exchanges(); i++) {
                zones.put("edge-" + i, day.zones()[i]);
                zones.put("exchange-" + i, day.zones()[i]);
            }
            Network network =
                    new VirtualNetwork(
                            VIRTUAL_START,
                            seed,
                            day.weather(),
                            zones,
                            judged ? new Audience(judge, meter, file) : null,
                            log,
                            text);
            Portability portability =
                    day.numbers() == null
                            ? null
                            : Portability.virtual(network, server(day, seed), seed);
            if (portability != null) {
                judge.numbers(Rehearsal.farEnds(day, Rehearsal.zero(network.now())));
            }
            Rehearsal played =
                    new Rehearsal(
                            day,
                            seed,
                            policy,
                            network,
                            FIRST_PORT,
                            judged ? judge : NOBODY,
                            portability);
            Stats stats = played.play();
            judge.end(network.now());
            return result(
                    day,
                    seed,
                    policy,
                    true,
                    stats,
                    meter,
                    judge,
                    played.numbers(),
                    played.planAges(),
                    Rehearsal.zero(VIRTUAL_START));
        }
    }

    /**
     * Live on loopback sockets. The judge reads the capture while the day runs, in order of time
     * and a little behind it; what a killed router held is closed at its place in that order.
     */
    public static Result live(Day day, long seed, String policy, Path capture) throws IOException {
        Judge judge = new Judge(day.rules());
        Meter meter = new Meter();
        Stats stats;
        long[] numbers;
        Histogram ages;
        try (Capture file = Capture.to(capture)) {
            InOrder order = new InOrder(new Audience(judge, meter, file), judge);
            LiveNetwork network = new LiveNetwork(order, day.weather(), seed);
            try {
                int first = freePorts(Rehearsal.ports(day));
                if (day.numbers() != null) {
                    judge.numbers(Rehearsal.farEnds(day, Rehearsal.zero(network.now())));
                }
                try (Portability portability =
                        day.numbers() == null
                                ? null
                                : Portability.live(
                                        network,
                                        server(day, seed),
                                        "127.0.0.1",
                                        first + 2 * day.exchanges() + 1)) {
                    Rehearsal played =
                            new Rehearsal(day, seed, policy, network, first, order, portability);
                    stats = played.play();
                    numbers = played.numbers();
                    ages = played.planAges();
                }
            } finally {
                network.close();
                order.close();
            }
            judge.end(LiveNetwork.clock());
            if (network.dropped() > 0) {
                System.err.println(
                        "coralcove: " + network.dropped() + " inputs were dropped at full inboxes");
            }
        }
        return result(day, seed, policy, false, stats, meter, judge, numbers, ages, 0);
    }

    private static DnsStandIn server(Day day, long seed) {
        Day.Numbers numbers = day.numbers();
        DialPlan plan = new DialPlan(day.exchanges(), numbers);
        return new DnsStandIn(
                Portability.SUFFIX,
                plan::routing,
                numbers.life(),
                numbers.serverDelay(),
                new SplittableRandom(seed));
    }

    private static Result result(
            Day day,
            long seed,
            String policy,
            boolean virtual,
            Stats stats,
            Meter meter,
            Judge judge,
            long[] numbers,
            Histogram ages,
            long zero) {
        return new Result(
                day.name(),
                policy,
                seed,
                virtual,
                day.length() / 1e6,
                day.offered(),
                stats,
                meter.added,
                virtual ? 0 : cpu(),
                judge.verdicts(),
                numbers,
                ages,
                zero,
                judge.lastSent());
    }

    /** µs of processor time that this process has used. */
    private static long cpu() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(d -> d.toNanos() / 1000)
                .orElse(0L);
    }

    /** The first port of a block on which nothing listens. */
    static int freePorts(int count) throws IOException {
        for (int first = FIRST_PORT; first + count < LAST_PORT; first += count) {
            boolean free = true;
            for (int port = first; free && port < first + count; port++) {
                try (ServerSocket tcp =
                                new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                        DatagramSocket udp =
                                new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                    free = tcp.isBound() && udp.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException(
                "no " + count + " free ports in a row between " + FIRST_PORT + " and " + LAST_PORT);
    }

    /** JSON lines: one captured message each; without a path it writes nothing. */
    static final class Capture implements Network.Tap, AutoCloseable {
        private final BufferedWriter out;

        private Capture(BufferedWriter out) {
            this.out = out;
        }

        static Capture to(Path path) throws IOException {
            return new Capture(path == null ? null : Files.newBufferedWriter(path));
        }

        @Override
        public void message(long now, String node, boolean written, Hop peer, byte[] bytes) {
            if (out == null) {
                return;
            }
            try {
                out.write(CaptureLine.write(now, node, written, peer, bytes));
                out.newLine();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void broken(long now, String node, Hop peer, boolean refused) {
            if (out == null) {
                return;
            }
            try {
                out.write(CaptureLine.broken(now, node, peer, refused));
                out.newLine();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void close() throws IOException {
            if (out != null) {
                out.close();
            }
        }
    }
}
