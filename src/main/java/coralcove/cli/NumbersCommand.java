package coralcove.cli;

import coralcove.numbers.CalendarCheck;
import coralcove.numbers.Destination;
import coralcove.numbers.Digits;
import coralcove.numbers.NumberAnalysis;
import coralcove.numbers.NumberTable;
import coralcove.numbers.PortabilityCache;
import coralcove.numbers.file.TableReader;
import java.io.IOException;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.IntPredicate;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code numbers} command: checks, explains and compares number tables. */
@Command(
        name = "numbers",
        mixinStandardHelpOptions = true,
        description = "Checks, explains and compares number tables.",
        subcommands = {
            NumbersCommand.BuildCommand.class,
            NumbersCommand.LookCommand.class,
            NumbersCommand.DiffCommand.class,
            NumbersCommand.StatsCommand.class
        },
        footer = {
            "",
            "Examples:",
            "  coralcove numbers build deploy/examples/numbers.table --far-ends 0-1",
            "  coralcove numbers look deploy/examples/numbers.table 011-12345 --at"
                    + " 2026-11-30T03:00:00Z"
        })
final class NumbersCommand implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Option with the range of existing far ends, for checks. */
    static final class FarEndOptions {
        @Option(
                names = "--far-ends",
                paramLabel = "A-B",
                description = "range of existing far ends; all are accepted without it")
        private String range;

        IntPredicate known() {
            if (range == null) {
                return n -> true;
            }
            if (!range.matches("\\d{1,5}-\\d{1,5}")) {
                throw new IllegalArgumentException("--far-ends is A-B, two numbers");
            }
            String[] ends = range.split("-");
            return n -> n >= Integer.parseInt(ends[0]) && n <= Integer.parseInt(ends[1]);
        }
    }

    /** Reads a table; an error in it ends the command and names the line. */
    static NumberTable read(Path path, IntPredicate known) throws IOException {
        try {
            return TableReader.readTable(path, known);
        } catch (TableReader.InvalidTableException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static long now() {
        return System.currentTimeMillis() * 1000;
    }

    @Command(
            name = "build",
            mixinStandardHelpOptions = true,
            description =
                    "Reads a table, applies changes if given, and prints errors and warnings; exit"
                            + " 1 if the table is invalid.")
    static final class BuildCommand implements Callable<Integer> {
        @Parameters(paramLabel = "TABLE", description = "the table's file")
        private Path path;

        @Option(names = "--changes", paramLabel = "FILE", description = "file of changes to apply")
        private Path changes;

        @CommandLine.Mixin private FarEndOptions farEnds;

        @Override
        public Integer call() throws IOException {
            long start = System.nanoTime();
            NumberTable table = read(path, farEnds.known());
            System.out.printf(
                    "table %d: %d prefixes, %d destinations, %d calendars, %.0f ms%n",
                    table.version(),
                    table.trie().size(),
                    table.destinationCount(),
                    table.calendars().size(),
                    (System.nanoTime() - start) / 1e6);
            if (changes != null) {
                long editStart = System.nanoTime();
                try {
                    TableReader.TableChanges read =
                            TableReader.readChanges(changes, table, farEnds.known());
                    if (read.baseVersion() != table.version()) {
                        throw new IOException(changes + ": made for version " + read.baseVersion());
                    }
                    table = table.withChanges(read.version(), read.changes());
                    System.out.printf(
                            "table %d: %d changes, %.1f ms%n",
                            table.version(),
                            read.changes().size(),
                            (System.nanoTime() - editStart) / 1e6);
                } catch (TableReader.InvalidTableException e) {
                    throw new IOException(e.getMessage(), e);
                }
            }
            CalendarCheck.findProblems(table, now())
                    .forEach(warning -> System.out.println("warning: " + warning));
            return 0;
        }
    }

    @Command(
            name = "look",
            mixinStandardHelpOptions = true,
            description = "Explains step by step how a number is routed.")
    static final class LookCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "TABLE", description = "the table's file")
        private Path path;

        @Parameters(index = "1", paramLabel = "NUMBER", description = "the dialled number")
        private String dialled;

        @Option(
                names = "--at",
                paramLabel = "TIME",
                description = "time of the call, as 2026-11-30T03:00:00Z (default now)")
        private String at;

        @Option(
                names = "--service",
                paramLabel = "N",
                defaultValue = "0",
                description = "the service (default 0)")
        private int service;

        @Option(
                names = "--routing",
                paramLabel = "DIGITS",
                description =
                        "answer of the portability server; without it the number counts as not"
                                + " ported")
        private String routing;

        @Override
        public Integer call() throws IOException {
            NumberTable table = read(path, n -> true);
            long now;
            try {
                now = at == null ? now() : Instant.parse(at).getEpochSecond() * 1_000_000;
            } catch (DateTimeException e) {
                throw new IOException("--at " + at + " is not a time such as 2026-11-30T03:00:00Z");
            }
            PortabilityCache porting =
                    new PortabilityCache(
                            new PortabilityCache.Settings(1_000_000, 1, 0, 10, 10, 10));
            NumberAnalysis search =
                    new NumberAnalysis(table, 1, dialled, service, now + 60_000_000);
            NumberAnalysis.Step step = search.next(now, porting);
            boolean first = true;
            while (step instanceof NumberAnalysis.Wait wait) {
                boolean ported = first && routing != null;
                porting.queryEnded(
                        now,
                        wait.number(),
                        ported
                                ? PortabilityCache.QueryOutcome.MOVED
                                : PortabilityCache.QueryOutcome.NOT_MOVED,
                        ported ? Digits.pack(routing) : 0,
                        60_000_000);
                first = false;
                step = search.resume(now, porting);
            }
            System.out.println("table " + table.version());
            search.explanation().forEach(line -> System.out.println("  " + line));
            if (step instanceof NumberAnalysis.Route route) {
                System.out.println(
                        "goes to far end "
                                + route.farEnd()
                                + (route.until() == Long.MAX_VALUE
                                        ? ""
                                        : " until "
                                                + Instant.ofEpochSecond(
                                                        route.until() / 1_000_000)));
            } else if (step instanceof NumberAnalysis.Refused refused) {
                System.out.println(
                        "is refused: "
                                + refused.status()
                                + " "
                                + refused.reason()
                                + (refused.number().isEmpty() ? "" : ", now " + refused.number()));
            }
            return 0;
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description =
                    "Writes the changes from one table to another, in the format of a changes"
                            + " file.")
    static final class DiffCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "FROM", description = "the older table's file")
        private Path from;

        @Parameters(index = "1", paramLabel = "TO", description = "the newer table's file")
        private Path to;

        @Override
        public Integer call() throws IOException {
            NumberTable old = read(from, n -> true);
            NumberTable now = read(to, n -> true);
            if (!old.rules().equals(now.rules()) || !old.calendars().equals(now.calendars())) {
                System.out.println(
                        "# rules or calendars differ: changes cannot carry that, the whole table"
                                + " can");
            }
            System.out.println("changes " + now.version() + " after " + old.version());
            int[] count = {0};
            old.trie()
                    .forEach(
                            (key, value) -> {
                                if (now.trie().get(key) == 0) {
                                    System.out.println("drop " + prefixText(key));
                                    count[0]++;
                                }
                            });
            now.trie()
                    .forEach(
                            (key, value) -> {
                                int before = old.trie().get(key);
                                Destination destination = now.destination(value);
                                if (before == 0 || !old.destination(before).equals(destination)) {
                                    System.out.println(
                                            "put "
                                                    + prefixText(key)
                                                    + " "
                                                    + destination.toTableText()
                                                    + (before == 0
                                                            ? ""
                                                            : "  # was "
                                                                    + old.destination(before)
                                                                            .toTableText()));
                                    count[0]++;
                                }
                            });
            System.out.println("end " + count[0]);
            return 0;
        }
    }

    private static String prefixText(long key) {
        return key == 0 ? "*" : Digits.unpack(key);
    }

    @Command(
            name = "stats",
            mixinStandardHelpOptions = true,
            description =
                    "Prints the number of prefixes of a table by kind and length, and its size.")
    static final class StatsCommand implements Callable<Integer> {
        @Parameters(paramLabel = "TABLE", description = "the table's file")
        private Path path;

        @Override
        public Integer call() throws IOException {
            NumberTable table = read(path, n -> true);
            Map<String, Integer> kinds = new TreeMap<>();
            Map<Integer, Integer> lengths = new TreeMap<>();
            table.trie()
                    .forEach(
                            (key, value) -> {
                                kinds.merge(
                                        table.destination(value).getClass().getSimpleName(),
                                        1,
                                        Integer::sum);
                                lengths.merge(Digits.length(key), 1, Integer::sum);
                            });
            System.out.println("table " + table.version());
            System.out.println(
                    "prefixes "
                            + table.trie().size()
                            + ", "
                            + table.trie().memoryBytes()
                            + " bytes, "
                            + table.trie().memoryBytes() / Math.max(1, table.trie().size())
                            + " a prefix");
            kinds.forEach((kind, count) -> System.out.println("  " + kind + " " + count));
            lengths.forEach(
                    (length, count) -> System.out.println("  of " + length + " digits " + count));
            return 0;
        }
    }
}
