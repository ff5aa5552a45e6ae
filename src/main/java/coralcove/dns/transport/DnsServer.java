package coralcove.dns.transport;

import coralcove.dns.DnsStandIn;
import coralcove.mina.Mina;
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
 * The stand-in portability server on Apache MINA, UDP and TCP on one port; one thread owns the
 * server.
 */
public final class DnsServer implements AutoCloseable {
    private final DnsStandIn server;
    private final ScheduledExecutorService thread;
    private final NioDatagramAcceptor datagrams = new NioDatagramAcceptor();
    private final NioSocketAcceptor streams = new NioSocketAcceptor(1);

    /** Binds both; a port in use ends in an IOException that names the address. */
    public DnsServer(String host, int port, DnsStandIn server) throws IOException {
        this.server = server;
        thread =
                Executors.newSingleThreadScheduledExecutor(
                        r -> {
                            Thread made = new Thread(r, "portability");
                            made.setDaemon(true);
                            return made;
                        });
        datagrams.setHandler(new Handler(false));
        streams.setHandler(new Handler(true));
        streams.setReuseAddress(true);
        InetSocketAddress at = new InetSocketAddress(host, port);
        try {
            streams.bind(at);
            datagrams.bind(at);
        } catch (IOException | RuntimeException e) {
            close();
            throw Mina.cannotListen(host, port, e);
        }
    }

    public void misbehave(DnsStandIn.Fault how, long by) {
        thread.execute(() -> server.misbehave(how, by));
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
            byte[] read = Mina.bytes(message);
            byte[] question = stream ? Frames.take(session, read) : read;
            if (question != null && !thread.isShutdown()) {
                thread.execute(
                        () ->
                                server.ask(question, stream)
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
