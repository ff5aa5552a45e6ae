package coralcove.rehearsal;

import coralcove.exchange.Stats;
import coralcove.judge.Judge;
import coralcove.network.LiveNetwork;
import coralcove.network.Network;
import coralcove.network.VirtualNetwork;
import coralcove.sip.Hop;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Runs one rehearsal from a day to its result, in virtual time or live. */
public final class Rehearse {
    /** µs: where virtual time starts; any moment after the epoch does. */
    private static final long VIRTUAL_START = 1_000_000_000_000L;
    /** Where a block of free ports is looked for: below the ephemeral range. */
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;

    /** One captured message, as the live taps note it. */
    private record Seen(long at, long order, String node, boolean out, Hop peer, byte[] bytes, boolean refused) {
        void tell(Network.Tap tap) {
            if (bytes == null) {
                tap.broken(at, node, peer, refused);
            } else {
                tap.message(at, node, out, peer, bytes);
            }
        }
    }

    /** All that listen to one capture. */
    private record Taps(Network.Tap... taps) implements Network.Tap {
        @Override
        public void message(long now, String node, boolean out, Hop peer, byte[] bytes) {
            for (Network.Tap tap : taps) {
                tap.message(now, node, out, peer, bytes);
            }
        }

        @Override
        public void broken(long now, String node, Hop peer, boolean refused) {
            for (Network.Tap tap : taps) {
                tap.broken(now, node, peer, refused);
            }
        }
    }

    private Rehearse() {}

    /** In virtual time; {@code capture} may be null. */
    public static Result virtual(Day day, long seed, String policy, Path capture, VirtualNetwork.Log log)
            throws IOException {
        Judge judge = new Judge(day.rules());
        Meter meter = new Meter();
        try (Capture file = Capture.to(capture)) {
            Map<String, Integer> zones = new HashMap<>();
            for (int i = 0; i < day.exchanges(); i++) {
                zones.put("edge-" + i, day.zones()[i]);
                zones.put("exchange-" + i, day.zones()[i]);
            }
            Network network = new VirtualNetwork(VIRTUAL_START, seed, day.weather(), zones,
                    new Taps(judge, meter, file), log);
            Stats stats = new Rehearsal(day, seed, policy, network, FIRST_PORT, judge).play();
            return result(day, seed, policy, true, stats, meter, judge);
        }
    }

    /**
     * Live on loopback sockets. The judge reads the capture in order of time when the day is over; what a killed
     * router held is closed at its place in that order.
     */
    public static Result live(Day day, long seed, String policy, Path capture) throws IOException {
        List<Seen> seen = new ArrayList<>();
        List<Runnable> marks = new ArrayList<>();
        List<Long> markTimes = new ArrayList<>();
        Judge judge = new Judge(day.rules());
        Judge late = new Judge(day.rules()) {
            @Override
            public void killed(String node) {
                markTimes.add(LiveNetwork.clock());
                marks.add(() -> judge.killed(node));
            }

            @Override
            public void started(int number, long since) {
                markTimes.add(since);
                marks.add(() -> judge.started(number, since));
            }
        };
        Network.Tap tap = new Network.Tap() {
            @Override
            public void message(long now, String node, boolean out, Hop peer, byte[] bytes) {
                synchronized (seen) {
                    seen.add(new Seen(now, seen.size(), node, out, peer, bytes, false));
                }
            }

            @Override
            public void broken(long now, String node, Hop peer, boolean refused) {
                synchronized (seen) {
                    seen.add(new Seen(now, seen.size(), node, false, peer, null, refused));
                }
            }
        };
        Stats stats;
        long end;
        try (LiveNetwork network = new LiveNetwork(tap)) {
            stats = new Rehearsal(day, seed, policy, network, freePorts(Rehearsal.ports(day)), late).play();
            end = network.now();
        }
        Meter meter = new Meter();
        try (Capture file = Capture.to(capture)) {
            synchronized (seen) {
                seen.sort(Comparator.comparingLong(Seen::at).thenComparingLong(Seen::order));
                Network.Tap taps = new Taps(judge, meter, file);
                int mark = 0;
                for (Seen each : seen) {
                    while (mark < marks.size() && markTimes.get(mark) <= each.at) {
                        marks.get(mark++).run();
                    }
                    each.tell(taps);
                }
            }
        }
        judge.end(end);
        return result(day, seed, policy, false, stats, meter, judge);
    }

    private static Result result(Day day, long seed, String policy, boolean virtual, Stats stats, Meter meter,
            Judge judge) {
        return new Result(day.name(), policy, seed, virtual, day.length() / 1e6, day.offered(), stats, meter.added,
                judge.verdicts());
    }

    /** The first port of a block on which nothing listens. */
    static int freePorts(int count) throws IOException {
        for (int first = FIRST_PORT; first + count < LAST_PORT; first += count) {
            boolean free = true;
            for (int port = first; free && port < first + count; port++) {
                try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                        DatagramSocket udp = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                    free = tcp.isBound() && udp.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException("no " + count + " free ports in a row between " + FIRST_PORT + " and " + LAST_PORT);
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
