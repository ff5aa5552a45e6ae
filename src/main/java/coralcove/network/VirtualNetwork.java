package coralcove.network;

import coralcove.sip.BadMessage;
import coralcove.sip.Core;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * A seeded network in virtual time: datagrams are delayed, lost, doubled and put out of order;
 * streams keep their order and break. Messages cross it as bytes, so that the whole path is run, or
 * by a shortcut as they are, with the same actions at the same moments. Equal seeds give equal
 * runs.
 */
public final class VirtualNetwork implements Network {
    /**
     * How the network treats messages: delays in µs one way, shares of datagrams, breaks per stream
     * message.
     */
    public record Weather(
            long near,
            long same,
            long cross,
            double jitter,
            double loss,
            double doubled,
            double late,
            double reset) {
        public static final Weather FAIR = new Weather(100, 1000, 3000, 0.1, 0, 0, 0, 0);
    }

    /** µs: how much later a datagram is that is put out of order, at most. */
    private static final long LATE_MOST = 50_000;

    /**
     * Messages in flight at most: past this datagrams are lost, as queues in a real network
     * overflow.
     */
    private static final int MOST = 2_000_000;

    private final class Node implements Out {
        final String name;
        final Hop self;
        final Core core;
        final boolean tapped;
        final int zone;
        final String site;
        boolean alive = true;
        long wake = Long.MAX_VALUE;

        Node(String name, Hop self, Core core, boolean tapped, int zone) {
            this.name = name;
            this.self = self;
            this.core = core;
            this.tapped = tapped;
            this.zone = zone;
            site = name.substring(name.indexOf('-') + 1);
        }

        @Override
        public void send(Hop to, SipMessage message) {
            Parcel parcel =
                    text ? new Parcel(message.bytes(), null) : new Parcel(null, message.copy());
            if (tapped && tap != null) {
                tell(name, true, to, parcel);
            }
            carry(this, to, parcel);
        }

        @Override
        public void log(String event, String session, String detail) {
            if (log != null) {
                log.line(now, name, event, session, detail);
            }
        }
    }

    /** A message on its way: its text, or the message itself. */
    private record Parcel(byte[] bytes, SipMessage message) {}

    /** Hears of every log line. */
    public interface Log {
        void line(long now, String node, String event, String session, String detail);
    }

    private final Weather weather;
    private final RandomGenerator chance;
    private final Tap tap;
    private final Log log;
    private final Map<String, Integer> zones;
    private final LadderQueue<Runnable> events = new LadderQueue<>();
    private final boolean text;
    private final Map<String, Node> byName = new LinkedHashMap<>();
    private final Map<Integer, Node> byPort = new HashMap<>();
    private final Map<Long, Long> lastInStream = new HashMap<>();
    private final Cuts cuts = new Cuts();
    private long now;
    private long carried;

    /**
     * {@code zones} are the districts of nodes by name; {@code tap} and {@code log} may be null.
     */
    public VirtualNetwork(
            long start, long seed, Weather weather, Map<String, Integer> zones, Tap tap, Log log) {
        this(start, seed, weather, zones, tap, log, true);
    }

    /**
     * Without {@code text} messages are neither written nor read: what cannot be read never comes
     * up.
     */
    public VirtualNetwork(
            long start,
            long seed,
            Weather weather,
            Map<String, Integer> zones,
            Tap tap,
            Log log,
            boolean text) {
        this.text = text;
        now = start;
        chance = new SplittableRandom(seed);
        this.weather = weather;
        this.zones = zones;
        this.tap = tap;
        this.log = log;
    }

    @Override
    public void add(String name, Hop self, Core core, boolean tapped) {
        Node node = new Node(name, self, core, tapped, zones.getOrDefault(name, 0));
        byName.put(name, node);
        byPort.put(self.port(), node);
        core.start(now, node);
        arm(node);
    }

    @Override
    public void kill(String name) {
        Node node = byName.remove(name);
        if (node != null) {
            node.alive = false;
            byPort.remove(node.self.port(), node);
        }
    }

