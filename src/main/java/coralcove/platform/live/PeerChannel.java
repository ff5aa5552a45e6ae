package coralcove.platform.live;

import coralcove.mina.MinaSupport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;

/**
 * UDP channel between the session routers of a tier. Datagrams longer than 256 bytes, and those
 * from addresses that are not configured peers, are discarded.
 */
final class PeerChannel implements AutoCloseable {
    private static final int MAX_DATAGRAM_BYTES = 256;

    /** Receives datagrams on MINA's thread. */
    interface Listener {
        /** A datagram came from the peer at this index of the configured peers. */
        void received(int peerIndex, byte[] bytes);
    }

    private final NioDatagramAcceptor acceptor = new NioDatagramAcceptor();
    private final InetSocketAddress listenAddress;
    private final InetSocketAddress broadcastAddress;

    /**
     * Opens the channel.
     *
     * @param peers addresses of the other routers
     * @param broadcastAddress where a datagram to all peers is sent, or null to send none
     * @throws IOException if the address cannot be bound
     */
    PeerChannel(
            InetSocketAddress listenAddress,
            List<InetSocketAddress> peers,
            InetSocketAddress broadcastAddress,
            Listener listener)
            throws IOException {
        this.listenAddress = listenAddress;
        this.broadcastAddress = broadcastAddress;
        acceptor.setHandler(
                new IoHandlerAdapter() {
                    @Override
                    public void messageReceived(IoSession session, Object message) {
                        byte[] bytes = MinaSupport.toBytes(message);
                        int peerIndex = peers.indexOf(session.getRemoteAddress());
                        if (peerIndex >= 0 && bytes.length <= MAX_DATAGRAM_BYTES) {
                            listener.received(peerIndex, bytes);
                        }
                    }

                    @Override
                    public void exceptionCaught(IoSession session, Throwable cause) {
                        // Datagrams may be lost; no function depends on a single one.
                    }
                });
        acceptor.getSessionConfig().setReuseAddress(true);
        try {
            acceptor.bind(listenAddress);
        } catch (IOException | RuntimeException e) {
            throw MinaSupport.bindFailure(
                    listenAddress.getHostString(), listenAddress.getPort(), e);
        }
    }

    /** Sends a datagram to all peers. */
    void send(byte[] bytes) {
        if (broadcastAddress != null && bytes.length <= MAX_DATAGRAM_BYTES) {
            acceptor.newSession(broadcastAddress, listenAddress).write(IoBuffer.wrap(bytes));
        }
    }

    @Override
    public void close() {
        acceptor.dispose(false);
    }
}
