package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.platform.bulletin.Bulletin;
import coralcove.platform.caller.CallerMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Short rough days in virtual time, drawn from seeds: legs that break, refuse or say nothing,
 * spoilt, late and doubled answers, callers that leave, strangers, drains, SIGTERM. Each session
 * has one final answer in time or none owed, never two INVITEs out, none within the release wait,
 * none to an exchange that drains.
 */
class RouterDaysTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 400;
    private static final long RELEASE_MS = 300;

    /** What one session has come to, as its caller and its exchanges see it. */
    private static final class Seen {
        long limit;
        int finals;
        boolean owed = true;
        long outLeg = -1;
        long endedBadlyAt = Long.MIN_VALUE / 2;
        long answeredAt = -1;
    }

    @Test
    void theRulesHoldOnEachSeed() {
        int stood = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            stood += new Rough(seed).play();
        }
        // The days must be days: most sessions get through.
        assertThat(stood).isGreaterThan(SEEDS * 20);
    }

    private static final class Rough {
        private final PlatformDesk desk = PlatformDesk.serving();
        private final SplittableRandom random;
        private final String where;
        private final Map<Long, Seen> seen = new HashMap<>();
        private final Map<Long, Integer> exchangeOf =
                new HashMap<>(Map.of(1L, 1, 2L, 2, 3L, 1, 4L, 2));
        private final List<Long> up = new ArrayList<>(List.of(1L, 2L, 3L, 4L));
        private final boolean[] draining = new boolean[4];
        private int read;
        private long lookedAt;
        private long ms;
        private long event = 1;
        private int stood;

        Rough(int seed) {
            random = new SplittableRandom(seed);
            where = "seed " + seed;
            desk.quiet = true;
            desk.messages.clear();
            for (long id = 1; id <= 3; id++) {
                desk.core.callerOpened(desk.now(), id);
                desk.caller(id, CallerMessage.withCause(CallerMessage.TEST, 1, 0));
            }
        }

        int play() {
            for (int step = 1; step <= STEPS; step++) {
                ms += random.nextInt(60);
                desk.to(ms);
                look();
                act(step);
                look();
                legs();
            }
            for (int rest = 0; rest < 60; rest++) {
                ms += 50;
                desk.to(ms);
                look();
            }
            seen.forEach(
                    (id, each) -> {
                        assertThat(each.finals)
                                .as(where + " finals of " + id)
                                .isLessThanOrEqualTo(1);
                        if (each.owed) {
                            assertThat(each.answeredAt)
                                    .as(where + " answer of " + id)
                                    .isBetween(0L, each.limit + 70);
                        }
                    });
            return stood;
        }

        private void act(int step) {
            int kind = random.nextInt(20);
            long call = 0x1000 + step;
            if (kind < 8) {
                Seen fresh = new Seen();
                long wait = 300 + random.nextInt(1500);
                fresh.limit = ms + wait;
                seen.put(call, fresh);
                desk.caller(
                        1 + random.nextInt(3), desk.setUp(call, 1 + random.nextInt(2), (int) wait));
            } else if (kind < 15) {
                answer();
            } else if (kind == 15 && !up.isEmpty()) {
                long leg = up.remove(random.nextInt(up.size()));
                broken(leg);
                desk.down(leg, Down.BROKEN);
            } else if (kind == 16 && !up.isEmpty()) {
                long leg = up.get(random.nextInt(up.size()));
                broken(leg);
                desk.raw(
                        leg,
                        random.nextBoolean()
                                ? "SIP/2.0 2x0 OK\r\nContent-Length: 0\r\n\r\n"
                                : "\u00ff\u0001\r\n\r\n");
            } else if (kind == 17) {
                pick().ifPresent(
                                id -> {
                                    seen.get(id).owed = false;
                                    seen.get(id).outLeg = -1;
                                    for (long caller = 1; caller <= 3; caller++) {
                                        desk.caller(
                                                caller,
                                                CallerMessage.withCause(
                                                        CallerMessage.RELEASE, id, 16));
                                    }
                                });
            } else if (kind == 18 && step > STEPS / 2 && random.nextInt(10) == 0) {
                int number = 1 + random.nextInt(2);
                draining[number] = true;
                desk.list(
                        ++event,
                        false,
                        PlatformDesk.entry("s-0" + number, number, Bulletin.State.TERMINATING));
            } else if (kind == 19 && step > STEPS - 20) {
                desk.core.drain(desk.now());
            }
        }

        private java.util.Optional<Long> pick() {
            return seen.entrySet().stream()
                    .filter(each -> each.getValue().outLeg >= 0)
                    .map(Map.Entry::getKey)
                    .min((a, b) -> Long.compare(a * 7919 % 101, b * 7919 % 101));
        }

        private void answer() {
            pick().ifPresent(
                            id -> {
                                Seen it = seen.get(id);
                                long leg = it.outLeg;
                                if (!up.contains(leg)) {
                                    return;
                                }
                                it.outLeg = -1;
                                switch (random.nextInt(6)) {
                                    case 0 ->
                                            desk.leg(
                                                    leg,
                                                    PlatformDesk.status(503, "x", id)
                                                            .add("Fail-Word", "bounced"));
                                    case 1 -> desk.leg(leg, PlatformDesk.status(486, "x", id));
                                    case 2 -> {
                                        it.endedBadlyAt = ms;
                                        desk.leg(leg, PlatformDesk.status(504, "x", id));
                                    }
                                    case 3 -> {
                                        desk.leg(leg, PlatformDesk.ok(id));
                                        desk.leg(leg, PlatformDesk.ok(id));
                                    }
                                    default -> desk.leg(leg, PlatformDesk.ok(id));
                                }
                            });
        }

        private void broken(long leg) {
            seen.values().stream()
                    .filter(each -> each.outLeg == leg)
                    .forEach(
                            each -> {
                                each.outLeg = -1;
                                each.endedBadlyAt = ms;
                            });
        }

        /** Legs that the core opened come up, are refused, or are silent. */
        private void legs() {
            for (long leg : desk.closedLegs) {
                up.remove(leg);
            }
            for (long leg : desk.opening.toArray(new Long[0])) {
                int number = desk.addresses.get(leg).equals("10.1.0.1:5080") ? 1 : 2;
                exchangeOf.put(leg, number);
                switch (random.nextInt(8)) {
                    case 0 -> desk.down(leg, Down.REFUSED);
                    case 1 -> desk.down(leg, Down.SILENT);
                    case 2 -> {}
                    default -> {
                        desk.opening.remove(leg);
                        up.add(leg);
                        desk.core.legUp(desk.now(), leg);
                        desk.notify(leg, "x0:40;x1:40");
                    }
                }
                look();
            }
        }

        /** Reads what the core did since the last look, and holds it against the rules. */
        private void look() {
            for (; read < desk.messages.size(); read++) {
                String[] words = desk.messages.get(read).split("[ ,]+");
                if (words[0].equals("caller")
                        && (words[2].equals("answer") || words[2].equals("release"))) {
                    final long id = Long.parseLong(words[3], 16);
                    Seen it = seen.get(id);
                    if (it == null || it.finals == 1 && words[2].equals("release") && !it.owed) {
                        continue;
                    }
                    if (words[2].equals("answer")) {
                        stood++;
                        it.owed = false;
                        assertThat(desk.now() / 1000 - PlatformDesk.START / 1000)
                                .as(where)
                                .isLessThanOrEqualTo(it.limit + 70);
                    }
                    it.finals++;
                    it.answeredAt = (desk.now() - PlatformDesk.START) / 1000;
                } else if (words[0].equals("leg") && words[2].equals("INVITE")) {
                    invite(Long.parseLong(words[5], 16), Long.parseLong(words[1]));
                } else if (words[0].equals("leg") && words[2].equals("CANCEL")) {
                    Seen it = seen.get(Long.parseLong(words[5], 16));
                    it.outLeg = -1;
                    it.endedBadlyAt = lookedAt;
                }
            }
            // What was out on a leg that the core closed is over with it, at the last look at the
            // earliest.
            seen.values().stream()
                    .filter(each -> desk.closedLegs.contains(each.outLeg))
                    .forEach(
                            each -> {
                                each.outLeg = -1;
                                each.endedBadlyAt = lookedAt;
                            });
            lookedAt = (desk.now() - PlatformDesk.START) / 1000;
        }

        private void invite(long id, long leg) {
            Seen it = seen.get(id);
            assertThat(it.outLeg).as(where + " a second INVITE out for " + id).isEqualTo(-1);
            assertThat(it.finals).as(where + " an INVITE after the answer of " + id).isZero();
            assertThat((desk.now() - PlatformDesk.START) / 1000)
                    .as(where + " release wait of " + id)
                    .isGreaterThanOrEqualTo(it.endedBadlyAt + RELEASE_MS);
            assertThat(draining[exchangeOf.get(leg)])
                    .as(where + " an INVITE to one that drains")
                    .isFalse();
            it.outLeg = leg;
        }
    }
}
