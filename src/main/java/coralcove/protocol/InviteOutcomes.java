package coralcove.protocol;

import coralcove.InviteOutcome;
import coralcove.RejectionCause;
import coralcove.sip.SipMessage;
import coralcove.sip.dialog.UserAgent.CallFailure;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps SIP answers to the outcomes of INVITEs that the routing policy uses (docs/protocol.md).
 * Causes are those of Q.850, carried in a Reason header (RFC 3326).
 */
public final class InviteOutcomes {
    /** Q.850 cause 17, user busy: all lines are busy. */
    public static final int USER_BUSY = 17;

    /** Q.850 cause 27, destination out of order: the far end accepts no connection. */
    public static final int DESTINATION_OUT_OF_ORDER = 27;

    /** Q.850 cause 34, no circuit available. */
    public static final int NO_CIRCUIT_AVAILABLE = 34;

    /** Q.850 cause 41, temporary failure: the local exchange rejected the INVITE. */
    public static final int TEMPORARY_FAILURE = 41;

    /** Q.850 cause 42, switching equipment congestion: the far processor is full. */
    public static final int SWITCHING_EQUIPMENT_CONGESTION = 42;

    /** Q.850 cause 44, requested circuit not available: crankback from a tandem. */
    public static final int REQUESTED_CIRCUIT_NOT_AVAILABLE = 44;

    /** Q.850 cause 47, resource unavailable: the processor beyond a tandem is full. */
    public static final int RESOURCE_UNAVAILABLE = 47;

    /** Q.850 cause 38, network out of order: an established call was cut. */
    public static final int NETWORK_OUT_OF_ORDER = 38;

    private static final Pattern CAUSE_HEADER =
            Pattern.compile("(?i)^\\s*Q\\.850\\s*;.*?cause\\s*=\\s*(\\d{1,3})");

    /**
     * The outcome of an INVITE with its cause. Its text is part of the test traces.
     *
     * @param retryAfter retry-after delay in µs that a full processor asked for, or 0
     */
    public record Outcome(InviteOutcome outcome, RejectionCause cause, long retryAfter) {}

    private InviteOutcomes() {}

    /**
     * Returns the outcome of an INVITE that established no call.
     *
     * @param response the final response, or null if there was none
     * @param failure how the INVITE ended without a response; unused if there was one
     */
    public static Outcome fromResponse(SipMessage response, CallFailure failure) {
        if (response == null) {
            return switch (failure) {
                // The first hop is the local exchange: if it accepts no connection, the INVITE was
                // not sent.
                case UNREACHABLE ->
                        withoutWait(InviteOutcome.NOT_SENT, RejectionCause.PROCESSOR_FULL);
                case RESET -> withoutWait(InviteOutcome.RESET, RejectionCause.NONE);
                case TIMED_OUT, NO -> withoutWait(InviteOutcome.TIMED_OUT, RejectionCause.NONE);
            };
        }
        return switch (causeOf(response)) {
            case USER_BUSY -> withoutWait(InviteOutcome.ERROR, RejectionCause.LINES_BUSY);
            case DESTINATION_OUT_OF_ORDER ->
                    withoutWait(InviteOutcome.UNREACHABLE, RejectionCause.NONE);
            case NO_CIRCUIT_AVAILABLE -> withoutWait(InviteOutcome.BUSY, RejectionCause.NO_CIRCUIT);
            case TEMPORARY_FAILURE ->
                    withoutWait(InviteOutcome.NOT_SENT, RejectionCause.PROCESSOR_FULL);
            case SWITCHING_EQUIPMENT_CONGESTION ->
                    new Outcome(
                            InviteOutcome.BUSY,
                            RejectionCause.PROCESSOR_FULL,
                            retryAfter(response));
            case REQUESTED_CIRCUIT_NOT_AVAILABLE ->
                    withoutWait(InviteOutcome.BUSY, RejectionCause.CRANKBACK);
            case RESOURCE_UNAVAILABLE ->
                    withoutWait(InviteOutcome.BUSY, RejectionCause.FAR_END_PROCESSOR_FULL);
            case NETWORK_OUT_OF_ORDER -> withoutWait(InviteOutcome.RESET, RejectionCause.NONE);
            default -> byStatus(response.status());
        };
    }

    /** Returns the outcome for a response without a known cause. */
    private static Outcome byStatus(int status) {
        return switch (status) {
            case 408, 504 -> withoutWait(InviteOutcome.TIMED_OUT, RejectionCause.NONE);
            case 486, 600 -> withoutWait(InviteOutcome.ERROR, RejectionCause.LINES_BUSY);
            case 487 -> withoutWait(InviteOutcome.CANCELLED, RejectionCause.NONE);
            case 480, 503 -> withoutWait(InviteOutcome.BUSY, RejectionCause.NONE);
            case 502 -> withoutWait(InviteOutcome.UNREACHABLE, RejectionCause.NONE);
            default -> withoutWait(InviteOutcome.ERROR, RejectionCause.NONE);
        };
    }

    private static Outcome withoutWait(InviteOutcome ending, RejectionCause cause) {
        return new Outcome(ending, cause, 0);
    }

    /** Returns the Q.850 cause of a message, or 0 if it has none. */
    public static int causeOf(SipMessage message) {
        for (String reason : message.headers("Reason")) {
            Matcher matcher = CAUSE_HEADER.matcher(reason);
            if (matcher.find()) {
                return Integer.parseInt(matcher.group(1));
            }
        }
        return 0;
    }

    /** Returns the value of a Reason header with a Q.850 cause. */
    public static String reasonHeader(int cause, String text) {
        return "Q.850;cause=" + cause + ";text=\"" + text + "\"";
    }

    /**
     * Returns the delay of a Retry-After header in µs, or 0 if it is missing or malformed. The
     * parameter "ms" holds the exact delay, and the value its whole seconds (RFC 3261 20.33 allows
     * parameters).
     */
    public static long retryAfter(SipMessage message) {
        String value = message.header("Retry-After");
        if (value == null) {
            return 0;
        }
        coralcove.sip.ParameterizedValue params = coralcove.sip.ParameterizedValue.parse(value);
        try {
            long seconds = Long.parseLong(params.value().replaceFirst("\\s*\\(.*", ""));
            return Math.max(0, Math.min(3600_000, params.numericParameter("ms", seconds * 1000)))
                    * 1000;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Returns the value of a Retry-After header for a delay in µs, rounded up to whole ms. */
    public static String retryAfter(long delayUs) {
        long ms = (delayUs + 999) / 1000;
        return (ms + 999) / 1000 + ";ms=" + ms;
    }
}
