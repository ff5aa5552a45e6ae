package coralcove.platform.discovery;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * An HTTP/1.1 client (RFC 9112) that sends one GET at a time over a persistent connection. A
 * request fails unless its response is complete by the deadline. The JDK's client is not used for
 * two reasons: its read timeout restarts with every read, so that a response that trickles in
 * blocks the poll, and it repeats a failed request by itself, possibly to an address that is no
 * longer in use.
 */
final class DiscoveryConnection {
    /** Maximum size of a response: the complete list of a thousand exchanges. */
    private static final int MAX_RESPONSE_BYTES = 512 << 10;

    /** Maximum length of a header line. */
    private static final int MAX_LINE_BYTES = 4 << 10;

    /** Maximum number of header lines. */
    private static final int MAX_HEADER_LINES = 100;

    private Socket socket;
    private InputStream in;
    private InetSocketAddress connectedAddress;
    private final byte[] buffer = new byte[4 << 10];
    private int position;
    private int limit;
    private long deadline;

    /**
     * Returns the body of the response. If the persistent connection turns out to be closed, the
     * request is sent once more over a new one. {@code wanted} is checked as soon as {@link #close}
     * can close the new connection: whoever cancels the request makes it false before that call.
     */
    byte[] get(InetSocketAddress address, String path, int timeoutMs, BooleanSupplier wanted)
            throws IOException {
        deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        boolean reusable;
        synchronized (this) {
            reusable = socket != null && address.equals(connectedAddress);
        }
        if (reusable) {
            try {
                return request(address, path);
            } catch (StaleConnectionException e) {
                close();
            }
        }
        open(address, wanted);
        return request(address, path);
    }

    /** Cancels the current request, which then fails at once. May be called from any thread. */
    synchronized void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is discarded in any case.
            }
            socket = null;
        }
    }

    private void open(InetSocketAddress address, BooleanSupplier wanted) throws IOException {
        close();
        Socket opened = new Socket();
        synchronized (this) {
            socket = opened;
            connectedAddress = address;
        }
        try {
            if (!wanted.getAsBoolean()) {
                throw cancelled();
            }
            opened.setTcpNoDelay(true);
            opened.connect(address, remainingMs());
            in = opened.getInputStream();
            limit = 0;
            position = 0;
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private byte[] request(InetSocketAddress address, String path) throws IOException {
        boolean complete = false;
        try {
            Socket current = currentSocket();
            byte[] request =
                    ("GET "
                                    + path
                                    + " HTTP/1.1\r\nHost: "
                                    + address.getHostString()
                                    + ":"
                                    + address.getPort()
                                    + "\r\nAccept: application/json\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
            int first;
            try {
                current.getOutputStream().write(request);
                first = read();
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                throw new StaleConnectionException();
            }
            if (first < 0) {
                throw new StaleConnectionException();
            }
            byte[] body = readResponse(first);
            complete = true;
            return body;
        } finally {
            if (!complete) {
                close();
            }
        }
    }

    private byte[] readResponse(int first) throws IOException {
        String status = (char) first + readLine();
        if (!status.startsWith("HTTP/1.") || status.length() < 12 || !status.startsWith("200", 9)) {
            throw new IOException("bulletin: unexpected status line: " + status);
        }
        long length = -1;
        boolean chunked = false;
        boolean closeAfterwards = status.startsWith("HTTP/1.0");
        int lines = 0;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            if (colon < 0 || ++lines > MAX_HEADER_LINES) {
                throw new IOException("bulletin: malformed or too long header");
            }
            String name = line.substring(0, colon).strip().toLowerCase(Locale.ROOT);
            String value = line.substring(colon + 1).strip();
            if (name.equals("content-length")) {
                length = parseLength(value, 10);
            }
            chunked |= name.equals("transfer-encoding") && value.equalsIgnoreCase("chunked");
            closeAfterwards |= name.equals("connection") && value.equalsIgnoreCase("close");
        }
        byte[] body;
        if (chunked) {
            body = readChunks();
        } else if (length >= 0) {
            body = readExactly(checkSize(length));
        } else {
            body = readToEnd();
            closeAfterwards = true;
        }
        if (closeAfterwards) {
            close();
        }
        return body;
    }

    private byte[] readChunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine();
            int semicolon = size.indexOf(';');
            int count =
                    checkSize(
                            parseLength(
                                    (semicolon < 0 ? size : size.substring(0, semicolon)).strip(),
                                    16));
            if (count == 0) {
                for (String trailer = readLine(); !trailer.isEmpty(); trailer = readLine()) {
                    checkSize(body.size() + trailer.length());
                }
                return body.toByteArray();
            }
            checkSize(body.size() + (long) count);
            body.write(readExactly(count));
            if (!readLine().isEmpty()) {
                throw new IOException("bulletin: unterminated chunk");
            }
        }
    }

    private byte[] readExactly(int count) throws IOException {
        byte[] bytes = new byte[count];
        for (int done = 0; done < count; ) {
            if (!fillBuffer()) {
                throw new EOFException("bulletin: response truncated");
            }
            int part = Math.min(count - done, limit - position);
            System.arraycopy(buffer, position, bytes, done, part);
            position += part;
            done += part;
        }
        return bytes;
    }

    private byte[] readToEnd() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int next = read(); next >= 0; next = read()) {
            body.write(next);
            checkSize(body.size());
        }
        return body.toByteArray();
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = read(); next != '\n'; next = read()) {
            if (next < 0 || line.length() > MAX_LINE_BYTES) {
                throw new EOFException("bulletin: unterminated or too long line");
            }
            line.append((char) next);
        }
        int end = line.length() - 1;
        return end >= 0 && line.charAt(end) == '\r' ? line.substring(0, end) : line.toString();
    }

    private int read() throws IOException {
        return fillBuffer() ? buffer[position++] & 0xff : -1;
    }

    /**
     * Makes sure that the buffer has a byte to read; false at the end of the stream. The timeout of
     * each read is the time left until the deadline of the response.
     */
    private boolean fillBuffer() throws IOException {
        if (position == limit) {
            currentSocket().setSoTimeout(remainingMs());
            position = 0;
            limit = 0;
            int count = in.read(buffer);
            if (count < 0) {
                return false;
            }
            limit = count;
        }
        return true;
    }

    private int remainingMs() throws IOException {
        long remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        if (remaining <= 0) {
            throw new SocketTimeoutException("bulletin: no complete response before the deadline");
        }
        return (int) remaining;
    }

    private synchronized Socket currentSocket() throws IOException {
        if (socket == null) {
            throw cancelled();
        }
        return socket;
    }

    private static IOException cancelled() {
        return new IOException("bulletin: request cancelled");
    }

    private static int checkSize(long bytes) throws IOException {
        if (bytes < 0 || bytes > MAX_RESPONSE_BYTES) {
            throw new IOException("bulletin: response exceeds " + MAX_RESPONSE_BYTES + " bytes");
        }
        return (int) bytes;
    }

    private static long parseLength(String text, int radix) throws IOException {
        try {
            return Long.parseLong(text, radix);
        } catch (NumberFormatException e) {
            throw new IOException("bulletin: invalid length: " + text);
        }
    }

    /** The connection was closed before the first byte of a response. */
    private static final class StaleConnectionException extends IOException {
        private static final long serialVersionUID = 1;

        StaleConnectionException() {
            super("bulletin: connection closed without a response");
        }
    }
}
