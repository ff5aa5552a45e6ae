package coralcove.rehearsal;

import coralcove.config.TomlSettings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Measures in virtual time how much value days/planner.toml loses with its planners halted, slow,
 * or in one process with the routers. Arguments: SEEDS, or SEEDS "ahead" to measure the gain of
 * planning ahead, with and without a surge.
 */
public final class PlannerComparison {
    private PlannerComparison() {}

    private static ScenarioResult run(String text, int seed) {
        try {
            return ScenarioRunner.runVirtual(
                    ScenarioFile.parse(TomlSettings.from("planner.toml", text), seed),
                    seed,
                    "choice",
                    null,
                    null,
                    false,
                    true);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    public static void main(String[] args) throws Exception {
        int seeds = Integer.parseInt(args[0]);
        String halted = Files.readString(Path.of("days/planner.toml"));
        String healthy = halted.substring(0, halted.indexOf("[[trouble]]"));
        String[] tomls = {
            healthy.replace("apart = true", "apart = false"),
            healthy,
            halted,
            healthy + "[[trouble]]\nkind = \"planner-slow\"\nat_s = 40\nlen_s = 10\nsize = 1400\n"
        };
        String[] names = {"in one process", "apart, well", "halted from 20 s on", "slow for 10 s"};
        if (args.length > 1) {
            String surge = "[[trouble]]\nkind = \"surge\"\nat_s = 40\nlen_s = 30\nsize = 1.8\n";
            String ahead = healthy.replace("apart = true", "apart = true\nahead = true");
            tomls =
                    new String[] {
                        healthy.replace("apart = true", "apart = false") + surge,
                        healthy + surge,
                        ahead + surge,
                        ahead
                    };
            names =
                    new String[] {
                        "in one process, surge", "apart, surge", "ahead, surge", "ahead, no surge"
                    };
        }
        String[] scenarioTexts = tomls;
        int count = tomls.length;
        double[][] servedShares = new double[count][seeds];
        long[] brokenRules = new long[tomls.length];
        Histogram[] ages = new Histogram[tomls.length];
        Arrays.setAll(ages, d -> new Histogram(60_000_000, 3));
        IntStream.range(0, seeds * count)
                .parallel()
                .forEach(
                        i -> {
                            int day = i % count;
                            ScenarioResult result = run(scenarioTexts[day], 1 + i / count);
                            servedShares[day][i / count] = result.servedShare();
                            synchronized (brokenRules) {
                                ages[day].add(result.planAges());
                                brokenRules[day] +=
                                        result.ruleResults().values().stream()
                                                .mapToLong(v -> v.broken())
                                                .sum();
                            }
                        });
        for (int d = 0; d < tomls.length; d++) {
            double sum = 0;
            double lost = 0;
            double worst = 0;
            for (int s = 0; s < seeds; s++) {
                sum += servedShares[d][s];
                lost += servedShares[1][s] - servedShares[d][s];
                worst = Math.max(worst, servedShares[1][s] - servedShares[d][s]);
            }
            System.out.printf(
                    "%-20s value served %.4f, below the second by %.2f points (worst seed %.2f), "
                            + "rules broken %d, plans' age p50 %.1f s p99 %.1f s%n",
                    names[d],
                    sum / seeds,
                    100 * lost / seeds,
                    100 * worst,
                    brokenRules[d],
                    ages[d].getValueAtPercentile(50) / 1e6,
                    ages[d].getValueAtPercentile(99) / 1e6);
        }
    }
}
