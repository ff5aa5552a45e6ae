package coralcove.platform.live;

import coralcove.ExponentialPenaltyRouter;
import coralcove.config.BadConfig;
import coralcove.platform.Actions;
import coralcove.platform.ConnectionLoss;
import coralcove.platform.RouterCore;
import coralcove.platform.caller.CallerMessage;
import coralcove.platform.discovery.DiscoveryPoll;
import coralcove.platform.discovery.DiscoveryUpdate;
import coralcove.sip.SipMessage;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The session router process on the platform. Connects a {@link RouterCore} to sockets, the clock,
 * the configuration file and signals, and runs its event loop.
 */
public final class SessionRouterServer implements Actions, TcpConnections.Listener {
    /** Interval between two {@code counts} lines in the log. */
    private static final long COUNTERS_INTERVAL_MICROS = 5_000_000;

    /** Longest time spent on queued events before the timers are checked. */
    private static final long EVENT_SLICE_MICROS = 20_000;

    /** Longest time spent on routing decisions while further events wait. */
    private static final long DECISION_SLICE_MICROS = 10_000;

    /** Time allowed at shutdown for pending writes to reach peers that still read. */
    private static final int FINAL_FLUSH_MS = 1_000;

    /** Attempts to read a configuration file that may be in the middle of being written. */
    private static final int MAX_CONFIGURATION_READS = 5;

    /** Delay between two attempts to read the configuration file. */
    private static final int CONFIGURATION_RETRY_MS = 100;

    /** Difference between the Unix time and the monotonic clock at the start. */
    private static final long CLOCK_OFFSET_MICROS =
            System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

    private final Path configurationFile;
    private final JsonLog log;
    private final EventQueue events = new EventQueue(new CallerFlowControl());
    private final RouterCore core;
    private final TcpConnections connections;
    private final PeerChannel peerChannel;
    private final DiscoveryPoll discoveryPoll;
    private final Configuration configuration;
    private volatile boolean ended;
    private long maxTimerLagUs;

    private SessionRouterServer(Path file, Configuration configuration, PrintStream out)
            throws IOException {
        this.configurationFile = file;
        this.configuration = configuration;
        log = new JsonLog(configuration.name(), out);
        core =
                new RouterCore(
                        clock(),
                        configuration.settings(),
                        new ExponentialPenaltyRouter(
                                configuration.settings().routing(),
                                new SplittableRandom(configuration.seed())),
                        this);
        connections =
                new TcpConnections(
                        Math.max(1, configuration.settings().connectTimeout() / 1000),
                        configuration.descriptorShares().maxCallerConnections(),
                        SessionRouterServer::clock,
                        this);
        peerChannel =
                configuration.peerListen() == null
                        ? null
                        : new PeerChannel(
                                configuration.peerListen(),
                                configuration.peers(),
                                configuration.peerBroadcast(),
                                (peerIndex, bytes) -> {
                                    long time = clock();
                                    events.addPriority(
                                            bytes.length,
                                            () -> core.peerBroadcast(time, peerIndex, bytes));
                                });
        discoveryPoll =
                new DiscoveryPoll(
                        configuration.discoveryService(),
                        configuration.knownExchanges().lastEvent(),
                        new DiscoveryPoll.Listener() {
                            @Override
                            public void updated(DiscoveryUpdate update, long currentAtNanos) {
                                events.addPriority(
                                        0,
                                        () ->
                                                core.discoveryAnswered(
                                                        clock(), toMicros(currentAtNanos), update));
                            }

                            @Override
                            public void failed(String reason) {
                                events.addPriority(0, () -> core.discoveryFailed(clock()));
                            }
                        });
    }

    /**
     * Creates a session router from its configuration file. It opens no listening socket for
     * callers until {@link #serve} is called.
     *
     * @throws BadConfig if the file cannot be read or holds an invalid value
     */
    public static SessionRouterServer fromFile(Path file) throws BadConfig, IOException {
        return fromFile(file, System.err);
    }

