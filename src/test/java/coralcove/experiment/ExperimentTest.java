package coralcove.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.TraceFiles;
import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Experiments: execution on workers that fail, resumption, stopping rules and invalid plans. */
class ExperimentTest {
    private static final String DAY =
            """
            [day]
            name = "tiny"
            length_s = 12
            [size]
            exchanges = 4
            [traffic]
            sessions_per_s = 12
            [[service]]
            name = "lookup"
            share = 3
            hold_s = 4
            target_ms = 1500
            limit_ms = 6000
            value = 1
            [[service]]
            name = "set"
            share = 1
            hold_s = 6
            target_ms = 1500
            limit_ms = 6000
            value = 2
            late_value = 0.25
            [[trouble]]
            kind = "slow"
            at_s = 3
            len_s = 2
            on = [1]
            size = 2
            [[trouble]]
            kind = "death"
            at_s = 5
            len_s = 6
            on = [0]
            [[trouble]]
            kind = "stall"
            at_s = 4
            len_s = 2
            on = [2]
            size = 50
            extra = 1
            """;
    private static final String PLAN =
            """
            [experiment]
            name = "tiny"
            day = "tiny.toml"
            seeds = 3
            patience_s = 120
            [troubles]
            none = []
            one = [{kind = "death", at_s = 5, len_s = 6, on = [0]}]
            [[factor]]
            key = "policy"
            levels = ["choice", "direct"]
            [[factor]]
            key = "troubles"
            levels = ["none", "one"]
            """;

    private static ExperimentPlan plan(Path folder, String text) throws BadConfig, IOException {
        Files.writeString(folder.resolve("tiny.toml"), DAY);
        return new ExperimentPlan(TomlSettings.from("plan.toml", text), folder);
    }

    private static final class RecordingProgress implements ExperimentRunner.Progress {
        final List<String> lines = new ArrayList<>();
        int failAfter = Integer.MAX_VALUE;

        @Override
        public void runEnded(ExperimentPlan.Run run, ObjectNode result, String error, int left) {
            lines.add(run.id() + (result == null ? " FAILED " + error : ""));
            if (lines.size() >= failAfter) {
                throw new IllegalStateException("killed");
            }
        }

        @Override
        public void endedEarly(String reason) {
            lines.add(reason);
        }
    }

    private static byte[] exportBytes(ResultStore store, Path folder) throws IOException {
        store.export(folder.resolve("out.jsonl"));
        return Files.readAllBytes(folder.resolve("out.jsonl"));
    }

    /**
     * The export has the same bytes on one worker, on three, and after an interruption after five
     * of twelve runs.
     */
    @Test
    void equalSeedsGiveEqualBytesAlsoAfterAnInterruption(@TempDir Path folder) throws Exception {
        // Baseline policies only, so that the expected report does not change with the decisions of
        // the main routing policy.
        String text = PLAN.replace("\"choice\"", "\"reserved\"");
        ExperimentPlan plan = plan(folder, text);
        byte[] expected;
        try (ResultStore store = new ResultStore(folder.resolve("one/results.mv"))) {
            new ExperimentRunner(plan, store, "v1", 1, 256, new RecordingProgress()).run(false);
            expected = exportBytes(store, folder);
            assertThat(store.outcomes()).hasSize(12).noneMatch(Outcome::failed);
            assertThat(new Report(plan, store.outcomes()).text())
                    .isEqualTo(TraceFiles.read("experiment-tiny"));
        }
        Path interrupted = folder.resolve("three/results.mv");
        RecordingProgress progress = new RecordingProgress();
        progress.failAfter = 5;
        try (ResultStore store = new ResultStore(interrupted)) {
            assertThatThrownBy(
                            () ->
                                    new ExperimentRunner(plan, store, "v1", 3, 256, progress)
                                            .run(false))
                    .hasMessage("killed");
        }
        try (ResultStore store = new ResultStore(interrupted)) {
            int stored = store.outcomes().size();
            assertThat(stored).isBetween(5, 7);
            RecordingProgress resumed = new RecordingProgress();
            new ExperimentRunner(plan, store, "v1", 3, 256, resumed).run(false);
            assertThat(resumed.lines).hasSize(12 - stored);
            assertThat(exportBytes(store, folder)).isEqualTo(expected);
            // Runs whose day has changed have no results yet.
            ExperimentPlan changedPlan =
                    plan(folder, text.replace("at_s = 5, len_s = 6", "at_s = 5, len_s = 5"));
            assertThat(
                            changedPlan.runs(1, 3).stream()
                                    .filter(run -> store.isDone(run, true))
                                    .count())
                    .isEqualTo(6);
        }
    }

