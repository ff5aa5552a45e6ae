package coralcove.planner.transport;

import coralcove.mina.MinaSupport;
import coralcove.planner.EdgeLinkCore;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongConsumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The edge's end of the planner link on Apache MINA: listens for the planner and passes all events
 * to the thread that owns the link.
 */
public final class EdgeLinkServer implements EdgeLinkCore.Actions, AutoCloseable {
    /** Runs an action on the thread that owns the link. */
    public interface LinkExecutor {
        /** Schedules {@code action}, which receives the current time in µs. */
        void run(LongConsumer action);
    }

    private final Logger log;
    private final NioSocketAcceptor acceptor = new NioSocketAcceptor(1);
    private final Map<Long, IoSession> connections = new ConcurrentHashMap<>();

    /**
     * Starts to listen.
     *
     * @param name name of the logger
     * @throws IOException if the port cannot be listened on; the message names the address
     */
    public EdgeLinkServer(
            String name, String host, int port, EdgeLinkCore link, LinkExecutor executor)
            throws IOException {
        log = LoggerFactory.getLogger(name);
        acceptor.setReuseAddress(true);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.setHandler(
                new IoHandlerAdapter() {
                    @Override
                    public void sessionOpened(IoSession session) {
                        connections.put(session.getId(), session);
                        executor.run(
                                now ->
                                        link.connectionOpened(
                                                now, session.getId(), EdgeLinkServer.this));
                    }

                    @Override
                    public void messageReceived(IoSession session, Object message) {
                        byte[] bytes = MinaSupport.toBytes(message);
                        executor.run(
                                now ->
                                        link.bytesReceived(
                                                now, session.getId(), bytes, EdgeLinkServer.this));
                    }

                    @Override
                    public void sessionClosed(IoSession session) {
                        connections.remove(session.getId());
                        executor.run(
                                now ->
                                        link.connectionClosed(
                                                now, session.getId(), EdgeLinkServer.this));
                    }

                    @Override
                    public void exceptionCaught(IoSession session, Throwable cause) {
                        session.closeNow();
                    }
                });
        try {
            acceptor.bind(new InetSocketAddress(host, port));
        } catch (IOException | RuntimeException e) {
            close();
            throw MinaSupport.bindFailure(host, port, e);
        }
    }

    @Override
    public void send(long connection, byte[] bytes) {
        IoSession session = connections.get(connection);
        if (session != null) {
            session.write(IoBuffer.wrap(bytes));
        }
    }

    @Override
    public void close(long connection) {
        IoSession session = connections.remove(connection);
        if (session != null) {
            session.closeOnFlush();
        }
    }

    @Override
    public long backlog(long connection) {
        IoSession session = connections.get(connection);
        return session == null ? 0 : session.getScheduledWriteBytes();
    }

    @Override
    public void log(String event, String detail) {
        log.atInfo().addKeyValue("session", "").addKeyValue("detail", detail).log(event);
    }

    @Override
    public void close() {
        connections.values().forEach(IoSession::closeNow);
        acceptor.dispose(false);
    }
}
