package coralcove.platform;

import coralcove.InviteOutcome;

/**
 * Counters of a router since its start. {@link #toString} prints them for the log, under the names
 * that operators know, which differ from the field names.
 */
final class RouterCounters {
    long setUps;
    long refused;
    long failed;
    long abandoned;
    long invites;
    long callsEnded;
    long callsCut;
    long callsReported;
    long unreadableStreams;
    long invalidSetUps;
    long malformedMessages;
    long unexpectedResponses;
    long silentCallersClosed;
    long callersClosedForRoom;
    long releasesPassedOn;
    long releasesAcknowledged;

    /** Reported calls that were not kept; printed by {@link RouterCore#counterLine}. */
    long reportsNotKept;

    /** Releases that no caller was there to hear; printed by {@link RouterCore#counterLine}. */
    long releasesDropped;

    private long established;

    /** The slowest set-up since the counters were printed last. */
    private long slowestSetUpMicros;

    private long totalSetUpMicros;
    private final long[] outcomes = new long[InviteOutcome.values().length];

    /** Counts a session whose call was established this long after its INVITE. */
    void countEstablished(long micros) {
        established++;
        totalSetUpMicros += micros;
        slowestSetUpMicros = Math.max(slowestSetUpMicros, micros);
    }

    /** Counts an INVITE that ended without a call. */
    void countOutcome(InviteOutcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** Prints all counters on one line, and resets the slowest set-up. */
    @Override
    public String toString() {
        StringBuilder out =
                new StringBuilder(
                        "taken "
                                + setUps
                                + " stood "
                                + established
                                + " refused "
                                + refused
                                + " failed "
                                + failed
                                + " given-up "
                                + abandoned
                                + " invites "
                                + invites
                                + " over "
                                + callsEnded
                                + " cut "
                                + callsCut
                                + " told-standing "
                                + callsReported
                                + " unreadable "
                                + unreadableStreams
                                + " unusable "
                                + invalidSetUps
                                + " spoilt "
                                + malformedMessages
                                + " late "
                                + unexpectedResponses
                                + " callers-closed "
                                + silentCallersClosed
                                + " crowded "
                                + callersClosedForRoom
                                + " passed-on "
                                + releasesPassedOn
                                + " heard "
                                + releasesAcknowledged);
        out.append(" set-up-ms ")
                .append(established == 0 ? 0 : totalSetUpMicros / established / 1000)
                .append('/')
                .append(slowestSetUpMicros / 1000);
        for (InviteOutcome outcome : InviteOutcome.values()) {
            if (outcomes[outcome.ordinal()] > 0) {
                out.append(' ').append(outcome).append(' ').append(outcomes[outcome.ordinal()]);
            }
        }
        slowestSetUpMicros = 0;
        return out.toString();
    }
}
