package coralcove.platform.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Polls the discovery service for changes of the exchange list by long polling, one request at a
 * time, on a thread of its own. A request that breaks off, stops or brings a malformed response is
 * soon repeated: a change takes effect when the service publishes it, not when it is read.
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

    /** Time beyond the poll wait for connecting and for the complete response. */
    private static final int RESPONSE_GRACE_MS = 400;

    /** Delay before the first retry of a failed request; it doubles with each further one. */
    private static final int MIN_RETRY_DELAY_MS = 50;

    private static final int MAX_RETRY_DELAY_MS = 200;

    /** Notified of each poll's result, on the poll's thread. */
    public interface Listener {
        /** A response arrived; it contains no events if there were none. */
        void updated(DiscoveryUpdate update);

        /** A request failed and will be repeated. */
        void failed(String reason);
    }

    private final Listener listener;
    private final DiscoveryConnection connection = new DiscoveryConnection();
    private InetSocketAddress serviceAddress;
    private boolean closed;
    private long lastEvent;

    /** A poll for the events after {@code lastEvent}. */
    public DiscoveryPoll(InetSocketAddress address, long lastEvent, Listener listener) {
        serviceAddress = address;
        this.lastEvent = lastEvent;
        this.listener = listener;
    }

    /**
     * Continues the poll at another address, with the same event numbers; a pending request to the
     * old address is cancelled.
     */
    public synchronized void setAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(serviceAddress)) {
            serviceAddress = newAddress;
            connection.close();
            notifyAll();
        }
    }

    /** Ends the poll; a pending request is cancelled. */
    public synchronized void close() {
        closed = true;
        connection.close();
        notifyAll();
    }

    /** The address to poll, or null once the poll is closed. */
    private synchronized InetSocketAddress currentAddress() {
        return closed ? null : serviceAddress;
    }

    @Override
    public void run() {
        int retryDelayMs = MIN_RETRY_DELAY_MS;
        int pollWaitMs = IMMEDIATE_POLL_WAIT_MS;
        while (true) {
            InetSocketAddress polled = currentAddress();
            if (polled == null) {
                return;
            }
            try {
                DiscoveryUpdate update =
                        DiscoveryUpdate.parse(
                                connection.get(
                                        polled,
                                        "/bulletins?after=" + lastEvent + "&patience=" + pollWaitMs,
                                        pollWaitMs + RESPONSE_GRACE_MS,
                                        () -> polled.equals(currentAddress())));
                listener.updated(update);
                lastEvent = Math.max(lastEvent, update.lastEvent());
                retryDelayMs = MIN_RETRY_DELAY_MS;
                pollWaitMs = POLL_WAIT_MS;
            } catch (IOException | RuntimeException e) {
                pollWaitMs = IMMEDIATE_POLL_WAIT_MS;
                if (!awaitRetry(polled, String.valueOf(e.getMessage()), retryDelayMs)) {
                    return;
                }
                retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMs);
            }
        }
    }

    /**
     * Reports a failure and waits before the retry; returns at once if the address has changed.
     * False if the thread was interrupted and is to end.
     */
    private synchronized boolean awaitRetry(InetSocketAddress polled, String reason, int delayMs) {
        if (closed || !polled.equals(serviceAddress)) {
            return true;
        }
        listener.failed(reason);
        try {
            wait(delayMs);
            return true;
        } catch (InterruptedException e) {
            return false;
        }
    }
}
