package coralcove.rehearsal;

import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Runs many small networks of {@link SmallNetworkTest} in parallel and prints each broken rule.
 * Argument: the number of networks. Not run by the build.
 */
public final class SmallNetworkRuns {
    private SmallNetworkRuns() {}

    public static void main(String[] args) {
        int count = Integer.parseInt(args[0]);
        AtomicLong sessions = new AtomicLong();
        AtomicLong checks = new AtomicLong();
        AtomicLong brokenRules = new AtomicLong();
        IntStream.rangeClosed(1, count)
                .parallel()
                .forEach(
                        seed -> {
                            SplittableRandom random = new SplittableRandom(seed);
                            try {
                                ScenarioResult result =
                                        SmallNetworkTest.play(
                                                seed,
                                                random.nextDouble(0.1),
                                                random.nextDouble(0.1),
                                                random.nextDouble(0.1),
                                                random.nextDouble(0.01),
                                                random.nextInt(3),
                                                random.nextInt(
                                                        SmallNetworkTest.FAULT_KINDS.size()));
                                sessions.addAndGet(result.stats().sessions);
                                result.ruleResults()
                                        .values()
                                        .forEach(
                                                verdict -> {
                                                    checks.addAndGet(verdict.checked());
                                                    brokenRules.addAndGet(verdict.broken());
                                                    verdict.breaches()
                                                            .forEach(
                                                                    line ->
                                                                            System.out.println(
                                                                                    "seed " + seed
                                                                                            + " "
                                                                                            + line));
                                                });
                            } catch (Exception e) {
                                System.out.println("seed " + seed + " " + e);
                                brokenRules.incrementAndGet();
                            }
                        });
        System.out.println(
                count
                        + " nets, "
                        + sessions
                        + " sessions, "
                        + checks
                        + " checks, "
                        + brokenRules
                        + " broken");
    }
}
