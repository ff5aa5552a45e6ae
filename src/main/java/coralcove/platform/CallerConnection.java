package coralcove.platform;

import coralcove.platform.caller.CallerFramer;
import java.util.LinkedHashSet;
import java.util.Set;

/** An open connection of a caller, or of a client that places no calls. Times are in µs. */
final class CallerConnection {
    final long id;
    final long openedAt;
    final CallerFramer framer = new CallerFramer();

    /** Ids of sessions set up on this connection that have no final answer yet. */
    final Set<Long> pendingSessions = new LinkedHashSet<>();

    /** Ids of the calls whose release was last sent on this connection and not acknowledged. */
    final Set<Long> unacknowledged = new LinkedHashSet<>();

    /** The strongest evidence so far that it is a caller's. */
    CallerEvidence evidence = CallerEvidence.NONE;

    /** Whether it acknowledges releases, be it only the refusals of its own requests. */
    boolean acknowledgesReleases;

    /** When the message that is incomplete began, or 0. */
    long partialSince;

    /** When it last sent bytes, or else was opened. */
    long lastReadAt;

    CallerConnection(long id, long openedAt) {
        this.id = id;
        this.openedAt = openedAt;
        lastReadAt = openedAt;
    }

    /** Whether a valid message came; only such a connection is used for releases. */
    boolean sentValidMessage() {
        return evidence != CallerEvidence.NONE;
    }

    /** Whether a call was requested or reported on it: its caller expects the release here. */
    boolean placedOrReportedCall() {
        return evidence.compareTo(CallerEvidence.REQUESTED_CALL) >= 0;
    }
}
