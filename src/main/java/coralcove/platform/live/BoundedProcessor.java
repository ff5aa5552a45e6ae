package coralcove.platform.live;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.write.WriteRequest;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's processor with a bound on the sessions it holds: at it the acceptor's thread waits, and
 * the kernel's queue holds who connects. Without one hundreds of connections at once took the last
 * descriptor, and the acceptor stood for a second.
 */
final class BoundedProcessor implements IoProcessor<NioSession> {
    /** Looks after which room is asked for again. */
    private static final int ASK_AGAIN = 10;

    /** Share of the bound from which room is asked for. */
    private static final double NEAR = 0.85;

    /** Milliseconds between two looks at the bound. */
    private static final int LOOK = 2;

    private final IoProcessor<NioSession> pool = new SimpleIoProcessorPool<>(NioProcessor.class, 1);
    private final AtomicInteger held = new AtomicInteger();
    private final int most;
    private final Runnable crowded;

    /**
     * {@code crowded} is run on the acceptor's thread for each connection near the bound: it asks
     * for room.
     */
    BoundedProcessor(int most, Runnable crowded) {
        this.most = most;
        this.crowded = crowded;
    }

    /** A session that was added has been closed, and its descriptor is free. */
    void freed() {
        held.decrementAndGet();
    }

    @Override
    public void add(NioSession session) {
        if (held.get() >= NEAR * most) {
            crowded.run();
        }
        try {
            for (int look = 1; held.get() >= most && !pool.isDisposing(); look++) {
                TimeUnit.MILLISECONDS.sleep(LOOK);
                if (look % ASK_AGAIN == 0) {
                    crowded.run();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        held.incrementAndGet();
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
