package coralcove;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;

/**
 * All routers of a fleet together towards one exchange that starts cold: beyond its budget of N
 * set-ups a window only 2 root N + 2 are chance. Each pair of exchanges has the same load, a
 * processor is used to 0.7 by it (a set-up is work at both ends), and the exchange carries its
 * first share, then more, as the settings say. Routers are told at different moments, and one in
 * five has just been restarted.
 */
class ColdFleetTest {
    private static final long SECOND = 1_000_000;
    private static final double MULTIPLE = 3;
    private static final long WINDOW = 1_500_000;
    private static final double COLD_FROM = 0.32;
    private static final long WARM_UP = 12 * SECOND;
    private static final double USE = 0.7;
    private static final long TOLD_WITHIN = SECOND;

    /** Sessions a second of each router when nothing happens. */
    private static final double RATE = 10;

    /** Set-ups a second: all others ring it, and it rings all others. */
    private static final double CAPACITY = 2 * RATE / USE;

    private static final long MOST_QUEUED = 1_400_000;

    private record Due(long at, long order, LongConsumer act) {}

    @Test
    void aColdExchangeIsNotPushedOverByAllRoutersTogether() {
        for (int routers : new int[] {5, 20, 30, 48}) {
            // From nothing special to six times the load, as when callers try again after an
            // outage.
            for (double load : new double[] {1, 2.5, 6, 10}) {
                for (int seed = 1; seed <= 3; seed++) {
                    new Fleet(routers, load, seed).play();
                }
            }
        }
    }

    private static final class Fleet {
        private final int routers;
        private final double load;
        private final SplittableRandom random;
        private final Choice[] choices;
        private final long[] restarted;
        private final PriorityQueue<Due> due =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        private final ArrayDeque<Long> sends = new ArrayDeque<>();
        private final String where;
        private long order;
        private long calls;
        private int sent;
        private long freeAt;
        private final long coldAt = 12 * SECOND;

        Fleet(int routers, double load, int seed) {
            this.routers = routers;
            this.load = load;
            random = new SplittableRandom(seed);
            choices = new Choice[routers];
            restarted = new long[routers];
            where = routers + " routers, load " + load + ", seed " + seed;
        }

        void play() {
            for (int i = 0; i < routers; i++) {
                if (i != 1) {
                    start(i, 0);
                    int router = i;
                    at(gap(0), now -> session(now, router));
                    at(coldAt + random.nextLong(TOLD_WITHIN), now -> told(now, router));
                }
            }
            for (int i = 2; i < routers; i += 5) {
                int router = i;
                at(coldAt + random.nextLong(2 * SECOND), now -> start(router, now));
            }
            long end = coldAt + WARM_UP;
            while (!due.isEmpty() && due.peek().at < end) {
                Due next = due.poll();
                next.act.accept(next.at);
            }
            // It is not kept from calls either: those of the last seconds are most of them sent.
            assertThat(sent).as(where).isGreaterThan((int) (0.5 * RATE * WARM_UP / SECOND));
        }

        private void at(long at, LongConsumer act) {
            due.add(new Due(at, order++, act));
        }

        private long gap(long now) {
            double rate = RATE * (now >= coldAt - SECOND ? load : 1);
            return now + Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND));
        }

        private void start(int router, long now) {
            restarted[router] = now;
            choices[router] =
                    new Choice(
                            new Settings(
                                    routers,
                                    router,
                                    false,
                                    List.of(
                                            new Settings.Service(
                                                    1_500_000,
                                                    1,
                                                    0.1,
                                                    1,
                                                    10 * SECOND,
                                                    true,
                                                    List.of()),
                                            new Settings.Service(
                                                    1_500_000,
                                                    2,
                                                    0.1,
                                                    1,
                                                    15 * SECOND,
                                                    true,
                                                    List.of())),
                                    4,
                                    true,
                                    true,
                                    2 * SECOND,
                                    false,
                                    false,
                                    300_000,
                                    MULTIPLE,
                                    WINDOW,
                                    COLD_FROM,
                                    WARM_UP),
                            new SplittableRandom(router));
            List<Exchange> all = new ArrayList<>();
            for (int i = 0; i < routers; i++) {
                all.add(
                        new Exchange(
                                i, i, Exchange.Phase.READY, i == 1 && now >= coldAt ? coldAt : 0));
            }
            choices[router].roster(now, true, all);
            for (int i = 0; i < routers; i++) {
                choices[router].circuits(now, i, 400, 400);
            }
        }

        private void told(long now, int router) {
            choices[router].roster(
                    now, false, List.of(new Exchange(1, 1, Exchange.Phase.READY, coldAt)));
        }

        private void session(long now, int router) {
            at(gap(now), then -> session(then, router));
            int farEnd = random.nextInt(routers - 1);
            farEnd += farEnd >= router ? 1 : 0;
            long id = ++calls;
            Choice choice = choices[router];
            Answer answer =
                    choice.route(
                            now,
                            new Session(
                                    id,
                                    id % 5 == 0 ? 1 : 0,
                                    0,
                                    farEnd,
                                    1,
                                    -1,
                                    false,
                                    id,
                                    false,
                                    false,
                                    now,
                                    now + 9 * SECOND));
            if (answer.kind() == Answer.Kind.SEND) {
                if (answer.exchange() == 1 && now >= coldAt) {
                    count(now);
                }
                long since = restarted[router];
                long took = 60_000 + (answer.exchange() == 1 ? queue(now) : 0);
                boolean full = took > MOST_QUEUED;
                at(
                        now + (full ? 60_000 : took),
                        then -> {
                            if (restarted[router] == since) {
                                choice.after(
                                        then,
                                        id,
                                        full ? Ending.BUSY : Ending.STANDS,
                                        full ? Cause.PROCESSOR_FULL : Cause.NONE,
                                        answer.exchange(),
                                        full ? 60_000 : took,
                                        full ? 700_000 : 0,
                                        true);
                            }
                        });
            }
        }

        /**
         * How long a set-up waits at the processor that starts cold; what it turns away is work
         * too.
         */
        private long queue(long now) {
            freeAt =
                    Math.max(freeAt, now)
                            + (long)
                                    (SECOND
                                            / (present(now) * CAPACITY)
                                            * (freeAt - now > MOST_QUEUED ? 0.2 : 1));
            return freeAt - now;
        }

        private double present(long now) {
            return now < coldAt
                    ? 1
                    : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - coldAt) / WARM_UP);
        }

        private void count(long now) {
            sent++;
            sends.add(now);
            while (sends.peek() <= now - WINDOW) {
                sends.poll();
            }
            double budget = MULTIPLE * present(now) * CAPACITY * WINDOW / SECOND;
            assertThat((double) sends.size())
                    .as(where + " at " + (now - coldAt) / 1000 + " ms")
                    .isLessThanOrEqualTo(budget + 2 * Math.sqrt(budget) + 2);
        }
    }
}
