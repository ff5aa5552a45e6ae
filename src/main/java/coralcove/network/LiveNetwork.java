package coralcove.network;

import coralcove.network.VirtualNetwork.Weather;
import coralcove.overload.Gate;
import coralcove.sip.BadMessage;
import coralcove.sip.Core;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.transport.Sockets;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cores on real sockets: one thread a node owns its core; MINA's threads hand it what they read.
 */
public final class LiveNetwork implements Network, AutoCloseable {
    /** µs: the longest nap of a node's thread without a timer. */
    private static final long LONGEST_NAP = 100_000;

    /** Inputs taken between two looks at the timers. */
    private static final int BATCH = 64;

    /**
     * Answers taken before the timers at most, so that a flood of them puts no timer off for long.
     */
    private static final int ANSWERS = 5000;

    private static final long STARTED =
            System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

    private record Later(long at, long order, Runnable act) {}

    private final class Node implements Out, Sockets.Listener, Runnable {
        final String name;
        final Core core;
        final boolean tapped;
        final Sockets sockets;
        final Logger log;
        final RandomGenerator chance;
        final Inbox inbox = new Inbox();
        final Thread thread;
        volatile boolean alive = true;

        Node(String name, Hop self, Core core, boolean tapped) throws IOException {
            this.name = name;
            this.core = core;
            this.tapped = tapped;
            log = LoggerFactory.getLogger(name);
            chance = new SplittableRandom(seed * 31 + name.hashCode());
            sockets = new Sockets(self, this);
            thread = new Thread(this, name);
        }

        @Override
        public void run() {
            core.start(now(), this);
            int looked = 0;
            while (alive) {
                try {
                    long nap = Math.max(0, Math.min(LONGEST_NAP, core.due() - now()));
                    Inbox.Input input = inbox.next(nap);
                    if (input != null) {
                        look(input);
                    }
                    if (alive && (input == null || ++looked >= BATCH) && core.due() <= now()) {
                        looked = 0;
                        settle();
                        core.tick(now(), this);
                    }
                } catch (InterruptedException e) {
                    return;
                } catch (RuntimeException e) {
                    log.error("fault", e);
                }
            }
        }

        /**
         * An INVITE whose answer lay in the inbox was sent again when its timer was looked at
         * first.
         */
        private void settle() {
            for (int i = 0; i < ANSWERS && alive; i++) {
                Inbox.Input answer = inbox.answer();
                if (answer == null) {
                    return;
                }
                look(answer);
            }
        }

        private void look(Inbox.Input input) {
            long now = now();
            if (input.act() != null) {
                input.act().run(now, this);
                return;
            }
            try {
                SipMessage message = SipParser.parse(input.bytes(), 0, input.bytes().length);
                boolean setUp = message.method().equals("INVITE") && message.toTag().isEmpty();
                if (setUp
                        && inbox.look(now, input, core.repeat(message)) == Gate.Verdict.TURN_AWAY) {
                    core.turnAway(now, input.from(), message, inbox.comeBack(), this);
                } else {
                    core.receive(now, input.from(), message, this);
                }
            } catch (BadMessage e) {
                core.malformed(now, input.from(), e, this);
            }
        }

        private void hand(Act act) {
            inbox.act(act, now());
        }

        @Override
        public void read(Hop from, byte[] bytes) {
            long at = now();
            if (tapped && tap != null && alive) {
                tap.message(at, name, false, from, bytes);
            }
            inbox.read(from, bytes, at);
        }

        @Override
        public void broken(Hop peer, boolean refused) {
            if (tapped && tap != null && alive) {
                tap.broken(now(), name, peer, refused);
            }
            hand((now, out) -> core.broken(now, peer, refused, out));
        }

        @Override
        public void cutOff(Hop peer, String reason) {
            log("cut-off", "", peer + ": " + reason);
        }

        @Override
        public void send(Hop to, SipMessage message) {
            if (!alive) {
                return;
            }
            byte[] bytes = message.bytes();
            if (tapped && tap != null) {
                tap.message(now(), name, true, to, bytes);
            }
            String target = names.get(to.port());
            if (target != null && cuts.between(name, target)) {
                return;
            }
            if (!to.tcp()) {
                double drawn = chance.nextDouble();
                if (drawn >= weather.loss()) {
                    sockets.send(to, bytes);
                    if (drawn > 1 - weather.doubled()) {
                        sockets.send(to, bytes);
                    }
                }
            } else {
                sockets.send(to, bytes);
                if (weather.reset() > 0 && chance.nextDouble() < weather.reset()) {
                    sockets.cut(to);
                }
            }
        }

        @Override
        public void log(String event, String session, String detail) {
            if (log.isInfoEnabled()) {
                log.atInfo()
                        .addKeyValue("session", session)
                        .addKeyValue("detail", detail)
                        .log(event);
            }
        }

        void end() {
            alive = false;
            thread.interrupt();
            sockets.close();
        }
    }

    private final Tap tap;
    private final Weather weather;
    private final long seed;
    private final Map<String, Node> nodes = new ConcurrentHashMap<>();
    private final Map<Integer, String> names = new ConcurrentHashMap<>();
    private final Cuts cuts = new Cuts();
    private final PriorityQueue<Later> later =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private long order;

    /** {@code tap} hears on many threads, and may be null. */
    public LiveNetwork(Tap tap) {
        this(tap, Weather.FAIR, 1);
    }

    /**
     * The same with datagrams lost and doubled, and streams cut, as {@code weather} has it; its
     * delays are not used.
     */
    public LiveNetwork(Tap tap, Weather weather, long seed) {
        this.tap = tap;
        this.weather = weather;
        this.seed = seed;
    }

    /** µs since the epoch, by a clock that never goes back. */
    public static long clock() {
        return STARTED + System.nanoTime() / 1000;
    }

    @Override
    public long now() {
        return clock();
    }

    @Override
    public void add(String name, Hop self, Core core, boolean tapped) {
        try {
            Node node = new Node(name, self, core, tapped);
            nodes.put(name, node);
            names.put(self.port(), name);
            node.thread.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void kill(String name) {
        Node node = nodes.remove(name);
        if (node != null) {
            node.end();
        }
    }

    @Override
    public void on(String name, Act act) {
        Node node = nodes.get(name);
        if (node != null) {
            node.hand(act);
        }
    }

    @Override
    public void cut(String one, String other, boolean off) {
        cuts.set(one, other, off);
    }

    /** Inputs that were dropped at full inboxes. */
    public long dropped() {
        return nodes.values().stream().mapToLong(n -> n.inbox.dropped()).sum();
    }

    @Override
    public void at(long time, Runnable act) {
        later.add(new Later(time, order++, act));
    }

    @Override
    public void run(long end) {
        while (now() < end) {
            while (!later.isEmpty() && later.peek().at <= now()) {
                later.poll().act.run();
            }
            long next = Math.min(end, later.isEmpty() ? end : later.peek().at);
            try {
                TimeUnit.MICROSECONDS.sleep(Math.max(0, Math.min(50_000, next - now())));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public void close() {
        nodes.keySet().forEach(this::kill);
    }
}
