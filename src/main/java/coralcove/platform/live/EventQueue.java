package coralcove.platform.live;

import coralcove.platform.FairQueue;
import java.util.ArrayDeque;

/**
 * The queue of events between the reading threads and the event loop.
 *
 * <p>Events from exchanges and from the process itself take precedence over events from callers, so
 * that a flood of set-ups delays no answer. A thread that adds one to a full queue waits, and the
 * kernel then holds the sender back.
 *
 * <p>Callers' connections are served in turns, and each is read no further while it has events
 * queued above its bound: a client that sends at full speed is held back by TCP and delays no
 * other. Nothing that was read is lost.
 */
final class EventQueue {
    /** Largest total of bytes queued of each kind: some ten thousand messages. */
    private static final long MAX_BYTES = 2L << 20;

    /** Largest number of priority events queued; it also bounds events without bytes. */
    private static final int MAX_PRIORITY_EVENTS = 20_000;

    /** Bytes queued of one caller's connection above which it is read no further. */
    private static final long MAX_CONNECTION_BYTES = 16 << 10;

    /** Bytes of one caller's connection that are processed in a turn. */
    private static final long TURN_BYTES = 4 << 10;

    /** Bytes that an event counts besides those of its messages. */
    private static final int EVENT_OVERHEAD_BYTES = 64;

    /** Interval at which a thread that waits at a full queue checks it again. */
    private static final long FULL_WAIT_MS = 50;

    /** The source of the events that belong to no caller's connection. */
    private static final long NO_CONNECTION = 0;

    /**
     * Stops and continues reading from callers' connections. Called with the queue locked; it must
     * neither wait nor call back.
     */
    interface FlowControl {
        void suspend(long connection);

        void resume(long connection);
    }

    /**
     * A queued event.
     *
     * @param action what the event loop runs
     * @param bytes number of message bytes that the event holds in memory
     * @param connection the caller's connection, or 0
     */
    record Event(Runnable action, int bytes, long connection) {}

    private final FlowControl flowControl;
    private final ArrayDeque<Event> priorityEvents = new ArrayDeque<>();
    private final FairQueue<Event> callerEvents = new FairQueue<>(TURN_BYTES);
    private long priorityBytes;
    private boolean closed;

    EventQueue(FlowControl flowControl) {
        this.flowControl = flowControl;
    }

    /** Adds an event from an exchange, the discovery service, a peer router or a signal. */
    synchronized void addPriority(int bytes, Runnable action) {
        try {
            while (!closed && isPriorityFull()) {
                wait(FULL_WAIT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        priorityEvents.add(new Event(action, bytes, NO_CONNECTION));
        priorityBytes += bytes;
        notifyAll();
    }

    private boolean isPriorityFull() {
        return priorityBytes > MAX_BYTES || priorityEvents.size() >= MAX_PRIORITY_EVENTS;
    }

    /** Adds an event that concerns the callers' connections as a whole. */
    void addForCallers(Runnable action) {
        addFromCaller(NO_CONNECTION, 0, action);
    }

    /** Adds an event from a caller's connection. */
    synchronized void addFromCaller(long connection, int bytes, Runnable action) {
        callerEvents.add(
                connection, new Event(action, bytes, connection), bytes + EVENT_OVERHEAD_BYTES);
        if (callerEvents.queuedCost(connection) > MAX_CONNECTION_BYTES
                || callerEvents.queuedCost() > MAX_BYTES) {
            flowControl.suspend(connection);
        }
        notifyAll();
    }

    /**
     * Adds the last event of a caller's connection, which has closed. Its events are processed
     * next: nothing must be begun for a caller that has left.
     */
    synchronized void addClosedByCaller(long connection, Runnable action) {
        addFromCaller(connection, 0, action);
        callerEvents.advance(connection);
    }

    /** Whether events of a caller's connection wait to be processed. */
    synchronized boolean hasEventsOf(long connection) {
        return callerEvents.queuedCost(connection) > 0;
    }

    /**
     * Removes and returns the next event, waiting up to {@code timeoutUs} µs for one.
     *
     * @return the event, or null if none arrived in time
     */
    synchronized Event next(long timeoutUs) throws InterruptedException {
        if (timeoutUs > 0 && priorityEvents.isEmpty() && callerEvents.isEmpty()) {
            wait(timeoutUs / 1000, (int) (timeoutUs % 1000) * 1000);
        }
        return priorityEvents.isEmpty() ? nextFromCallers() : nextPriority();
    }

    private Event nextPriority() {
        boolean wasFull = isPriorityFull();
        Event event = priorityEvents.poll();
        priorityBytes -= event.bytes;
        if (wasFull) {
            notifyAll();
        }
        return event;
    }

    private Event nextFromCallers() {
        Event event = callerEvents.poll();
        if (event != null && callerEvents.queuedCost(event.connection) == 0) {
            flowControl.resume(event.connection);
        }
        return event;
    }

    /** Lets all waiting threads add their events without a bound. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }
}
