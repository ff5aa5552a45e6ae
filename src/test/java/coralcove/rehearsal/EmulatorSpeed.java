package coralcove.rehearsal;

import coralcove.config.Toml;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * How fast a day is emulated on one thread: DAY SEEDS [KEY=VALUE...]. Processor time of that
 * thread, so that other work on the machine hardly shows; the collector's threads are not in it.
 * Values replace those of the day's lines that begin with KEY.
 */
public final class EmulatorSpeed {
    private EmulatorSpeed() {}

    public static void main(String[] args) throws Exception {
        String toml = Files.readString(Path.of(args[0]));
        for (int i = 2; i < args.length; i++) {
            String[] change = args[i].split("=", 2);
            toml = toml.replaceAll("(?m)^" + change[0] + " = .*$", change[0] + " = " + change[1]);
        }
        if (args.length > 2 && toml.contains("[[trouble]]")) {
            toml = toml.substring(0, toml.indexOf("[[trouble]]"));
        }
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        for (int seed = 1; seed <= Integer.parseInt(args[1]); seed++) {
            long start = System.nanoTime();
            long cpu = threads.getCurrentThreadCpuTime();
            Result result =
                    Rehearse.virtual(
                            DayFile.of(Toml.of("day", toml), seed),
                            seed,
                            "choice",
                            null,
                            null,
                            false,
                            false);
            double used = (threads.getCurrentThreadCpuTime() - cpu) / 1e9;
            double took = (System.nanoTime() - start) / 1e9;
            double heap = 0;
            for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
                heap +=
                        pool.getType() == java.lang.management.MemoryType.HEAP
                                ? pool.getPeakUsage().getUsed() / 1e6
                                : 0;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%s seed %d: %d sessions, value served %.4f; %.2f s of processor, %.3f ms a"
                        + " session, %.1f simulated seconds a second of processor; %.1f s passed,"
                        + " heap at most %.0f MB%n",
                    args[0],
                    seed,
                    result.stats().sessions,
                    result.share(),
                    used,
                    1e3 * used / result.stats().sessions,
                    result.seconds() / used,
                    took,
                    heap);
        }
    }
}
