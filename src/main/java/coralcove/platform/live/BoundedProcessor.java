package coralcove.platform.live;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.write.WriteRequest;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * An I/O processor with a limit on the number of sessions. At the limit the acceptor's thread
 * waits, and new connections stay in the kernel's backlog. Without a limit, hundreds of connections
 * at once took the last file descriptor, and the acceptor paused for a second.
 */
final class BoundedProcessor implements IoProcessor<NioSession> {
    /** Number of checks at the limit between two requests for room. */
    private static final int CHECKS_PER_REQUEST = 10;

    /** Share of the limit from which each new session requests room. */
    private static final double NEAR_LIMIT_SHARE = 0.85;

    /** Interval between two checks at the limit. */
    private static final int CHECK_INTERVAL_MS = 2;

    private final IoProcessor<NioSession> pool = new SimpleIoProcessorPool<>(NioProcessor.class, 1);
    private final AtomicInteger sessionCount = new AtomicInteger();
    private final int maxSessions;
    private final Runnable requestRoom;

    /**
     * Creates a processor for at most {@code maxSessions} sessions.
     *
     * @param requestRoom asks for sessions to be closed; run on the acceptor's thread for each new
     *     session near the limit
     */
    BoundedProcessor(int maxSessions, Runnable requestRoom) {
        this.maxSessions = maxSessions;
        this.requestRoom = requestRoom;
    }

    /** Must be called once for each session that has closed and freed its descriptor. */
    void sessionClosed() {
        sessionCount.decrementAndGet();
    }

    @Override
    public void add(NioSession session) {
        if (sessionCount.get() >= NEAR_LIMIT_SHARE * maxSessions) {
            requestRoom.run();
        }
        try {
            for (int check = 1; sessionCount.get() >= maxSessions && !pool.isDisposing(); check++) {
                TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MS);
                if (check % CHECKS_PER_REQUEST == 0) {
                    requestRoom.run();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        sessionCount.incrementAndGet();
        pool.add(session);
    }

    @Override
    public boolean isDisposing() {
        return pool.isDisposing();
    }

    @Override
    public boolean isDisposed() {
        return pool.isDisposed();
    }

    @Override
    public void dispose() {
        pool.dispose();
    }

    @Override
    public void flush(NioSession session) {
        pool.flush(session);
    }

    @Override
    public void write(NioSession session, WriteRequest request) {
        pool.write(session, request);
    }

    @Override
    public void updateTrafficControl(NioSession session) {
        pool.updateTrafficControl(session);
    }

    @Override
    public void remove(NioSession session) {
        pool.remove(session);
    }
}
