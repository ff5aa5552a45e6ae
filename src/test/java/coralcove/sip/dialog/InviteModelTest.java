package coralcove.sip.dialog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Explores the INVITE client and server machines with CANCEL: every order of deliveries, losses,
 * copies, time-outs and what the two users do, to a depth; then the network is fair until all is
 * quiet. Each path is played from its start, as the machines are the real ones and keep no undo.
 */
class InviteModelTest {
    /** Steps that are chosen freely; the rest is fair. */
    private static final int DEPTH = Integer.getInteger("coralcove.model.depth", 6);

    private static final int MAX_LOST = 2;
    private static final int MAX_COPIES = 1;

    private long paths;
    private long established;
    private long notEstablished;

    @Test
    void everyOrderYieldsOneFinalResponse() {
        explore(new ArrayList<>());
        System.out.println(
                "INVITE model: "
                        + paths
                        + " paths to depth "
                        + DEPTH
                        + ", "
                        + established
                        + " stand, "
                        + notEstablished
                        + " do not");
        assertThat(paths).isGreaterThan(10_000);
        assertThat(established).isPositive();
        assertThat(notEstablished).isPositive();
    }

    /**
     * Plays a prefix; where it was used up before the depth, goes on with each of its next steps.
     */
    private void explore(List<Integer> prefix) {
        Run run = new Run();
        for (int choice : prefix) {
            run.step(choice);
        }
        int choices = prefix.size() < DEPTH ? run.choices() : 0;
        if (choices == 0) {
            run.finish();
            return;
        }
        for (int choice = 0; choice < choices; choice++) {
            prefix.add(choice);
            explore(prefix);
            prefix.remove(prefix.size() - 1);
        }
    }

    private final class Run {
        private final SimulatedNetwork wire =
                new SimulatedNetwork(false, (what, nth) -> new int[] {0});
        private int lost;
        private int copies;
        private boolean cancelled;
        private boolean decided;

        Run() {
            wire.b.autoAnswer = false;
            wire.a.call(wire.b);
        }

        private boolean mayCancel() {
            return !cancelled && wire.a.call.trying();
        }

        private boolean mayDecide() {
            return !decided && wire.b.call != null && wire.b.call.trying();
        }

        /** Deliver any, lose any, copy any, let a timer fire, cancel, answer, refuse. */
        int choices() {
            int messages = wire.inFlightCount();
            return messages
                    + (lost < MAX_LOST ? messages : 0)
                    + (copies < MAX_COPIES ? messages : 0)
                    + 1
                    + (mayCancel() ? 1 : 0)
                    + (mayDecide() ? 2 : 0);
        }

        void step(int choice) {
            int left = choice;
            int messages = wire.inFlightCount();
            if (left < messages) {
                wire.resolve(left, true, false);
                return;
            }
            left -= messages;
            if (lost < MAX_LOST) {
                if (left < messages) {
                    lost++;
                    wire.resolve(left, false, false);
                    return;
                }
                left -= messages;
            }
            if (copies < MAX_COPIES) {
                if (left < messages) {
                    copies++;
                    wire.resolve(left, true, true);
                    return;
                }
                left -= messages;
            }
            if (left == 0) {
                wire.fireNextTimer();
                return;
            }
            left--;
            if (mayCancel()) {
                if (left == 0) {
                    cancelled = true;
                    wire.note("a cancels");
                    wire.a.agent.cancel(wire.now, wire.a.call, wire.a);
                    return;
                }
                left--;
            }
            decided = true;
            if (left == 0) {
                wire.b.agent.answer(wire.now, wire.b.call, wire.b);
            } else {
                wire.b.agent.reject(wire.now, wire.b.call, 486, "Busy Here", wire.b);
            }
        }

        void finish() {
            paths++;
            wire.note("from here on all is fair");
            // The callee takes its time, and the last sending of an INVITE may be what it hears of.
            wire.runFor(33_000);
            if (mayDecide()) {
                wire.b.agent.answer(wire.now, wire.b.call, wire.b);
            }
            wire.runFor(70_000);
            String trace = wire.trace();
            int finals = count(trace, "a: answered") + count(trace, "a: rejected");
            assertThat(finals).as("final answers at the caller%n%s", trace).isEqualTo(1);
            boolean answered = trace.contains("b 200 INVITE");
            boolean turnedDown = trace.contains("b 486 INVITE") || trace.contains("b 487 INVITE");
            assertThat(answered && turnedDown).as("two final answers%n%s", trace).isFalse();
            assertThat(wire.a.call.stands())
                    .as("both sides agree%n%s", trace)
                    .isEqualTo(wire.b.call != null && wire.b.call.stands());
            assertThat(cancelled && wire.a.call.stands())
                    .as("nothing stays held after a CANCEL%n%s", trace)
                    .isFalse();
            assertThat(count(trace, "b: invited"))
                    .as("one INVITE taken%n%s", trace)
                    .isLessThanOrEqualTo(1);
            established += wire.a.call.stands() ? 1 : 0;
            notEstablished += wire.a.call.stands() ? 0 : 1;
        }

        private int count(String text, String part) {
            return text.split(part, -1).length - 1;
        }
    }
}
