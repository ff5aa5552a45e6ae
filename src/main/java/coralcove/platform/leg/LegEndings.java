package coralcove.platform.leg;

import coralcove.Cause;
import coralcove.Ending;
import coralcove.protocol.Outcomes.Outcome;
import coralcove.sip.SipMessage;

/**
 * Maps final responses and releases of an exchange to outcomes as the routing policy knows them.
 */
public final class LegEndings {
    /** Release cause of Q.850: normal call clearing. */
    public static final int NORMAL = 16;

    /**
     * Release cause of Q.850: temporary failure, with which an exchange releases a call that was
     * cut.
     */
    public static final int CUT = 41;

    /** No processor asks for a longer retry-after delay than this; more is a corrupt value. */
    private static final long MAX_RETRY_AFTER_MS = 60_000;

    private LegEndings() {}

    /** The outcome of an INVITE by its final response, other than 200. */
    public static Outcome of(SipMessage response) {
        Cause cause = cause(response.header("Fail-Word", ""));
        long retryAfter =
                cause == Cause.PROCESSOR_FULL
                        ? Math.max(0, Math.min(MAX_RETRY_AFTER_MS, response.number("Proc-Wait", 0)))
                                * 1000
                        : 0;
        return switch (response.status()) {
            case 503 -> new Outcome(Ending.BUSY, cause, retryAfter);
            case 480 -> new Outcome(Ending.NOT_SENT, cause, retryAfter);
            case 504 -> new Outcome(Ending.RESET, Cause.NONE, 0);
            default -> new Outcome(Ending.ERROR, cause == Cause.LINES_BUSY ? cause : Cause.NONE, 0);
        };
    }

    private static Cause cause(String failWord) {
        return switch (failWord) {
            case "blocked" -> Cause.NO_CIRCUIT;
            case "bounced" -> Cause.TURNED_BACK;
            case "far_swamped" -> Cause.FULL_BEYOND;
            case "swamped" -> Cause.PROCESSOR_FULL;
            case "occupied" -> Cause.LINES_BUSY;
            default -> Cause.NONE;
        };
    }

    /** The outcome of an established call by the cause of its release. */
    public static Ending released(int cause) {
        return cause == NORMAL ? Ending.OVER : Ending.RESET;
    }
}
