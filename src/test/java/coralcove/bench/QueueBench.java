package coralcove.bench;

import coralcove.network.LadderQueue;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Compares the ladder queue with java.util.PriorityQueue in the hold model: a queue of constant
 * size, from which one event is taken and to which one is added in each step.
 */
public final class QueueBench {
    private static final int STEPS = 4_000_000;
    private static final int ROUNDS = 5;

    private record Event(long time, long sequence) {}

    private QueueBench() {}

    /**
     * Delays as in the simulated network: most within milliseconds, a fifth hold times and timers
     * of seconds.
     */
    private static long drawDelay(SplittableRandom random) {
        return random.nextInt(5) > 0 ? 50 + random.nextLong(5000) : random.nextLong(20_000_000);
    }

    private static double measureLadderQueue(int size) {
        SplittableRandom random = new SplittableRandom(1);
        LadderQueue<Event> queue = new LadderQueue<>();
        for (int i = 0; i < size; i++) {
            queue.add(drawDelay(random), new Event(0, i));
        }
        long start = System.nanoTime();
        for (int i = 0; i < STEPS; i++) {
            long time = queue.nextTime();
            Event event = queue.poll();
            queue.add(time + drawDelay(random), event);
        }
        return (System.nanoTime() - start) / (double) STEPS;
    }

    private static double measurePriorityQueue(int size) {
        SplittableRandom random = new SplittableRandom(1);
        PriorityQueue<Event> queue =
                new PriorityQueue<>(
                        (a, b) ->
                                a.time != b.time
                                        ? Long.compare(a.time, b.time)
                                        : Long.compare(a.sequence, b.sequence));
        for (int i = 0; i < size; i++) {
            queue.add(new Event(drawDelay(random), i));
        }
        long sequence = size;
        long start = System.nanoTime();
        for (int i = 0; i < STEPS; i++) {
            Event event = queue.poll();
            queue.add(new Event(event.time + drawDelay(random), sequence++));
        }
        return (System.nanoTime() - start) / (double) STEPS;
    }

    public static void main(String[] args) {
        System.out.println(
                "ns per step (one event taken, one added), best of "
                        + ROUNDS
                        + " rounds of "
                        + STEPS
                        + " steps");
        for (int size : new int[] {100, 1_000, 10_000, 100_000, 1_000_000}) {
            double ladderQueueTime = Double.MAX_VALUE;
            double priorityQueueTime = Double.MAX_VALUE;
            for (int round = 0; round < ROUNDS; round++) {
                ladderQueueTime = Math.min(ladderQueueTime, measureLadderQueue(size));
                priorityQueueTime = Math.min(priorityQueueTime, measurePriorityQueue(size));
            }
            System.out.printf(
                    Locale.ROOT,
                    "%,9d events: ladder queue %.0f, PriorityQueue %.0f%n",
                    size,
                    ladderQueueTime,
                    priorityQueueTime);
        }
    }
}
