package coralcove.rehearsal;

import coralcove.dns.SimulatedDnsServer;
import coralcove.exchange.CallerStats;
import coralcove.judge.RuleChecker;
import coralcove.judge.ScenarioListener;
import coralcove.network.LiveNetwork;
import coralcove.network.Network;
import coralcove.network.VirtualNetwork;
import coralcove.portability.PortabilityService;
import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.TransportAddress;
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

/** Runs a scenario in virtual time or live and returns its result. */
public final class ScenarioRunner {
    /** Start of virtual time; any time after the epoch would do. */
    private static final long VIRTUAL_START_MICROS = 1_000_000_000_000L;

    /** First port of the range that is searched for free ports, below the ephemeral range. */
    private static final int FIRST_PORT = 20_000;

    /** End of the range that is searched for free ports. */
    private static final int LAST_PORT = 32_000;

    /**
     * Passes captured messages to the rule checker, the meter and the file; each is parsed only
     * once.
     */
    private record CaptureObserver(RuleChecker judge, AddedDelayMeter meter, CaptureWriter file)
            implements Network.MessageObserver {
        @Override
        public void onMessage(
                long now, String node, boolean out, TransportAddress peer, byte[] bytes) {
            try {
                SipMessage message = SipParser.parse(bytes, 0, bytes.length);
                judge.read(now, node, out, peer, message);
                meter.observe(now, node, out, message);
            } catch (MalformedMessageException e) {
                judge.countMalformed();
            }
            file.onMessage(now, node, out, peer, bytes);
        }

        @Override
        public void onMessage(
                long now, String node, boolean out, TransportAddress peer, SipMessage message) {
            judge.read(now, node, out, peer, message);
            meter.observe(now, node, out, message);
        }

        @Override
        public void onStreamFailure(long now, String node, TransportAddress peer, boolean refused) {
            judge.onStreamFailure(now, node, peer, refused);
            file.onStreamFailure(now, node, peer, refused);
        }
    }

    /** Ignores all events; used in runs that are not judged. */
    private static final ScenarioListener NO_WITNESS =
            new ScenarioListener() {
                @Override
                public void routerKilled(String node) {}

                @Override
                public void coldStarted(int number, long since) {}
            };

    private ScenarioRunner() {}

    /**
     * Runs a scenario in virtual time, judged and with message texts. The capture is written to
     * {@code capture} and log lines are passed to {@code log}; both may be null.
     */
    public static ScenarioResult runVirtual(
            Scenario scenario,
            long seed,
            String policy,
            Path capture,
            VirtualNetwork.LogListener log)
            throws IOException {
        return runVirtual(scenario, seed, policy, capture, log, true, true);
    }

    /**
     * Runs a scenario in virtual time, judged or not. Without {@code text} messages are passed on
     * as objects, neither serialized nor parsed, with the same decisions at the same times. A
     * capture needs both.
     */
    public static ScenarioResult runVirtual(
            Scenario scenario,
            long seed,
            String policy,
            Path capture,
            VirtualNetwork.LogListener log,
            boolean text,
            boolean judged)
            throws IOException {
        if (capture != null && !(text && judged)) {
            throw new IllegalArgumentException("a capture needs a judged run with message texts");
        }
        RuleChecker judge = new RuleChecker(scenario.rules());
        AddedDelayMeter meter = new AddedDelayMeter();
        try (CaptureWriter file = CaptureWriter.open(capture)) {
            Map<String, Integer> zones = new HashMap<>();
            for (int i = 0; i < scenario.exchangeCount(); i++) {
                zones.put("edge-" + i, scenario.zones()[i]);
                zones.put("exchange-" + i, scenario.zones()[i]);
            }
            Network network =
                    new VirtualNetwork(
                            VIRTUAL_START_MICROS,
                            seed,
                            scenario.networkConditions(),
                            zones,
                            judged ? new CaptureObserver(judge, meter, file) : null,
                            log,
                            text);
            PortabilityService portability =
                    scenario.numberPlan() == null
                            ? null
                            : PortabilityService.virtual(
                                    network, portabilityServer(scenario, seed), seed);
            if (portability != null) {
                judge.checkNumberTables(
                        ScenarioRun.farEnds(scenario, ScenarioRun.startTime(network.now())));
            }
            ScenarioRun run =
                    new ScenarioRun(
                            scenario,
                            seed,
                            policy,
                            network,
                            FIRST_PORT,
                            judged ? judge : NO_WITNESS,
                            portability);
            CallerStats stats = run.run();
            judge.finish(network.now());
            return buildResult(
                    scenario,
                    seed,
                    policy,
                    true,
                    stats,
                    meter,
                    judge,
                    run.portabilityCounts(),
                    run.planAges(),
                    ScenarioRun.startTime(VIRTUAL_START_MICROS));
        }
    }