    /**
     * A run that exceeds its time-out is aborted and reported, the loss of its worker affects no
     * other run, and it is executed again only on request.
     */
    @Test
    void runThatExceedsItsTimeoutIsAbortedAndReported(@TempDir Path folder) throws Exception {
        ExperimentPlan plan =
                plan(
                        folder,
                        PLAN.replace("seeds = 3", "seeds = 1")
                                        .replace("patience_s = 120", "patience_s = 0.5")
                                        .replace("[\"choice\", \"direct\"]", "[\"direct\"]")
                                        .replace("\"none\", \"one\"", "\"none\"")
                                + "[[factor]]\n"
                                + "key = \"traffic.sessions_per_s\"\n"
                                + "levels = [8, 3000]\n");
        try (ResultStore store = new ResultStore(folder.resolve("results.mv"))) {
            RecordingProgress progress = new RecordingProgress();
            new ExperimentRunner(plan, store, "v1", 2, 512, progress).run(false);
            assertThat(progress.lines).hasSize(2);
            assertThat(progress.lines)
                    .anyMatch(
                            line ->
                                    line.contains("sessions_per_s=3000")
                                            && line.endsWith(
                                                    "FAILED stopped: not done after 0.5 s"));
            assertThat(new Report(plan, store.outcomes()).text())
                    .contains("Failed runs")
                    .contains("not done after 0.5 s");
            RecordingProgress secondPass = new RecordingProgress();
            new ExperimentRunner(plan, store, "v1", 2, 512, secondPass).run(false);
            assertThat(secondPass.lines).isEmpty();
            new ExperimentRunner(plan, store, "v1", 1, 512, secondPass).run(true);
            assertThat(secondPass.lines).anyMatch(line -> line.contains("sessions_per_s=3000"));
        }
    }

    /** No more seeds are run once the differences are known; workers do not influence which. */
    @Test
    void stopsOnceTheDifferencesAreKnown(@TempDir Path folder) throws Exception {
        String text =
                PLAN.replace("seeds = 3", "seeds = 40")
                        + "[stop]\nfactor = \"policy\"\nbase = \"choice\"\n"
                        + "half_width = 0.2\nleast_seeds = 3\n";
        ExperimentPlan plan = plan(folder, text);
        RecordingProgress progress = new RecordingProgress();
        try (ResultStore store = new ResultStore(folder.resolve("results.mv"))) {
            assertThat(new ExperimentRunner(plan, store, "v1", 4, 256, progress).run(false))
                    .isEqualTo(3);
            assertThat(store.outcomes()).hasSize(12);
        }
        assertThat(progress.lines)
                .last()
                .isEqualTo("stopped after 3 seeds: each difference from choice is known to 0.2");
    }

    @Test
    void fullStoreEndsTheExperiment(@TempDir Path folder) throws Exception {
        ExperimentPlan plan = plan(folder, PLAN.replace("seeds = 3", "seeds = 3\nmost_mb = 1"));
        try (ResultStore store = new ResultStore(folder.resolve("results.mv"))) {
            store.put(plan.runs(1, 1).get(0), "v1", null, "x".repeat(2_000_000));
            assertThatThrownBy(
                            () ->
                                    new ExperimentRunner(
                                                    plan,
                                                    store,
                                                    "v1",
                                                    1,
                                                    256,
                                                    new RecordingProgress())
                                            .run(false))
                    .isInstanceOf(ExperimentRunner.ResultStoreFullException.class)
                    .hasMessageContaining("of at most 1000000 (most_mb): nothing more is run");
        }
    }

