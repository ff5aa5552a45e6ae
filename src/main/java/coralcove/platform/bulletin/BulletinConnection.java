package coralcove.platform.bulletin;

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
 * One GET at a time over HTTP/1.1 (RFC 9112), on a connection that is kept; each answer is whole by
 * its deadline or the question has failed. The JDK's client counts its limit per read, so that an
 * answer which trickles held the watch, and puts a question that failed again by itself, to an
 * address that may have been left since.
 */
final class BulletinConnection {
    /** Bytes of the largest answer: the whole list of a thousand exchanges. */
    private static final int MOST_BYTES = 512 << 10;

    /** Bytes of the longest line of a header. */
    private static final int MOST_LINE = 4 << 10;

    /** Lines of a header at most. */
    private static final int MOST_LINES = 100;

    private Socket socket;
    private InputStream in;
    private InetSocketAddress connected;
    private final byte[] buffer = new byte[4 << 10];
    private int at;
    private int held;
    private long deadline;

    /**
     * The body of the answer; on a connection that was kept and is found closed, asked once more on
     * a new one. {@code wanted} is looked at once a new connection can be closed: who drops the
     * question has made it false before.
     */
    byte[] get(InetSocketAddress address, String path, int millis, BooleanSupplier wanted)
            throws IOException {
        deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        boolean kept;
        synchronized (this) {
            kept = socket != null && address.equals(connected);
        }
        if (kept) {
            try {
                return ask(address, path);
            } catch (Untouched e) {
                close();
            }
        }
        open(address, wanted);
        return ask(address, path);
    }

    /**
     * Drops the question that waits: its reader hears so at once. May be called from any thread.
     */
    synchronized void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is of no further use either way.
            }
            socket = null;
        }
    }

    private void open(InetSocketAddress address, BooleanSupplier wanted) throws IOException {
        close();
        Socket fresh = new Socket();
        synchronized (this) {
            socket = fresh;
            connected = address;
        }
        try {
            if (!wanted.getAsBoolean()) {
                throw dropped();
            }
            fresh.setTcpNoDelay(true);
            fresh.connect(address, left());
            in = fresh.getInputStream();
            held = 0;
            at = 0;
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private byte[] ask(InetSocketAddress address, String path) throws IOException {
        boolean whole = false;
        try {
            Socket now = current();
            byte[] question =
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
                now.getOutputStream().write(question);
                first = read();
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                throw new Untouched();
            }
            if (first < 0) {
                throw new Untouched();
            }
            byte[] body = answer(first);
            whole = true;
            return body;
        } finally {
            if (!whole) {
                close();
            }
        }
    }

    private byte[] answer(int first) throws IOException {
        String status = (char) first + line();
        if (!status.startsWith("HTTP/1.") || status.length() < 12 || !status.startsWith("200", 9)) {
            throw new IOException("bulletin: " + status);
        }
        long length = -1;
        boolean chunked = false;
        boolean last = status.startsWith("HTTP/1.0");
        int lines = 0;
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            if (colon < 0 || ++lines > MOST_LINES) {
                throw new IOException("bulletin: a header that cannot be read");
            }
            String name = line.substring(0, colon).strip().toLowerCase(Locale.ROOT);
            String value = line.substring(colon + 1).strip();
            if (name.equals("content-length")) {
                length = number(value, 10);
            }
            chunked |= name.equals("transfer-encoding") && value.equalsIgnoreCase("chunked");
            last |= name.equals("connection") && value.equalsIgnoreCase("close");
        }
        byte[] body;
        if (chunked) {
            body = chunks();
        } else if (length >= 0) {
            body = exactly(bounded(length));
        } else {
            body = rest();
            last = true;
        }
        if (last) {
            close();
        }
        return body;
    }

    private byte[] chunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line();
            int semicolon = size.indexOf(';');
            int count =
                    bounded(
                            number(
                                    (semicolon < 0 ? size : size.substring(0, semicolon)).strip(),
                                    16));
            if (count == 0) {
                for (String trailer = line(); !trailer.isEmpty(); trailer = line()) {
                    bounded(body.size() + trailer.length());
                }
                return body.toByteArray();
            }
            bounded(body.size() + (long) count);
            body.write(exactly(count));
            if (!line().isEmpty()) {
                throw new IOException("bulletin: a chunk without an end");
            }
        }
    }

    private byte[] exactly(int count) throws IOException {
        byte[] bytes = new byte[count];
        for (int had = 0; had < count; ) {
            if (!more()) {
                throw new EOFException("bulletin: broke off");
            }
            int part = Math.min(count - had, held - at);
            System.arraycopy(buffer, at, bytes, had, part);
            at += part;
            had += part;
        }
        return bytes;
    }

    private byte[] rest() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int next = read(); next >= 0; next = read()) {
            body.write(next);
            bounded(body.size());
        }
        return body.toByteArray();
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = read(); next != '\n'; next = read()) {
            if (next < 0 || line.length() > MOST_LINE) {
                throw new EOFException("bulletin: a line that does not end");
            }
            line.append((char) next);
        }
        int end = line.length() - 1;
        return end >= 0 && line.charAt(end) == '\r' ? line.substring(0, end) : line.toString();
    }

    private int read() throws IOException {
        return more() ? buffer[at++] & 0xff : -1;
    }

    /**
     * Whether there is a further byte; each wait for one has what is left of the whole, not a limit
     * of its own.
     */
    private boolean more() throws IOException {
        if (at == held) {
            current().setSoTimeout(left());
            at = 0;
            held = 0;
            int got = in.read(buffer);
            if (got < 0) {
                return false;
            }
            held = got;
        }
        return true;
    }

    private int left() throws IOException {
        long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        if (left <= 0) {
            throw new SocketTimeoutException("bulletin: no whole answer in time");
        }
        return (int) left;
    }

    private synchronized Socket current() throws IOException {
        if (socket == null) {
            throw dropped();
        }
        return socket;
    }

    private static IOException dropped() {
        return new IOException("bulletin: the question was dropped");
    }

    private static int bounded(long bytes) throws IOException {
        if (bytes < 0 || bytes > MOST_BYTES) {
            throw new IOException("bulletin: longer than " + MOST_BYTES + " bytes");
        }
        return (int) bytes;
    }

    private static long number(String text, int radix) throws IOException {
        try {
            return Long.parseLong(text, radix);
        } catch (NumberFormatException e) {
            throw new IOException("bulletin: no length: " + text);
        }
    }

    /** Closed without a byte of an answer. */
    private static final class Untouched extends IOException {
        private static final long serialVersionUID = 1;

        Untouched() {
            super("bulletin: closed without an answer");
        }
    }
}
