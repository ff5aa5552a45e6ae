package coralcove.dns.transport;

import coralcove.dns.DnsQueryClient;
import coralcove.dns.Resolver;
import coralcove.mina.MinaSupport;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramConnector;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * The resolver on Apache MINA. One thread owns it and calls back with results. Its UDP sockets are
 * connected, use ports chosen by the system, and are replaced from time to time.
 */
public final class DnsClient implements DnsQueryClient, AutoCloseable {
    /**
     * Number of queries after which a socket is replaced, since a port that is used for long can be
     * guessed.
     */
    private static final int MAX_QUERIES_PER_SOCKET = 1000;

    /** Maximum time to open a TCP connection. */
    private static final int CONNECT_TIMEOUT_MS = 1000;

    private static final String SOCKET_ATTRIBUTE = "index";
    private static final String STREAM_KEY_ATTRIBUTE = "key";

    /** Identifies a socket that is connected to one server. */
    private record SocketId(int index, Resolver.Server server) {}

    private static final class ClientSocket {
        IoSession session;
        int uses;
    }

    private final Resolver resolver;
    private final long attemptTimeout;
    private final ScheduledExecutorService thread;
    private final NioDatagramConnector datagrams = new NioDatagramConnector(1);
    private final NioSocketConnector streams = new NioSocketConnector(1);
    private final Map<SocketId, ClientSocket> sockets = new HashMap<>();
    private final Map<Long, IoSession> openStreams = new HashMap<>();
    private final MinaActions actions = new MinaActions();
    private long nextTickAt = Long.MAX_VALUE;

    public DnsClient(Resolver.Settings settings, RandomGenerator random) {
        resolver = new Resolver(settings, random);
        attemptTimeout = settings.attemptTimeout();
        thread =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread created = new Thread(task, "resolver");
                            created.setDaemon(true);
                            return created;
                        });
        datagrams.setHandler(new DatagramHandler());
        streams.setHandler(new StreamHandler());
        streams.setConnectTimeoutMillis(CONNECT_TIMEOUT_MS);
    }

    /** Time in µs, by a clock that never goes back. */
    private static long now() {
        return System.nanoTime() / 1000;
    }

    /**
     * Sends a query; {@code callback} is called once, on the resolver's thread. After {@link
     * #close} nothing is sent.
     */
    @Override
    public void query(String name, int type, Consumer<Resolver.Result> callback) {
        execute(() -> resolver.query(now(), name, type, callback, actions));
    }

    private void execute(Runnable task) {
        try {
            thread.execute(
                    () -> {
                        task.run();
                        scheduleTick();
                    });
        } catch (RejectedExecutionException e) {
            // Closed: nobody waits for a result.
        }
    }

    private void scheduleTick() {
        long nextTick = resolver.nextTickAt();
        if (nextTick < nextTickAt) {
            nextTickAt = nextTick;
            thread.schedule(
                    () -> {
                        nextTickAt = Long.MAX_VALUE;
                        resolver.tick(now(), actions);
                        scheduleTick();
                    },
                    Math.max(0, nextTick - now()),
                    TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
        datagrams.dispose(false);
        streams.dispose(false);
    }

    private final class MinaActions implements Resolver.Actions {
        @Override
        public void sendDatagram(int index, Resolver.Server server, byte[] bytes) {
            ClientSocket socket =
                    sockets.computeIfAbsent(new SocketId(index, server), key -> new ClientSocket());
            if (socket.session != null
                    && (++socket.uses > MAX_QUERIES_PER_SOCKET || !socket.session.isConnected())) {
                IoSession old = socket.session;
                // A response to its last query may still arrive.
                thread.schedule(old::closeNow, attemptTimeout, TimeUnit.MICROSECONDS);
                socket.session = null;
            }
            if (socket.session == null) {
                socket.uses = 1;
                ConnectFuture connected =
                        datagrams.connect(new InetSocketAddress(server.host(), server.port()));
                connected.awaitUninterruptibly();
                if (!connected.isConnected()) {
                    return;
                }
                socket.session = connected.getSession();
                socket.session.setAttribute(SOCKET_ATTRIBUTE, new SocketId(index, server));
            }
            socket.session.write(IoBuffer.wrap(bytes));
        }

        @Override
        public void sendOnStream(long key, Resolver.Server server, byte[] bytes) {
            streams.connect(new InetSocketAddress(server.host(), server.port()))
                    .addListener(
                            future -> {
                                ConnectFuture connected = (ConnectFuture) future;
                                if (!connected.isConnected()) {
                                    execute(() -> resolver.streamFailed(now(), key, this));
                                    return;
                                }
                                IoSession session = connected.getSession();
                                session.setAttribute(STREAM_KEY_ATTRIBUTE, key);
                                IoBuffer framed = IoBuffer.allocate(bytes.length + 2);
                                framed.putShort((short) bytes.length).put(bytes).flip();
                                session.write(framed);
                                execute(() -> openStreams.put(key, session));
                            });
        }

        @Override
        public void closeStream(long key) {
            IoSession session = openStreams.remove(key);
            if (session != null) {
                session.closeNow();
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public void completed(Object owner, Resolver.Result result) {
            ((Consumer<Resolver.Result>) owner).accept(result);
        }
    }

    private final class DatagramHandler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            byte[] bytes = MinaSupport.toBytes(message);
            execute(
                    () -> {
                        SocketId socket = (SocketId) session.getAttribute(SOCKET_ATTRIBUTE);
                        resolver.datagramReceived(
                                now(), socket.index, socket.server, bytes, actions);
                    });
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            // No server listens at the address (ICMP): the attempt ends by its timeout.
            session.closeNow();
        }
    }

    private final class StreamHandler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            byte[] frame = StreamFraming.addBytes(session, MinaSupport.toBytes(message));
            if (frame != null) {
                execute(
                        () ->
                                resolver.streamMessageReceived(
                                        now(),
                                        (Long) session.getAttribute(STREAM_KEY_ATTRIBUTE),
                                        frame,
                                        actions));
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            Long key = (Long) session.getAttribute(STREAM_KEY_ATTRIBUTE);
            if (key != null) {
                execute(
                        () -> {
                            openStreams.remove(key);
                            resolver.streamFailed(now(), key, actions);
                        });
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
