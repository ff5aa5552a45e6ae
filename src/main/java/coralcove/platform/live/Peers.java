package coralcove.platform.live;

import coralcove.mina.Mina;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;

/** Datagrams between routers of the tier: 256 bytes at most, from addresses of the list alone. */
final class Peers implements AutoCloseable {
    private static final int MOST_BYTES = 256;

    /** Hears on MINA's thread. */
    interface Listener {
        void peer(int rank, byte[] bytes);
    }

    private final NioDatagramAcceptor acceptor = new NioDatagramAcceptor();
    private final InetSocketAddress listen;
    private final InetSocketAddress all;

    Peers(
            InetSocketAddress listen,
            List<InetSocketAddress> peers,
            InetSocketAddress all,
            Listener listener)
            throws IOException {
        this.listen = listen;
        this.all = all;
        acceptor.setHandler(
                new IoHandlerAdapter() {
                    @Override
                    public void messageReceived(IoSession session, Object message) {
                        byte[] bytes = Mina.bytes(message);
                        int rank = peers.indexOf(session.getRemoteAddress());
                        if (rank >= 0 && bytes.length <= MOST_BYTES) {
                            listener.peer(rank, bytes);
                        }
                    }

                    @Override
                    public void exceptionCaught(IoSession session, Throwable cause) {
                        // A datagram may be lost; nothing hangs on one.
                    }
                });
        acceptor.getSessionConfig().setReuseAddress(true);
        try {
            acceptor.bind(listen);
        } catch (IOException | RuntimeException e) {
            throw Mina.cannotListen(listen.getHostString(), listen.getPort(), e);
        }
    }

    void send(byte[] bytes) {
        if (all != null && bytes.length <= MOST_BYTES) {
            acceptor.newSession(all, listen).write(IoBuffer.wrap(bytes));
        }
    }

    @Override
    public void close() {
        acceptor.dispose(false);
    }
}
