package coralcove.rehearsal;

import coralcove.config.TomlSettings;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Measures how fast a scenario is emulated on one thread. Arguments: DAY SEEDS [KEY=VALUE...]; each
 * value replaces those of the scenario's lines that begin with KEY. Reports the processor time of
 * that thread, on which other load of the machine has little effect; threads of the garbage
 * collector are not included.
 */
public final class EmulatorSpeed {
    private EmulatorSpeed() {}

    public static void main(String[] args) throws Exception {
        String toml = Files.readString(Path.of(args[0]));
        for (int i = 2; i < args.length; i++) {
            String[] replacement = args[i].split("=", 2);
            toml =
                    toml.replaceAll(
                            "(?m)^" + replacement[0] + " = .*$",
                            replacement[0] + " = " + replacement[1]);
        }
        if (args.length > 2 && toml.contains("[[trouble]]")) {
            toml = toml.substring(0, toml.indexOf("[[trouble]]"));
        }
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        for (int seed = 1; seed <= Integer.parseInt(args[1]); seed++) {
            long start = System.nanoTime();
            long cpuStart = threads.getCurrentThreadCpuTime();
            ScenarioResult result =
                    ScenarioRunner.runVirtual(
                            ScenarioFile.parse(TomlSettings.from("day", toml), seed),
                            seed,
                            "choice",
                            null,
                            null,
                            false,
                            false);
            double cpuSeconds = (threads.getCurrentThreadCpuTime() - cpuStart) / 1e9;
            double elapsedSeconds = (System.nanoTime() - start) / 1e9;
            double heapMegabytes = 0;
            for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
                heapMegabytes +=
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
                    result.servedShare(),
                    cpuSeconds,
                    1e3 * cpuSeconds / result.stats().sessions,
                    result.durationSeconds() / cpuSeconds,
                    elapsedSeconds,
                    heapMegabytes);
        }
    }
}
