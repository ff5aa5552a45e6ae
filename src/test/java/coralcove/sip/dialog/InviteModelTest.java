package coralcove.sip.dialog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Model check of the INVITE client and server transactions with CANCEL: tries every order of
 * deliveries, losses, duplicates, timeouts and actions of the two users up to a depth, then
 * delivers everything until no message or timer is left. Each path is replayed from its start,
 * since the real state machines cannot step back.
 */
class InviteModelTest {
    /** Steps whose choice is explored; after them every message is delivered. */
    private static final int DEPTH = Integer.getInteger("coralcove.model.depth", 6);

    private static final int MAX_LOST = 2;
    private static final int MAX_COPIES = 1;

    private long paths;
    private long establishedPaths;
    private long unestablishedPaths;

    @Test
    void everyOrderYieldsOneFinalResponse() {
        explore(new ArrayList<>());
        System.out.println(
                "INVITE model: "
                        + paths
                        + " paths to depth "
                        + DEPTH
                        + ", "
                        + establishedPaths
                        + " established, "
                        + unestablishedPaths
                        + " not established");
        assertThat(paths).isGreaterThan(10_000);
        assertThat(establishedPaths).isPositive();
        assertThat(unestablishedPaths).isPositive();
    }

    /** Replays a prefix of choices, then explores each possible next step up to the depth. */
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

    /** One path through the model. */
    private final class Run {
        private final SimulatedNetwork network =
                new SimulatedNetwork(false, (kind, nth) -> new int[] {0});
        private int lost;
        private int copies;
        private boolean cancelled;
        private boolean decided;

        Run() {
            network.b.autoAnswer = false;
            network.a.call(network.b);
        }

        private boolean mayCancel() {
            return !cancelled && network.a.call.isPending();
        }

        private boolean mayDecide() {
            return !decided && network.b.call != null && network.b.call.isPending();
        }

        /**
         * The number of possible next steps: deliver, lose or duplicate any message, fire a timer,
         * cancel, answer, reject.
         */
        int choices() {
            int messages = network.inFlightCount();
            return messages
                    + (lost < MAX_LOST ? messages : 0)
                    + (copies < MAX_COPIES ? messages : 0)
                    + 1
                    + (mayCancel() ? 1 : 0)
                    + (mayDecide() ? 2 : 0);
        }

        void step(int choice) {
            int index = choice;
            int messages = network.inFlightCount();
            if (index < messages) {
                network.resolve(index, true, false);
                return;
            }
            index -= messages;
            if (lost < MAX_LOST) {
                if (index < messages) {
                    lost++;
                    network.resolve(index, false, false);
                    return;
                }
                index -= messages;
            }
            if (copies < MAX_COPIES) {
                if (index < messages) {
                    copies++;
                    network.resolve(index, true, true);
                    return;
                }
                index -= messages;
            }
            if (index == 0) {
                network.fireNextTimer();
                return;
            }
            index--;
            if (mayCancel()) {
                if (index == 0) {
                    cancelled = true;
                    network.note("a cancels");
                    network.a.userAgent.cancel(network.now, network.a.call, network.a);
                    return;
                }
                index--;
            }
            decided = true;
            if (index == 0) {
                network.b.userAgent.answer(network.now, network.b.call, network.b);
            } else {
                network.b.userAgent.reject(
                        network.now, network.b.call, 486, "Busy Here", network.b);
            }
        }

        void finish() {
            paths++;
            network.note("from here on all is fair");
            // The callee answers late, and may receive only the last retransmission of the INVITE.
            network.runFor(33_000);
            if (mayDecide()) {
                network.b.userAgent.answer(network.now, network.b.call, network.b);
            }
            network.runFor(70_000);
            String trace = network.trace();
            int finalResponses = count(trace, "a: answered") + count(trace, "a: rejected");
            assertThat(finalResponses).as("final answers at the caller%n%s", trace).isEqualTo(1);
            boolean answered = trace.contains("b 200 INVITE");
            boolean rejected = trace.contains("b 486 INVITE") || trace.contains("b 487 INVITE");
            assertThat(answered && rejected).as("two final answers%n%s", trace).isFalse();
            assertThat(network.a.call.isEstablished())
                    .as("both sides agree%n%s", trace)
                    .isEqualTo(network.b.call != null && network.b.call.isEstablished());
            assertThat(cancelled && network.a.call.isEstablished())
                    .as("no call is established after a CANCEL%n%s", trace)
                    .isFalse();
            assertThat(count(trace, "b: invited"))
                    .as("one INVITE accepted%n%s", trace)
                    .isLessThanOrEqualTo(1);
            establishedPaths += network.a.call.isEstablished() ? 1 : 0;
            unestablishedPaths += network.a.call.isEstablished() ? 0 : 1;
        }

        private int count(String text, String part) {
            return text.split(part, -1).length - 1;
        }
    }
}
