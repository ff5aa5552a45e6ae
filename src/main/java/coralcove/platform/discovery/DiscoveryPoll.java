package coralcove.platform.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Polls the discovery service for changes of the exchange list by long polling, on a thread of its
 * own. A request that breaks off or brings a malformed response is soon repeated: a change takes
 * effect when the service publishes it, not when it is read.
 *
 * <p>A request whose response is overdue may be lost with its connection, or the service may be
 * slow. So a further request is sent on a new connection, while the overdue one goes on waiting:
 * the first response counts, and ends the other requests. A service that takes longer than the
 * interval between two requests is therefore still heard.
 */
public final class DiscoveryPoll implements Runnable {
    /**
     * How long the service may hold a request until there is an event. The shorter this is, the
     * sooner an unresponsive service is detected.
     */
    private static final int POLL_WAIT_MS = 1_000;

    /**
     * The same for the first request and after a failure: events that were missed are needed at
     * once, not after a full wait.
     */
    private static final int IMMEDIATE_POLL_WAIT_MS = 1;

    /** Time beyond the poll wait after which a response is overdue. */
    private static final int MIN_RESPONSE_GRACE_MS = 400;

    /**
     * The same for a service whose responses are late: what a lost request would have told counts
     * as told 2 s after its poll wait.
     */
    private static final int MAX_RESPONSE_GRACE_MS = 1_600;

    /** Time beyond the poll wait in which a response that is overdue is still read. */
    private static final int MAX_RESPONSE_MS = 10_000;

    /** Maximum number of requests without a response; a further one replaces the newest. */
    private static final int MAX_REQUESTS = 3;

    /** Delay before the first retry of a failed request; it doubles with each further one. */
    private static final int MIN_RETRY_DELAY_MS = 50;

    private static final int MAX_RETRY_DELAY_MS = 200;

    /** Notified of each poll's result, on the poll's thread. */
    public interface Listener {
        /**
         * A response arrived; it contains no events if there were none.
         *
         * @param currentAtNanos {@link System#nanoTime} at which the list was current at least
         */
        void updated(DiscoveryUpdate update, long currentAtNanos);

        /** A request failed or is overdue; a further one will be sent. */
        void failed(String reason);
    }

    private final Listener listener;
    private final ExecutorService requestThreads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "bulletin-request");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Requests without a response, the newest last. */
    private final ArrayDeque<DiscoveryRequest> pending = new ArrayDeque<>();

    /** Requests that have ended and were not looked at yet. */
    private final ArrayDeque<DiscoveryRequest> ended = new ArrayDeque<>();

    private InetSocketAddress serviceAddress;
    private boolean closed;
    private long lastEvent;
    private int responseGraceMs = MIN_RESPONSE_GRACE_MS;
    private int retryDelayMs = MIN_RETRY_DELAY_MS;

    /** When the next request is to be sent, whether or not others are pending. */
    private long nextSendNanos = System.nanoTime();

    /** A poll for the events after {@code lastEvent}. */
    public DiscoveryPoll(InetSocketAddress address, long lastEvent, Listener listener) {
        serviceAddress = address;
        this.lastEvent = lastEvent;
        this.listener = listener;
    }

    /**
     * Continues the poll at another address, with the same event numbers; pending requests to the
     * old address are cancelled.
     */
    public synchronized void setAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(serviceAddress)) {
            serviceAddress = newAddress;
            cancelPending();
            sendIn(0);
            notifyAll();
        }
    }

    /** Ends the poll; pending requests are cancelled. */
    public synchronized void close() {
        closed = true;
        cancelPending();
        requestThreads.shutdown();
        notifyAll();
    }

    @Override
    public void run() {
        try {
            while (!isClosed()) {
                DiscoveryRequest request = awaitEnd();
                if (request == null) {
                    sendFurther();
                } else if (request.update() != null) {
                    handleResponse(request);
                } else {
                    handleFailure(request);
                }
            }
        } catch (InterruptedException e) {
            close();
        }
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    /** Waits for the end of a pending request and removes it; null if the next one is due first. */
    private synchronized DiscoveryRequest awaitEnd() throws InterruptedException {
        while (!closed) {
            DiscoveryRequest request = ended.poll();
            if (pending.remove(request)) {
                return request;
            }
            long remainingNanos = nextSendNanos - System.nanoTime();
            if (request == null && remainingNanos <= 0) {
                return null;
            }
            if (request == null) {
                TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
            }
        }
        return null;
    }

    /** Sends a request on a new connection, beside those that are overdue. */
    private void sendFurther() {
        if (markPendingOverdue()) {
            listener.failed("bulletin: no complete response in time");
            lengthenRetryDelay();
        }
        send(new DiscoveryConnection(), IMMEDIATE_POLL_WAIT_MS);
    }

    /** Marks the newest request as overdue; false if none is pending. */
    private synchronized boolean markPendingOverdue() {
        if (pending.isEmpty()) {
            return false;
        }
        pending.getLast().markOverdue();
        if (pending.size() == MAX_REQUESTS) {
            pending.removeLast().cancel();
        }
        return true;
    }

    private void handleResponse(DiscoveryRequest request) {
        listener.updated(request.update(), request.currentAtNanos());
        synchronized (this) {
            lastEvent = Math.max(lastEvent, request.update().lastEvent());
            cancelPending();
            retryDelayMs = MIN_RETRY_DELAY_MS;
            responseGraceMs = nextResponseGraceMs(request.latenessMs());
        }
        send(request.connection(), POLL_WAIT_MS);
    }

    /** Twice the lateness of the last response; it falls slowly, as only some may be late. */
    private int nextResponseGraceMs(long latenessMs) {
        long wanted = Math.max(2 * latenessMs, responseGraceMs / 2);
        return (int) Math.min(MAX_RESPONSE_GRACE_MS, Math.max(MIN_RESPONSE_GRACE_MS, wanted));
    }

    private void handleFailure(DiscoveryRequest request) {
        if (!request.isOverdue()) {
            listener.failed(request.failure());
        }
        synchronized (this) {
            if (pending.isEmpty()) {
                sendIn(retryDelayMs);
            }
        }
        lengthenRetryDelay();
    }

    private synchronized void lengthenRetryDelay() {
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMs);
    }

    private synchronized void send(DiscoveryConnection connection, int pollWaitMs) {
        if (closed) {
            connection.close();
            return;
        }
        DiscoveryRequest request =
                new DiscoveryRequest(
                        connection,
                        serviceAddress,
                        lastEvent,
                        pollWaitMs,
                        MAX_RESPONSE_MS,
                        this::requestEnded);
        // The further requests of a service that does not answer come more slowly.
        int extraDelayMs = pending.isEmpty() ? 0 : retryDelayMs;
        pending.add(request);
        sendIn(pollWaitMs + responseGraceMs + extraDelayMs);
        requestThreads.execute(request);
    }

    private synchronized void requestEnded(DiscoveryRequest request) {
        ended.add(request);
        notifyAll();
    }

    private synchronized void sendIn(int delayMs) {
        nextSendNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
    }

    private synchronized void cancelPending() {
        pending.forEach(DiscoveryRequest::cancel);
        pending.clear();
        ended.clear();
    }
}