    static SessionRouterServer fromFile(Path file, PrintStream out) throws BadConfig, IOException {
        return new SessionRouterServer(file, Configuration.read(file), out);
    }

    /**
     * Runs a session router as the main program until it has drained. SIGTERM starts the drain,
     * SIGHUP reloads the configuration.
     */
    public static void run(Path file) throws BadConfig, IOException, InterruptedException {
        // Installed first: without handlers a signal during the start would end the JVM.
        PendingSignals signals = new PendingSignals();
        SignalHandlers.register("TERM", signals::drain);
        SignalHandlers.register("HUP", signals::reload);
        SessionRouterServer server = fromFile(file);
        signals.attach(server::drain, server::reload);
        server.serve();
    }

    /**
     * Starts a graceful shutdown: pending sessions get their answers, then {@link #serve} returns.
     * May be called from any thread.
     */
    public void drain() {
        events.addPriority(0, () -> core.drain(clock()));
    }

    /** Returns the current time in µs since the Unix epoch, by a clock that never goes back. */
    static long clock() {
        return toMicros(System.nanoTime());
    }

    /** Converts a {@link System#nanoTime} to µs since the Unix epoch. */
    private static long toMicros(long nanoTime) {
        return CLOCK_OFFSET_MICROS + nanoTime / 1000;
    }

    /** Serves callers until a drain has completed. */
    public void serve() throws IOException, InterruptedException {
        log.start();
        core.exchangeListUpdated(clock(), configuration.knownExchanges());
        Thread pollThread = new Thread(discoveryPoll, "bulletin");
        pollThread.setDaemon(true);
        pollThread.start();
        connections.listen(configuration.listen());
        log("serving", "", configuration.listen().toString());
        runEventLoop();
        discoveryPoll.close();
        connections.awaitCallersClosed(FINAL_FLUSH_MS);
        connections.close();
        if (peerChannel != null) {
            peerChannel.close();
        }
        log("ended", "", core.counterLine());
    }

    private void runEventLoop() throws InterruptedException {
        long nextCountersAt = clock() + COUNTERS_INTERVAL_MICROS;
        while (!ended) {
            // All events that were read are processed before a set-up is decided or an INVITE is
            // written, because its caller may have left in the meantime.
            EventQueue.Event event =
                    events.next(
                            core.hasUndecided()
                                    ? 0
                                    : Math.max(
                                            0,
                                            Math.min(
                                                    COUNTERS_INTERVAL_MICROS,
                                                    core.nextTickAt() - clock())));
            long sliceStart = clock();
            while (event != null && clock() - sliceStart < EVENT_SLICE_MICROS) {
                runGuarded(event.action());
                event = events.next(0);
            }
            boolean moreEvents = event != null;
            if (moreEvents) {
                runGuarded(event.action());
            } else if (!core.hasUndecided()) {
                runGuarded(() -> core.allInputsProcessed(clock()));
            }
            long now = clock();
            if (core.nextTickAt() <= now) {
                maxTimerLagUs =
                        Math.max(
                                maxTimerLagUs,
                                core.nextTickAt() == 0 ? 0 : now - core.nextTickAt());
                runGuarded(() -> core.tick(clock()));
            }
            long decisionStart = clock();
            do {
                runGuarded(() -> core.routeNext(clock()));
            } while (moreEvents
                    && core.hasUndecided()
                    && clock() - decisionStart < DECISION_SLICE_MICROS);
            runGuarded(core::endRound);
            if (now >= nextCountersAt) {
                nextCountersAt = now + COUNTERS_INTERVAL_MICROS;
                log("counts", "", core.counterLine() + " lag-ms " + maxTimerLagUs / 1000);
                maxTimerLagUs = 0;
            }
        }
    }

