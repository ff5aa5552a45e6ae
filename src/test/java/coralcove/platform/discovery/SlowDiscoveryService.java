package coralcove.platform.discovery;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stub of the discovery service whose complete responses come later than due. It serves any
 * number of connections, and can leave some without any response.
 */
public final class SlowDiscoveryService implements AutoCloseable {
    private static final Pattern QUERY = Pattern.compile("after=(\\d+)&patience=(\\d+)");

    private final ServerSocket server;
    private final long delayMs;
    private final int silentConnections;
    private final List<String> events = new ArrayList<>();
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile int mostOpen;

    /**
     * Starts the service.
     *
     * @param delayMs time by which each response is late
     * @param silentConnections number of first connections that get no response at all
     */
    public SlowDiscoveryService(ServerSocket server, long delayMs, int silentConnections) {
        this.server = server;
        this.delayMs = delayMs;
        this.silentConnections = silentConnections;
        start(this::accept);
    }

    static SlowDiscoveryService listen(long delayMs, int silentConnections) throws IOException {
        return new SlowDiscoveryService(
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
                delayMs,
                silentConnections);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    /** Adds an event, as JSON; the first one has the number 1. */
    public synchronized void publish(String event) {
        events.add(event);
        notifyAll();
    }

    /** Number of connections accepted so far. */
    int connectionCount() {
        return accepted.size();
    }

    /** Largest number of connections that were open at once. */
    int mostOpenConnections() {
        return mostOpen;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            accepted.add(socket);
            open.add(socket);
            mostOpen = Math.max(mostOpen, open.size());
            boolean silent = accepted.size() <= silentConnections;
            start(
                    () -> {
                        try (socket) {
                            serve(socket, silent);
                        } finally {
                            open.remove(socket);
                        }
                    });
        }
    }

    private void serve(Socket socket, boolean silent) throws IOException, InterruptedException {
        while (true) {
            Matcher query = QUERY.matcher(readRequest(socket));
            if (!query.find()) {
                return;
            }
            if (silent) {
                continue;
            }
            int after = Integer.parseInt(query.group(1));
            awaitEvent(after, Long.parseLong(query.group(2)));
            TimeUnit.MILLISECONDS.sleep(delayMs);
            respond(socket, eventsAfter(after));
        }
    }

    private synchronized void awaitEvent(int after, long waitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (events.size() <= after && System.nanoTime() < endNanos) {
            TimeUnit.NANOSECONDS.timedWait(this, endNanos - System.nanoTime());
        }
    }

    private synchronized String eventsAfter(int after) {
        return "{\"no\":"
                + events.size()
                + ",\"items\":["
                + String.join(",", events.subList(Math.min(after, events.size()), events.size()))
                + "]}";
    }

    /** Reads a request and returns its first line; fails if the connection is closed before. */
    public static String readRequest(Socket socket) throws IOException {
        StringBuilder request = new StringBuilder();
        while (request.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed");
            }
            request.append((char) next);
        }
        return request.substring(0, request.indexOf("\r\n"));
    }

    /** Writes a complete response with this body. */
    public static void respond(Socket socket, String body) throws IOException {
        socket.getOutputStream()
                .write(
                        ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.US_ASCII));
    }

    private interface ThrowingRunnable {
        void run() throws Exception;
    }

    private static void start(ThrowingRunnable action) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (Exception e) {
                                // The socket has been closed: the thread ends.
                                Thread.currentThread().interrupt();
                            }
                        },
                        "slow-discovery");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : accepted) {
            socket.close();
        }
    }
}
