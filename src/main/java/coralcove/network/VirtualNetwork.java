package coralcove.network;

import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipCore;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.SipParser;
import coralcove.sip.TransportAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * A seeded network in virtual time. Datagrams are delayed, lost, duplicated and reordered; streams
 * keep their order and may break. Messages are carried either as encoded bytes, so that encoding
 * and parsing are exercised, or as message objects, with the same actions at the same times. Runs
 * with equal seeds are equal.
 */
public final class VirtualNetwork implements Network {
    /**
     * Delays (one way, in µs; {@code jitter} is the largest relative deviation) and fault rates:
     * the share of datagrams that are lost, duplicated and reordered, and the probability per
     * stream message that the stream breaks ({@code reset}). The site of a node is the part of its
     * name after the first hyphen.
     */
    public record NetworkConditions(
            long sameSiteDelay,
            long sameZoneDelay,
            long crossZoneDelay,
            double jitter,
            double loss,
            double duplicated,
            double reordered,
            double reset) {
        /** Conditions without faults. */
        public static final NetworkConditions FAULT_FREE =
                new NetworkConditions(100, 1000, 3000, 0.1, 0, 0, 0, 0);
    }

    /** Maximum extra delay of a reordered or duplicated datagram. */
    private static final long MAX_EXTRA_DELAY_MICROS = 50_000;

    /**
     * Maximum number of pending events. Above it datagrams are lost, as when queues in a real
     * network overflow.
     */
    private static final int MAX_PENDING_EVENTS = 2_000_000;

    private final class Node implements SipOutput {
        final String name;
        final TransportAddress self;
        final SipCore core;
        final boolean observed;
        final int zone;
        final String site;
        boolean alive = true;
        long nextWakeUp = Long.MAX_VALUE;

        Node(String name, TransportAddress self, SipCore core, boolean observed, int zone) {
            this.name = name;
            this.self = self;
            this.core = core;
            this.observed = observed;
            this.zone = zone;
            site = name.substring(name.indexOf('-') + 1);
        }

        @Override
        public void send(TransportAddress to, SipMessage message) {
            Packet packet =
                    serialized
                            ? new Packet(message.encode(), null)
                            : new Packet(null, message.copy());
            if (observed && observer != null) {
                notifyObserver(name, true, to, packet);
            }
            transmit(this, to, packet);
        }

        @Override
        public void log(String event, String session, String detail) {
            if (logListener != null) {
                logListener.onLogLine(now, name, event, session, detail);
            }
        }
    }

    /** A message in transit: either its encoded bytes or the message itself. */
    private record Packet(byte[] bytes, SipMessage message) {}

    /** Receives every log line of the nodes. */
    public interface LogListener {
        /** A node logged an event at {@code now} (µs). */
        void onLogLine(long now, String node, String event, String session, String detail);
    }

    private final NetworkConditions conditions;
    private final RandomGenerator random;
    private final MessageObserver observer;
    private final LogListener logListener;
    private final Map<String, Integer> zones;
    private final LadderQueue<Runnable> events = new LadderQueue<>();
    private final boolean serialized;
    private final Map<String, Node> nodesByName = new LinkedHashMap<>();
    private final Map<Integer, Node> nodesByPort = new HashMap<>();
    private final Map<Long, Long> lastArrivalByStream = new HashMap<>();
    private final NetworkPartitions partitions = new NetworkPartitions();
    private long now;
    private long messageCount;

    /**
     * A network whose virtual clock begins at {@code start} (µs). {@code zones} maps node names to
     * zones; nodes not named are in zone 0. {@code observer} and {@code logListener} may be null.
     */
    public VirtualNetwork(
            long start,
            long seed,
            NetworkConditions conditions,
            Map<String, Integer> zones,
            MessageObserver observer,
            LogListener logListener) {
        this(start, seed, conditions, zones, observer, logListener, true);
    }

    /**
     * As above. If {@code serialized} is false, messages are carried without being encoded or
     * parsed, so malformed messages cannot occur.
     */
    public VirtualNetwork(
            long start,
            long seed,
            NetworkConditions conditions,
            Map<String, Integer> zones,
            MessageObserver observer,
            LogListener logListener,
            boolean serialized) {
        this.serialized = serialized;
        now = start;
        random = new SplittableRandom(seed);
        this.conditions = conditions;
        this.zones = zones;
        this.observer = observer;
        this.logListener = logListener;
    }

    @Override
    public void addNode(String name, TransportAddress self, SipCore core, boolean observed) {
        Node node = new Node(name, self, core, observed, zones.getOrDefault(name, 0));
        nodesByName.put(name, node);
        nodesByPort.put(self.port(), node);
        core.start(now, node);
        scheduleWakeUp(node);
    }

    @Override
    public void killNode(String name) {
        Node node = nodesByName.remove(name);
        if (node != null) {
            node.alive = false;
            nodesByPort.remove(node.self.port(), node);
        }
    }

