package coralcove.network;

import coralcove.network.VirtualNetwork.NetworkConditions;
import coralcove.overload.OverloadControl;
import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipCore;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.SipParser;
import coralcove.sip.TransportAddress;
import coralcove.sip.transport.SipTransport;
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
 * Runs cores on real sockets. Each node has one thread, which owns its core; MINA's threads queue
 * the messages that they read.
 */
public final class LiveNetwork implements Network, AutoCloseable {
    /** Longest time for which a node's thread waits for input when no timer expires. */
    private static final long MAX_WAIT_MICROS = 100_000;

    /** Number of inputs processed between two checks of the timers. */
    private static final int INPUTS_PER_TIMER_CHECK = 64;

    /**
     * Maximum number of queued responses processed before the timers, so that a flood of responses
     * delays no timer for long.
     */
    private static final int MAX_RESPONSES_BEFORE_TIMERS = 5000;

    /** Offset of {@link System#nanoTime} from the epoch. */
    private static final long CLOCK_OFFSET_MICROS =
            System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

    /** An action to run at {@code time}; {@code sequence} orders actions of equal time. */
    private record ScheduledAction(long time, long sequence, Runnable action) {}

    private final class Node implements SipOutput, SipTransport.Listener, Runnable {
        final String name;
        final SipCore core;
        final boolean observed;
        final SipTransport sockets;
        final Logger log;
        final RandomGenerator random;
        final InputQueue inputQueue = new InputQueue();
        final Thread thread;
        volatile boolean alive = true;

        Node(String name, TransportAddress self, SipCore core, boolean observed)
                throws IOException {
            this.name = name;
            this.core = core;
            this.observed = observed;
            log = LoggerFactory.getLogger(name);
            random = new SplittableRandom(seed * 31 + name.hashCode());
            sockets = new SipTransport(self, this);
            thread = new Thread(this, name);
        }

