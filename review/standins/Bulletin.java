import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The bulletin of PROTOCOL.md: numbered events, asked for by long polling over HTTP/1.1. */
final class Bulletin {
    private final Case played;
    private final ServerSocket server;
    private final List<String> events = new ArrayList<>();

    /** How much later than due each answer is written, in ms: a slow bulletin. */
    volatile long slowness;

    Bulletin(Case played) throws IOException {
        this.played = played;
        server = new ServerSocket(0, 50, InetAddress.getByName(Case.LOOPBACK));
        Case.start(
                "bulletin",
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        Case.start("poll", () -> serve(socket));
                    }
                });
    }

    int port() {
        return server.getLocalPort();
    }

    static String entry(String id, String address, int number, String state, long startedMs) {
        return """
            {"id":"%s","addr":"%s","zone":"sapporo","kind":"single-core","cell":%d,\
            "state":"%s","weight":1,"started_ms":%d}"""
                .formatted(id, address, number, state, startedMs);
    }

    /** Adds an event; it counts as told from now on. */
    synchronized void publish(boolean full, List<String> entries) {
        int number = events.size() + 1;
        events.add(
                """
                {"no":%d,"roster":{"version":%d,"full":%b,"servers":[%s]}}"""
                        .formatted(number, number, full, String.join(",", entries)));
        played.log("bulletin has event " + events.get(number - 1));
        notifyAll();
    }

    String allEvents() {
        return eventsAfter(0);
    }

    private synchronized String eventsAfter(int after) {
        return "{\"no\":"
                + events.size()
                + ",\"items\":["
                + String.join(",", events.subList(Math.min(after, events.size()), events.size()))
                + "]}";
    }

    private synchronized void awaitEvents(int after, long patience) throws InterruptedException {
        long until = System.nanoTime() + Math.min(5_000, patience) * 1_000_000;
        while (events.size() <= after && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String request = line;
                for (String header = in.readLine(); !header.isEmpty(); header = in.readLine()) {}
                int after = figure(request, "after=");
                long delay = slowness;
                awaitEvents(after, figure(request, "patience="));
                // What is in the answer is what the bulletin has when it is written.
                Case.sleep(delay);
                String body = eventsAfter(after);
                boolean written = true;
                try {
                    socket.getOutputStream()
                            .write(
                                    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                                    + "Content-Length: "
                                                    + body.length()
                                                    + "\r\n\r\n"
                                                    + body)
                                            .getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    written = false;
                }
                if (delay > 0 || !body.endsWith("[]}")) {
                    played.log(
                            "bulletin "
                                    + (written ? "answered " : "could not answer ")
                                    + request
                                    + (delay > 0 ? " after a delay of " + delay + " ms" : ""));
                }
                if (!written) {
                    return;
                }
            }
        }
    }

    static int figure(String request, String name) {
        int from = request.indexOf(name) + name.length();
        int to = from;
        while (to < request.length() && Character.isDigit(request.charAt(to))) {
            to++;
        }
        return Integer.parseInt(request.substring(from, to));
    }
}
