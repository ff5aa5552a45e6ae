package coralcove.network;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Against java.util.PriorityQueue: the same events in the same order, whatever their times look
 * like.
 */
class LadderQueueTest {
    private record Event(long at, long order) {}

    /** How far ahead of now the next event lies. */
    private interface Law {
        long next(SplittableRandom chance);
    }

    private static void same(Law law, int standing, int steps, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        LadderQueue<Event> ladder = new LadderQueue<>();
        PriorityQueue<Event> plain =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        long now = 1_000_000;
        long orders = 0;
        for (int step = 0; step < steps; step++) {
            // Grows, stands, and runs empty now and then.
            boolean grow = plain.size() < standing && step % 5000 < 4000;
            int adds = plain.isEmpty() ? 3 : grow ? 2 : step % 5000 < 4000 ? 1 : 0;
            for (int i = 0; i < adds; i++) {
                Event event = new Event(now + law.next(chance), orders++);
                ladder.add(event.at, event);
                plain.add(event);
            }
            assertThat(ladder.size()).isEqualTo(plain.size());
            Event next = plain.poll();
            assertThat(ladder.nextAt()).isEqualTo(next.at);
            assertThat(ladder.poll()).isEqualTo(next);
            now = Math.max(now, next.at);
        }
        while (!plain.isEmpty()) {
            assertThat(ladder.poll()).isEqualTo(plain.poll());
        }
        assertThat(ladder.isEmpty()).isTrue();
        assertThat(ladder.poll()).isNull();
    }

    @Test
    void theSameOrderForManyLaws() {
        for (long seed = 1; seed <= 6; seed++) {
            same(chance -> chance.nextLong(1_000_000), 3000, 20_000, seed);
            same(chance -> (long) (-Math.log(1 - chance.nextDouble()) * 50_000), 500, 20_000, seed);
            // All at once, near and far together, in the past too.
            same(chance -> 0, 2000, 20_000, seed);
            same(
                    chance ->
                            chance.nextInt(10) < 9
                                    ? chance.nextLong(50)
                                    : chance.nextLong(10_000_000_000L),
                    3000,
                    20_000,
                    seed);
            same(chance -> chance.nextLong(2000) - 1000, 1000, 20_000, seed);
            same(chance -> 100_000 * chance.nextLong(4), 5000, 20_000, seed);
        }
    }

    /**
     * Many events of one near moment on top of far ones: the sorted part must not become a long
     * list.
     */
    @Test
    void aBurstBeforeWhatIsSorted() {
        LadderQueue<Integer> queue = new LadderQueue<>();
        for (int i = 0; i < 100; i++) {
            queue.add(1_000_000 + i, i);
        }
        assertThat(queue.poll()).isZero();
        for (int i = 0; i < 100_000; i++) {
            queue.add(1_000_000 + i % 7, 1000 + i);
        }
        long before = 0;
        int taken = 0;
        while (!queue.isEmpty()) {
            long at = queue.nextAt();
            assertThat(at).isGreaterThanOrEqualTo(before);
            before = at;
            queue.poll();
            taken++;
        }
        assertThat(taken).isEqualTo(100_099);
    }
}
