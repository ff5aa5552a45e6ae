package coralcove.platform.live;

import coralcove.mina.Mina;
import coralcove.platform.Down;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * TCP on Apache MINA: callers' connections, which are accepted, and legs, which are opened. It
 * reads, stamps the arrival and hands over; it knows no message. What waits to be written has a
 * bound a connection: past it the peer does not read.
 */
final class Streams implements AutoCloseable {
    /** Bytes waiting to be written to one peer at most. */
    private static final long MOST_WAITING = 256 << 10;

    /**
     * Bytes read at a time at most: a connection that sends at full speed must not fill the queue
     * by itself.
     */
    private static final int READ_BUFFER = 16 << 10;

    /**
     * Milliseconds between two looks at what is left: MINA counts a session out after it has told
     * of its close.
     */
    private static final int FLUSH_LOOK = 10;

    private static final AttributeKey ID = new AttributeKey(Streams.class, "id");

    /** Hears on MINA's threads, in the order of each connection. */
    interface Listener {
        void opened(long caller);

        void read(long caller, long stamp, byte[] bytes);

        void closed(long caller);

        /** One more has come near the bound: some should go. */
        void crowded();

        void legUp(long leg);

        void legRead(long leg, long stamp, byte[] bytes);

        void legDown(long leg, Down how);
    }

    private final Listener listener;
    private final LongSupplier clock;
    private final BoundedProcessor processor;
    private final NioSocketAcceptor acceptor;
    private final NioSocketConnector connector = new NioSocketConnector(1);
    private final Map<Long, IoSession> callers = new ConcurrentHashMap<>();
    private final Map<Long, IoSession> legs = new ConcurrentHashMap<>();
    private final Map<Long, ConnectFuture> opening = new ConcurrentHashMap<>();
    private final AtomicLong lastCaller = new AtomicLong();
    private final Object gone = new Object();
    private volatile boolean closed;

    Streams(long connectMillis, int mostCallers, LongSupplier clock, Listener listener) {
        processor = new BoundedProcessor(mostCallers, listener::crowded);
        acceptor = new NioSocketAcceptor(processor);
        this.listener = listener;
        this.clock = clock;
        acceptor.setHandler(new CallerHandler());
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(1024);
        // Taking no further connection must not end those that are open.
        acceptor.setCloseOnDeactivation(false);
        configure(acceptor.getSessionConfig());
        connector.setHandler(new LegHandler());
        connector.setConnectTimeoutMillis(connectMillis);
        connector.setConnectTimeoutCheckInterval(50);
        configure(connector.getSessionConfig());
    }

    private static void configure(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setMinReadBufferSize(2048);
        config.setReadBufferSize(4096);
        config.setMaxReadBufferSize(READ_BUFFER);
    }

    void listen(InetSocketAddress address) throws IOException {
        try {
            acceptor.bind(address);
        } catch (IOException | RuntimeException e) {
            throw Mina.cannotListen(address.getHostString(), address.getPort(), e);
        }
    }

    void connect(long leg, InetSocketAddress address) {
        ConnectFuture future =
                connector.connect(address, (session, done) -> session.setAttribute(ID, leg));
        long since = System.nanoTime();
        opening.put(leg, future);
        future.addListener(
                done -> {
                    ConnectFuture it = (ConnectFuture) done;
                    opening.remove(leg);
                    if (!it.isConnected() && !closed && !it.isCanceled()) {
                        boolean late =
                                System.nanoTime() - since
                                        >= connector.getConnectTimeoutMillis() * 1_000_000L;
                        listener.legDown(leg, late ? Down.SILENT : Down.REFUSED);
                    }
                });
    }

    void toCaller(long caller, byte[] bytes) {
        write(callers.get(caller), bytes);
    }

    void toLeg(long leg, byte[] bytes) {
        write(legs.get(leg), bytes);
    }

    private static void write(IoSession session, byte[] bytes) {
        if (session == null) {
            return;
        }
        if (session.getScheduledWriteBytes() > MOST_WAITING) {
            session.closeNow();
        } else {
            session.write(IoBuffer.wrap(bytes));
        }
    }

    void closeCaller(long caller) {
        IoSession session = callers.remove(caller);
        if (session != null) {
            session.closeOnFlush();
        }
    }

    void closeLeg(long leg) {
        ConnectFuture future = opening.remove(leg);
        if (future != null) {
            future.cancel();
        }
        IoSession session = legs.remove(leg);
        if (session != null) {
            session.closeOnFlush();
        }
    }

    /**
     * Takes no further connection; those that are open go on. Not awaited: the acceptor may be
     * waiting at its bound, for the core to close connections, and the core must not wait for it.
     */
    void deaf() {
        Thread thread = new Thread(acceptor::unbind, "unbind");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Waits until all callers' connections have closed, with what was written to them before; at
     * most so long.
     */
    void flush(int millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000L;
        synchronized (gone) {
            for (long left = millis;
                    left > 0 && acceptor.getManagedSessionCount() > 0;
                    left = (until - System.nanoTime()) / 1_000_000) {
                gone.wait(Math.min(left, FLUSH_LOOK));
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        acceptor.dispose(false);
        processor.dispose();
        connector.dispose(false);
    }

    private final class CallerHandler extends IoHandlerAdapter {
        @Override
        public void sessionCreated(IoSession session) {
            long id = lastCaller.incrementAndGet();
            session.setAttribute(ID, id);
            callers.put(id, session);
            listener.opened(id);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            listener.read((Long) session.getAttribute(ID), clock.getAsLong(), Mina.bytes(message));
        }

        @Override
        public void sessionClosed(IoSession session) {
            Long id = (Long) session.getAttribute(ID);
            callers.remove(id);
            processor.freed();
            listener.closed(id);
            synchronized (gone) {
                gone.notifyAll();
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }

    private final class LegHandler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            Long id = (Long) session.getAttribute(ID);
            legs.put(id, session);
            listener.legUp(id);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            listener.legRead(
                    (Long) session.getAttribute(ID), clock.getAsLong(), Mina.bytes(message));
        }

        @Override
        public void sessionClosed(IoSession session) {
            Long id = (Long) session.getAttribute(ID);
            if (legs.remove(id) != null) {
                listener.legDown(id, Down.BROKEN);
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
