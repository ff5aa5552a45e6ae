package coralcove.network;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Compares the queue with java.util.PriorityQueue: events must come in the same order for many
 * distributions of their times.
 */
class LadderQueueTest {
    private record Event(long time, long sequence) {}

    /** Draws how far after the current time the next event lies. */
    private interface TimeDistribution {
        long draw(SplittableRandom random);
    }

    private static void assertSameOrder(
            TimeDistribution distribution, int targetSize, int steps, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LadderQueue<Event> ladderQueue = new LadderQueue<>();
        PriorityQueue<Event> priorityQueue =
                new PriorityQueue<>(
                        (a, b) ->
                                a.time != b.time
                                        ? Long.compare(a.time, b.time)
                                        : Long.compare(a.sequence, b.sequence));
        long now = 1_000_000;
        long sequence = 0;
        for (int step = 0; step < steps; step++) {
            // The queues grow, stay at their size, and run empty from time to time.
            boolean growing = priorityQueue.size() < targetSize && step % 5000 < 4000;
            int additions = priorityQueue.isEmpty() ? 3 : growing ? 2 : step % 5000 < 4000 ? 1 : 0;
            for (int i = 0; i < additions; i++) {
                Event event = new Event(now + distribution.draw(random), sequence++);
                ladderQueue.add(event.time, event);
                priorityQueue.add(event);
            }
            assertThat(ladderQueue.size()).isEqualTo(priorityQueue.size());
            Event next = priorityQueue.poll();
            assertThat(ladderQueue.nextTime()).isEqualTo(next.time);
            assertThat(ladderQueue.poll()).isEqualTo(next);
            now = Math.max(now, next.time);
        }
        while (!priorityQueue.isEmpty()) {
            assertThat(ladderQueue.poll()).isEqualTo(priorityQueue.poll());
        }
        assertThat(ladderQueue.isEmpty()).isTrue();
        assertThat(ladderQueue.poll()).isNull();
    }

    @Test
    void keepsOrderForManyTimeDistributions() {
        for (long seed = 1; seed <= 6; seed++) {
            assertSameOrder(random -> random.nextLong(1_000_000), 3000, 20_000, seed);
            assertSameOrder(
                    random -> (long) (-Math.log(1 - random.nextDouble()) * 50_000),
                    500,
                    20_000,
                    seed);
            // All at the same time; near and far future mixed; also in the past.
            assertSameOrder(random -> 0, 2000, 20_000, seed);
            assertSameOrder(
                    random ->
                            random.nextInt(10) < 9
                                    ? random.nextLong(50)
                                    : random.nextLong(10_000_000_000L),
                    3000,
                    20_000,
                    seed);
            assertSameOrder(random -> random.nextLong(2000) - 1000, 1000, 20_000, seed);
            assertSameOrder(random -> 100_000 * random.nextLong(4), 5000, 20_000, seed);
        }
    }

    /**
     * Many events within a few microseconds in front of later ones: the sorted part must not become
     * a long list, into which inserting is slow.
     */
    @Test
    void keepsOrderForBurstBeforeSortedEvents() {
        LadderQueue<Integer> queue = new LadderQueue<>();
        for (int i = 0; i < 100; i++) {
            queue.add(1_000_000 + i, i);
        }
        assertThat(queue.poll()).isZero();
        for (int i = 0; i < 100_000; i++) {
            queue.add(1_000_000 + i % 7, 1000 + i);
        }
        long previous = 0;
        int taken = 0;
        while (!queue.isEmpty()) {
            long time = queue.nextTime();
            assertThat(time).isGreaterThanOrEqualTo(previous);
            previous = time;
            queue.poll();
            taken++;
        }
        assertThat(taken).isEqualTo(100_099);
    }
}
