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
 * A process that executes one run after another, each requested by a line of JSON on its standard
 * input and answered by a line on its standard output. It may be killed at any time, so that a run
 * that never ends, or exhausts its memory, fails alone.
 */
final class Worker implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * First line of a worker's output, once it can execute runs. It keeps the start of the Java
     * virtual machine out of the time-out of the first run.
     */
    private static final String READY = "ready";

    private static final long START_TIMEOUT_SECONDS = 60;

    /** Queued in place of a line at the end of a worker's output. */
    private static final String END_OF_OUTPUT = "";

    /** A run has no result; the message says why. */
    static final class RunFailedException extends Exception {
        private static final long serialVersionUID = 1;

        RunFailedException(String reason) {
            super(reason);
        }
    }

    private final Process process;
    private final PrintStream requests;
    private boolean closed;
    private final LinkedBlockingQueue<String> responses = new LinkedBlockingQueue<>();

    /** Starts a worker process with a heap of {@code heapMb} MB and waits until it is ready. */
    Worker(int heapMb) throws IOException, RunFailedException {
        process =
                new ProcessBuilder(
                                List.of(
                                        Path.of(System.getProperty("java.home"), "bin", "java")
                                                .toString(),
                                        "-Xmx" + heapMb + "m",
                                        "-XX:+UseSerialGC",
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        "coralcove.experiment.Worker"))
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        requests = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        Thread reader = new Thread(this::readOutput, "worker-" + process.pid());
        reader.setDaemon(true);
        reader.start();
        String firstLine = readLine(START_TIMEOUT_SECONDS);
        if (!READY.equals(firstLine)) {
            close();
            throw new RunFailedException("a worker did not start");
        }
    }

    private void readOutput() {
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                responses.add(line);
            }
        } catch (IOException e) {
            // The process was killed; reported below like any end of output.
        }
        responses.add(END_OF_OUTPUT);
    }

    /** Waits for the next line of output; returns null after {@code timeoutSeconds}. */
    private String readLine(double timeoutSeconds) {
        try {
            return responses.poll((long) (timeoutSeconds * 1000), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return END_OF_OUTPUT;
        }
    }

    /**
     * Executes a run and returns its metrics. After a time-out, or if the process has ended, the
     * worker is closed and can no longer be used.
     *
     * @param boundRequired whether the upper bound of the run's demand is computed
     * @param timeoutSeconds time after which the process is killed
     */
    ObjectNode execute(ExperimentPlan.Run run, boolean boundRequired, double timeoutSeconds)
            throws RunFailedException {
        ObjectNode request = JSON.createObjectNode();
        request.put("seed", run.seed()).put("policy", run.policy()).put("bound", boundRequired);
        request.set("day", run.day());
        requests.println(request);
        String line = readLine(timeoutSeconds);
        if (line == null) {
            close();
            throw new RunFailedException("stopped: not done after " + timeoutSeconds + " s");
        }
        if (line.equals(END_OF_OUTPUT)) {
            close();
            throw new RunFailedException("its worker ended");
        }
        try {
            JsonNode response = JSON.readTree(line);
            if (response.has("error")) {
                throw new RunFailedException(response.get("error").asText());
            }
            return (ObjectNode) response.get("result");
        } catch (IOException e) {
            close();
            throw new RunFailedException("its worker answered with no JSON");
        }
    }

    /** Whether the worker can execute runs. */
    boolean isAlive() {
        return !closed && process.isAlive();
    }

    @Override
    public void close() {
        // A killed process stays alive for a short time; without this flag the next run would be
        // sent to it and fail.
        closed = true;
        process.destroyForcibly();
    }

    /** Runs the worker process. */
    public static void main(String[] args) throws IOException {
        System.setProperty("coralcove.log", "OFF");
        serve(System.in, System.out);
    }

    /** Executes the runs requested on {@code input} and writes the responses to {@code output}. */
    static void serve(InputStream input, OutputStream output) throws IOException {
        PrintStream responses = new PrintStream(output, true, StandardCharsets.UTF_8);
        responses.println(READY);
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            ObjectNode response = JSON.createObjectNode();
            try {
                JsonNode request = JSON.readTree(line);
                response.set(
                        "result",
                        RunExecutor.execute(
                                (ObjectNode) request.get("day"),
                                request.get("seed").asLong(),
                                request.get("policy").asText(),
                                request.get("bound").asBoolean()));
            } catch (BadConfig | IOException | RuntimeException | OutOfMemoryError e) {
                response.put("error", e.getClass().getSimpleName() + ": " + e.getMessage());
            }
            responses.println(response);
        }
    }
}
