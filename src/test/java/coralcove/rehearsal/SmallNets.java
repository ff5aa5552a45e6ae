package coralcove.rehearsal;

import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Not a test: plays many small nets of {@link SmallNetTest} at once and prints each rule broken.
 */
public final class SmallNets {
    private SmallNets() {}

    public static void main(String[] args) {
        int count = Integer.parseInt(args[0]);
        AtomicLong sessions = new AtomicLong();
        AtomicLong checked = new AtomicLong();
        AtomicLong broken = new AtomicLong();
        IntStream.rangeClosed(1, count)
                .parallel()
                .forEach(
                        seed -> {
                            SplittableRandom chance = new SplittableRandom(seed);
                            try {
                                Result result =
                                        SmallNetTest.play(
                                                seed,
                                                chance.nextDouble(0.1),
                                                chance.nextDouble(0.1),
                                                chance.nextDouble(0.1),
                                                chance.nextDouble(0.01),
                                                chance.nextInt(3),
                                                chance.nextInt(SmallNetTest.PLAYED.size()));
                                sessions.addAndGet(result.stats().sessions);
                                result.rules()
                                        .values()
                                        .forEach(
                                                v -> {
                                                    checked.addAndGet(v.checked());
                                                    broken.addAndGet(v.broken());
                                                    v.breaches()
                                                            .forEach(
                                                                    line ->
                                                                            System.out.println(
                                                                                    "seed " + seed
                                                                                            + " "
                                                                                            + line));
                                                });
                            } catch (Exception e) {
                                System.out.println("seed " + seed + " " + e);
                                broken.incrementAndGet();
                            }
                        });
        System.out.println(
                count
                        + " nets, "
                        + sessions
                        + " sessions, "
                        + checked
                        + " checks, "
                        + broken
                        + " broken");
    }
}
