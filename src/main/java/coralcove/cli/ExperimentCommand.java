package coralcove.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import coralcove.config.BadConfig;
import coralcove.emulator.Calibration;
import coralcove.experiment.ExperimentPlan;
import coralcove.experiment.ExperimentRunner;
import coralcove.experiment.GoalSearch;
import coralcove.experiment.Outcome;
import coralcove.experiment.ProgramVersion;
import coralcove.experiment.Report;
import coralcove.experiment.ResultStore;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code experiment} command: experiments on the emulated network. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description =
                "Plays a day in virtual time for all levels of the plan's factors and many seeds,"
                        + " and reports the results.",
        subcommands = {
            ExperimentCommand.RunCommand.class,
            ExperimentCommand.ReportCommand.class,
            ExperimentCommand.ExportCommand.class,
            ExperimentCommand.SearchCommand.class,
            ExperimentCommand.CalibrateCommand.class
        },
        footer = {
            "",
            "Examples:",
            "  coralcove experiment run docs/studies/policies.toml --out results",
            "  coralcove experiment report docs/studies/policies.toml --out results",
            "  coralcove experiment search docs/studies/policies.toml --out results --key"
                    + " traffic.load --from 0.8 --to 1.6"
        })
final class ExperimentCommand implements Runnable {
    private static final int RUNS_FAILED = 1;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** A command with a plan and a folder for its results. */
    abstract static class PlanCommand implements Callable<Integer> {
        @Parameters(paramLabel = "PLAN", description = "the experiment's plan, TOML")
        private Path file;

        @Option(
                names = "--out",
                paramLabel = "FOLDER",
                required = true,
                description = "folder of the results")
        Path out;

        @Option(names = "--mix", description = "use results of other program versions too")
        boolean mix;

        ExperimentPlan plan() throws BadConfig {
            return ExperimentPlan.read(file);
        }

        ResultStore store() throws IOException {
            return new ResultStore(out.resolve("results.mv"));
        }

        /** Rejects results of other program versions unless {@code --mix} is given. */
        void requireSameVersion(ResultStore store, String version) throws IOException {
            List<String> others =
                    store.versions().stream().filter(v -> !v.equals(version)).toList();
            if (!mix && !others.isEmpty()) {
                throw new IOException(
                        out
                                + " has results of program "
                                + String.join(", ", others)
                                + ", and this is "
                                + version
                                + ": take another --out, or --mix them");
            }
        }

        /** Results of the plan's runs, without runs that have none. */
        static List<Outcome> outcomes(ExperimentPlan plan, ResultStore store) {
            List<Outcome> found = new ArrayList<>();
            for (ExperimentPlan.Run run : plan.runs(plan.firstSeed(), plan.seeds())) {
                if (store.isDone(run, true)) {
                    found.add(store.get(run));
                }
            }
            return found;
        }
    }

    /** A command that runs a plan in worker processes. */
    abstract static class WorkerCommand extends PlanCommand {
        @Option(
                names = "--workers",
                paramLabel = "N",
                description = "number of worker processes (default: number of cores)")
        private int workers = Runtime.getRuntime().availableProcessors();

        @Option(
                names = "--heap-mb",
                paramLabel = "MB",
                defaultValue = "1024",
                description = "heap of each worker process, in MB (default 1024)")
        private int heap;

        @Option(names = "--quiet", description = "do not print each run")
        private boolean quiet;

