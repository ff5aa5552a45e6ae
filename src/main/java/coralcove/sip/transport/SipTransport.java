package coralcove.sip.transport;

import coralcove.mina.MinaSupport;
import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipParser;
import coralcove.sip.StreamFramer;
import coralcove.sip.TransportAddress;
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
 * The SIP transport of one node on Apache MINA: UDP and TCP on the same port; TCP connections are
 * reused in both directions. Complete messages are passed to the listener on MINA's threads. The
 * number of connections, the bytes queued for a peer and the idle time are limited.
 */
public final class SipTransport implements AutoCloseable {
    /** Connections in both directions at most; a further one is closed at once. */
    private static final int MAX_CONNECTIONS = 10_000;

    /**
     * Bytes queued for one peer at most; a connection beyond this is closed because the peer does
     * not read.
     */
    private static final long MAX_QUEUED_BYTES = 4L << 20;

    /** A connection without traffic for this long is closed. */
    private static final int IDLE_TIMEOUT_SECONDS = 120;

    /**
     * Receive buffer of the UDP socket: some thousand messages, the traffic of a tenth of a second.
     */
    private static final int RECEIVE_BUFFER_BYTES = 4 << 20;

    private static final String ADDRESS_ATTRIBUTE = "hop";
    private static final String FRAMER_ATTRIBUTE = "framer";

    /** Receives messages and errors; called on MINA's threads. */
    public interface Listener {
        /** A complete message, not parsed yet, was received. */
        void messageReceived(TransportAddress from, byte[] bytes);

        /** The connection to the peer was lost, or ({@code refused}) could not be opened. */
        void connectionFailed(TransportAddress peer, boolean refused);

        /**
         * Traffic with a peer was dropped, in most cases with its connection, because of a limit or
         * an error.
         */
        void peerCutOff(TransportAddress peer, String reason);
    }

    private final TransportAddress localAddress;
    private final Listener listener;
    private final InetSocketAddress bindAddress;
    private final NioDatagramAcceptor datagramAcceptor = new NioDatagramAcceptor();
    private final NioSocketAcceptor streamAcceptor = new NioSocketAcceptor(1);
    private final NioSocketConnector streamConnector = new NioSocketConnector(1);
    private final Map<TransportAddress, IoSession> streams = new ConcurrentHashMap<>();
    private final Map<TransportAddress, ConnectionQueue> connectionQueues = new HashMap<>();
    private volatile boolean closed;

    /** Binds the UDP and TCP sockets; the IOException on failure names the address. */
    public SipTransport(TransportAddress localAddress, Listener listener) throws IOException {
        this.localAddress = localAddress;
        this.listener = listener;
        bindAddress = new InetSocketAddress(localAddress.host(), localAddress.port());
        StreamHandler handler = new StreamHandler();
        streamAcceptor.setHandler(handler);
        streamAcceptor.setReuseAddress(true);
        streamAcceptor.setBacklog(1024);
        streamAcceptor.getSessionConfig().setTcpNoDelay(true);
        streamAcceptor.getSessionConfig().setBothIdleTime(IDLE_TIMEOUT_SECONDS);
        streamConnector.setHandler(handler);
        streamConnector.setConnectTimeoutMillis(2000);
        streamConnector.getSessionConfig().setTcpNoDelay(true);
        streamConnector.getSessionConfig().setBothIdleTime(IDLE_TIMEOUT_SECONDS);
        datagramAcceptor.setHandler(new DatagramHandler());
        datagramAcceptor.getSessionConfig().setReadBufferSize(SipParser.MAX_MESSAGE_BYTES);
        datagramAcceptor.getSessionConfig().setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        try {
            streamAcceptor.bind(bindAddress);
            datagramAcceptor.bind(bindAddress);
        } catch (IOException | RuntimeException e) {
            close();
            throw MinaSupport.bindFailure(localAddress.host(), localAddress.port(), e);
        }
    }

    /** The address that the sockets are bound to. */
    public TransportAddress localAddress() {
        return localAddress;
    }