    @Override
    public void on(String name, Act act) {
        Node node = byName.get(name);
        if (node != null) {
            act.run(now, node);
            arm(node);
        }
    }

    @Override
    public void cut(String one, String other, boolean off) {
        cuts.set(one, other, off);
    }

    @Override
    public void at(long time, Runnable act) {
        events.add(Math.max(now, time), act);
    }

    @Override
    public long now() {
        return now;
    }

    /** Messages carried so far. */
    public long carried() {
        return carried;
    }

    @Override
    public void run(long end) {
        while (!events.isEmpty() && events.nextAt() <= end) {
            now = events.nextAt();
            events.poll().run();
        }
        now = Math.max(now, end);
    }

    private void arm(Node node) {
        long due = node.core.due();
        if (node.alive && due < node.wake) {
            long wanted = Math.max(now, due);
            node.wake = wanted;
            // The moment is kept as it is now: one read when it comes would let stale wakes
            // multiply.
            at(wanted, () -> wake(node, wanted));
        }
    }

    private void wake(Node node, long wanted) {
        if (!node.alive || wanted != node.wake) {
            return;
        }
        node.wake = Long.MAX_VALUE;
        if (node.core.due() <= now) {
            node.core.tick(now, node);
        }
        arm(node);
    }

    private void tell(String node, boolean out, Hop peer, Parcel parcel) {
        if (text) {
            tap.message(now, node, out, peer, parcel.bytes);
        } else {
            tap.message(now, node, out, peer, parcel.message);
        }
    }

    private void carry(Node from, Hop to, Parcel parcel) {
        carried++;
        Node target = byPort.get(to.port());
        if (target != null && cuts.between(from.name, target.name)) {
            return;
        }
        long delay = delay(from, target);
        if (to.tcp()) {
            stream(from, to, parcel, delay);
            return;
        }
        if (target == null || events.size() > MOST || chance.nextDouble() < weather.loss) {
            return;
        }
        if (chance.nextDouble() < weather.late) {
            delay += chance.nextLong(LATE_MOST);
        }
        deliver(from, to, parcel, now + delay);
        if (chance.nextDouble() < weather.doubled) {
            deliver(
                    from,
                    to,
                    text ? parcel : new Parcel(null, parcel.message.copy()),
                    now + delay + chance.nextLong(LATE_MOST));
        }
    }

    private void stream(Node from, Hop to, Parcel parcel, long delay) {
        boolean refused = byPort.get(to.port()) == null;
        boolean broken = refused || chance.nextDouble() < weather.reset;
        long pair = (long) from.self.port() << 32 | to.port();
        long at = Math.max(now + delay, lastInStream.getOrDefault(pair, 0L));
        lastInStream.put(pair, at);
        if (broken) {
            at(
                    now + 2 * delay,
                    () -> {
                        if (from.alive) {
                            if (from.tapped && tap != null) {
                                tap.broken(now, from.name, to, refused);
                            }
                            from.core.broken(now, to, refused, from);
                            arm(from);
                        }
                    });
        } else {
            deliver(from, to, parcel, at);
        }
    }

    private long delay(Node from, Node to) {
        long base =
                to == null || from.site.equals(to.site)
                        ? weather.near
                        : from.zone == to.zone ? weather.same : weather.cross;
        return Math.max(1, (long) (base * (1 + weather.jitter * (2 * chance.nextDouble() - 1))));
    }

    private void deliver(Node from, Hop to, Parcel parcel, long at) {
        Hop source = from.self.over(to.tcp());
        at(
                at,
                () -> {
                    Node target = byPort.get(to.port());
                    if (target == null) {
                        return;
                    }
                    if (target.tapped && tap != null) {
                        tell(target.name, false, source, parcel);
                    }
                    try {
                        target.core.receive(
                                now,
                                source,
                                text
                                        ? SipParser.parse(parcel.bytes, 0, parcel.bytes.length)
                                        : parcel.message,
                                target);
                    } catch (BadMessage e) {
                        target.core.malformed(now, source, e, target);
                    }
                    arm(target);
                });
    }
}
