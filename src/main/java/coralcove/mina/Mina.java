package coralcove.mina;

import java.io.IOException;
import org.apache.mina.core.buffer.IoBuffer;

/** What all drivers on Apache MINA need. */
public final class Mina {
    private Mina() {}

    /** The bytes that a handler was given as its message. */
    public static byte[] bytes(Object message) {
        IoBuffer buffer = (IoBuffer) message;
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    /** A port in use, or another reason not to bind, told with the address. */
    public static IOException cannotListen(String host, int port, Exception cause) {
        return new IOException(
                "cannot listen on " + host + ":" + port + ": " + cause.getMessage(), cause);
    }
}
