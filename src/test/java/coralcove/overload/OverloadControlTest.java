package coralcove.overload;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.TraceFiles;
import coralcove.overload.OverloadControl.Kind;
import coralcove.overload.OverloadControl.Verdict;
import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

/** Tests priorities, queue limits and the rejection of set-ups under overload. */
class OverloadControlTest {
    private final OverloadControl control =
            new OverloadControl(new OverloadControl.QueueLimits(100, 50, 10, 20, 10_000));

    @Test
    void processesAnswersAndReleasesFirstWithoutStarvingSetUps() {
        assertThat(control.nextKind(1, 1, 1, 1)).isEqualTo(Kind.ANSWER);
        assertThat(control.nextKind(0, 1, 1, 1)).isEqualTo(Kind.RELEASE);
        assertThat(control.nextKind(0, 0, 1, 1)).isEqualTo(Kind.NOTIFICATION);
        assertThat(control.nextKind(0, 0, 0, 1)).isEqualTo(Kind.SET_UP);
        assertThat(control.nextKind(0, 0, 0, 0)).isNull();
        int others = 0;
        while (control.nextKind(9, 9, 9, 1) != Kind.SET_UP) {
            others++;
        }
        assertThat(others).isEqualTo(200);
    }

    @Test
    void limitsEachKindAndTheTotalOfBytes() {
        assertThat(control.admitToQueue(Kind.SET_UP, 19, 0)).isEqualTo(Verdict.ACCEPT);
        assertThat(control.admitToQueue(Kind.SET_UP, 20, 0)).isEqualTo(Verdict.DROP);
        assertThat(control.admitToQueue(Kind.NOTIFICATION, 0, 10_000)).isEqualTo(Verdict.DROP);
        assertThat(control.admitToQueue(Kind.SET_UP, 0, 10_000)).isEqualTo(Verdict.DROP);
        assertThat(control.admitToQueue(Kind.ANSWER, 99, 10_000)).isEqualTo(Verdict.ACCEPT);
        assertThat(control.admitToQueue(Kind.ANSWER, 100, 10_000)).isEqualTo(Verdict.DROP);
        assertThat(control.admitToQueue(Kind.RELEASE, 50, 0)).isEqualTo(Verdict.DROP);
    }

    /**
     * Offers a router that processes 1,000 set-ups a second half of that load, three times that
     * load, then half again. The accepted load must stay near the capacity, delays must stay
     * bounded, and afterwards everything must be accepted again.
     */
    @Test
    void rejectsLoadOverCapacityAndRecovers() {
        StringBuilder trace = new StringBuilder();
        ArrayDeque<Long> queue = new ArrayDeque<>();
        OverloadControl largeControl =
                new OverloadControl(new OverloadControl.QueueLimits(100, 50, 10, 20_000, 1 << 30));
        long now = 0;
        long nextArrival = 0;
        for (int second = 0; second < 12; second++) {
            long arrivalIntervalUs = second < 3 || second >= 8 ? 2000 : 333;
            int accepted = 0;
            int rejected = 0;
            long longestWait = 0;
            long end = (second + 1) * 1_000_000L;
            while (now < end) {
                while (nextArrival <= now) {
                    queue.add(nextArrival);
                    nextArrival += arrivalIntervalUs;
                }
                Long arrivedAt = queue.poll();
                if (arrivedAt == null) {
                    now = Math.min(end, nextArrival);
                    continue;
                }
                if (largeControl.decideSetUp(now, now - arrivedAt, false) == Verdict.ACCEPT) {
                    accepted++;
                    longestWait = Math.max(longestWait, now - arrivedAt);
                    now += 1000;
                } else {
                    rejected++;
                    now += 50;
                }
            }
            trace.append(second)
                    .append(" s: taken ")
                    .append(accepted)
                    .append(", turned away ")
                    .append(rejected)
                    .append(", longest wait of those taken ")
                    .append(longestWait / 1000)
                    .append(" ms, come back after ")
                    .append(largeControl.retryAfter() / 1000)
                    .append(" ms\n");
        }
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("gate-overload"));
    }

    @Test
    void neverRejectsARetransmissionOfAnAcceptedSetUp() {
        assertThat(control.decideSetUp(1_000_000, 900_000, true)).isEqualTo(Verdict.ACCEPT);
        assertThat(control.decideSetUp(1_000_000, 900_000, false)).isEqualTo(Verdict.REJECT);
    }
}