    /**
     * Runs a scenario live on loopback sockets. The rule checker reads the capture during the run
     * in order of time, with a small delay; the sessions of a killed router are closed at its place
     * in that order.
     */
    public static ScenarioResult runLive(Scenario scenario, long seed, String policy, Path capture)
            throws IOException {
        RuleChecker judge = new RuleChecker(scenario.rules());
        AddedDelayMeter meter = new AddedDelayMeter();
        CallerStats stats;
        long[] portabilityCounts;
        Histogram planAges;
        try (CaptureWriter file = CaptureWriter.open(capture)) {
            ReorderingBuffer buffer =
                    new ReorderingBuffer(new CaptureObserver(judge, meter, file), judge);
            LiveNetwork network = new LiveNetwork(buffer, scenario.networkConditions(), seed);
            try {
                int firstPort = firstOfFreePorts(ScenarioRun.portCount(scenario));
                if (scenario.numberPlan() != null) {
                    judge.checkNumberTables(
                            ScenarioRun.farEnds(scenario, ScenarioRun.startTime(network.now())));
                }
                try (PortabilityService portability =
                        scenario.numberPlan() == null
                                ? null
                                : PortabilityService.live(
                                        network,
                                        portabilityServer(scenario, seed),
                                        "127.0.0.1",
                                        firstPort + 2 * scenario.exchangeCount() + 1)) {
                    ScenarioRun run =
                            new ScenarioRun(
                                    scenario,
                                    seed,
                                    policy,
                                    network,
                                    firstPort,
                                    buffer,
                                    portability);
                    stats = run.run();
                    portabilityCounts = run.portabilityCounts();
                    planAges = run.planAges();
                }
            } finally {
                network.close();
                buffer.close();
            }
            judge.finish(LiveNetwork.currentTimeMicros());
            if (network.droppedInputs() > 0) {
                System.err.println(
                        "coralcove: "
                                + network.droppedInputs()
                                + " inputs were dropped at full inboxes");
            }
        }
        return buildResult(
                scenario, seed, policy, false, stats, meter, judge, portabilityCounts, planAges, 0);
    }

    /** Creates the simulated portability server of a scenario with dialled numbers. */
    private static SimulatedDnsServer portabilityServer(Scenario scenario, long seed) {
        Scenario.NumberPlan numberPlan = scenario.numberPlan();
        DialPlan dialPlan = new DialPlan(scenario.exchangeCount(), numberPlan);
        return new SimulatedDnsServer(
                PortabilityService.SUFFIX,
                dialPlan::routingNumber,
                numberPlan.recordTtl(),
                numberPlan.serverDelay(),
                new SplittableRandom(seed));
    }

    private static ScenarioResult buildResult(
            Scenario scenario,
            long seed,
            String policy,
            boolean virtual,
            CallerStats stats,
            AddedDelayMeter meter,
            RuleChecker judge,
            long[] portabilityCounts,
            Histogram planAges,
            long startTime) {
        return new ScenarioResult(
                scenario.name(),
                policy,
                seed,
                virtual,
                scenario.duration() / 1e6,
                scenario.offeredValue(),
                stats,
                meter.addedDelay,
                virtual ? 0 : processCpuTime(),
                judge.verdicts(),
                portabilityCounts,
                planAges,
                startTime,
                judge.inviteDelaysAfterDrain());
    }

    /** Returns the processor time in µs that this process has used. */
    private static long processCpuTime() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(d -> d.toNanos() / 1000)
                .orElse(0L);
    }

    /** Returns the first port of a block of {@code count} ports without listeners. */
    static int firstOfFreePorts(int count) throws IOException {
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

    /**
     * Writes a capture file in the format of {@link CaptureFormat}; without a path it writes
     * nothing.
     */
    static final class CaptureWriter implements Network.MessageObserver, AutoCloseable {
        private final BufferedWriter out;

        private CaptureWriter(BufferedWriter out) {
            this.out = out;
        }

        static CaptureWriter open(Path path) throws IOException {
            return new CaptureWriter(path == null ? null : Files.newBufferedWriter(path));
        }

        @Override
        public void onMessage(
                long now, String node, boolean sent, TransportAddress peer, byte[] bytes) {
            if (out == null) {
                return;
            }
            try {
                out.write(CaptureFormat.formatMessage(now, node, sent, peer, bytes));
                out.newLine();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void onStreamFailure(long now, String node, TransportAddress peer, boolean refused) {
            if (out == null) {
                return;
            }
            try {
                out.write(CaptureFormat.formatStreamFailure(now, node, peer, refused));
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
