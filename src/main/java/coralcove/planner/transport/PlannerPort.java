package coralcove.planner.transport;

import coralcove.GroupFacts;
import coralcove.mina.Mina;
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

/** A planner's end of the link on Apache MINA; one thread owns the planner. */
public final class PlannerPort implements PlannerCore.Out {
    /** Milliseconds to connect at most. */
    private static final int CONNECT = 2000;

    /**
     * Milliseconds between two writes to the store: what a kill loses comes again with the next
     * refresh, in 5 s.
     */
    private static final int KEEP = 1000;

    private final Logger log;
    private final InetSocketAddress edge;
    private final PlannerCore core;
    private final EntryStore<Integer, GroupFacts> store;
    private final NioSocketConnector connector = new NioSocketConnector(1);
    private final ScheduledExecutorService thread;
    private IoSession session;

    /** Keeps what it learns in {@code store}, which may be null and is closed at the end. */
    public PlannerPort(
            String name,
            String host,
            int port,
            PlannerCore core,
            EntryStore<Integer, GroupFacts> store) {
        log = LoggerFactory.getLogger(name);
        edge = new InetSocketAddress(host, port);
        this.core = core;
        this.store = store;
        thread = Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, name));
        connector.setConnectTimeoutMillis(CONNECT);
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.setHandler(
                new IoHandlerAdapter() {
                    @Override
                    public void messageReceived(IoSession from, Object message) {
                        byte[] bytes = Mina.bytes(message);
                        run(
                                now -> {
                                    if (from == session) {
                                        core.read(now, bytes, PlannerPort.this);
                                    }
                                });
                    }

                    @Override
                    public void sessionClosed(IoSession from) {
                        run(
                                now -> {
                                    if (from == session) {
                                        session = null;
                                        core.closed(now, PlannerPort.this);
                                    }
                                });
                    }

                    @Override
                    public void exceptionCaught(IoSession from, Throwable cause) {
                        from.closeNow();
                    }
                });
        if (store != null) {
            core.learn(store.read());
            thread.scheduleWithFixedDelay(
                    () -> act(now -> store.write(core.changed())),
                    KEEP,
                    KEEP,
                    TimeUnit.MILLISECONDS);
        }
        thread.scheduleAtFixedRate(
                () -> act(now -> core.tick(now, this)),
                0,
                PlannerCore.every(),
                TimeUnit.MICROSECONDS);
    }

    private void run(LongConsumer act) {
        try {
            thread.execute(() -> act(act));
        } catch (RejectedExecutionException e) {
            // Closed: nothing is planned any more.
        }
    }

    private void act(LongConsumer act) {
        try {
            act.accept(System.nanoTime() / 1000);
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
                            ConnectFuture done = (ConnectFuture) future;
                            run(
                                    now -> {
                                        if (done.isConnected()) {
                                            session = done.getSession();
                                            core.connected(now, this);
                                        } else {
                                            core.closed(now, this);
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

    /** Ends the planner for good. */
    public void end() {
        thread.shutdownNow();
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
