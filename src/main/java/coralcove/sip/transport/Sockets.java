package coralcove.sip.transport;

import coralcove.mina.Mina;
import coralcove.sip.BadMessage;
import coralcove.sip.Hop;
import coralcove.sip.SipParser;
import coralcove.sip.StreamFramer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * One node's sockets, on Apache MINA: UDP and TCP on the same port, connections used again in both
 * directions. What is read is handed over as whole messages on MINA's threads. Bounds: connections,
 * bytes waiting, idle time.
 */
public final class Sockets implements AutoCloseable {
    /** Connections of one node at most, both ways: past it a new one is closed at once. */
    private static final int MOST_CONNECTIONS = 10_000;

    /**
     * Bytes waiting to be written to one peer at most: past it the peer does not read, and is cut
     * off.
     */
    private static final long MOST_WAITING = 4L << 20;

    /** Seconds after which a connection that carried nothing is closed. */
    private static final int IDLE = 120;

    /**
     * Bytes of a socket's receive buffer for datagrams: some thousand messages, a tenth of a
     * second's worth.
     */
    private static final int RECEIVE_BUFFER = 4 << 20;

    private static final String HOP = "hop";
    private static final String FRAMER = "framer";

    /** Hears what comes in; called on MINA's threads. */
    public interface Listener {
        void read(Hop from, byte[] bytes);

        void broken(Hop peer, boolean refused);

        void cutOff(Hop peer, String reason);
    }

    private final Hop self;
    private final Listener listener;
    private final InetSocketAddress local;
    private final NioDatagramAcceptor datagrams = new NioDatagramAcceptor();
    private final NioSocketAcceptor acceptor = new NioSocketAcceptor(1);
    private final NioSocketConnector connector = new NioSocketConnector(1);
    private final Map<Hop, IoSession> streams = new ConcurrentHashMap<>();
    private final Map<Hop, Waiting> waiting = new HashMap<>();
    private volatile boolean closed;

    /** Binds both; a port in use ends in an IOException that names the address. */
    public Sockets(Hop self, Listener listener) throws IOException {
        this.self = self;
        this.listener = listener;
        local = new InetSocketAddress(self.host(), self.port());
        Stream handler = new Stream();
        acceptor.setHandler(handler);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(1024);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setBothIdleTime(IDLE);
        connector.setHandler(handler);
        connector.setConnectTimeoutMillis(2000);
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.getSessionConfig().setBothIdleTime(IDLE);
        datagrams.setHandler(new Datagram());
        datagrams.getSessionConfig().setReadBufferSize(SipParser.MOST_BYTES);
        datagrams.getSessionConfig().setReceiveBufferSize(RECEIVE_BUFFER);
        try {
            acceptor.bind(local);
            datagrams.bind(local);
        } catch (IOException | RuntimeException e) {
            close();
            throw Mina.cannotListen(self.host(), self.port(), e);
        }
    }

    public Hop self() {
        return self;
    }

    public void send(Hop to, byte[] bytes) {
        if (closed) {
            return;
        }
        if (!to.tcp() && to.host().startsWith("[")) {
            // The library's datagram acceptor never returns from it, and the node's thread would
            // stand.
            listener.cutOff(to, "IPv6 over UDP is not served");
            return;
        }
        if (!to.tcp()) {
            datagrams
                    .newSession(new InetSocketAddress(to.host(), to.port()), local)
                    .write(IoBuffer.wrap(bytes));
            return;
        }
        IoSession stream = streams.get(to);
        if (stream != null && stream.isConnected()) {
            write(stream, bytes);
        } else {
            connect(to, bytes);
        }
    }

    /** Closes the stream to this peer, if there is one: a fault for rehearsals. */
    public void cut(Hop to) {
        IoSession stream = streams.get(to);
        if (stream != null) {
            stream.closeOnFlush();
        }
    }

