package coralcove.platform;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.InviteOutcome;
import org.junit.jupiter.api.Test;

class RouterCountersTest {
    /** Operators' tools read the printed names, which must not follow renamed fields. */
    @Test
    void printsCountersUnderNamesKnownToOperators() {
        RouterCounters counters = new RouterCounters();
        counters.setUps = 1;
        counters.refused = 2;
        counters.failed = 3;
        counters.abandoned = 4;
        counters.invites = 5;
        counters.callsEnded = 6;
        counters.callsCut = 7;
        counters.callsReported = 8;
        counters.unreadableStreams = 9;
        counters.invalidSetUps = 10;
        counters.malformedMessages = 11;
        counters.unexpectedResponses = 12;
        counters.silentCallersClosed = 13;
        counters.callersClosedForRoom = 14;
        counters.releasesPassedOn = 15;
        counters.releasesAcknowledged = 16;
        counters.countEstablished(2_000);
        counters.countEstablished(6_000);
        for (InviteOutcome outcome : InviteOutcome.values()) {
            counters.countOutcome(outcome);
        }
        String totals =
                "taken 1 stood 2 refused 2 failed 3 given-up 4 invites 5 over 6 cut 7"
                        + " told-standing 8 unreadable 9 unusable 10 spoilt 11 late 12"
                        + " callers-closed 13 crowded 14 passed-on 15 heard 16";
        String outcomes =
                " STANDS 1 OVER 1 ERROR 1 BUSY 1 TIMED_OUT 1 UNREACHABLE 1 RESET 1 CANCELLED 1"
                        + " NOT_SENT 1";
        assertThat(counters).hasToString(totals + " set-up-ms 4/6" + outcomes);
        // The slowest set-up is that of the time since the last line.
        assertThat(counters).hasToString(totals + " set-up-ms 4/0" + outcomes);
    }
}
