package coralcove;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Pins the names that leave the process: logs, counters and the planner's protocol contain them, so
 * they must not follow a renamed constant.
 */
class PrintedNamesTest {
    @Test
    void outcomesOfInvitesKeepTheirPrintedNames() {
        assertThat(InviteOutcome.values())
                .extracting(Object::toString)
                .containsExactly(
                        "STANDS",
                        "OVER",
                        "ERROR",
                        "BUSY",
                        "TIMED_OUT",
                        "UNREACHABLE",
                        "RESET",
                        "CANCELLED",
                        "NOT_SENT");
    }

    @Test
    void causesKeepTheirPrintedNames() {
        assertThat(RejectionCause.values())
                .extracting(Object::toString)
                .containsExactly(
                        "NONE",
                        "NO_CIRCUIT",
                        "TURNED_BACK",
                        "FULL_BEYOND",
                        "PROCESSOR_FULL",
                        "LINES_BUSY");
    }

    @Test
    void rejectionsOfPlansKeepTheirNames() {
        assertThat(PlannedTargetSource.Rejection.values())
                .extracting(Enum::name)
                .containsExactly(
                        "NONE",
                        "OTHER_ROUTER",
                        "OLDER_VERSION",
                        "OUT_OF_RANGE",
                        "OLD_FACTS",
                        "FUTURE_FACTS");
    }

    @Test
    void phasesOfExchangesKeepTheirNames() {
        assertThat(Exchange.Phase.values())
                .extracting(Enum::name)
                .containsExactly("READY", "DRAINING", "GONE");
    }
}
