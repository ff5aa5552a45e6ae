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
 * Simulates all routers of a fleet towards one exchange that starts cold, and checks that together
 * they stay within its budget of N set-ups a window; an excess of up to 2 sqrt(N) + 2 is chance.
 * Each pair of exchanges has the same load, which uses a processor to 0.7 (a set-up is work at both
 * ends). The cold exchange starts with the stated share of its capacity, which then grows until it
 * is warm. Routers are informed of its start at different times, and one in five has just been
 * restarted.
 */
class ColdFleetTest {
    private static final long SECOND = 1_000_000;
    private static final double OVERLOAD_MULTIPLE = 3;
    private static final long OVERLOAD_WINDOW = 1_500_000;
    private static final double COLD_CAPACITY_SHARE = 0.32;
    private static final long WARM_UP = 12 * SECOND;
    private static final double PROCESSOR_UTILIZATION = 0.7;
    private static final long MAX_UPDATE_DELAY = SECOND;

    /** Sessions per second of each router under normal load. */
    private static final double SESSION_RATE = 10;

    /** Set-ups per second of an exchange: all others call it, and it calls all others. */
    private static final double CAPACITY = 2 * SESSION_RATE / PROCESSOR_UTILIZATION;

    private static final long MAX_QUEUEING_TIME = 1_400_000;

    private record Event(long at, long order, LongConsumer action) {}

    @Test
    void fleetDoesNotOverloadColdExchange() {
        for (int routers : new int[] {5, 20, 30, 48}) {
            // From normal load to ten times that, as when callers try again after an outage.
            for (double load : new double[] {1, 2.5, 6, 10}) {
                for (int seed = 1; seed <= 3; seed++) {
                    new Fleet(routers, load, seed).run();
                }
            }
        }
    }

    private static final class Fleet {
        private final int routers;
        private final double load;
        private final SplittableRandom random;
        private final ExponentialPenaltyRouter[] policies;
        private final long[] restartTimes;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        private final ArrayDeque<Long> recentSends = new ArrayDeque<>();
        private final String description;
        private long order;
        private long sessions;
        private int sent;
        private long processorFreeAt;
        private final long coldAt = 12 * SECOND;

        Fleet(int routers, double load, int seed) {
            this.routers = routers;
            this.load = load;
            random = new SplittableRandom(seed);
            policies = new ExponentialPenaltyRouter[routers];
            restartTimes = new long[routers];
            description = routers + " routers, load " + load + ", seed " + seed;
        }

        void run() {
            for (int i = 0; i < routers; i++) {
                if (i != 1) {
                    start(i, 0);
                    int router = i;
                    schedule(nextArrival(0), now -> offerSession(now, router));
                    schedule(
                            coldAt + random.nextLong(MAX_UPDATE_DELAY),
                            now -> updateExchange(now, router));
                }
            }
            for (int i = 2; i < routers; i += 5) {
                int router = i;
                schedule(coldAt + random.nextLong(2 * SECOND), now -> start(router, now));
            }
            long end = coldAt + WARM_UP;
            while (!events.isEmpty() && events.peek().at < end) {
                Event next = events.poll();
                next.action.accept(next.at);
            }
            // The cold exchange must not be starved either: it gets most of what is offered in the
            // last seconds.
            assertThat(sent)
                    .as(description)
                    .isGreaterThan((int) (0.5 * SESSION_RATE * WARM_UP / SECOND));
        }

        private void schedule(long at, LongConsumer action) {
            events.add(new Event(at, order++, action));
        }

        private long nextArrival(long now) {
            double rate = SESSION_RATE * (now >= coldAt - SECOND ? load : 1);
            return now + Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND));
        }

        private void start(int router, long now) {
            restartTimes[router] = now;
            policies[router] =
                    new ExponentialPenaltyRouter(
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
                                    OVERLOAD_MULTIPLE,
                                    OVERLOAD_WINDOW,
                                    COLD_CAPACITY_SHARE,
                                    WARM_UP),
                            new SplittableRandom(router));
            List<Exchange> all = new ArrayList<>();
            for (int i = 0; i < routers; i++) {
                all.add(
                        new Exchange(
                                i, i, Exchange.Phase.READY, i == 1 && now >= coldAt ? coldAt : 0));
            }
            policies[router].onExchangeList(now, true, all);
            for (int i = 0; i < routers; i++) {
                policies[router].onCircuitUpdate(now, i, 400, 400);
            }
        }

        private void updateExchange(long now, int router) {
            policies[router].onExchangeList(
                    now, false, List.of(new Exchange(1, 1, Exchange.Phase.READY, coldAt)));
        }

        private void offerSession(long now, int router) {
            schedule(nextArrival(now), then -> offerSession(then, router));
            int farEnd = random.nextInt(routers - 1);
            farEnd += farEnd >= router ? 1 : 0;
            long id = ++sessions;
            ExponentialPenaltyRouter policy = policies[router];
            RoutingDecision decision =
                    policy.route(
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
            if (decision.kind() == RoutingDecision.Kind.SEND) {
                if (decision.exchange() == 1 && now >= coldAt) {
                    countSetUp(now);
                }
                long restartedAt = restartTimes[router];
                long took = 60_000 + (decision.exchange() == 1 ? queueingTime(now) : 0);
                boolean overloaded = took > MAX_QUEUEING_TIME;
                schedule(
                        now + (overloaded ? 60_000 : took),
                        then -> {
                            if (restartTimes[router] == restartedAt) {
                                policy.onInviteOutcome(
                                        then,
                                        id,
                                        overloaded ? InviteOutcome.BUSY : InviteOutcome.ESTABLISHED,
                                        overloaded
                                                ? RejectionCause.PROCESSOR_FULL
                                                : RejectionCause.NONE,
                                        decision.exchange(),
                                        overloaded ? 60_000 : took,
                                        overloaded ? 700_000 : 0,
                                        true);
                            }
                        });
            }
        }

        /**
         * Returns how long a set-up waits at the processor that starts cold; a rejected one is work
         * too.
         */
        private long queueingTime(long now) {
            processorFreeAt =
                    Math.max(processorFreeAt, now)
                            + (long)
                                    (SECOND
                                            / (capacityShare(now) * CAPACITY)
                                            * (processorFreeAt - now > MAX_QUEUEING_TIME
                                                    ? 0.2
                                                    : 1));
            return processorFreeAt - now;
        }

        private double capacityShare(long now) {
            return now < coldAt
                    ? 1
                    : Math.min(
                            1,
                            COLD_CAPACITY_SHARE
                                    + (1 - COLD_CAPACITY_SHARE) * (now - coldAt) / WARM_UP);
        }

        private void countSetUp(long now) {
            sent++;
            recentSends.add(now);
            while (recentSends.peek() <= now - OVERLOAD_WINDOW) {
                recentSends.poll();
            }
            double budget =
                    OVERLOAD_MULTIPLE * capacityShare(now) * CAPACITY * OVERLOAD_WINDOW / SECOND;
            assertThat((double) recentSends.size())
                    .as(description + " at " + (now - coldAt) / 1000 + " ms")
                    .isLessThanOrEqualTo(budget + 2 * Math.sqrt(budget) + 2);
        }
    }
}
