package coralcove.mina;

import java.io.IOException;
import org.apache.mina.core.buffer.IoBuffer;

/** Helper methods for transports on Apache MINA. */
public final class MinaSupport {
    private MinaSupport() {}

    /** Returns the bytes of a message that a handler received. */
    public static byte[] toBytes(Object message) {
        IoBuffer buffer = (IoBuffer) message;
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    /** Returns an exception for a failed bind, which names the address and the reason. */
    public static IOException bindFailure(String host, int port, Exception cause) {
        return new IOException(
                "cannot listen on " + host + ":" + port + ": " + cause.getMessage(), cause);
    }
}
