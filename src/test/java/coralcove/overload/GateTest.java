package coralcove.overload;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Kept;
import coralcove.overload.Gate.Kind;
import coralcove.overload.Gate.Verdict;
import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

class GateTest {
    private final Gate gate = new Gate(new Gate.Bounds(100, 50, 10, 20, 10_000));

    @Test
    void looksAtWhatFreesSomethingFirstAndStarvesNoSetUp() {
        assertThat(gate.next(1, 1, 1, 1)).isEqualTo(Kind.ANSWER);
        assertThat(gate.next(0, 1, 1, 1)).isEqualTo(Kind.RELEASE);
        assertThat(gate.next(0, 0, 1, 1)).isEqualTo(Kind.NEWS);
        assertThat(gate.next(0, 0, 0, 1)).isEqualTo(Kind.SET_UP);
        assertThat(gate.next(0, 0, 0, 0)).isNull();
        int others = 0;
        while (gate.next(9, 9, 9, 1) != Kind.SET_UP) {
            others++;
        }
        assertThat(others).isEqualTo(200);
    }

    @Test
    void boundsEachKindAndAllBytes() {
        assertThat(gate.offer(Kind.SET_UP, 19, 0)).isEqualTo(Verdict.TAKE);
        assertThat(gate.offer(Kind.SET_UP, 20, 0)).isEqualTo(Verdict.DROP);
        assertThat(gate.offer(Kind.NEWS, 0, 10_000)).isEqualTo(Verdict.DROP);
        assertThat(gate.offer(Kind.SET_UP, 0, 10_000)).isEqualTo(Verdict.DROP);
        assertThat(gate.offer(Kind.ANSWER, 99, 10_000)).isEqualTo(Verdict.TAKE);
        assertThat(gate.offer(Kind.ANSWER, 100, 10_000)).isEqualTo(Verdict.DROP);
        assertThat(gate.offer(Kind.RELEASE, 50, 0)).isEqualTo(Verdict.DROP);
    }

    /**
     * A router that looks at 1,000 set-ups a second is offered half of that, three times that, then
     * half again: what is taken stays near what it can do, waits stay bounded, and all is taken
     * again afterwards.
     */
    @Test
    void turnsAwayWhatItCannotDoAndRecovers() {
        StringBuilder trace = new StringBuilder();
        ArrayDeque<Long> queue = new ArrayDeque<>();
        Gate large = new Gate(new Gate.Bounds(100, 50, 10, 20_000, 1 << 30));
        long now = 0;
        long arrival = 0;
        for (int second = 0; second < 12; second++) {
            long gap = second < 3 || second >= 8 ? 2000 : 333;
            int taken = 0;
            int away = 0;
            long longest = 0;
            long end = (second + 1) * 1_000_000L;
            while (now < end) {
                while (arrival <= now) {
                    queue.add(arrival);
                    arrival += gap;
                }
                Long came = queue.poll();
                if (came == null) {
                    now = Math.min(end, arrival);
                    continue;
                }
                if (large.look(now, now - came, false) == Verdict.TAKE) {
                    taken++;
                    longest = Math.max(longest, now - came);
                    now += 1000;
                } else {
                    away++;
                    now += 50;
                }
            }
            trace.append(second)
                    .append(" s: taken ")
                    .append(taken)
                    .append(", turned away ")
                    .append(away)
                    .append(", longest wait of those taken ")
                    .append(longest / 1000)
                    .append(" ms, come back after ")
                    .append(large.comeBack() / 1000)
                    .append(" ms\n");
        }
        assertThat(trace.toString()).isEqualTo(Kept.trace("gate-overload"));
    }

    @Test
    void aRepeatOfWhatWasTakenIsNeverTurnedAway() {
        assertThat(gate.look(1_000_000, 900_000, true)).isEqualTo(Verdict.TAKE);
        assertThat(gate.look(1_000_000, 900_000, false)).isEqualTo(Verdict.TURN_AWAY);
    }
}
