package coralcove.platform.live;

import coralcove.Choice;
import coralcove.config.BadConfig;
import coralcove.platform.Actions;
import coralcove.platform.Down;
import coralcove.platform.RouterCore;
import coralcove.platform.bulletin.Bulletin;
import coralcove.platform.bulletin.BulletinPoll;
import coralcove.platform.caller.CallerMessage;
import coralcove.sip.SipMessage;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One session router of the platform: sockets, clock, configuration and signals round a {@link
 * RouterCore}.
 */
public final class Serve implements Actions, Streams.Listener {
    /** µs between two lines of counts in the log. */
    private static final long COUNTS = 5_000_000;

    /**
     * µs for which inputs are taken between two looks at the timers, and set-ups decided while more
     * inputs wait.
     */
    private static final long INTAKE = 20_000;

    private static final long DECIDING = 10_000;

    /** Milliseconds in which what was written last goes out, to peers that read. */
    private static final int LAST_WRITES = 1_000;

    /** Tries to read a configuration that is being written, and milliseconds between them. */
    private static final int READS = 5;

    private static final int READ_AGAIN = 100;
    private static final long STARTED =
            System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

    private final Path file;
    private final LogLines log;
    private final Inputs inputs = new Inputs();
    private final RouterCore core;
    private final Streams streams;
    private final Peers peers;
    private final BulletinPoll poll;
    private final Configuration configuration;
    private volatile boolean over;
    private long lag;

    private Serve(Path file, Configuration configuration, PrintStream out) throws IOException {
        this.file = file;
        this.configuration = configuration;
        log = new LogLines(configuration.name(), out);
        core =
                new RouterCore(
                        clock(),
                        configuration.settings(),
                        new Choice(
                                configuration.settings().module(),
                                new SplittableRandom(configuration.seed())),
                        this);
        streams =
                new Streams(
                        Math.max(1, configuration.settings().connectTimeout() / 1000),
                        configuration.room().callers(),
                        Serve::clock,
                        this);
        peers =
                configuration.peerListen() == null
                        ? null
                        : new Peers(
                                configuration.peerListen(),
                                configuration.peers(),
                                configuration.peersAll(),
                                (rank, bytes) -> {
                                    long stamp = clock();
                                    inputs.first(bytes.length, () -> core.peer(stamp, rank, bytes));
                                });
        poll =
                new BulletinPoll(
                        configuration.bulletin(),
                        configuration.known().last(),
                        new BulletinPoll.Listener() {
                            @Override
                            public void told(Bulletin bulletin) {
                                inputs.first(0, () -> core.bulletinAnswered(clock(), bulletin));
                            }

                            @Override
                            public void failed(String reason) {
                                inputs.first(0, () -> core.bulletinLost(clock()));
                            }
                        });
    }

    /** A router by this configuration, which serves once {@link #serve} is called. */
    public static Serve of(Path file) throws BadConfig, IOException {
        return of(file, System.err);
    }

    static Serve of(Path file, PrintStream out) throws BadConfig, IOException {
        return new Serve(file, Configuration.read(file), out);
    }

    /** As a program: SIGTERM drains it, SIGHUP has the configuration read again. */
    public static void run(Path file) throws BadConfig, IOException, InterruptedException {
        // Before anything else: a signal during the start would end the program, or be lost.
        EarlySignals early = new EarlySignals();
        Signals.on("TERM", early::drain);
        Signals.on("HUP", early::reload);
        Serve serve = of(file);
        early.to(serve::drain, serve::reload);
        serve.serve();
    }

    /** What is owed is answered, then {@link #serve} returns. */
    public void drain() {
        inputs.first(0, () -> core.drain(clock()));
    }

    /** µs since the epoch, by a clock that never goes back. */
    static long clock() {
        return STARTED + System.nanoTime() / 1000;
    }

    /** Serves until it is drained and nothing is owed any more. */
    public void serve() throws IOException, InterruptedException {
        log.start();
        core.bulletin(clock(), configuration.known());
        Thread thread = new Thread(poll, "bulletin");
        thread.setDaemon(true);
        thread.start();
        streams.listen(configuration.listen());
        log("serving", "", configuration.listen().toString());
        loop();
        poll.close();
        streams.flush(LAST_WRITES);
        streams.close();
        if (peers != null) {
            peers.close();
        }
        log("ended", "", core.counts());
    }

