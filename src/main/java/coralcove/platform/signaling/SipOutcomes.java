package coralcove.platform.signaling;

import coralcove.InviteOutcome;
import coralcove.RejectionCause;
import coralcove.protocol.InviteOutcomes.Outcome;
import coralcove.sip.SipMessage;

/**
 * Maps final responses and releases of an exchange to outcomes as the routing policy knows them.
 */
public final class SipOutcomes {
    /** Release cause of Q.850: normal call clearing. */
    public static final int CAUSE_NORMAL_CLEARING = 16;

    /**
     * Release cause of Q.850: temporary failure, with which an exchange releases a call that was
     * cut.
     */
    public static final int CAUSE_TEMPORARY_FAILURE = 41;

    /** No processor asks for a longer retry-after delay than this; more is a corrupt value. */
    private static final long MAX_RETRY_AFTER_MS = 60_000;

    private SipOutcomes() {}

    /** The outcome of an INVITE by its final response, other than 200. */
    public static Outcome ofResponse(SipMessage response) {
        RejectionCause cause = cause(response.header("Fail-Word", ""));
        long retryAfter =
                cause == RejectionCause.PROCESSOR_FULL
                        ? Math.max(
                                        0,
                                        Math.min(
                                                MAX_RETRY_AFTER_MS,
                                                response.numericHeader("Proc-Wait", 0)))
                                * 1000
                        : 0;
        return switch (response.status()) {
            case 503 -> new Outcome(InviteOutcome.BUSY, cause, retryAfter);
            case 480 -> new Outcome(InviteOutcome.NOT_SENT, cause, retryAfter);
            case 504 -> new Outcome(InviteOutcome.RESET, RejectionCause.NONE, 0);
            default ->
                    new Outcome(
                            InviteOutcome.ERROR,
                            cause == RejectionCause.LINES_BUSY ? cause : RejectionCause.NONE,
                            0);
        };
    }

    private static RejectionCause cause(String failWord) {
        return switch (failWord) {
            case "blocked" -> RejectionCause.NO_CIRCUIT;
            case "bounced" -> RejectionCause.CRANKBACK;
            case "far_swamped" -> RejectionCause.FAR_END_PROCESSOR_FULL;
            case "swamped" -> RejectionCause.PROCESSOR_FULL;
            case "occupied" -> RejectionCause.LINES_BUSY;
            default -> RejectionCause.NONE;
        };
    }

    /** The outcome of an established call by the cause of its release. */
    public static InviteOutcome ofRelease(int cause) {
        return cause == CAUSE_NORMAL_CLEARING ? InviteOutcome.RELEASED : InviteOutcome.RESET;
    }
}
