package coralcove.rehearsal;

import coralcove.config.Toml;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Measures in virtual time what days/planner.toml loses with its planners halted, slow, or in one
 * process: SEEDS. With "ahead" after it, what looking ahead brings, with and without a surge.
 */
public final class PlannerDays {
    private PlannerDays() {}

    private static Result play(String text, int seed) {
        try {
            return Rehearse.virtual(
                    DayFile.of(Toml.of("planner.toml", text), seed),
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
        String well = halted.substring(0, halted.indexOf("[[trouble]]"));
        String[] days = {
            well.replace("apart = true", "apart = false"),
            well,
            halted,
            well + "[[trouble]]\nkind = \"planner-slow\"\nat_s = 40\nlen_s = 10\nsize = 1400\n"
        };
        String[] names = {"in one process", "apart, well", "halted from 20 s on", "slow for 10 s"};
        if (args.length > 1) {
            String surge = "[[trouble]]\nkind = \"surge\"\nat_s = 40\nlen_s = 30\nsize = 1.8\n";
            String ahead = well.replace("apart = true", "apart = true\nahead = true");
            days =
                    new String[] {
                        well.replace("apart = true", "apart = false") + surge,
                        well + surge,
                        ahead + surge,
                        ahead
                    };
            names =
                    new String[] {
                        "in one process, surge", "apart, surge", "ahead, surge", "ahead, no surge"
                    };
        }
        String[] played = days;
        int count = days.length;
        double[][] shares = new double[count][seeds];
        long[] broken = new long[days.length];
        Histogram[] ages = new Histogram[days.length];
        Arrays.setAll(ages, d -> new Histogram(60_000_000, 3));
        IntStream.range(0, seeds * count)
                .parallel()
                .forEach(
                        i -> {
                            int day = i % count;
                            Result result = play(played[day], 1 + i / count);
                            shares[day][i / count] = result.share();
                            synchronized (broken) {
                                ages[day].add(result.planAges());
                                broken[day] +=
                                        result.rules().values().stream()
                                                .mapToLong(v -> v.broken())
                                                .sum();
                            }
                        });
        for (int d = 0; d < days.length; d++) {
            double sum = 0;
            double lost = 0;
            double worst = 0;
            for (int s = 0; s < seeds; s++) {
                sum += shares[d][s];
                lost += shares[1][s] - shares[d][s];
                worst = Math.max(worst, shares[1][s] - shares[d][s]);
            }
            System.out.printf(
                    "%-20s value served %.4f, below the second by %.2f points (worst seed %.2f), "
                            + "rules broken %d, plans' age p50 %.1f s p99 %.1f s%n",
                    names[d],
                    sum / seeds,
                    100 * lost / seeds,
                    100 * worst,
                    broken[d],
                    ages[d].getValueAtPercentile(50) / 1e6,
                    ages[d].getValueAtPercentile(99) / 1e6);
        }
    }
}
