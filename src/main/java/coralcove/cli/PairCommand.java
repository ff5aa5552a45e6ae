package coralcove.cli;

import coralcove.config.TomlSettings;
import coralcove.edge.EdgeSettingsFile;
import coralcove.planner.RestartBackoff;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Starts an edge and its planner as two child processes, and restarts the planner whenever it ends.
 * The edge is never restarted.
 */
@Command(
        name = "pair",
        mixinStandardHelpOptions = true,
        description =
                "Runs a call router and its planner as two processes, and restarts the planner when"
                        + " it ends.",
        footer = {
            "",
            "Ends with the router, with its exit code; SIGTERM is sent to the router first.",
            "Example:",
            "  coralcove pair deploy/examples/edge-0.toml"
        })
final class PairCommand implements Callable<Integer> {
    /** Interval at which both processes are polled. */
    private static final int POLL_INTERVAL_MILLIS = 50;

    /**
     * Time allowed for the planner to close its store. The edge may take as long as its sessions
     * need.
     */
    private static final int PLANNER_STOP_TIMEOUT_SECONDS = 5;

    @Parameters(
            paramLabel = "CONFIG",
            description = "the router's settings file, TOML, with a [planner] table")
    private Path config;

    @Option(
            names = "--log",
            paramLabel = "LEVEL",
            defaultValue = "INFO",
            description = "log level, as for edge")
    private String level;

    @Override
    public Integer call() throws Exception {
        TomlSettings toml = TomlSettings.read(config);
        EdgeSettingsFile file = EdgeSettingsFile.of(toml);
        if (file.planner() == null) {
            throw toml.table("planner").invalid("listen", "is missing: this router has no planner");
        }
        Process edge = start("edge");
        RestartBackoff backoff = new RestartBackoff(new SplittableRandom());
        Process[] planner = {null};
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(edge, planner)));
        long startAt = 0;
        while (edge.isAlive()) {
            long now = System.nanoTime() / 1000;
            if (planner[0] != null && !planner[0].isAlive()) {
                startAt = backoff.restartTimeAfterExit(now);
                System.err.println(
                        "coralcove: planner ended with "
                                + planner[0].exitValue()
                                + ", restarts in "
                                + (startAt - now) / 1000
                                + " ms");
                planner[0] = null;
            }
            if (planner[0] == null && now >= startAt) {
                planner[0] = start("planner");
                backoff.started(now);
            }
            edge.waitFor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        stop(edge, planner);
        return edge.exitValue();
    }

    /**
     * Starts another process of this program with the same Java runtime, classpath and settings.
     */
    private Process start(String command) throws IOException {
        List<String> commandLine =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path")
                                        .replace(
                                                File.pathSeparator + File.pathSeparator,
                                                File.pathSeparator),
                                Main.class.getName(),
                                command,
                                config.toString(),
                                "--log",
                                level));
        return new ProcessBuilder(commandLine).inheritIO().start();
    }

    private static void stop(Process edge, Process[] planner) {
        edge.destroy();
        try {
            edge.waitFor();
            if (planner[0] != null) {
                planner[0].destroy();
                if (!planner[0].waitFor(PLANNER_STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    planner[0].destroyForcibly();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