    private void loop() throws InterruptedException {
        long countsAt = clock() + COUNTS;
        while (!over) {
            // Whatever was read is looked at before a set-up is decided or an INVITE written: its
            // caller may have left since.
            Inputs.Input input =
                    inputs.next(
                            core.undecided()
                                    ? 0
                                    : Math.max(0, Math.min(COUNTS, core.due() - clock())));
            long begun = clock();
            while (input != null && clock() - begun < INTAKE) {
                guarded(input.act());
                input = inputs.next(0);
            }
            boolean more = input != null;
            if (more) {
                guarded(input.act());
            } else if (!core.undecided()) {
                guarded(() -> core.caughtUp(clock()));
            }
            long now = clock();
            if (core.due() <= now) {
                lag = Math.max(lag, core.due() == 0 ? 0 : now - core.due());
                guarded(() -> core.tick(clock()));
            }
            long deciding = clock();
            do {
                guarded(() -> core.decide(clock()));
            } while (more && core.undecided() && clock() - deciding < DECIDING);
            guarded(core::rest);
            if (now >= countsAt) {
                countsAt = now + COUNTS;
                log("counts", "", core.counts() + " lag-ms " + lag / 1000);
                lag = 0;
            }
        }
    }

    /** A fault in one input must not end the program with all its calls. */
    private void guarded(Runnable act) {
        try {
            act.run();
        } catch (RuntimeException e) {
            log(
                    "fault",
                    "",
                    e + " at " + (e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0]));
        }
    }

    /**
     * SIGHUP: the bulletin may have moved; nothing else is taken from the file while the router
     * runs, and what else it changes is logged. One at a time, each reading the file anew, so that
     * of two the later file stays.
     */
    public synchronized void reload() {
        try {
            Configuration fresh = whole();
            poll.address(fresh.bulletin());
            inputs.first(0, () -> core.bulletin(clock(), fresh.known()));
            log("reloaded", "", "bulletin " + fresh.bulletin());
            if (!fresh.settings().equals(configuration.settings())
                    || !fresh.listen().equals(configuration.listen())) {
                log(
                        "reload-ignored",
                        "",
                        "settings or listen have changed: they count from the next start");
            }
        } catch (BadConfig | RuntimeException e) {
            log("not-reloaded", "", String.valueOf(e.getMessage()));
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    /** The file may be read while it is written. */
    private Configuration whole() throws BadConfig, InterruptedException {
        for (int reads = 1; ; reads++) {
            try {
                return Configuration.read(file);
            } catch (BadConfig e) {
                if (reads == READS) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(READ_AGAIN);
            }
        }
    }

    // ---- from the sockets

    @Override
    public void opened(long caller) {
        long stamp = clock();
        inputs.caller(0, () -> core.callerOpened(stamp, caller));
    }

    @Override
    public void read(long caller, long stamp, byte[] bytes) {
        inputs.caller(bytes.length, () -> core.callerRead(stamp, caller, bytes));
    }

    @Override
    public void closed(long caller) {
        long stamp = clock();
        inputs.caller(0, () -> core.callerClosed(stamp, caller));
    }

    @Override
    public void crowded() {
        // Behind all that was read before: no set-up among it goes down with its connection.
        inputs.caller(0, () -> core.crowded(clock()));
    }

    @Override
    public void legUp(long leg) {
        long stamp = clock();
        inputs.first(0, () -> core.legUp(stamp, leg));
    }

    @Override
    public void legRead(long leg, long stamp, byte[] bytes) {
        inputs.first(bytes.length, () -> core.legRead(stamp, leg, bytes));
    }

    @Override
    public void legDown(long leg, Down how) {
        long stamp = clock();
        inputs.first(0, () -> core.legDown(stamp, leg, how));
    }

    // ---- from the core

    @Override
    public void toCaller(long caller, CallerMessage message) {
        streams.toCaller(caller, message.bytes());
    }

    @Override
    public void closeCaller(long caller) {
        streams.closeCaller(caller);
    }

    @Override
    public void connect(long leg, String address) {
        int colon = address.lastIndexOf(':');
        streams.connect(
                leg,
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))));
    }

    @Override
    public void toLeg(long leg, SipMessage message) {
        streams.toLeg(leg, message.bytes());
    }

    @Override
    public void closeLeg(long leg) {
        streams.closeLeg(leg);
    }

    @Override
    public void toPeers(byte[] body) {
        if (peers != null) {
            peers.send(body);
        }
    }

    @Override
    public void log(String event, String session, String detail) {
        log.line(clock(), event, session, detail);
    }

    @Override
    public void deaf() {
        streams.deaf();
    }

    @Override
    public void end() {
        over = true;
    }
}
