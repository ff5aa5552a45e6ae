package coralcove.platform.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One long-poll request for the events after a number. It runs on a thread of its own and reports
 * its end, unless it was cancelled.
 */
final class DiscoveryRequest implements Runnable {
    private final DiscoveryConnection connection;
    private final InetSocketAddress address;
    private final long afterEvent;
    private final int pollWaitMs;
    private final int maxResponseMs;
    private final Consumer<DiscoveryRequest> onEnd;
    private final long startedNanos = System.nanoTime();
    private volatile boolean cancelled;
    private boolean overdue;
    private volatile DiscoveryUpdate update;
    private volatile String failure;

    /**
     * Creates a request; nothing is sent before it runs.
     *
     * @param connection the connection to send it on, which no other request uses
     * @param pollWaitMs how long the service may hold it until there is an event
     * @param maxResponseMs time beyond that in which the response must be complete
     * @param onEnd is run on the request's thread when it has been answered or has failed
     */
    DiscoveryRequest(
            DiscoveryConnection connection,
            InetSocketAddress address,
            long afterEvent,
            int pollWaitMs,
            int maxResponseMs,
            Consumer<DiscoveryRequest> onEnd) {
        this.connection = connection;
        this.address = address;
        this.afterEvent = afterEvent;
        this.pollWaitMs = pollWaitMs;
        this.maxResponseMs = maxResponseMs;
        this.onEnd = onEnd;
    }

    @Override
    public void run() {
        try {
            byte[] body =
                    connection.get(
                            address,
                            "/bulletins?after=" + afterEvent + "&patience=" + pollWaitMs,
                            pollWaitMs + maxResponseMs,
                            () -> !cancelled);
            update = DiscoveryUpdate.parse(body);
        } catch (IOException | RuntimeException e) {
            failure = String.valueOf(e.getMessage());
        }
        if (!cancelled) {
            onEnd.accept(this);
        }
    }

    /** Ends it at once; its connection is closed. May be called from any thread. */
    void cancel() {
        cancelled = true;
        connection.close();
    }

    /** Its response is overdue; it goes on waiting. */
    void markOverdue() {
        overdue = true;
    }

    boolean isOverdue() {
        return overdue;
    }

    /** The response, or null if the request has failed. */
    DiscoveryUpdate update() {
        return update;
    }

    /**
     * The {@link System#nanoTime} at which the list in the response was current at least. A service
     * holds a request for its whole wait if there is no event; else it may have answered at once,
     * and its response been late.
     */
    long currentAtNanos() {
        boolean heldForWholeWait = update.events().isEmpty() && latenessMs() >= 0;
        return startedNanos + (heldForWholeWait ? TimeUnit.MILLISECONDS.toNanos(pollWaitMs) : 0);
    }

    /** Why it has failed. */
    String failure() {
        return failure;
    }

    /** The connection, which can be used for the next request once this one is answered. */
    DiscoveryConnection connection() {
        return connection;
    }

    /** Time since its poll wait was over, in ms; negative before. */
    long latenessMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos) - pollWaitMs;
    }
}
