package coralcove.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.config.BadConfig;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A process that plays one run after another: a line of JSON in, a line out. It may be ended at any
 * moment, so that a run that never ends, or fills its memory, costs that run and nothing else.
 */
final class Worker implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * What a worker says once it can take runs; a start of the Java machine does not count as part
     * of a run.
     */
    private static final String READY = "ready";

    /** Seconds that a start may take. */
    private static final long START = 60;

    /** Stands for the end of a worker's output. */
    private static final String ENDED = "";

    /** Why a run has no result. */
    static final class Failed extends Exception {
        private static final long serialVersionUID = 1;

        Failed(String reason) {
            super(reason);
        }
    }

    private final Process process;
    private final PrintStream in;
    private boolean closed;
    private final LinkedBlockingQueue<String> out = new LinkedBlockingQueue<>();

    /** {@code heap} is the worker's in MB. */
    Worker(int heap) throws IOException, Failed {
        process =
                new ProcessBuilder(
                                List.of(
                                        Path.of(System.getProperty("java.home"), "bin", "java")
                                                .toString(),
                                        "-Xmx" + heap + "m",
                                        "-XX:+UseSerialGC",
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        "coralcove.experiment.Worker"))
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        in = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        Thread reader = new Thread(this::read, "worker-" + process.pid());
        reader.setDaemon(true);
        reader.start();
        String first = next(START);
        if (!READY.equals(first)) {
            close();
            throw new Failed("a worker did not start");
        }
    }

    private void read() {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                out.add(line);
            }
        } catch (IOException e) {
            // Ended: told below like any end.
        }
        out.add(ENDED);
    }

    private String next(double seconds) {
        try {
            return out.poll((long) (seconds * 1000), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ENDED;
        }
    }

    /** Plays one run; after a failure that names the worker ended, it is of no more use. */
    ObjectNode play(Plan.Run run, boolean bounded, double patience) throws Failed {
        ObjectNode task = JSON.createObjectNode();
        task.put("seed", run.seed()).put("policy", run.policy()).put("bound", bounded);
        task.set("day", run.day());
        in.println(task);
        String answer = next(patience);
        if (answer == null) {
            close();
            throw new Failed("stopped: not done after " + patience + " s");
        }
        if (answer.equals(ENDED)) {
            close();
            throw new Failed("its worker ended");
        }
        try {
            JsonNode got = JSON.readTree(answer);
            if (got.has("error")) {
                throw new Failed(got.get("error").asText());
            }
            return (ObjectNode) got.get("result");
        } catch (IOException e) {
            close();
            throw new Failed("its worker answered with no JSON");
        }
    }

    boolean alive() {
        return !closed && process.isAlive();
    }

    @Override
    public void close() {
        // A process that is told to end lives on for a moment: the next run would be sent to it and
        // fail.
        closed = true;
        process.destroyForcibly();
    }

    /** The worker's own side. */
    public static void main(String[] args) throws IOException {
        System.setProperty("coralcove.log", "OFF");
        serve(System.in, System.out);
    }

    static void serve(InputStream from, OutputStream to) throws IOException {
        PrintStream answers = new PrintStream(to, true, StandardCharsets.UTF_8);
        answers.println(READY);
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            ObjectNode answer = JSON.createObjectNode();
            try {
                JsonNode task = JSON.readTree(line);
                answer.set(
                        "result",
                        OneRun.play(
                                (ObjectNode) task.get("day"),
                                task.get("seed").asLong(),
                                task.get("policy").asText(),
                                task.get("bound").asBoolean()));
            } catch (BadConfig | IOException | RuntimeException | OutOfMemoryError e) {
                answer.put("error", e.getClass().getSimpleName() + ": " + e.getMessage());
            }
            answers.println(answer);
        }
    }
}