    private void write(IoSession stream, byte[] bytes) {
        if (stream.getScheduledWriteBytes() > MOST_WAITING) {
            listener.cutOff(
                    hop(stream),
                    "reads too slowly: " + stream.getScheduledWriteBytes() + " bytes wait");
            stream.closeNow();
        } else {
            stream.write(IoBuffer.wrap(bytes));
        }
    }

    /** What waits for a connection that is being opened. */
    private static final class Waiting {
        final List<byte[]> messages = new ArrayList<>();
        long bytes;
        boolean full;

        void add(byte[] message) {
            messages.add(message);
            bytes += message.length;
        }
    }

    private void connect(Hop to, byte[] bytes) {
        synchronized (waiting) {
            Waiting queue = waiting.get(to);
            if (queue != null) {
                // A peer that takes no connection must not fill the memory: its transactions send
                // again or end.
                if (queue.bytes + bytes.length > MOST_WAITING) {
                    if (!queue.full) {
                        queue.full = true;
                        listener.cutOff(
                                to,
                                "does not connect: "
                                        + queue.bytes
                                        + " bytes wait, more is dropped");
                    }
                    return;
                }
                queue.add(bytes);
                return;
            }
            Waiting first = new Waiting();
            first.add(bytes);
            waiting.put(to, first);
        }
        connector
                .connect(new InetSocketAddress(to.host(), to.port()))
                .addListener(
                        future -> {
                            org.apache.mina.core.future.ConnectFuture done =
                                    (org.apache.mina.core.future.ConnectFuture) future;
                            Waiting queue;
                            synchronized (waiting) {
                                queue = waiting.remove(to);
                                if (done.isConnected()) {
                                    streams.put(to, done.getSession());
                                    done.getSession().setAttribute(HOP, to);
                                    queue.messages.forEach(each -> write(done.getSession(), each));
                                }
                            }
                            if (!done.isConnected() && !closed) {
                                listener.broken(to, true);
                            }
                        });
    }

    private static Hop remote(IoSession session, boolean tcp) {
        InetSocketAddress address = (InetSocketAddress) session.getRemoteAddress();
        return new Hop(tcp, address.getAddress().getHostAddress(), address.getPort());
    }

    private static Hop hop(IoSession session) {
        Hop known = (Hop) session.getAttribute(HOP);
        return known != null ? known : remote(session, true);
    }

    @Override
    public void close() {
        closed = true;
        datagrams.dispose(false);
        acceptor.getManagedSessions().values().forEach(IoSession::closeNow);
        acceptor.dispose(false);
        connector.getManagedSessions().values().forEach(IoSession::closeNow);
        connector.dispose(false);
    }

    private final class Datagram extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            byte[] bytes = Mina.bytes(message);
            // RFC 5626 keep-alives carry nothing.
            if (bytes.length > 4) {
                listener.read(remote(session, false), bytes);
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            if (!closed && session.getRemoteAddress() != null) {
                listener.cutOff(remote(session, false), String.valueOf(cause.getMessage()));
            }
        }
    }

    private final class Stream extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            if (acceptor.getManagedSessionCount() + connector.getManagedSessionCount()
                    > MOST_CONNECTIONS) {
                listener.cutOff(
                        remote(session, true), "more than " + MOST_CONNECTIONS + " connections");
                session.closeNow();
                return;
            }
            session.setAttribute(FRAMER, new StreamFramer());
            streams.putIfAbsent(remote(session, true), session);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            byte[] bytes = Mina.bytes(message);
            Hop from = remote(session, true);
            try {
                ((StreamFramer) session.getAttribute(FRAMER))
                        .take(bytes, 0, bytes.length, whole -> listener.read(from, whole));
            } catch (BadMessage e) {
                listener.cutOff(from, e.getMessage());
                session.closeNow();
            }
        }

        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            session.closeNow();
        }

        @Override
        public void sessionClosed(IoSession session) {
            Hop hop = hop(session);
            streams.remove(hop, session);
            streams.remove(remote(session, true), session);
            if (!closed) {
                listener.broken(hop, false);
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
