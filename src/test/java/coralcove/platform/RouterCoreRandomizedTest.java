package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.caller.CallerMessage;
import coralcove.platform.discovery.DiscoveryUpdate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Random event schedules in virtual time, one for each seed: connections to exchanges that break,
 * are refused or time out; malformed, late and duplicate responses; callers that release early;
 * draining exchanges; SIGTERM. The rules: each session gets one final answer in time, unless its
 * caller has released it; it never has two INVITEs outstanding; none is sent within the release
 * wait, and none to a draining exchange.
 */
class RouterCoreRandomizedTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 400;
    private static final long RELEASE_MS = 300;

    /** The state of one session as its caller and its exchanges see it. Times are in ms. */
    private static final class ObservedSession {
        long deadline;
        int finalAnswers;
        boolean answerExpected = true;

        /** The connection on which an INVITE is outstanding, or -1. */
        long inviteConnection = -1;

        /** When the last INVITE ended such that the release wait applies. */
        long failedAt = Long.MIN_VALUE / 2;

        long answeredAt = -1;
    }

    @Test
    void keepsRulesOnRandomSchedules() {
        int established = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            established += new RandomSchedule(seed).run();
        }
        // Guards against schedules in which hardly any session succeeds.
        assertThat(established).isGreaterThan(SEEDS * 20);
    }

    private static final class RandomSchedule {
        private final RouterCoreHarness harness = RouterCoreHarness.serving();
        private final SplittableRandom random;
        private final String seedName;
        private final Map<Long, ObservedSession> sessions = new HashMap<>();
        private final Map<Long, Integer> exchangeOf =
                new HashMap<>(Map.of(1L, 1, 2L, 2, 3L, 1, 4L, 2));
        private final List<Long> connectionsUp = new ArrayList<>(List.of(1L, 2L, 3L, 4L));
        private final boolean[] draining = new boolean[4];
        private int checkedMessages;
        private long checkedAt;
        private long nowMs;
        private long eventNumber = 1;
        private int established;

        RandomSchedule(int seed) {
            random = new SplittableRandom(seed);
            seedName = "seed " + seed;
            harness.traceDisabled = true;
            harness.sentMessages.clear();
            for (long id = 1; id <= 3; id++) {
                harness.core.callerOpened(harness.now(), id);
                harness.callerSends(
                        id, CallerMessage.withCause(CallerMessage.READINESS_CHECK, 1, 0));
            }
        }

        /** Runs the schedule and checks the rules; returns the number of established calls. */
        int run() {
            for (int step = 1; step <= STEPS; step++) {
                nowMs += random.nextInt(60);
                harness.advanceTo(nowMs);
                check();
                runRandomEvent(step);
                check();
                resolveConnections();
            }
            for (int step = 0; step < 60; step++) {
                nowMs += 50;
                harness.advanceTo(nowMs);
                check();
            }
            sessions.forEach(
                    (id, each) -> {
                        assertThat(each.finalAnswers)
                                .as(seedName + " final answers of " + id)
                                .isLessThanOrEqualTo(1);
                        if (each.answerExpected) {
                            assertThat(each.answeredAt)
                                    .as(seedName + " time of the final answer of " + id)
                                    .isBetween(0L, each.deadline + 70);
                        }
                    });
            return established;
        }

        private void runRandomEvent(int step) {
            int kind = random.nextInt(20);
            long call = 0x1000 + step;
            if (kind < 8) {
                ObservedSession session = new ObservedSession();
                long waitMs = 300 + random.nextInt(1500);
                session.deadline = nowMs + waitMs;
                sessions.put(call, session);
                harness.callerSends(
                        1 + random.nextInt(3),
                        harness.setUp(call, 1 + random.nextInt(2), (int) waitMs));
            } else if (kind < 15) {
                respondToInvite();
            } else if (kind == 15 && !connectionsUp.isEmpty()) {
                long connection = connectionsUp.remove(random.nextInt(connectionsUp.size()));
                markInvitesFailed(connection);
                harness.connectionDown(connection, ConnectionLoss.BROKEN);
            } else if (kind == 16 && !connectionsUp.isEmpty()) {
                long connection = connectionsUp.get(random.nextInt(connectionsUp.size()));
                markInvitesFailed(connection);
                harness.exchangeSendsRaw(
                        connection,
                        random.nextBoolean()
                                ? "SIP/2.0 2x0 OK\r\nContent-Length: 0\r\n\r\n"
                                : "\u00ff\u0001\r\n\r\n");
            } else if (kind == 17) {
                pickSessionWithInvite()
                        .ifPresent(
                                id -> {
                                    sessions.get(id).answerExpected = false;
                                    sessions.get(id).inviteConnection = -1;
                                    for (long caller = 1; caller <= 3; caller++) {
                                        harness.callerSends(
                                                caller,
                                                CallerMessage.withCause(
                                                        CallerMessage.RELEASE, id, 16));
                                    }
                                });
            } else if (kind == 18 && step > STEPS / 2 && random.nextInt(10) == 0) {
                int number = 1 + random.nextInt(2);
                draining[number] = true;
                harness.listExchanges(
                        ++eventNumber,
                        false,
                        RouterCoreHarness.entry(
                                "s-0" + number, number, DiscoveryUpdate.State.TERMINATING));
            } else if (kind == 19 && step > STEPS - 20) {
                harness.core.drain(harness.now());
            }
        }

        private Optional<Long> pickSessionWithInvite() {
            return sessions.entrySet().stream()
                    .filter(each -> each.getValue().inviteConnection >= 0)
                    .map(Map.Entry::getKey)
                    .min((a, b) -> Long.compare(a * 7919 % 101, b * 7919 % 101));
        }

        private void respondToInvite() {
            pickSessionWithInvite()
                    .ifPresent(
                            id -> {
                                ObservedSession session = sessions.get(id);
                                long connection = session.inviteConnection;
                                if (!connectionsUp.contains(connection)) {
                                    return;
                                }
                                session.inviteConnection = -1;
                                switch (random.nextInt(6)) {
                                    case 0 ->
                                            harness.exchangeSends(
                                                    connection,
                                                    RouterCoreHarness.status(503, "x", id)
                                                            .add("Fail-Word", "bounced"));
                                    case 1 ->
                                            harness.exchangeSends(
                                                    connection,
                                                    RouterCoreHarness.status(486, "x", id));
                                    case 2 -> {
                                        session.failedAt = nowMs;
                                        harness.exchangeSends(
                                                connection, RouterCoreHarness.status(504, "x", id));
                                    }
                                    case 3 -> {
                                        harness.exchangeSends(connection, RouterCoreHarness.ok(id));
                                        harness.exchangeSends(connection, RouterCoreHarness.ok(id));
                                    }
                                    default ->
                                            harness.exchangeSends(
                                                    connection, RouterCoreHarness.ok(id));
                                }
                            });
        }

        private void markInvitesFailed(long connection) {
            sessions.values().stream()
                    .filter(each -> each.inviteConnection == connection)
                    .forEach(
                            each -> {
                                each.inviteConnection = -1;
                                each.failedAt = nowMs;
                            });
        }

        /** Lets each connection that the core opens come up, be refused, time out, or wait. */
        private void resolveConnections() {
            for (long connection : harness.closedConnections) {
                connectionsUp.remove(connection);
            }
            for (long connection : harness.openingConnections.toArray(new Long[0])) {
                int number = harness.addresses.get(connection).equals("10.1.0.1:5080") ? 1 : 2;
                exchangeOf.put(connection, number);
                switch (random.nextInt(8)) {
                    case 0 -> harness.connectionDown(connection, ConnectionLoss.REFUSED);
                    case 1 -> harness.connectionDown(connection, ConnectionLoss.SILENT);
                    case 2 -> {}
                    default -> {
                        harness.openingConnections.remove(connection);
                        connectionsUp.add(connection);
                        harness.core.exchangeConnectionUp(harness.now(), connection);
                        harness.reportState(connection, "x0:40;x1:40");
                    }
                }
                check();
            }
        }

        /** Checks the messages sent by the core since the last check against the rules. */
        private void check() {
            for (; checkedMessages < harness.sentMessages.size(); checkedMessages++) {
                String[] words = harness.sentMessages.get(checkedMessages).split("[ ,]+");
                if (words[0].equals("caller")
                        && (words[2].equals("answer") || words[2].equals("release"))) {
                    final long id = Long.parseLong(words[3], 16);
                    ObservedSession session = sessions.get(id);
                    if (session == null
                            || session.finalAnswers == 1
                                    && words[2].equals("release")
                                    && !session.answerExpected) {
                        continue;
                    }
                    if (words[2].equals("answer")) {
                        established++;
                        session.answerExpected = false;
                        assertThat(harness.now() / 1000 - RouterCoreHarness.START / 1000)
                                .as(seedName)
                                .isLessThanOrEqualTo(session.deadline + 70);
                    }
                    session.finalAnswers++;
                    session.answeredAt = (harness.now() - RouterCoreHarness.START) / 1000;
                } else if (words[0].equals("leg") && words[2].equals("INVITE")) {
                    checkInvite(Long.parseLong(words[5], 16), Long.parseLong(words[1]));
                } else if (words[0].equals("leg") && words[2].equals("CANCEL")) {
                    ObservedSession session = sessions.get(Long.parseLong(words[5], 16));
                    session.inviteConnection = -1;
                    session.failedAt = checkedAt;
                }
            }
            // An INVITE ends when the core closes its connection, at the time of the last check at
            // the earliest.
            sessions.values().stream()
                    .filter(each -> harness.closedConnections.contains(each.inviteConnection))
                    .forEach(
                            each -> {
                                each.inviteConnection = -1;
                                each.failedAt = checkedAt;
                            });
            checkedAt = (harness.now() - RouterCoreHarness.START) / 1000;
        }

        private void checkInvite(long id, long connection) {
            ObservedSession session = sessions.get(id);
            assertThat(session.inviteConnection)
                    .as(seedName + " second outstanding INVITE of " + id)
                    .isEqualTo(-1);
            assertThat(session.finalAnswers)
                    .as(seedName + " INVITE after the final answer of " + id)
                    .isZero();
            assertThat((harness.now() - RouterCoreHarness.START) / 1000)
                    .as(seedName + " release wait of " + id)
                    .isGreaterThanOrEqualTo(session.failedAt + RELEASE_MS);
            assertThat(draining[exchangeOf.get(connection)])
                    .as(seedName + " INVITE to a draining exchange")
                    .isFalse();
            session.inviteConnection = connection;
        }
    }
}
