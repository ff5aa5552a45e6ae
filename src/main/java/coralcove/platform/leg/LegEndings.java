package coralcove.platform.leg;

import coralcove.Cause;
import coralcove.Ending;
import coralcove.protocol.Outcomes.Outcome;
import coralcove.sip.SipMessage;

/**
 * The one table from an exchange's words to the module's: how an INVITE that did not stand, or a
 * call, ended.
 */
public final class LegEndings {
    /**
     * Q.850: normal clearing, and temporary failure, with which an exchange releases a call that
     * was cut.
     */
    public static final int NORMAL = 16;

    public static final int CUT = 41;

    /** Milliseconds: no processor's wait is longer than this; more is noise. */
    private static final long LONGEST_WAIT = 60_000;

    private LegEndings() {}

    /** Of a final answer other than 200. */
    public static Outcome of(SipMessage answer) {
        Cause cause = cause(answer.header("Fail-Word", ""));
        long wait =
                cause == Cause.PROCESSOR_FULL
                        ? Math.max(0, Math.min(LONGEST_WAIT, answer.number("Proc-Wait", 0))) * 1000
                        : 0;
        return switch (answer.status()) {
            case 503 -> new Outcome(Ending.BUSY, cause, wait);
            case 480 -> new Outcome(Ending.NOT_SENT, cause, wait);
            case 504 -> new Outcome(Ending.RESET, Cause.NONE, 0);
            default -> new Outcome(Ending.ERROR, cause == Cause.LINES_BUSY ? cause : Cause.NONE, 0);
        };
    }

    private static Cause cause(String word) {
        return switch (word) {
            case "blocked" -> Cause.NO_CIRCUIT;
            case "bounced" -> Cause.TURNED_BACK;
            case "far_swamped" -> Cause.FULL_BEYOND;
            case "swamped" -> Cause.PROCESSOR_FULL;
            case "occupied" -> Cause.LINES_BUSY;
            default -> Cause.NONE;
        };
    }

    /** Of a call that stood, by the cause of its release. */
    public static Ending released(int cause) {
        return cause == NORMAL ? Ending.OVER : Ending.RESET;
    }
}
