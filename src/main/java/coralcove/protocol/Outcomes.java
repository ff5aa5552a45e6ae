package coralcove.protocol;

import coralcove.Cause;
import coralcove.Ending;
import coralcove.sip.SipMessage;
import coralcove.sip.dialog.Agent.Lost;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The one table between what an INVITE can come to on the wire and the module's words
 * (docs/protocol.md). Causes are Q.850's, carried in a Reason header (RFC 3326).
 */
public final class Outcomes {
    /** Q.850 causes that this network tells apart. */
    public static final int LINES_BUSY = 17;

    public static final int UNREACHABLE = 27;
    public static final int NO_CIRCUIT = 34;
    public static final int OWN_EXCHANGE = 41;
    public static final int PROCESSOR_FULL = 42;
    public static final int TURNED_BACK = 44;
    public static final int FULL_BEYOND = 47;
    public static final int CUT = 38;
    private static final Pattern CAUSE =
            Pattern.compile("(?i)^\\s*Q\\.850\\s*;.*?cause\\s*=\\s*(\\d{1,3})");

    /** An ending with its cause and the wait that a full processor named, in µs. */
    public record Outcome(Ending ending, Cause cause, long namedWait) {}

    private Outcomes() {}

    /** What an INVITE that did not stand came to; {@code response} is null where none came. */
    public static Outcome of(SipMessage response, Lost lost) {
        if (response == null) {
            return switch (lost) {
                // The first hop is the own exchange: where it takes no stream, the INVITE never
                // left.
                case UNREACHABLE -> plain(Ending.NOT_SENT, Cause.PROCESSOR_FULL);
                case RESET -> plain(Ending.RESET, Cause.NONE);
                case TIMED_OUT, NO -> plain(Ending.TIMED_OUT, Cause.NONE);
            };
        }
        return switch (cause(response)) {
            case LINES_BUSY -> plain(Ending.ERROR, Cause.LINES_BUSY);
            case UNREACHABLE -> plain(Ending.UNREACHABLE, Cause.NONE);
            case NO_CIRCUIT -> plain(Ending.BUSY, Cause.NO_CIRCUIT);
            case OWN_EXCHANGE -> plain(Ending.NOT_SENT, Cause.PROCESSOR_FULL);
            case PROCESSOR_FULL ->
                    new Outcome(Ending.BUSY, Cause.PROCESSOR_FULL, retryAfter(response));
            case TURNED_BACK -> plain(Ending.BUSY, Cause.TURNED_BACK);
            case FULL_BEYOND -> plain(Ending.BUSY, Cause.FULL_BEYOND);
            case CUT -> plain(Ending.RESET, Cause.NONE);
            default -> byStatus(response.status());
        };
    }

    /** A response without a cause that this network knows. */
    private static Outcome byStatus(int status) {
        return switch (status) {
            case 408, 504 -> plain(Ending.TIMED_OUT, Cause.NONE);
            case 486, 600 -> plain(Ending.ERROR, Cause.LINES_BUSY);
            case 487 -> plain(Ending.CANCELLED, Cause.NONE);
            case 480, 503 -> plain(Ending.BUSY, Cause.NONE);
            case 502 -> plain(Ending.UNREACHABLE, Cause.NONE);
            default -> plain(Ending.ERROR, Cause.NONE);
        };
    }

    private static Outcome plain(Ending ending, Cause cause) {
        return new Outcome(ending, cause, 0);
    }

    /** The Q.850 cause of a message, or 0. */
    public static int cause(SipMessage message) {
        for (String reason : message.headers("Reason")) {
            Matcher found = CAUSE.matcher(reason);
            if (found.find()) {
                return Integer.parseInt(found.group(1));
            }
        }
        return 0;
    }

    public static String reason(int cause, String text) {
        return "Q.850;cause=" + cause + ";text=\"" + text + "\"";
    }

    /**
     * µs of a Retry-After: its seconds, or its exact parameter "ms" (RFC 3261 20.33 allows
     * parameters).
     */
    public static long retryAfter(SipMessage message) {
        String value = message.header("Retry-After");
        if (value == null) {
            return 0;
        }
        coralcove.sip.Params params = coralcove.sip.Params.of(value);
        try {
            long seconds = Long.parseLong(params.value().replaceFirst("\\s*\\(.*", ""));
            return Math.max(0, Math.min(3600_000, params.number("ms", seconds * 1000))) * 1000;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    public static String retryAfter(long micros) {
        long ms = (micros + 999) / 1000;
        return (ms + 999) / 1000 + ";ms=" + ms;
    }
}
