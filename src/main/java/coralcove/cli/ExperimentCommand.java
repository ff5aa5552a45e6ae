package coralcove.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import coralcove.config.BadConfig;
import coralcove.emulator.Calibration;
import coralcove.experiment.Outcome;
import coralcove.experiment.Plan;
import coralcove.experiment.Program;
import coralcove.experiment.Report;
import coralcove.experiment.ResultStore;
import coralcove.experiment.Runner;
import coralcove.experiment.Search;
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

/** Experiments on the emulated network. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description =
                "Plays a day over levels of its factors and many seeds in virtual time, and"
                        + " reports.",
        subcommands = {
            ExperimentCommand.Run.class,
            ExperimentCommand.ReportCommand.class,
            ExperimentCommand.Export.class,
            ExperimentCommand.SearchCommand.class,
            ExperimentCommand.Calibrate.class
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

    /** A plan and where its results are. */
    abstract static class WithPlan implements Callable<Integer> {
        @Parameters(paramLabel = "PLAN", description = "the experiment's plan, TOML")
        private Path file;

        @Option(
                names = "--out",
                paramLabel = "FOLDER",
                required = true,
                description = "where results are kept")
        Path out;

        @Option(
                names = "--mix",
                description = "take results of other versions of the program as well")
        boolean mix;

        Plan plan() throws BadConfig {
            return Plan.read(file);
        }

        ResultStore store() throws IOException {
            return new ResultStore(out.resolve("results.mv"));
        }

        /** Results of another version are told apart, not mixed. */
        void sameVersion(ResultStore store, String version) throws IOException {
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

        /** The plan's runs that have a result. */
        static List<Outcome> outcomes(Plan plan, ResultStore store) {
            List<Outcome> found = new ArrayList<>();
            for (Plan.Run run : plan.runs(plan.firstSeed(), plan.seeds())) {
                if (store.done(run, true)) {
                    found.add(store.get(run));
                }
            }
            return found;
        }
    }

    /** A plan that is run. */
    abstract static class WithWorkers extends WithPlan {
        @Option(
                names = "--workers",
                paramLabel = "N",
                description = "runs at once, each in a process of its own (default: cores)")
        private int workers = Runtime.getRuntime().availableProcessors();

        @Option(
                names = "--heap-mb",
                paramLabel = "MB",
                defaultValue = "1024",
                description = "heap of each worker (default 1024)")
        private int heap;

        @Option(names = "--quiet", description = "tell no run by itself")
        private boolean quiet;

        Runner runner(Plan plan, ResultStore store, String version) {
            return new Runner(
                    plan,
                    store,
                    version,
                    Math.max(1, workers),
                    heap,
                    new Runner.Progress() {
                        @Override
                        public void ran(Plan.Run run, ObjectNode result, String error, int left) {
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
                        public void decided(String what) {
                            System.err.println(what);
                        }
                    });
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Runs what has no result yet; may be ended and begun again at any moment.")
    static final class Run extends WithWorkers {
        @Option(names = "--retry-failed", description = "run again what failed")
        private boolean retry;

        @Override
        public Integer call() throws Exception {
            Plan plan = plan();
            String version = Program.version();
            try (ResultStore store = store()) {
                sameVersion(store, version);
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
                    "Writes tables and pictures: report.html by itself, PNGs, and the tables on"
                            + " standard output.")
    static final class ReportCommand extends WithPlan {
        @Override
        public Integer call() throws Exception {
            Plan plan = plan();
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
            description = "Writes all results as JSON lines, by name: equal results, equal bytes.")
    static final class Export extends WithPlan {
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
                    "Looks for the smallest value of a key, or with --troubles the smallest set of"
                            + " the day's troubles, at which the plan's [goal] breaks.")
    static final class SearchCommand extends WithWorkers {
        @Option(
                names = "--key",
                paramLabel = "KEY",
                defaultValue = "traffic.load",
                description = "key of the day (default " + "traffic.load)")
        private String key;

        @Option(
                names = "--from",
                paramLabel = "VALUE",
                defaultValue = "0.5",
                description = "where the goal holds (default 0.5)")
        private double from;

        @Option(
                names = "--to",
                paramLabel = "VALUE",
                defaultValue = "2",
                description = "where it breaks (default 2)")
        private double to;

        @Option(
                names = "--tolerance",
                paramLabel = "VALUE",
                defaultValue = "0.01",
                description = "how well the edge is to be " + "known (default 0.01)")
        private double tolerance;

        @Option(
                names = "--troubles",
                description = "search the day's troubles, and write the smallest day")
        private boolean troubles;

        @Override
        public Integer call() throws Exception {
            Plan plan = plan();
            if (plan.goal() == null) {
                throw plan.toml().table("goal").bad("share", "is missing: a search needs a goal");
            }
            String version = Program.version();
            try (ResultStore store = new ResultStore(out.resolve("search.mv"))) {
                sameVersion(store, version);
                Runner runner = runner(plan, store, version);
                List<Plan.Run> bases = plan.runs(plan.firstSeed(), plan.seeds());
                if (troubles) {
                    smallestDay(plan, runner, store, bases);
                } else {
                    Search.Edge edge =
                            Search.edge(
                                    from,
                                    to,
                                    tolerance,
                                    value ->
                                            missed(
                                                    plan,
                                                    runner,
                                                    store,
                                                    bases.stream()
                                                            .map(run -> plan.with(run, key, value))
                                                            .toList()));
                    System.out.printf(
                            Locale.ROOT,
                            "%s: the goal holds at %s %.4f and breaks at %.4f (%s), %d trials of %d"
                                    + " runs%n",
                            plan.name(),
                            key,
                            edge.holds(),
                            edge.breaks(),
                            edge.why(),
                            edge.trials(),
                            bases.size());
                }
            } catch (IllegalArgumentException e) {
                throw new IOException(e.getMessage(), e);
            }
            return 0;
        }

        /** Why the goal is missed by these runs, or "". */
        private static String missed(
                Plan plan, Runner runner, ResultStore store, List<Plan.Run> runs) {
            try {
                runner.play(runs);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            return plan.goal().missed(runs.stream().map(store::get).toList());
        }

        private void smallestDay(Plan plan, Runner runner, ResultStore store, List<Plan.Run> bases)
                throws IOException {
            int count = bases.get(0).day().withArray("trouble").size();
            List<Integer> smallest =
                    Search.smallest(
                            IntStream.range(0, count).boxed().toList(),
                            kept -> {
                                String why =
                                        missed(
                                                plan,
                                                runner,
                                                store,
                                                bases.stream()
                                                        .map(run -> plan.with(run, kept))
                                                        .toList());
                                System.err.println(
                                        "troubles "
                                                + kept
                                                + ": "
                                                + (why.isEmpty() ? "the goal holds" : why));
                                return !why.isEmpty();
                            });
            Path file = out.resolve("smallest-day.toml");
            Files.writeString(
                    file,
                    new TomlMapper().writeValueAsString(plan.with(bases.get(0), smallest).day()));
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
                    "Holds the emulated network against theory: Erlang B, Kaufman-Roberts, one"
                            + " alternative by chance.",
            footer = {
                "",
                "Exit 1 where a law is missed.",
                "Example:",
                "  coralcove experiment calibrate --seconds 600 --seeds 8"
            })
    static final class Calibrate implements Callable<Integer> {
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
                description = "days of each law (default 8)")
        private int seeds;

        @Override
        public Integer call() {
            System.setProperty("coralcove.log", "WARN");
            List<Calibration.Comparison> rows = new Calibration(seconds, seeds).all();
            System.out.println("share lost: law, theory, emulated");
            rows.forEach(System.out::println);
            return rows.stream().allMatch(Calibration.Comparison::agrees) ? 0 : 1;
        }
    }
}
