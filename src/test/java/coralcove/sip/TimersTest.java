package coralcove.sip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class TimersTest {
    /**
     * The wheel against a sorted map, over any mix of setting, cancelling and running, near and
     * far.
     */
    @Test
    void firesInOrderOfASortedMap() {
        for (int seed = 0; seed < 60; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            Timers timers = new Timers();
            TreeMap<Long, TreeMap<Integer, Timers.Timer>> plain = new TreeMap<>();
            List<Integer> fired = new ArrayList<>();
            List<Integer> wanted = new ArrayList<>();
            long now = seed % 2 == 0 ? 0 : 1_700_000_000_000_000L;
            for (int step = 0; step < 3000; step++) {
                int what = chance.nextInt(10);
                if (what < 6) {
                    long at = now - 5 + chance.nextLong(1L << chance.nextInt(3, 40));
                    int id = step;
                    plain.computeIfAbsent(at, t -> new TreeMap<>())
                            .put(id, timers.set(at, (n, o) -> fired.add(id)));
                } else if (what < 8 && !plain.isEmpty()) {
                    Long at = plain.ceilingKey(now + chance.nextLong(1 << 20));
                    at = at == null ? plain.firstKey() : at;
                    timers.cancel(plain.get(at).pollFirstEntry().getValue());
                    plain.computeIfPresent(at, (t, map) -> map.isEmpty() ? null : map);
                } else {
                    now += chance.nextLong(1L << chance.nextInt(1, 34));
                    timers.run(now, null);
                    while (!plain.isEmpty() && plain.firstKey() <= now) {
                        wanted.addAll(plain.pollFirstEntry().getValue().keySet());
                    }
                }
                assertThat(timers.nextDeadline())
                        .isEqualTo(plain.isEmpty() ? Long.MAX_VALUE : plain.firstKey());
            }
            assertThat(fired).as("seed %d", seed).isEqualTo(wanted);
            assertThat(timers.size())
                    .isEqualTo(plain.values().stream().mapToInt(TreeMap::size).sum());
        }
    }

    @Test
    void allowsTaskToSetOrCancelTimersOfSameDeadline() {
        Timers timers = new Timers();
        List<String> fired = new ArrayList<>();
        Timers.Timer[] second = new Timers.Timer[1];
        timers.set(
                10,
                (now, out) -> {
                    fired.add("first");
                    timers.cancel(second[0]);
                    timers.set(now, (n, o) -> fired.add("third"));
                });
        second[0] = timers.set(10, (now, out) -> fired.add("second"));
        timers.run(10, null);
        assertThat(fired).containsExactly("first", "third");
        assertThat(timers.nextDeadline()).isEqualTo(Long.MAX_VALUE);
    }
}