        ExperimentRunner runner(ExperimentPlan plan, ResultStore store, String version) {
            return new ExperimentRunner(
                    plan,
                    store,
                    version,
                    Math.max(1, workers),
                    heap,
                    new ExperimentRunner.Progress() {
                        @Override
                        public void runEnded(
                                ExperimentPlan.Run run, ObjectNode result, String error, int left) {
                            if (!quiet || result == null) {
                                System.err.printf(
                                        Locale.ROOT,
                                        "%s: %s (%d left)%n",
                                        run.id(),
                                        result == null
                                                ? "FAILED: " + error
                                                : String.format(
                                                        Locale.ROOT,
                                                        "value served %.4f, rules broken %d",
                                                        result.get("share").asDouble(),
                                                        result.get("broken").asLong()),
                                        left);
                            }
                        }

                        @Override
                        public void endedEarly(String what) {
                            System.err.println(what);
                        }
                    });
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Runs what has no result yet; may be stopped and resumed at any time.")
    static final class RunCommand extends WorkerCommand {
        @Option(names = "--retry-failed", description = "repeat failed runs")
        private boolean retry;

        @Override
        public Integer call() throws Exception {
            ExperimentPlan plan = plan();
            String version = ProgramVersion.current();
            try (ResultStore store = store()) {
                requireSameVersion(store, version);
                int seeds = runner(plan, store, version).run(retry);
                List<Outcome> outcomes = outcomes(plan, store);
                long failed = outcomes.stream().filter(Outcome::failed).count();
                System.out.println(
                        plan.name()
                                + ": "
                                + outcomes.size()
                                + " results over "
                                + seeds
                                + " seeds, "
                                + failed
                                + " failed, "
                                + out);
                return failed > 0 ? RUNS_FAILED : 0;
            }
        }
    }

    @Command(
            name = "report",
            mixinStandardHelpOptions = true,
            description =
                    "Writes report.html with all charts included, the charts as PNG files, and the"
                            + " tables on standard output.")
    static final class ReportCommand extends PlanCommand {
        @Override
        public Integer call() throws Exception {
            ExperimentPlan plan = plan();
            try (ResultStore store = store()) {
                if (!mix && store.versions().size() > 1) {
                    throw new IOException(
                            out
                                    + " has results of programs "
                                    + String.join(", ", store.versions())
                                    + ": --mix reports them together");
                }
                Report report = new Report(plan, outcomes(plan, store));
                report.write(out);
                System.out.print(report.text());
                return 0;
            }
        }
    }

    @Command(
            name = "export",
            mixinStandardHelpOptions = true,
            description =
                    "Writes all results as JSON lines, sorted by name; equal results give equal"
                            + " bytes.")
    static final class ExportCommand extends PlanCommand {
        @Option(
                names = "--to",
                paramLabel = "FILE",
                required = true,
                description = "the file to write")
        private Path to;

        @Override
        public Integer call() throws Exception {
            plan();
            try (ResultStore store = store()) {
                store.export(to);
            }
            return 0;
        }
    }

    @Command(
            name = "search",
            mixinStandardHelpOptions = true,
            description =
                    "Searches the value of a key, or with --troubles the smallest set of the day's"
                            + " troubles, at which the plan's [goal] is missed.")
    static final class SearchCommand extends WorkerCommand {
        @Option(
                names = "--key",
                paramLabel = "KEY",
                defaultValue = "traffic.load",
                description = "key of the day (default traffic.load)")
        private String key;

        @Option(
                names = "--from",
                paramLabel = "VALUE",
                defaultValue = "0.5",
                description = "value at which the goal holds (default 0.5)")
        private double from;

        @Option(
                names = "--to",
                paramLabel = "VALUE",
                defaultValue = "2",
                description = "value at which the goal is missed (default 2)")
        private double to;

        @Option(
                names = "--tolerance",
                paramLabel = "VALUE",
                defaultValue = "0.01",
                description = "precision of the search (default 0.01)")
        private double tolerance;

        @Option(
                names = "--troubles",
                description = "search the smallest set of troubles, and write it as a day")
        private boolean troubles;

        @Override
        public Integer call() throws Exception {
            ExperimentPlan plan = plan();
            if (plan.goal() == null) {
                throw plan.toml()
                        .table("goal")
                        .invalid("share", "is missing: a search needs a goal");
            }
            String version = ProgramVersion.current();
            try (ResultStore store = new ResultStore(out.resolve("search.mv"))) {
                requireSameVersion(store, version);
                ExperimentRunner runner = runner(plan, store, version);
                List<ExperimentPlan.Run> bases = plan.runs(plan.firstSeed(), plan.seeds());
                if (troubles) {
                    smallestDay(plan, runner, store, bases);
                } else {
                    GoalSearch.Threshold edge =
                            GoalSearch.findThreshold(
                                    from,
                                    to,
                                    tolerance,
                                    value ->
                                            reasonGoalIsMissed(
                                                    plan,
                                                    runner,
                                                    store,
                                                    bases.stream()
                                                            .map(
                                                                    run ->
                                                                            plan.variant(
                                                                                    run, key,
                                                                                    value))
                                                            .toList()));
                    System.out.printf(
                            Locale.ROOT,
                            "%s: the goal holds at %s %.4f and breaks at %.4f (%s), %d trials of %d"
                                    + " runs%n",
                            plan.name(),
                            key,
                            edge.lastHolding(),
                            edge.firstBreaking(),
                            edge.reason(),
                            edge.trials(),
                            bases.size());
                }
            } catch (IllegalArgumentException e) {
                throw new IOException(e.getMessage(), e);
            }
            return 0;
        }

        /** The reason why these runs miss the goal, or an empty string if they meet it. */
        private static String reasonGoalIsMissed(
                ExperimentPlan plan,
                ExperimentRunner runner,
                ResultStore store,
                List<ExperimentPlan.Run> runs) {
            try {
                runner.executeMissing(runs);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            return plan.goal().violation(runs.stream().map(store::get).toList());
        }

        private void smallestDay(
                ExperimentPlan plan,
                ExperimentRunner runner,
                ResultStore store,
                List<ExperimentPlan.Run> bases)
                throws IOException {
            int count = bases.get(0).day().withArray("trouble").size();
            List<Integer> smallest =
                    GoalSearch.minimalSubset(
                            IntStream.range(0, count).boxed().toList(),
                            kept -> {
                                String reason =
                                        reasonGoalIsMissed(
                                                plan,
                                                runner,
                                                store,
                                                bases.stream()
                                                        .map(run -> plan.variant(run, kept))
                                                        .toList());
                                System.err.println(
                                        "troubles "
                                                + kept
                                                + ": "
                                                + (reason.isEmpty() ? "the goal holds" : reason));
                                return !reason.isEmpty();
                            });
            Path file = out.resolve("smallest-day.toml");
            Files.writeString(
                    file,
                    new TomlMapper()
                            .writeValueAsString(plan.variant(bases.get(0), smallest).day()));
            System.out.println(
                    plan.name()
                            + ": troubles "
                            + smallest
                            + " of "
                            + count
                            + " break the goal: "
                            + file);
        }
    }

    @Command(
            name = "calibrate",
            mixinStandardHelpOptions = true,
            description =
                    "Compares the emulated network with theory: Erlang B, Kaufman-Roberts, and"
                            + " random alternative routing.",
            footer = {
                "",
                "Exit code 1 if a comparison fails.",
                "Example:",
                "  coralcove experiment calibrate --seconds 600 --seeds 8"
            })
    static final class CalibrateCommand implements Callable<Integer> {
        @Option(
                names = "--seconds",
                paramLabel = "S",
                defaultValue = "600",
                description = "length of each day (default 600)")
        private int seconds;

        @Option(
                names = "--seeds",
                paramLabel = "N",
                defaultValue = "8",
                description = "number of days per comparison (default 8)")
        private int seeds;

        @Override
        public Integer call() {
            System.setProperty("coralcove.log", "WARN");
            List<Calibration.Comparison> comparisons = new Calibration(seconds, seeds).all();
            System.out.println("share lost: law, theory, emulated");
            comparisons.forEach(System.out::println);
            return comparisons.stream().allMatch(Calibration.Comparison::agrees) ? 0 : 1;
        }
    }
}
