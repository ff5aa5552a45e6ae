package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallerConnectionsTest {
    /** Of 100 descriptors callers have 60, and valid senders 42 of these. */
    private static final int DESCRIPTORS = 100;

    private static final int VALID_SENDERS = 42;
    private static final long SECOND_MICROS = 1_000_000;

    private final CallerConnections connections =
            new CallerConnections(new DescriptorBudget(DESCRIPTORS, 0));

    private void open(long id, CallerEvidence... evidence) {
        connections.opened(id, id);
        for (CallerEvidence each : evidence) {
            connections.addEvidence(connections.get(id), each);
        }
    }

    private Iterable<Long> leastUseful(long idWithQueuedInput) {
        return connections.leastUseful(SECOND_MICROS, id -> id == idWithQueuedInput).stream()
                .map(each -> each.id)
                .toList();
    }

    /** Guards against closing callers for clients that send one message and half of another. */
    @Test
    void keepsCallersWhileOthersHaveMoreThanTheirShare() {
        open(1, CallerEvidence.VALID_MESSAGE, CallerEvidence.ESTABLISHED_CALL);
        for (long id = 2; id <= VALID_SENDERS; id++) {
            open(id, CallerEvidence.VALID_MESSAGE, CallerEvidence.REQUESTED_CALL);
        }
        assertThat(leastUseful(0)).isEmpty();
        open(VALID_SENDERS + 1, CallerEvidence.VALID_MESSAGE, CallerEvidence.REQUESTED_CALL);
        assertThat(leastUseful(0)).containsExactly(2L, 3L);
        assertThat(leastUseful(2)).containsExactly(3L, 4L);
    }

    @Test
    void closesCallersThatHaveMoreThanTheirShare() {
        for (long id = 1; id <= VALID_SENDERS + 1; id++) {
            open(id, CallerEvidence.VALID_MESSAGE, CallerEvidence.ESTABLISHED_CALL);
        }
        assertThat(leastUseful(0)).containsExactly(1L, 2L);
    }
}
