package coralcove.platform.live;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes the log as JSON lines on a separate thread, so that a stalled reader of standard error
 * delays no session. When the queue is full, lines are dropped and the next line written holds
 * their number. Logback is not used because it takes a third of the start-up time.
 */
final class JsonLog {
    /** Largest number of lines waiting to be written. */
    private static final int MAX_QUEUED_LINES = 1_000;

    private final BlockingQueue<Map<String, Object>> lines =
            new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final String routerName;
    private final PrintStream out;

    JsonLog(String routerName, PrintStream out) {
        this.routerName = routerName;
        this.out = out;
    }

    /** Starts the writing thread. */
    void start() {
        Thread thread = new Thread(this::writeLines, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues a line without waiting; {@code session} may be empty. */
    void log(long timeUs, String event, String session, String detail) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("ms", timeUs / 1000);
        line.put("router", routerName);
        line.put("event", event);
        if (!session.isEmpty()) {
            line.put("session", session);
        }
        line.put("detail", detail);
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    private void writeLines() {
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
