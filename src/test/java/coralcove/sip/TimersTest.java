package coralcove.sip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class TimersTest {
    /**
     * Compares the timer wheel with a sorted map over random sequences of setting, cancelling and
     * running, with near and distant deadlines.
     */
    @Test
    void firesInOrderOfASortedMap() {
        for (int seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            TimerWheel timers = new TimerWheel();
            TreeMap<Long, TreeMap<Integer, TimerWheel.Timer>> reference = new TreeMap<>();
            List<Integer> fired = new ArrayList<>();
            List<Integer> expected = new ArrayList<>();
            long now = seed % 2 == 0 ? 0 : 1_700_000_000_000_000L;
            for (int step = 0; step < 3000; step++) {
                int action = random.nextInt(10);
                if (action < 6) {
                    long at = now - 5 + random.nextLong(1L << random.nextInt(3, 40));
                    int id = step;
                    reference
                            .computeIfAbsent(at, t -> new TreeMap<>())
                            .put(id, timers.schedule(at, (n, o) -> fired.add(id)));
                } else if (action < 8 && !reference.isEmpty()) {
                    Long deadline = reference.ceilingKey(now + random.nextLong(1 << 20));
                    deadline = deadline == null ? reference.firstKey() : deadline;
                    timers.cancel(reference.get(deadline).pollFirstEntry().getValue());
                    reference.computeIfPresent(deadline, (t, map) -> map.isEmpty() ? null : map);
                } else {
                    now += random.nextLong(1L << random.nextInt(1, 34));
                    timers.fireExpired(now, null);
                    while (!reference.isEmpty() && reference.firstKey() <= now) {
                        expected.addAll(reference.pollFirstEntry().getValue().keySet());
                    }
                }
                assertThat(timers.nextDeadline())
                        .isEqualTo(reference.isEmpty() ? Long.MAX_VALUE : reference.firstKey());
            }
            assertThat(fired).as("seed %d", seed).isEqualTo(expected);
            assertThat(timers.size())
                    .isEqualTo(reference.values().stream().mapToInt(TreeMap::size).sum());
        }
    }

    @Test
    void allowsTaskToSetOrCancelTimersOfSameDeadline() {
        TimerWheel timers = new TimerWheel();
        List<String> fired = new ArrayList<>();
        TimerWheel.Timer[] second = new TimerWheel.Timer[1];
        timers.schedule(
                10,
                (now, out) -> {
                    fired.add("first");
                    timers.cancel(second[0]);
                    timers.schedule(now, (n, o) -> fired.add("third"));
                });
        second[0] = timers.schedule(10, (now, out) -> fired.add("second"));
        timers.fireExpired(10, null);
        assertThat(fired).containsExactly("first", "third");
        assertThat(timers.nextDeadline()).isEqualTo(Long.MAX_VALUE);
    }
}