    /** Sends a message; over TCP opens a connection first if there is none. */
    public void send(TransportAddress to, byte[] bytes) {
        if (closed) {
            return;
        }
        if (!to.tcp() && to.host().startsWith("[")) {
            // MINA's datagram acceptor never returns from sending to IPv6 and would block the
            // node's thread.
            listener.peerCutOff(to, "IPv6 over UDP is not served");
            return;
        }
        if (!to.tcp()) {
            datagramAcceptor
                    .newSession(new InetSocketAddress(to.host(), to.port()), bindAddress)
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

    /** Closes the connection to this peer, if there is one; used for fault injection. */
    public void closeConnection(TransportAddress to) {
        IoSession stream = streams.get(to);
        if (stream != null) {
            stream.closeOnFlush();
        }
    }

    private void write(IoSession stream, byte[] bytes) {
        if (stream.getScheduledWriteBytes() > MAX_QUEUED_BYTES) {
            listener.peerCutOff(
                    peerAddress(stream),
                    "reads too slowly: " + stream.getScheduledWriteBytes() + " bytes wait");
            stream.closeNow();
        } else {
            stream.write(IoBuffer.wrap(bytes));
        }
    }

    /** Messages queued while a connection is being opened. */
    private static final class ConnectionQueue {
        final List<byte[]> messages = new ArrayList<>();
        long bytes;
        boolean overflowReported;

        void add(byte[] message) {
            messages.add(message);
            bytes += message.length;
        }
    }

    private void connect(TransportAddress to, byte[] bytes) {
        synchronized (connectionQueues) {
            ConnectionQueue queue = connectionQueues.get(to);
            if (queue != null) {
                // A peer that accepts no connection must not exhaust the memory; the transactions
                // retransmit or time out.
                if (queue.bytes + bytes.length > MAX_QUEUED_BYTES) {
                    if (!queue.overflowReported) {
                        queue.overflowReported = true;
                        listener.peerCutOff(
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
            ConnectionQueue newQueue = new ConnectionQueue();
            newQueue.add(bytes);
            connectionQueues.put(to, newQueue);
        }
        streamConnector
                .connect(new InetSocketAddress(to.host(), to.port()))
                .addListener(
                        future -> {
                            org.apache.mina.core.future.ConnectFuture connectFuture =
                                    (org.apache.mina.core.future.ConnectFuture) future;
                            ConnectionQueue queue;
                            synchronized (connectionQueues) {
                                queue = connectionQueues.remove(to);
                                if (connectFuture.isConnected()) {
                                    streams.put(to, connectFuture.getSession());
                                    connectFuture.getSession().setAttribute(ADDRESS_ATTRIBUTE, to);
                                    queue.messages.forEach(
                                            each -> write(connectFuture.getSession(), each));
                                }
                            }
                            if (!connectFuture.isConnected() && !closed) {
                                listener.connectionFailed(to, true);
                            }
                        });
    }

    private static TransportAddress remoteAddress(IoSession session, boolean tcp) {
        InetSocketAddress address = (InetSocketAddress) session.getRemoteAddress();
        return new TransportAddress(tcp, address.getAddress().getHostAddress(), address.getPort());
    }

    private static TransportAddress peerAddress(IoSession session) {
        TransportAddress known = (TransportAddress) session.getAttribute(ADDRESS_ATTRIBUTE);
        return known != null ? known : remoteAddress(session, true);
    }

    @Override
    public void close() {
        closed = true;
        datagramAcceptor.dispose(false);
        streamAcceptor.getManagedSessions().values().forEach(IoSession::closeNow);
        streamAcceptor.dispose(false);
        streamConnector.getManagedSessions().values().forEach(IoSession::closeNow);
        streamConnector.dispose(false);
    }

    private final class DatagramHandler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            byte[] bytes = MinaSupport.toBytes(message);
            // Shorter datagrams are keep-alives of RFC 5626.
            if (bytes.length > 4) {
                listener.messageReceived(remoteAddress(session, false), bytes);
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            if (!closed && session.getRemoteAddress() != null) {
                listener.peerCutOff(
                        remoteAddress(session, false), String.valueOf(cause.getMessage()));
            }
        }
    }

    private final class StreamHandler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            if (streamAcceptor.getManagedSessionCount() + streamConnector.getManagedSessionCount()
                    > MAX_CONNECTIONS) {
                listener.peerCutOff(
                        remoteAddress(session, true),
                        "more than " + MAX_CONNECTIONS + " connections");
                session.closeNow();
                return;
            }
            session.setAttribute(FRAMER_ATTRIBUTE, new StreamFramer());
            streams.putIfAbsent(remoteAddress(session, true), session);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            byte[] bytes = MinaSupport.toBytes(message);
            TransportAddress from = remoteAddress(session, true);
            try {
                ((StreamFramer) session.getAttribute(FRAMER_ATTRIBUTE))
                        .feed(
                                bytes,
                                0,
                                bytes.length,
                                complete -> listener.messageReceived(from, complete));
            } catch (MalformedMessageException e) {
                listener.peerCutOff(from, e.getMessage());
                session.closeNow();
            }
        }

        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            session.closeNow();
        }

        @Override
        public void sessionClosed(IoSession session) {
            TransportAddress address = peerAddress(session);
            streams.remove(address, session);
            streams.remove(remoteAddress(session, true), session);
            if (!closed) {
                listener.connectionFailed(address, false);
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
