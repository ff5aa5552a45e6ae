package coralcove.rehearsal;

import coralcove.judge.ScenarioListener;
import coralcove.network.LiveNetwork;
import coralcove.network.Network;
import coralcove.sip.TransportAddress;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Collects captured messages from many threads of a live run and passes them on from one thread in
 * order of time. An event is passed on once it is older than {@link #REORDER_WINDOW_MICROS}, when
 * no earlier one is expected any more.
 */
final class ReorderingBuffer implements Network.MessageObserver, ScenarioListener, AutoCloseable {
    /**
     * Longer than a thread of a loaded machine takes between stamping a message and handing it on.
     */
    private static final long REORDER_WINDOW_MICROS = 2_000_000;

    /**
     * A captured message; a stream failure if {@code bytes} is null; or a notification of the
     * listener.
     */
    private record CapturedEvent(
            long time,
            long sequence,
            String node,
            boolean out,
            TransportAddress peer,
            byte[] bytes,
            boolean refused,
            Runnable notification) {}

    private final Network.MessageObserver observer;
    private final ScenarioListener listener;
    private final ConcurrentLinkedQueue<CapturedEvent> incoming = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<CapturedEvent> pending =
            new PriorityQueue<>(
                    (a, b) ->
                            a.time != b.time
                                    ? Long.compare(a.time, b.time)
                                    : Long.compare(a.sequence, b.sequence));
    private final Thread thread = new Thread(this::run, "capture");
    private volatile boolean closed;
    private long nextSequence;
    private long lastDeliveredTime;
    private long lateEvents;

    ReorderingBuffer(Network.MessageObserver observer, ScenarioListener listener) {
        this.observer = observer;
        this.listener = listener;
        thread.start();
    }

    @Override
    public void onMessage(long now, String node, boolean out, TransportAddress peer, byte[] bytes) {
        incoming.add(new CapturedEvent(now, 0, node, out, peer, bytes, false, null));
    }

    @Override
    public void onStreamFailure(long now, String node, TransportAddress peer, boolean refused) {
        incoming.add(new CapturedEvent(now, 0, node, false, peer, null, refused, null));
    }

    @Override
    public void routerKilled(String node) {
        enqueueNotification(LiveNetwork.currentTimeMicros(), () -> listener.routerKilled(node));
    }

    @Override
    public void coldStarted(int number, long since) {
        enqueueNotification(since, () -> listener.coldStarted(number, since));
    }

    /** Enqueues a notification of the listener, to be made at its place in the order of time. */
    private void enqueueNotification(long time, Runnable notification) {
        incoming.add(new CapturedEvent(time, 0, "", false, null, null, false, notification));
    }

    private void run() {
        while (!closed || !incoming.isEmpty()) {
            deliverUntil(LiveNetwork.currentTimeMicros() - REORDER_WINDOW_MICROS);
            try {
                Thread.sleep(closed ? 0 : 20);
            } catch (InterruptedException e) {
                // Closing: the remaining events are delivered below.
                closed = true;
            }
        }
        deliverUntil(Long.MAX_VALUE);
    }

    private void deliverUntil(long maxTime) {
        for (CapturedEvent event = incoming.poll(); event != null; event = incoming.poll()) {
            pending.add(
                    new CapturedEvent(
                            event.time,
                            nextSequence++,
                            event.node,
                            event.out,
                            event.peer,
                            event.bytes,
                            event.refused,
                            event.notification));
        }
        while (!pending.isEmpty() && pending.peek().time <= maxTime) {
            CapturedEvent event = pending.poll();
            lateEvents += event.time < lastDeliveredTime ? 1 : 0;
            lastDeliveredTime = Math.max(lastDeliveredTime, event.time);
            deliver(event);
        }
    }

    private void deliver(CapturedEvent event) {
        if (event.notification != null) {
            event.notification.run();
        } else if (event.bytes == null) {
            observer.onStreamFailure(event.time, event.node, event.peer, event.refused);
        } else {
            observer.onMessage(event.time, event.node, event.out, event.peer, event.bytes);
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (lateEvents > 0) {
            System.err.println(
                    "coralcove: "
                            + lateEvents
                            + " captured messages came too late to be put in order");
            lateEvents = 0;
        }
    }
}
