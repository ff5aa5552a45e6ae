package coralcove.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.Kept;
import coralcove.config.BadConfig;
import coralcove.config.Toml;
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

/** Plans, workers that are killed, results that are resumed, and what is refused. */
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

    private static Plan plan(Path folder, String text) throws BadConfig, IOException {
        Files.writeString(folder.resolve("tiny.toml"), DAY);
        return new Plan(Toml.of("plan.toml", text), folder);
    }

    private static final class Told implements Runner.Progress {
        final List<String> ran = new ArrayList<>();
        int most = Integer.MAX_VALUE;

        @Override
        public void ran(Plan.Run run, ObjectNode result, String error, int left) {
            ran.add(run.id() + (result == null ? " FAILED " + error : ""));
            if (ran.size() >= most) {
                throw new IllegalStateException("killed");
            }
        }

        @Override
        public void decided(String what) {
            ran.add(what);
        }
    }

    private static byte[] bytes(ResultStore store, Path folder) throws IOException {
        store.export(folder.resolve("out.jsonl"));
        return Files.readAllBytes(folder.resolve("out.jsonl"));
    }

    /**
     * On one worker, on three, and killed after five of twelve runs and begun again: the same
     * bytes.
     */
    @Test
    void equalSeedsGiveEqualBytesAndAKillLosesNothing(@TempDir Path folder) throws Exception {
        // Baselines: the report is what is kept here, not the module's decisions.
        String text = PLAN.replace("\"choice\"", "\"reserved\"");
        Plan plan = plan(folder, text);
        byte[] first;
        try (ResultStore store = new ResultStore(folder.resolve("one/results.mv"))) {
            new Runner(plan, store, "v1", 1, 256, new Told()).run(false);
            first = bytes(store, folder);
            assertThat(store.outcomes()).hasSize(12).noneMatch(Outcome::failed);
            assertThat(new Report(plan, store.outcomes()).text())
                    .isEqualTo(Kept.trace("experiment-tiny"));
        }
        Path three = folder.resolve("three/results.mv");
        Told told = new Told();
        told.most = 5;
        try (ResultStore store = new ResultStore(three)) {
            assertThatThrownBy(() -> new Runner(plan, store, "v1", 3, 256, told).run(false))
                    .hasMessage("killed");
        }
        try (ResultStore store = new ResultStore(three)) {
            int kept = store.outcomes().size();
            assertThat(kept).isBetween(5, 7);
            Told rest = new Told();
            new Runner(plan, store, "v1", 3, 256, rest).run(false);
            assertThat(rest.ran).hasSize(12 - kept);
            assertThat(bytes(store, folder)).isEqualTo(first);
            // A plan whose day has changed has no results yet.
            Plan other = plan(folder, text.replace("at_s = 5, len_s = 6", "at_s = 5, len_s = 5"));
            assertThat(other.runs(1, 3).stream().filter(run -> store.done(run, true)).count())
                    .isEqualTo(6);
        }
    }

    /**
     * A run past its time is stopped and named, its worker's end costs no other run, and it is
     * tried again when asked.
     */
    @Test
    void aRunThatDoesNotEndIsStoppedAndNamed(@TempDir Path folder) throws Exception {
        Plan plan =
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
            Told told = new Told();
            new Runner(plan, store, "v1", 2, 512, told).run(false);
            assertThat(told.ran).hasSize(2);
            assertThat(told.ran)
                    .anyMatch(
                            line ->
                                    line.contains("sessions_per_s=3000")
                                            && line.endsWith(
                                                    "FAILED stopped: not done after 0.5 s"));
            assertThat(new Report(plan, store.outcomes()).text())
                    .contains("Failed runs")
                    .contains("not done after 0.5 s");
            Told again = new Told();
            new Runner(plan, store, "v1", 2, 512, again).run(false);
            assertThat(again.ran).isEmpty();
            new Runner(plan, store, "v1", 1, 512, again).run(true);
            assertThat(again.ran).anyMatch(line -> line.contains("sessions_per_s=3000"));
        }
    }

    /** Seeds end once differences are known; which ones does not hang on the workers. */
    @Test
    void seedsStopWhenTheDifferenceIsKnown(@TempDir Path folder) throws Exception {
        String text =
                PLAN.replace("seeds = 3", "seeds = 40")
                        + "[stop]\nfactor = \"policy\"\nbase = \"choice\"\n"
                        + "half_width = 0.2\nleast_seeds = 3\n";
        Plan plan = plan(folder, text);
        Told told = new Told();
        try (ResultStore store = new ResultStore(folder.resolve("results.mv"))) {
            assertThat(new Runner(plan, store, "v1", 4, 256, told).run(false)).isEqualTo(3);
            assertThat(store.outcomes()).hasSize(12);
        }
        assertThat(told.ran)
                .last()
                .isEqualTo("stopped after 3 seeds: each difference from choice is known to 0.2");
    }

    @Test
    void aFullStoreEndsTheExperiment(@TempDir Path folder) throws Exception {
        Plan plan = plan(folder, PLAN.replace("seeds = 3", "seeds = 3\nmost_mb = 1"));
        try (ResultStore store = new ResultStore(folder.resolve("results.mv"))) {
            store.put(plan.runs(1, 1).get(0), "v1", null, "x".repeat(2_000_000));
            assertThatThrownBy(() -> new Runner(plan, store, "v1", 1, 256, new Told()).run(false))
                    .isInstanceOf(Runner.Full.class)
                    .hasMessageContaining("of at most 1000000 (most_mb): nothing more is run");
        }
    }

    @Test
    void faultyPlansAreRefusedWithTheirLine(@TempDir Path folder) throws Exception {
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
        StringBuilder told = new StringBuilder();
        for (String[] change : changes) {
            assertThat(PLAN).contains(change[0]);
            try {
                plan(folder, PLAN.replace(change[0], change[1]));
                told.append("taken: ").append(change[1]).append('\n');
            } catch (BadConfig e) {
                told.append(e.getMessage().replace(folder.toString() + "/", "")).append('\n');
            }
        }
        assertThat(told.toString()).isEqualTo(Kept.trace("bad-plans"));
    }

    @Test
    void aReportWithoutResultsSaysSo(@TempDir Path folder) throws Exception {
        Plan plan = plan(folder, PLAN);
        Report report = new Report(plan, List.of());
        assertThat(report.text()).contains("no data");
        report.write(folder.resolve("report"));
        assertThat(Files.size(folder.resolve("report/loss.png"))).isPositive();
        assertThat(Files.readString(folder.resolve("report/report.html")))
                .contains("data:image/png;base64,");
    }

    /**
     * A process that is told to end lives on for a moment, and must not be sent the next run in it.
     */
    @Test
    void aWorkerThatWasEndedIsOfNoMoreUse() throws Exception {
        Worker worker = new Worker(64);
        assertThat(worker.alive()).isTrue();
        worker.close();
        assertThat(worker.alive()).isFalse();
    }

    /** What a worker cannot play it tells, and goes on. */
    @Test
    void aWorkerTellsWhatItCannotPlay() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String task =
                "{\"seed\":1,\"policy\":\"choice\",\"bound\":false,\"day\":{\"day\":{\"name\":\"x\"}}}\n";
        Worker.serve(
                new ByteArrayInputStream(
                        (task + "not json\n" + task).getBytes(StandardCharsets.UTF_8)),
                out);
        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).hasSize(4);
        assertThat(lines.get(1))
                .isEqualTo("{\"error\":\"BadConfig: day:1: day.length_s: is missing\"}")
                .isEqualTo(lines.get(3));
        assertThat(lines.get(2)).startsWith("{\"error\":\"JsonParseException");
    }
}
