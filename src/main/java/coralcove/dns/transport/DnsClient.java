package coralcove.dns.transport;

import coralcove.dns.Questions;
import coralcove.dns.Resolver;
import coralcove.mina.Mina;
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
 * The resolver on Apache MINA: one thread owns it, sockets are connected, each from a port that the
 * system draws, and are replaced after a while. Answers are handed over on the resolver's thread.
 */
public final class DnsClient implements Questions, AutoCloseable {
    /**
     * Datagrams sent by one socket before it is replaced: a port that is used for long can be
     * guessed.
     */
    private static final int USES = 1000;

    /** Milliseconds to open a stream at most. */
    private static final int CONNECT = 1000;

    private static final String INDEX = "index";
    private static final String KEY = "key";

    /** A socket to one server. */
    private record Place(int socket, Resolver.Server server) {}

    private static final class Socket {
        IoSession session;
        int uses;
    }

    private final Resolver resolver;
    private final long tryFor;
    private final ScheduledExecutorService thread;
    private final NioDatagramConnector datagrams = new NioDatagramConnector(1);
    private final NioSocketConnector streams = new NioSocketConnector(1);
    private final Map<Place, Socket> sockets = new HashMap<>();
    private final Map<Long, IoSession> open = new HashMap<>();
    private final Outputs outputs = new Outputs();
    private long armed = Long.MAX_VALUE;

    public DnsClient(Resolver.Settings settings, RandomGenerator chance) {
        resolver = new Resolver(settings, chance);
        tryFor = settings.tryFor();
        thread =
                Executors.newSingleThreadScheduledExecutor(
                        r -> {
                            Thread made = new Thread(r, "resolver");
                            made.setDaemon(true);
                            return made;
                        });
        datagrams.setHandler(new Datagrams());
        streams.setHandler(new Streams());
        streams.setConnectTimeoutMillis(CONNECT);
    }

    /** µs of a clock that never goes back. */
    private static long now() {
        return System.nanoTime() / 1000;
    }

    /**
     * Asks; {@code done} is called once, on the resolver's thread. After {@link #close} nothing is
     * asked.
     */
    @Override
    public void ask(String name, int type, Consumer<Resolver.Result> done) {
        run(() -> resolver.ask(now(), name, type, done, outputs));
    }

    private void run(Runnable act) {
        try {
            thread.execute(
                    () -> {
                        act.run();
                        arm();
                    });
        } catch (RejectedExecutionException e) {
            // Closed: nobody waits for what comes now.
        }
    }

    private void arm() {
        long due = resolver.due();
        if (due < armed) {
            armed = due;
            thread.schedule(
                    () -> {
                        armed = Long.MAX_VALUE;
                        resolver.tick(now(), outputs);
                        arm();
                    },
                    Math.max(0, due - now()),
                    TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
        datagrams.dispose(false);
        streams.dispose(false);
    }

    private final class Outputs implements Resolver.Out {
        @Override
        public void datagram(int index, Resolver.Server to, byte[] bytes) {
            Socket socket = sockets.computeIfAbsent(new Place(index, to), p -> new Socket());
            if (socket.session != null && (++socket.uses > USES || !socket.session.isConnected())) {
                IoSession old = socket.session;
                // An answer to its last question may still come.
                thread.schedule(old::closeNow, tryFor, TimeUnit.MICROSECONDS);
                socket.session = null;
            }
            if (socket.session == null) {
                socket.uses = 1;
                ConnectFuture connected =
                        datagrams.connect(new InetSocketAddress(to.host(), to.port()));
                connected.awaitUninterruptibly();
                if (!connected.isConnected()) {
                    return;
                }
                socket.session = connected.getSession();
                socket.session.setAttribute(INDEX, new Place(index, to));
            }
            socket.session.write(IoBuffer.wrap(bytes));
        }

        @Override
        public void stream(long key, Resolver.Server to, byte[] bytes) {
            streams.connect(new InetSocketAddress(to.host(), to.port()))
                    .addListener(
                            future -> {
                                ConnectFuture done = (ConnectFuture) future;
                                if (!done.isConnected()) {
                                    run(() -> resolver.broken(now(), key, this));
                                    return;
                                }
                                IoSession session = done.getSession();
                                session.setAttribute(KEY, key);
                                IoBuffer framed = IoBuffer.allocate(bytes.length + 2);
                                framed.putShort((short) bytes.length).put(bytes).flip();
                                session.write(framed);
                                run(() -> open.put(key, session));
                            });
        }

        @Override
        public void close(long key) {
            IoSession session = open.remove(key);
            if (session != null) {
                session.closeNow();
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public void done(Object owner, Resolver.Result result) {
            ((Consumer<Resolver.Result>) owner).accept(result);
        }
    }

    private final class Datagrams extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            byte[] bytes = Mina.bytes(message);
            run(
                    () -> {
                        Place place = (Place) session.getAttribute(INDEX);
                        resolver.datagram(now(), place.socket, place.server, bytes, outputs);
                    });
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            // Nobody listens there (ICMP): the try ends by its time.
            session.closeNow();
        }
    }

    private final class Streams extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            byte[] frame = Frames.take(session, Mina.bytes(message));
            if (frame != null) {
                run(() -> resolver.stream(now(), (Long) session.getAttribute(KEY), frame, outputs));
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            Long key = (Long) session.getAttribute(KEY);
            if (key != null) {
                run(
                        () -> {
                            open.remove(key);
                            resolver.broken(now(), key, outputs);
                        });
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
