package coralcove.network;

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
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Cores on real sockets: one thread a node owns its core; MINA's threads hand it what they read. */
public final class LiveNetwork implements Network, AutoCloseable {
    /** Inputs waiting for one node at most; past it what is read is dropped and counted, as a full socket would. */
    private static final int MOST_WAITING = 100_000;
    /** µs: the longest nap of a node's thread without a timer. */
    private static final long LONGEST_NAP = 100_000;
    /** Inputs taken between two looks at the timers. */
    private static final int BATCH = 64;

    private static final long STARTED = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

    private record Later(long at, long order, Runnable act) {}

    private final class Node implements Out, Sockets.Listener, Runnable {
        final String name;
        final Core core;
        final boolean tapped;
        final Sockets sockets;
        final Logger log;
        final ArrayBlockingQueue<Act> inbox = new ArrayBlockingQueue<>(MOST_WAITING);
        final Thread thread;
        volatile boolean alive = true;
        volatile long dropped;

        Node(String name, Hop self, Core core, boolean tapped) throws IOException {
            this.name = name;
            this.core = core;
            this.tapped = tapped;
            log = LoggerFactory.getLogger(name);
            sockets = new Sockets(self, this);
            thread = new Thread(this, name);
        }

        @Override
        public void run() {
            core.start(now(), this);
            java.util.ArrayList<Act> batch = new java.util.ArrayList<>(BATCH);
            while (alive) {
                try {
                    long nap = Math.max(0, Math.min(LONGEST_NAP, core.due() - now()));
                    Act first = nap == 0 ? inbox.poll() : inbox.poll(nap, TimeUnit.MICROSECONDS);
                    if (first != null) {
                        batch.add(first);
                        inbox.drainTo(batch, BATCH - 1);
                        for (Act act : batch) {
                            if (alive) {
                                act.run(now(), this);
                            }
                        }
                        batch.clear();
                    }
                    if (alive && core.due() <= now()) {
                        core.tick(now(), this);
                    }
                } catch (InterruptedException e) {
                    return;
                } catch (RuntimeException e) {
                    batch.clear();
                    log.error("fault", e);
                }
            }
        }

        private void hand(Act act) {
            if (!inbox.offer(act)) {
                dropped++;
            }
        }

        @Override
        public void read(Hop from, byte[] bytes) {
            long at = now();
            if (tapped && tap != null && alive) {
                tap.message(at, name, false, from, bytes);
            }
            hand((now, out) -> {
                try {
                    core.receive(now, from, SipParser.parse(bytes, 0, bytes.length), out);
                } catch (BadMessage e) {
                    core.malformed(now, from, e, out);
                }
            });
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
            sockets.send(to, bytes);
        }

        @Override
        public void log(String event, String session, String detail) {
            if (log.isInfoEnabled()) {
                log.atInfo().addKeyValue("session", session).addKeyValue("detail", detail).log(event);
            }
        }

        void end() {
            alive = false;
            thread.interrupt();
            sockets.close();
        }
    }

    private final Tap tap;
    private final Map<String, Node> nodes = new ConcurrentHashMap<>();
    private final PriorityQueue<Later> later = new PriorityQueue<>((a, b) -> a.at != b.at
            ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long order;

    /** {@code tap} hears on many threads, and may be null. */
    public LiveNetwork(Tap tap) {
        this.tap = tap;
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

    /** Inputs that were dropped at full inboxes. */
    public long dropped() {
        return nodes.values().stream().mapToLong(n -> n.dropped).sum();
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
