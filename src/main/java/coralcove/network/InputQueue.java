package coralcove.network;

import coralcove.overload.OverloadControl;
import coralcove.sip.TransportAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Bounded queue of the inputs of one node that are not processed yet. {@link OverloadControl}
 * decides the order in which they are taken and what is dropped when the queue is full. Filled by
 * MINA's threads, emptied by the node's own thread. A message is classified by its first bytes and
 * parsed only when it is taken.
 */
final class InputQueue {
    /**
     * One input: a message as read from the network, or an action to run on the node's thread.
     * Exactly one of {@code bytes} and {@code action} is set. {@code receivedAt} is in µs.
     */
    record Input(
            TransportAddress source,
            byte[] bytes,
            Network.NodeAction action,
            OverloadControl.Kind kind,
            long receivedAt) {}

    /**
     * Limits on queued inputs and bytes. 20,000 set-ups are 4 s of load at 5,000 set-ups per
     * second, and no set-up waits that long.
     */
    private static final OverloadControl.QueueLimits LIMITS =
            new OverloadControl.QueueLimits(100_000, 50_000, 10_000, 20_000, 64L << 20);

    private final OverloadControl overloadControl = new OverloadControl(LIMITS);
    private final ArrayDeque<Input> responses = new ArrayDeque<>();
    private final ArrayDeque<Input> releases = new ArrayDeque<>();
    private final ArrayDeque<Input> notifications = new ArrayDeque<>();
    private final ArrayDeque<Input> setUps = new ArrayDeque<>();
    private long queuedBytes;
    private long dropped;

    /**
     * Classifies a message by its first bytes: the start of its method, or "SI" of the status line.
     */
    static OverloadControl.Kind classify(byte[] bytes) {
        return switch (bytes.length == 0 ? 0 : bytes[0]) {
            case 'S' ->
                    bytes.length > 2 && bytes[1] == 'I'
                            ? OverloadControl.Kind.ANSWER
                            : OverloadControl.Kind.NOTIFICATION;
            case 'A', 'B', 'C' -> OverloadControl.Kind.RELEASE;
            case 'I' -> OverloadControl.Kind.SET_UP;
            default -> OverloadControl.Kind.NOTIFICATION;
        };
    }

    /** Queues a message, or drops and counts it if the queue is full. */
    synchronized void offerMessage(TransportAddress source, byte[] message, long now) {
        OverloadControl.Kind kind = classify(message);
        // A CANCEL must not overtake its INVITE, which may still be among the queued set-ups.
        boolean queueBehindInvite =
                kind == OverloadControl.Kind.RELEASE && message[0] == 'C' && !setUps.isEmpty();
        enqueue(
                new Input(
                        source,
                        message,
                        null,
                        queueBehindInvite ? OverloadControl.Kind.SET_UP : kind,
                        now));
    }

    /** Queues an action. Actions are few and are never dropped. */
    synchronized void addAction(Network.NodeAction action, long now) {
        responses.add(new Input(null, null, action, OverloadControl.Kind.ANSWER, now));
        notifyAll();
    }

    private void enqueue(Input input) {
        ArrayDeque<Input> queue = queueFor(input.kind);
        if (overloadControl.admitToQueue(input.kind, queue.size(), queuedBytes)
                == OverloadControl.Verdict.ACCEPT) {
            queue.add(input);
            queuedBytes += input.bytes.length;
            notifyAll();
        } else {
            dropped++;
        }
    }

    private ArrayDeque<Input> queueFor(OverloadControl.Kind kind) {
        return switch (kind) {
            case ANSWER -> responses;
            case RELEASE -> releases;
            case NOTIFICATION -> notifications;
            case SET_UP -> setUps;
        };
    }

    /**
     * Takes the next input, waiting at most {@code timeoutMicros} µs for one; null if none arrived.
     */
    synchronized Input awaitNext(long timeoutMicros) throws InterruptedException {
        OverloadControl.Kind kind =
                overloadControl.nextKind(
                        responses.size(), releases.size(), notifications.size(), setUps.size());
        if (kind == null && timeoutMicros > 0) {
            TimeUnit.MICROSECONDS.timedWait(this, timeoutMicros);
            kind =
                    overloadControl.nextKind(
                            responses.size(), releases.size(), notifications.size(), setUps.size());
        }
        Input input = kind == null ? null : queueFor(kind).poll();
        queuedBytes -= input == null || input.bytes == null ? 0 : input.bytes.length;
        return input;
    }

    /**
     * Takes the next queued response or action, or returns null. Responses read before a timer
     * expired are processed before the timer.
     */
    synchronized Input pollResponse() {
        Input input = responses.poll();
        queuedBytes -= input == null || input.bytes == null ? 0 : input.bytes.length;
        return input;
    }

    /**
     * Decides whether a new set-up is accepted. Called by the node's thread; synchronized because
     * {@link OverloadControl} has no lock of its own. {@code repeat}: the set-up is a
     * retransmission.
     */
    synchronized OverloadControl.Verdict decideSetUp(long now, Input input, boolean repeat) {
        return overloadControl.decideSetUp(now, now - input.receivedAt, repeat);
    }

    /** The retry-after delay in µs for rejected set-ups. */
    synchronized long retryAfter() {
        return overloadControl.retryAfter();
    }

    /** Number of messages dropped because the queue was full. */
    synchronized long dropped() {
        return dropped;
    }
}
