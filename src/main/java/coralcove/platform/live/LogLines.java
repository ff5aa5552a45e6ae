package coralcove.platform.live;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A router's log: JSON lines, written on a thread of its own. A reader of standard error that
 * stalls holds up no session: past the bound lines are dropped, and the next line says how many.
 * Logback would be a third of a router's start.
 */
final class LogLines {
    /** Lines waiting at most. */
    private static final int MOST = 1_000;

    private final BlockingQueue<Map<String, Object>> lines = new ArrayBlockingQueue<>(MOST);
    private final AtomicLong dropped = new AtomicLong();
    private final String name;
    private final PrintStream out;

    LogLines(String name, PrintStream out) {
        this.name = name;
        this.out = out;
    }

    void start() {
        Thread thread = new Thread(this::write, "log");
        thread.setDaemon(true);
        thread.start();
    }

    void line(long micros, String event, String session, String detail) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("ms", micros / 1000);
        line.put("router", name);
        line.put("event", event);
        if (!session.isEmpty()) {
            line.put("session", session);
        }
        line.put("detail", detail);
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    private void write() {
        ObjectMapper json = new ObjectMapper();
        try {
            while (true) {
                Map<String, Object> line = lines.take();
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    line.put("dropped", lost);
                }
                out.println(json.writeValueAsString(line));
            }
        } catch (InterruptedException | com.fasterxml.jackson.core.JsonProcessingException e) {
            out.println("{\"event\":\"log-ended\"}");
        }
    }
}
