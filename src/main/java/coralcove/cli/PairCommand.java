package coralcove.cli;

import coralcove.config.Toml;
import coralcove.edge.EdgeFile;
import coralcove.planner.Restarts;
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
 * Starts an edge and its planner as processes of their own; the planner is started again, the edge
 * never because of it.
 */
@Command(
        name = "pair",
        mixinStandardHelpOptions = true,
        description =
                "Runs a call router and its planner as two processes, and starts the planner again"
                        + " when it ends.",
        footer = {
            "",
            "Ends when the router ends, with its exit code; SIGTERM goes to the router first.",
            "Example:",
            "  coralcove pair deploy/examples/edge-0.toml"
        })
final class PairCommand implements Callable<Integer> {
    /** Milliseconds between two looks at the two processes. */
    private static final int LOOK = 50;

    /**
     * Seconds that the planner has to close its store; the edge takes as long as its sessions need.
     */
    private static final int PLANNER_ENDS = 5;

    @Parameters(
            paramLabel = "CONFIG",
            description = "the router's settings, TOML, with a [planner] table")
    private Path config;

    @Option(
            names = "--log",
            paramLabel = "LEVEL",
            defaultValue = "INFO",
            description = "as for edge")
    private String level;

    @Override
    public Integer call() throws Exception {
        Toml toml = Toml.read(config);
        EdgeFile file = EdgeFile.of(toml);
        if (file.planner() == null) {
            throw toml.table("planner").bad("listen", "is missing: this router has no planner");
        }
        Process edge = start("edge");
        Restarts restarts = new Restarts(new SplittableRandom());
        Process[] planner = {null};
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(edge, planner)));
        long startAt = 0;
        while (edge.isAlive()) {
            long now = System.nanoTime() / 1000;
            if (planner[0] != null && !planner[0].isAlive()) {
                startAt = restarts.ended(now);
                System.err.println(
                        "coralcove: planner ended with "
                                + planner[0].exitValue()
                                + ", starts again in "
                                + (startAt - now) / 1000
                                + " ms");
                planner[0] = null;
            }
            if (planner[0] == null && now >= startAt) {
                planner[0] = start("planner");
                restarts.started(now);
            }
            edge.waitFor(LOOK, TimeUnit.MILLISECONDS);
        }
        end(edge, planner);
        return edge.exitValue();
    }

    /** The same program again, with the same settings of the machine. */
    private Process start(String command) throws IOException {
        List<String> line =
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
        return new ProcessBuilder(line).inheritIO().start();
    }

    private static void end(Process edge, Process[] planner) {
        edge.destroy();
        try {
            edge.waitFor();
            if (planner[0] != null) {
                planner[0].destroy();
                if (!planner[0].waitFor(PLANNER_ENDS, TimeUnit.SECONDS)) {
                    planner[0].destroyForcibly();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