    @Test
    void invalidPlansAreRejectedWithTheirLine(@TempDir Path folder) throws Exception {
        String[][] changes = {
            {"seeds = 3", "seeds = 0"},
            {"levels = [\"choice\", \"direct\"]", "levels = [\"choice\", \"chioce\"]"},
            {"levels = [\"choice\", \"direct\"]", "levels = [\"choice\", \"choice\"]"},
            {"levels = [\"choice\", \"direct\"]", "levels = []"},
            {"key = \"policy\"", "key = \"troubles\""},
            {
                "key = \"policy\"\nlevels = [\"choice\", \"direct\"]",
                "key = \"traffic.load\"\nlevels = [1, 20]"
            },
            {
                "key = \"policy\"\nlevels = [\"choice\", \"direct\"]",
                "key = \"trouble.0.size\"\nlevels = [1, 2]"
            },
            {
                "key = \"policy\"\nlevels = [\"choice\", \"direct\"]",
                "key = \"traffic.lode\"\nlevels = [1, 2]"
            },
            {
                "key = \"policy\"\nlevels = [\"choice\", \"direct\"]",
                "key = \"service.7.share\"\nlevels = [1, 2]"
            },
            {
                "key = \"policy\"\nlevels = [\"choice\", \"direct\"]",
                "key = \"day.seed\"\nlevels = [1, 2]"
            },
            {
                "key = \"policy\"\nlevels = [\"choice\", \"direct\"]",
                "key = \"load\"\nlevels = [1, 2]"
            },
            {"levels = [\"none\", \"one\"]", "levels = [\"none\", \"two\"]"},
            {"on = [0]}", "on = [9]}"},
            {"none = []", "none = 5"},
            {"seeds = 3", "seeds = 90000"},
            {
                "levels = [\"none\", \"one\"]",
                "levels = [\"none\", \"one\"]\n[stop]\nfactor = \"load\"\nhalf_width = 0.1"
            },
            {
                "levels = [\"none\", \"one\"]",
                "levels = [\"none\", \"one\"]\n"
                        + "[stop]\n"
                        + "factor = \"policy\"\n"
                        + "base = \"x\"\n"
                        + "half_width = 0.1"
            },
            {
                "levels = [\"none\", \"one\"]",
                "levels = [\"none\", \"one\"]\n"
                        + "[stop]\n"
                        + "factor = \"policy\"\n"
                        + "base = \"choice\"\n"
                        + "half_width = 0.1"
            },
            {"day = \"tiny.toml\"", "day = \"none.toml\""}
        };
        StringBuilder messages = new StringBuilder();
        for (String[] change : changes) {
            assertThat(PLAN).contains(change[0]);
            try {
                plan(folder, PLAN.replace(change[0], change[1]));
                messages.append("taken: ").append(change[1]).append('\n');
            } catch (BadConfig e) {
                messages.append(e.getMessage().replace(folder.toString() + "/", "")).append('\n');
            }
        }
        assertThat(messages.toString()).isEqualTo(TraceFiles.read("bad-plans"));
    }

    @Test
    void reportWithoutResultsSaysNoData(@TempDir Path folder) throws Exception {
        ExperimentPlan plan = plan(folder, PLAN);
        Report report = new Report(plan, List.of());
        assertThat(report.text()).contains("no data");
        report.write(folder.resolve("report"));
        assertThat(Files.size(folder.resolve("report/loss.png"))).isPositive();
        assertThat(Files.readString(folder.resolve("report/report.html")))
                .contains("data:image/png;base64,");
    }

    /**
     * A killed process stays alive for a short time, during which it must not be sent another run.
     */
    @Test
    void closedWorkerIsNotAlive() throws Exception {
        Worker worker = new Worker(64);
        assertThat(worker.isAlive()).isTrue();
        worker.close();
        assertThat(worker.isAlive()).isFalse();
    }

    /** A worker reports a request that it cannot execute, and continues. */
    @Test
    void workerReportsInvalidRequestsAndContinues() throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        String request =
                "{\"seed\":1,\"policy\":\"choice\",\"bound\":false,\"day\":{\"day\":{\"name\":\"x\"}}}\n";
        Worker.serve(
                new ByteArrayInputStream(
                        (request + "not json\n" + request).getBytes(StandardCharsets.UTF_8)),
                output);
        List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).hasSize(4);
        assertThat(lines.get(1))
                .isEqualTo("{\"error\":\"BadConfig: day:1: day.length_s: is missing\"}")
                .isEqualTo(lines.get(3));
        assertThat(lines.get(2)).startsWith("{\"error\":\"JsonParseException");
    }
}
