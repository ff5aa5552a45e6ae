package coralcove.platform.live;

import coralcove.mina.MinaSupport;
import coralcove.platform.ConnectionLoss;
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
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * TCP transport on Apache MINA: accepts callers' connections and opens connections to exchanges. It
 * passes received bytes on with their time of arrival and does not interpret them. The data waiting
 * to be written to a peer is bounded; a connection over the bound is closed, as its peer does not
 * read.
 */
final class TcpConnections implements AutoCloseable {
    /** Largest number of bytes waiting to be written to one peer. */
    private static final long MAX_UNWRITTEN_BYTES = 256 << 10;

    /** Largest number of bytes read from a caller at a time: one turn of its connection. */
    private static final int MAX_CALLER_READ_BYTES = 4 << 10;

    /** Largest number of bytes read from an exchange at a time. */
    private static final int MAX_EXCHANGE_READ_BYTES = 16 << 10;

    /**
     * Size of the kernel's receive buffer of a caller's connection. It bounds what a client has
     * sent and this router has not read when the client closes its connection.
     */
    private static final int CALLER_RECEIVE_BUFFER_BYTES = 64 << 10;

    /**
     * Interval at which the number of remaining sessions is checked at shutdown. It is polled
     * because MINA lowers the number after it has reported the close.
     */
    private static final int FLUSH_CHECK_MS = 10;

    private static final AttributeKey CONNECTION_ID = new AttributeKey(TcpConnections.class, "id");

    /**
     * Receives connection events on MINA's threads; those of one connection arrive in order. {@code
     * receivedAt} is in µs by the clock that was passed in.
     */
    interface Listener {
        void callerOpened(long callerId);

        void callerRead(long callerId, long receivedAt, byte[] bytes);

        void callerClosed(long callerId);

        /** A caller connected near the limit on connections: some should be closed. */
        void callerLimitNear();

        void exchangeConnected(long connectionId);

        void exchangeRead(long connectionId, long receivedAt, byte[] bytes);

        /** A connection to an exchange was lost or could not be opened. */
        void exchangeDisconnected(long connectionId, ConnectionLoss cause);
    }

    private final Listener listener;
    private final LongSupplier clock;
    private final BoundedProcessor processor;
    private final NioSocketAcceptor acceptor;
    private final NioSocketConnector connector = new NioSocketConnector(1);
    private final Map<Long, IoSession> callerSessions = new ConcurrentHashMap<>();
    private final Map<Long, IoSession> exchangeSessions = new ConcurrentHashMap<>();
    private final Map<Long, ConnectFuture> pendingConnects = new ConcurrentHashMap<>();
    private final AtomicLong lastCallerId = new AtomicLong();
    private final Object callerClosedMonitor = new Object();
    private volatile boolean closed;

    /**
     * Creates the transport without opening a socket.
     *
     * @param connectTimeoutMs time allowed for opening a connection to an exchange
     * @param maxCallers number of callers' connections at which no further one is accepted
     * @param clock source of the arrival times, in µs
     */
    TcpConnections(long connectTimeoutMs, int maxCallers, LongSupplier clock, Listener listener) {
        processor = new BoundedProcessor(maxCallers, listener::callerLimitNear);
        acceptor = new NioSocketAcceptor(processor);
        this.listener = listener;
        this.clock = clock;
        acceptor.setHandler(new CallerHandler());
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(1024);
        // Unbinding must not close the connections that are open.
        acceptor.setCloseOnDeactivation(false);
        configure(acceptor.getSessionConfig(), MAX_CALLER_READ_BYTES);
        acceptor.getSessionConfig().setReceiveBufferSize(CALLER_RECEIVE_BUFFER_BYTES);
        connector.setHandler(new ExchangeHandler());
        connector.setConnectTimeoutMillis(connectTimeoutMs);
        connector.setConnectTimeoutCheckInterval(50);
        configure(connector.getSessionConfig(), MAX_EXCHANGE_READ_BYTES);
    }

    private static void configure(SocketSessionConfig config, int maxReadBytes) {
        config.setTcpNoDelay(true);
        config.setMinReadBufferSize(2048);
        config.setReadBufferSize(4096);
        config.setMaxReadBufferSize(maxReadBytes);
    }

    /** Starts accepting callers' connections on the address. */
    void listen(InetSocketAddress address) throws IOException {
        try {
            acceptor.bind(address);
        } catch (IOException | RuntimeException e) {
            throw MinaSupport.bindFailure(address.getHostString(), address.getPort(), e);
        }
    }

