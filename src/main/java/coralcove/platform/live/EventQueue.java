package coralcove.platform.live;

import java.util.ArrayDeque;

/**
 * The queue of events between the reading threads and the event loop. Events from exchanges and
 * from the process itself take precedence over events from callers, so that a flood of set-ups
 * delays no answer. A thread that adds to a full queue waits, and the kernel then holds the sender
 * back: nothing that was read is lost.
 */
final class EventQueue {
    /** Largest total of bytes queued of each kind: some ten thousand messages. */
    private static final long MAX_BYTES = 2L << 20;

    /** Largest number of events queued of each kind; it also bounds events without bytes. */
    private static final int MAX_EVENTS = 20_000;

    /** Interval at which a thread that waits at a full queue checks it again. */
    private static final long FULL_WAIT_MS = 50;

    /**
     * A queued event.
     *
     * @param action what the event loop runs
     * @param bytes number of message bytes that the event holds in memory
     * @param fromCaller whether the event comes from a caller and so yields to the others
     */
    record Event(Runnable action, int bytes, boolean fromCaller) {}

    private final ArrayDeque<Event> priorityEvents = new ArrayDeque<>();
    private final ArrayDeque<Event> callerEvents = new ArrayDeque<>();
    private long priorityBytes;
    private long callerBytes;
    private boolean closed;

    /** Adds an event from an exchange, the discovery service, a peer router or a signal. */
    void addPriority(int bytes, Runnable action) {
        add(new Event(action, bytes, false));
    }

    /** Adds an event from a caller's connection. */
    void addFromCaller(int bytes, Runnable action) {
        add(new Event(action, bytes, true));
    }

    private synchronized void add(Event event) {
        try {
            while (!closed && isFull(event)) {
                wait(FULL_WAIT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        (event.fromCaller ? callerEvents : priorityEvents).add(event);
        callerBytes += event.fromCaller ? event.bytes : 0;
        priorityBytes += event.fromCaller ? 0 : event.bytes;
        notifyAll();
    }

    private boolean isFull(Event event) {
        return event.fromCaller
                ? callerBytes > MAX_BYTES || callerEvents.size() >= MAX_EVENTS
                : priorityBytes > MAX_BYTES || priorityEvents.size() >= MAX_EVENTS;
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
        boolean wasFull =
                callerBytes > MAX_BYTES
                        || priorityBytes > MAX_BYTES
                        || callerEvents.size() >= MAX_EVENTS
                        || priorityEvents.size() >= MAX_EVENTS;
        Event event = priorityEvents.isEmpty() ? callerEvents.poll() : priorityEvents.poll();
        if (event != null) {
            callerBytes -= event.fromCaller ? event.bytes : 0;
            priorityBytes -= event.fromCaller ? 0 : event.bytes;
            if (wasFull) {
                notifyAll();
            }
        }
        return event;
    }

    /** Lets all waiting threads add their events without a bound. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }
}