        @Override
        public void run() {
            core.start(now(), this);
            int inputsSinceTimerCheck = 0;
            while (alive) {
                try {
                    long timeout =
                            Math.max(0, Math.min(MAX_WAIT_MICROS, core.nextTickAt() - now()));
                    InputQueue.Input input = inputQueue.awaitNext(timeout);
                    if (input != null) {
                        process(input);
                    }
                    if (alive
                            && (input == null || ++inputsSinceTimerCheck >= INPUTS_PER_TIMER_CHECK)
                            && core.nextTickAt() <= now()) {
                        inputsSinceTimerCheck = 0;
                        processQueuedResponses();
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
         * Processes queued responses before timers are checked: otherwise an INVITE would be
         * retransmitted although its response is already in the queue.
         */
        private void processQueuedResponses() {
            for (int i = 0; i < MAX_RESPONSES_BEFORE_TIMERS && alive; i++) {
                InputQueue.Input response = inputQueue.pollResponse();
                if (response == null) {
                    return;
                }
                process(response);
            }
        }

        private void process(InputQueue.Input input) {
            long now = now();
            if (input.action() != null) {
                input.action().run(now, this);
                return;
            }
            try {
                SipMessage message = SipParser.parse(input.bytes(), 0, input.bytes().length);
                boolean setUp = message.method().equals("INVITE") && message.toTag().isEmpty();
                if (setUp
                        && inputQueue.decideSetUp(now, input, core.isRetransmission(message))
                                == OverloadControl.Verdict.REJECT) {
                    core.rejectOverloaded(
                            now, input.source(), message, inputQueue.retryAfter(), this);
                } else {
                    core.receive(now, input.source(), message, this);
                }
            } catch (MalformedMessageException e) {
                core.malformedReceived(now, input.source(), e, this);
            }
        }

        private void submit(NodeAction action) {
            inputQueue.addAction(action, now());
        }

        @Override
        public void messageReceived(TransportAddress source, byte[] bytes) {
            long receivedAt = now();
            if (observed && observer != null && alive) {
                observer.onMessage(receivedAt, name, false, source, bytes);
            }
            inputQueue.offerMessage(source, bytes, receivedAt);
        }

        @Override
        public void connectionFailed(TransportAddress peer, boolean refused) {
            if (observed && observer != null && alive) {
                observer.onStreamFailure(now(), name, peer, refused);
            }
            submit((now, out) -> core.connectionFailed(now, peer, refused, out));
        }

        @Override
        public void peerCutOff(TransportAddress peer, String reason) {
            log("cut-off", "", peer + ": " + reason);
        }

        @Override
        public void send(TransportAddress destination, SipMessage message) {
            if (!alive) {
                return;
            }
            byte[] bytes = message.encode();
            if (observed && observer != null) {
                observer.onMessage(now(), name, true, destination, bytes);
            }
            String targetName = namesByPort.get(destination.port());
            if (targetName != null && partitions.isPartitioned(name, targetName)) {
                return;
            }
            if (!destination.tcp()) {
                double draw = random.nextDouble();
                if (draw >= conditions.loss()) {
                    sockets.send(destination, bytes);
                    if (draw > 1 - conditions.duplicated()) {
                        sockets.send(destination, bytes);
                    }
                }
            } else {
                sockets.send(destination, bytes);
                if (conditions.reset() > 0 && random.nextDouble() < conditions.reset()) {
                    sockets.closeConnection(destination);
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

        void shutDown() {
            alive = false;
            thread.interrupt();
            sockets.close();
        }
    }

    private final MessageObserver observer;
    private final NetworkConditions conditions;
    private final long seed;
    private final Map<String, Node> nodes = new ConcurrentHashMap<>();
    private final Map<Integer, String> namesByPort = new ConcurrentHashMap<>();
    private final NetworkPartitions partitions = new NetworkPartitions();
    private final PriorityQueue<ScheduledAction> scheduledActions =
            new PriorityQueue<>(
                    (a, b) ->
                            a.time != b.time
                                    ? Long.compare(a.time, b.time)
                                    : Long.compare(a.sequence, b.sequence));
    private long nextSequence;

    /** A network without faults. {@code observer} is called on many threads and may be null. */
    public LiveNetwork(MessageObserver observer) {
        this(observer, NetworkConditions.FAULT_FREE, 1);
    }

    /**
     * A network that loses and duplicates datagrams and resets streams with the probabilities of
     * {@code conditions}; its delays are not used.
     */
    public LiveNetwork(MessageObserver observer, NetworkConditions conditions, long seed) {
        this.observer = observer;
        this.conditions = conditions;
        this.seed = seed;
    }

    /** Time in µs since the epoch, by a clock that never goes back. */
    public static long currentTimeMicros() {
        return CLOCK_OFFSET_MICROS + System.nanoTime() / 1000;
    }

    @Override
    public long now() {
        return currentTimeMicros();
    }

    @Override
    public void addNode(String name, TransportAddress self, SipCore core, boolean observed) {
        try {
            Node node = new Node(name, self, core, observed);
            nodes.put(name, node);
            namesByPort.put(self.port(), name);
            node.thread.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void killNode(String name) {
        Node node = nodes.remove(name);
        if (node != null) {
            node.shutDown();
        }
    }

    @Override
    public void runOnNode(String name, NodeAction action) {
        Node node = nodes.get(name);
        if (node != null) {
            node.submit(action);
        }
    }

    @Override
    public void setPartitioned(String one, String other, boolean partitioned) {
        partitions.setPartitioned(one, other, partitioned);
    }

    /** Number of messages dropped because a node's input queue was full. */
    public long droppedInputs() {
        return nodes.values().stream().mapToLong(node -> node.inputQueue.dropped()).sum();
    }

    @Override
    public void schedule(long time, Runnable action) {
        scheduledActions.add(new ScheduledAction(time, nextSequence++, action));
    }

    @Override
    public void run(long end) {
        while (now() < end) {
            while (!scheduledActions.isEmpty() && scheduledActions.peek().time <= now()) {
                scheduledActions.poll().action.run();
            }
            long next =
                    Math.min(end, scheduledActions.isEmpty() ? end : scheduledActions.peek().time);
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
        nodes.keySet().forEach(this::killNode);
    }
}