    /** Opens a connection to an exchange; its result is reported to the listener. */
    void connectToExchange(long connectionId, InetSocketAddress address) {
        ConnectFuture future =
                connector.connect(
                        address,
                        (session, done) -> session.setAttribute(CONNECTION_ID, connectionId));
        long startedNanos = System.nanoTime();
        pendingConnects.put(connectionId, future);
        future.addListener(
                done -> {
                    ConnectFuture connect = (ConnectFuture) done;
                    pendingConnects.remove(connectionId);
                    if (!connect.isConnected() && !closed && !connect.isCanceled()) {
                        boolean timedOut =
                                System.nanoTime() - startedNanos
                                        >= connector.getConnectTimeoutMillis() * 1_000_000L;
                        listener.exchangeDisconnected(
                                connectionId,
                                timedOut ? ConnectionLoss.SILENT : ConnectionLoss.REFUSED);
                    }
                });
    }

    void sendToCaller(long callerId, byte[] bytes) {
        write(callerSessions.get(callerId), bytes);
    }

    void sendToExchange(long connectionId, byte[] bytes) {
        write(exchangeSessions.get(connectionId), bytes);
    }

    private static void write(IoSession session, byte[] bytes) {
        if (session == null) {
            return;
        }
        if (session.getScheduledWriteBytes() > MAX_UNWRITTEN_BYTES) {
            session.closeNow();
        } else {
            session.write(IoBuffer.wrap(bytes));
        }
    }

    /** Reads no further from a caller's connection; its client is then held back by TCP. */
    void suspendReading(long callerId) {
        IoSession session = callerSessions.get(callerId);
        if (session != null) {
            session.suspendRead();
        }
    }

    /** Continues to read from a caller's connection. */
    void resumeReading(long callerId) {
        IoSession session = callerSessions.get(callerId);
        if (session != null && session.isReadSuspended()) {
            session.resumeRead();
            // MINA does not wake its selector for the change; a flush does.
            processor.flush((NioSession) session);
        }
    }

    /** Closes a caller's connection once pending writes have gone out. */
    void closeCaller(long callerId) {
        IoSession session = callerSessions.remove(callerId);
        if (session != null) {
            session.closeOnFlush();
        }
    }

    /**
     * Closes a connection to an exchange once pending writes have gone out, or cancels its opening;
     * the listener is not informed.
     */
    void closeExchange(long connectionId) {
        ConnectFuture future = pendingConnects.remove(connectionId);
        if (future != null) {
            future.cancel();
        }
        IoSession session = exchangeSessions.remove(connectionId);
        if (session != null) {
            session.closeOnFlush();
        }
    }

    /**
     * Stops accepting connections; open ones stay open. Does not wait for the acceptor: it may be
     * waiting at its limit for the core to close connections, and the core must not wait for it.
     */
    void stopAccepting() {
        Thread thread = new Thread(acceptor::unbind, "unbind");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Waits until all callers' connections have closed, with everything written to them before; at
     * most for the given time.
     */
    void awaitCallersClosed(int timeoutMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000L;
        synchronized (callerClosedMonitor) {
            for (long remainingMs = timeoutMs;
                    remainingMs > 0 && acceptor.getManagedSessionCount() > 0;
                    remainingMs = (deadlineNanos - System.nanoTime()) / 1_000_000) {
                callerClosedMonitor.wait(Math.min(remainingMs, FLUSH_CHECK_MS));
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
            long id = lastCallerId.incrementAndGet();
            session.setAttribute(CONNECTION_ID, id);
            callerSessions.put(id, session);
            listener.callerOpened(id);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            listener.callerRead(
                    (Long) session.getAttribute(CONNECTION_ID),
                    clock.getAsLong(),
                    MinaSupport.toBytes(message));
        }

        @Override
        public void sessionClosed(IoSession session) {
            Long id = (Long) session.getAttribute(CONNECTION_ID);
            callerSessions.remove(id);
            processor.sessionClosed();
            listener.callerClosed(id);
            synchronized (callerClosedMonitor) {
                callerClosedMonitor.notifyAll();
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }

    private final class ExchangeHandler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            Long id = (Long) session.getAttribute(CONNECTION_ID);
            exchangeSessions.put(id, session);
            listener.exchangeConnected(id);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            listener.exchangeRead(
                    (Long) session.getAttribute(CONNECTION_ID),
                    clock.getAsLong(),
                    MinaSupport.toBytes(message));
        }

        @Override
        public void sessionClosed(IoSession session) {
            Long id = (Long) session.getAttribute(CONNECTION_ID);
            if (exchangeSessions.remove(id) != null) {
                listener.exchangeDisconnected(id, ConnectionLoss.BROKEN);
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