    /**
     * Runs an action and logs an exception that it throws: a fault in one event must not end the
     * process with all its calls.
     */
    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            log(
                    "fault",
                    "",
                    e + " at " + (e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0]));
        }
    }

    /**
     * Reads the configuration file again and applies a changed address of the discovery service.
     * Other changes are logged and take effect at the next start. Reloads run one at a time and
     * each reads the file itself, so that of two concurrent ones the later file wins.
     */
    public synchronized void reload() {
        try {
            Configuration reloaded = readConfiguration();
            discoveryPoll.setAddress(reloaded.discoveryService());
            events.addPriority(
                    0, () -> core.exchangeListUpdated(clock(), reloaded.knownExchanges()));
            log("reloaded", "", "bulletin " + reloaded.discoveryService());
            if (!reloaded.settings().equals(configuration.settings())
                    || !reloaded.listen().equals(configuration.listen())) {
                log(
                        "reload-ignored",
                        "",
                        "settings or listen address changed: takes effect at the next start");
            }
        } catch (BadConfig | RuntimeException e) {
            log("not-reloaded", "", String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the configuration file, with retries in case it is just being written. */
    private Configuration readConfiguration() throws BadConfig, InterruptedException {
        for (int attempt = 1; ; attempt++) {
            try {
                return Configuration.read(configurationFile);
            } catch (BadConfig e) {
                if (attempt == MAX_CONFIGURATION_READS) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(CONFIGURATION_RETRY_MS);
            }
        }
    }

    // ---- events from the sockets

    @Override
    public void callerOpened(long callerId) {
        long time = clock();
        events.addFromCaller(callerId, 0, () -> core.callerOpened(time, callerId));
    }

    @Override
    public void callerRead(long callerId, long time, byte[] bytes) {
        events.addFromCaller(callerId, bytes.length, () -> core.callerRead(time, callerId, bytes));
    }

    @Override
    public void callerClosed(long callerId) {
        long time = clock();
        events.addClosedByCaller(callerId, () -> core.callerClosed(time, callerId));
    }

    @Override
    public void callerLimitNear() {
        events.addForCallers(() -> core.connectionLimitReached(clock()));
    }

    @Override
    public void exchangeConnected(long connectionId) {
        long time = clock();
        events.addPriority(0, () -> core.exchangeConnectionUp(time, connectionId));
    }

    @Override
    public void exchangeRead(long connectionId, long time, byte[] bytes) {
        events.addPriority(bytes.length, () -> core.exchangeRead(time, connectionId, bytes));
    }

    @Override
    public void exchangeDisconnected(long connectionId, ConnectionLoss cause) {
        long time = clock();
        events.addPriority(0, () -> core.exchangeConnectionDown(time, connectionId, cause));
    }

    /** Holds back callers' connections that send faster than they are processed. */
    private final class CallerFlowControl implements EventQueue.FlowControl {
        @Override
        public void suspend(long callerId) {
            connections.suspendReading(callerId);
        }

        @Override
        public void resume(long callerId) {
            connections.resumeReading(callerId);
        }
    }

    // ---- actions of the core

    @Override
    public boolean hasQueuedInput(long callerId) {
        return events.hasEventsOf(callerId);
    }

    @Override
    public void sendToCaller(long callerId, CallerMessage message) {
        connections.sendToCaller(callerId, message.encode());
    }

    @Override
    public void closeCaller(long callerId) {
        connections.closeCaller(callerId);
    }

    @Override
    public void connectToExchange(long connectionId, String address) {
        int colon = address.lastIndexOf(':');
        connections.connectToExchange(
                connectionId,
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))));
    }

    @Override
    public void sendToExchange(long connectionId, SipMessage message) {
        connections.sendToExchange(connectionId, message.encode());
    }

    @Override
    public void closeExchangeConnection(long connectionId) {
        connections.closeExchange(connectionId);
    }

    @Override
    public void sendToPeers(byte[] body) {
        if (peerChannel != null) {
            peerChannel.send(body);
        }
    }

    @Override
    public void log(String event, String session, String detail) {
        log.log(clock(), event, session, detail);
    }

    @Override
    public void stopAccepting() {
        connections.stopAccepting();
    }

    @Override
    public void exit() {
        ended = true;
    }
}
