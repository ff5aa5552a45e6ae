package coralcove.planner.transport;

import coralcove.GroupLoad;
import coralcove.mina.MinaSupport;
import coralcove.planner.PlannerCore;
import coralcove.store.EntryStore;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The planner's end of the link on Apache MINA: connects to the edge and runs the planner on a
 * thread of its own.
 */
public final class PlannerClient implements PlannerCore.Actions {
    private static final int CONNECT_TIMEOUT_MILLIS = 2000;

    /**
     * Milliseconds between two writes to the store. Loads that a kill loses come again with the
     * edge's next update, within 5 s.
     */
    private static final int STORE_INTERVAL_MILLIS = 1000;

    private final Logger log;
    private final InetSocketAddress edge;
    private final PlannerCore core;
    private final EntryStore<Integer, GroupLoad> store;
    private final NioSocketConnector connector = new NioSocketConnector(1);
    private final ScheduledExecutorService executor;
    private IoSession session;

    /**
     * Starts the planner.
     *
     * @param name name of the logger and the thread
     * @param host host of the edge
     * @param port port on which the edge listens for its planner
     * @param store store of the received loads, or null for none; closed by {@link #shutDown}
     */
    public PlannerClient(
            String name,
            String host,
            int port,
            PlannerCore core,
            EntryStore<Integer, GroupLoad> store) {
        log = LoggerFactory.getLogger(name);
        edge = new InetSocketAddress(host, port);
        this.core = core;
        this.store = store;
        executor = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, name));
        connector.setConnectTimeoutMillis(CONNECT_TIMEOUT_MILLIS);
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.setHandler(
                new IoHandlerAdapter() {
                    @Override
                    public void messageReceived(IoSession source, Object message) {
                        byte[] bytes = MinaSupport.toBytes(message);
                        execute(
                                now -> {
                                    if (source == session) {
                                        core.bytesReceived(now, bytes, PlannerClient.this);
                                    }
                                });
                    }

                    @Override
                    public void sessionClosed(IoSession source) {
                        execute(
                                now -> {
                                    if (source == session) {
                                        session = null;
                                        core.connectionClosed(now, PlannerClient.this);
                                    }
                                });
                    }

                    @Override
                    public void exceptionCaught(IoSession source, Throwable cause) {
                        source.closeNow();
                    }
                });
        if (store != null) {
            core.restore(store.read());
            executor.scheduleWithFixedDelay(
                    () -> runSafely(now -> store.write(core.drainChanged())),
                    STORE_INTERVAL_MILLIS,
                    STORE_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        executor.scheduleAtFixedRate(
                () -> runSafely(now -> core.tick(now, this)),
                0,
                PlannerCore.tickIntervalMicros(),
                TimeUnit.MICROSECONDS);
    }

    private void execute(LongConsumer action) {
        try {
            executor.execute(() -> runSafely(action));
        } catch (RejectedExecutionException e) {
            // The planner has been shut down; the event is discarded.
        }
    }

    /** Runs an action with the current time in µs; a failure is logged and ends nothing else. */
    private void runSafely(LongConsumer action) {
        try {
            action.accept(System.nanoTime() / 1000);
        } catch (RuntimeException e) {
            log.error("fault", e);
        }
    }

    @Override
    public void connect() {
        connector
                .connect(edge)
                .addListener(
                        future -> {
                            ConnectFuture connection = (ConnectFuture) future;
                            execute(
                                    now -> {
                                        if (connection.isConnected()) {
                                            session = connection.getSession();
                                            core.connected(now, this);
                                        } else {
                                            core.connectionClosed(now, this);
                                        }
                                    });
                        });
    }

    @Override
    public void send(byte[] bytes) {
        if (session != null) {
            session.write(IoBuffer.wrap(bytes));
        }
    }

    @Override
    public void close() {
        if (session != null) {
            session.closeNow();
            session = null;
        }
    }

    /** Shuts the planner down and closes its store. */
    public void shutDown() {
        executor.shutdownNow();
        if (store != null) {
            store.close();
        }
        connector.dispose(false);
    }

    @Override
    public void log(String event, String detail) {
        log.atInfo().addKeyValue("session", "").addKeyValue("detail", detail).log(event);
    }
}