    @Override
    public void runOnNode(String name, NodeAction action) {
        Node node = nodesByName.get(name);
        if (node != null) {
            action.run(now, node);
            scheduleWakeUp(node);
        }
    }

    @Override
    public void setPartitioned(String one, String other, boolean partitioned) {
        partitions.setPartitioned(one, other, partitioned);
    }

    @Override
    public void schedule(long time, Runnable action) {
        events.add(Math.max(now, time), action);
    }

    @Override
    public long now() {
        return now;
    }

    /** Number of messages sent so far, including those that were lost. */
    public long messageCount() {
        return messageCount;
    }

    @Override
    public void run(long end) {
        while (!events.isEmpty() && events.nextTime() <= end) {
            now = events.nextTime();
            events.poll().run();
        }
        now = Math.max(now, end);
    }

    private void scheduleWakeUp(Node node) {
        long nextTick = node.core.nextTickAt();
        if (node.alive && nextTick < node.nextWakeUp) {
            long wakeUpAt = Math.max(now, nextTick);
            node.nextWakeUp = wakeUpAt;
            // The wake-up holds the time for which it was scheduled. If it compared with the time
            // read when it runs, outdated wake-ups would schedule further ones and multiply.
            schedule(wakeUpAt, () -> wakeUp(node, wakeUpAt));
        }
    }

    private void wakeUp(Node node, long scheduledFor) {
        if (!node.alive || scheduledFor != node.nextWakeUp) {
            return;
        }
        node.nextWakeUp = Long.MAX_VALUE;
        if (node.core.nextTickAt() <= now) {
            node.core.tick(now, node);
        }
        scheduleWakeUp(node);
    }

    private void notifyObserver(String node, boolean out, TransportAddress peer, Packet packet) {
        if (serialized) {
            observer.onMessage(now, node, out, peer, packet.bytes);
        } else {
            observer.onMessage(now, node, out, peer, packet.message);
        }
    }

    private void transmit(Node from, TransportAddress to, Packet packet) {
        messageCount++;
        Node target = nodesByPort.get(to.port());
        if (target != null && partitions.isPartitioned(from.name, target.name)) {
            return;
        }
        long delay = drawDelay(from, target);
        if (to.tcp()) {
            transmitOnStream(from, to, packet, delay);
            return;
        }
        if (target == null
                || events.size() > MAX_PENDING_EVENTS
                || random.nextDouble() < conditions.loss) {
            return;
        }
        if (random.nextDouble() < conditions.reordered) {
            delay += random.nextLong(MAX_EXTRA_DELAY_MICROS);
        }
        scheduleDelivery(from, to, packet, now + delay);
        if (random.nextDouble() < conditions.duplicated) {
            scheduleDelivery(
                    from,
                    to,
                    serialized ? packet : new Packet(null, packet.message.copy()),
                    now + delay + random.nextLong(MAX_EXTRA_DELAY_MICROS));
        }
    }

    private void transmitOnStream(Node from, TransportAddress to, Packet packet, long delay) {
        boolean refused = nodesByPort.get(to.port()) == null;
        boolean broken = refused || random.nextDouble() < conditions.reset;
        long stream = (long) from.self.port() << 32 | to.port();
        long arrival = Math.max(now + delay, lastArrivalByStream.getOrDefault(stream, 0L));
        lastArrivalByStream.put(stream, arrival);
        if (broken) {
            schedule(
                    now + 2 * delay,
                    () -> {
                        if (from.alive) {
                            if (from.observed && observer != null) {
                                observer.onStreamFailure(now, from.name, to, refused);
                            }
                            from.core.connectionFailed(now, to, refused, from);
                            scheduleWakeUp(from);
                        }
                    });
        } else {
            scheduleDelivery(from, to, packet, arrival);
        }
    }

    private long drawDelay(Node from, Node to) {
        long base =
                to == null || from.site.equals(to.site)
                        ? conditions.sameSiteDelay
                        : from.zone == to.zone
                                ? conditions.sameZoneDelay
                                : conditions.crossZoneDelay;
        return Math.max(1, (long) (base * (1 + conditions.jitter * (2 * random.nextDouble() - 1))));
    }

    private void scheduleDelivery(Node from, TransportAddress to, Packet packet, long arrival) {
        TransportAddress source = from.self.withTransport(to.tcp());
        schedule(
                arrival,
                () -> {
                    Node target = nodesByPort.get(to.port());
                    if (target == null) {
                        return;
                    }
                    if (target.observed && observer != null) {
                        notifyObserver(target.name, false, source, packet);
                    }
                    try {
                        target.core.receive(
                                now,
                                source,
                                serialized
                                        ? SipParser.parse(packet.bytes, 0, packet.bytes.length)
                                        : packet.message,
                                target);
                    } catch (MalformedMessageException e) {
                        target.core.malformedReceived(now, source, e, target);
                    }
                    scheduleWakeUp(target);
                });
    }
}
