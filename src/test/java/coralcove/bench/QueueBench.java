package coralcove.bench;

import coralcove.network.LadderQueue;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * The ladder queue against java.util.PriorityQueue in the hold model: one event taken, one added,
 * so many standing.
 */
public final class QueueBench {
    private static final int STEPS = 4_000_000;
    private static final int ROUNDS = 5;

    private record Event(long at, long order) {}

    private QueueBench() {}

    /** Mixed as a network's: most within milliseconds, a fifth holds and timers of seconds. */
    private static long ahead(SplittableRandom chance) {
        return chance.nextInt(5) > 0 ? 50 + chance.nextLong(5000) : chance.nextLong(20_000_000);
    }

    private static double ladder(int standing) {
        SplittableRandom chance = new SplittableRandom(1);
        LadderQueue<Event> queue = new LadderQueue<>();
        for (int i = 0; i < standing; i++) {
            queue.add(ahead(chance), new Event(0, i));
        }
        long start = System.nanoTime();
        for (int i = 0; i < STEPS; i++) {
            long at = queue.nextAt();
            Event event = queue.poll();
            queue.add(at + ahead(chance), event);
        }
        return (System.nanoTime() - start) / (double) STEPS;
    }

    private static double plain(int standing) {
        SplittableRandom chance = new SplittableRandom(1);
        PriorityQueue<Event> queue =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        for (int i = 0; i < standing; i++) {
            queue.add(new Event(ahead(chance), i));
        }
        long order = standing;
        long start = System.nanoTime();
        for (int i = 0; i < STEPS; i++) {
            Event event = queue.poll();
            queue.add(new Event(event.at + ahead(chance), order++));
        }
        return (System.nanoTime() - start) / (double) STEPS;
    }

    public static void main(String[] args) {
        System.out.println(
                "ns for one event taken and one added, best of " + ROUNDS + " rounds of " + STEPS);
        for (int standing : new int[] {100, 1_000, 10_000, 100_000, 1_000_000}) {
            double ladder = Double.MAX_VALUE;
            double plain = Double.MAX_VALUE;
            for (int round = 0; round < ROUNDS; round++) {
                ladder = Math.min(ladder, ladder(standing));
                plain = Math.min(plain, plain(standing));
            }
            System.out.printf(
                    Locale.ROOT,
                    "%,9d standing: ladder %.0f, PriorityQueue %.0f%n",
                    standing,
                    ladder,
                    plain);
        }
    }
}
