package coralcove.dns.transport;

import coralcove.dns.SimulatedDnsServer;
import coralcove.mina.MinaSupport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * The simulated name server on Apache MINA, with UDP and TCP on the same port. One thread owns the
 * server.
 */
public final class DnsServer implements AutoCloseable {
    private final SimulatedDnsServer server;
    private final ScheduledExecutorService thread;
    private final NioDatagramAcceptor datagrams = new NioDatagramAcceptor();
    private final NioSocketAcceptor streams = new NioSocketAcceptor(1);

    /**
     * Listens on UDP and TCP; if the port is in use, throws an IOException that names the address.
     */
    public DnsServer(String host, int port, SimulatedDnsServer server) throws IOException {
        this.server = server;
        thread =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread created = new Thread(task, "portability");
                            created.setDaemon(true);
                            return created;
                        });
        datagrams.setHandler(new Handler(false));
        streams.setHandler(new Handler(true));
        streams.setReuseAddress(true);
        InetSocketAddress address = new InetSocketAddress(host, port);
        try {
            streams.bind(address);
            datagrams.bind(address);
        } catch (IOException | RuntimeException e) {
            close();
            throw MinaSupport.bindFailure(host, port, e);
        }
    }

    /** From now on misbehaves like {@code fault}; {@code delay} (µs) applies to SLOW. */
    public void injectFault(SimulatedDnsServer.Fault fault, long delay) {
        thread.execute(() -> server.injectFault(fault, delay));
    }

    @Override
    public void close() {
        thread.shutdownNow();
        datagrams.dispose(false);
        streams.dispose(false);
    }

    private final class Handler extends IoHandlerAdapter {
        private final boolean stream;

        Handler(boolean stream) {
            this.stream = stream;
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            byte[] bytes = MinaSupport.toBytes(message);
            byte[] query = stream ? StreamFraming.addBytes(session, bytes) : bytes;
            if (query != null && !thread.isShutdown()) {
                thread.execute(
                        () ->
                                server.handleQuery(query, stream)
                                        .forEach(
                                                packet ->
                                                        thread.schedule(
                                                                () -> send(session, packet.bytes()),
                                                                packet.delay(),
                                                                TimeUnit.MICROSECONDS)));
            }
        }

        private void send(IoSession session, byte[] bytes) {
            IoBuffer out = IoBuffer.allocate(bytes.length + 2);
            if (stream) {
                out.putShort((short) bytes.length);
            }
            session.write(out.put(bytes).flip());
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
