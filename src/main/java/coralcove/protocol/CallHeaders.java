package coralcove.protocol;

import coralcove.sip.HeaderField;
import coralcove.sip.ParameterizedValue;
import coralcove.sip.SipMessage;
import coralcove.sip.SipUri;
import java.util.Set;

/**
 * The headers that describe a session in its INVITE (docs/protocol.md). This class alone reads and
 * writes them.
 *
 * @param service index of the service in the settings
 * @param value value of the session
 * @param width number of circuits that the session needs
 * @param redial whether the session is a redial
 * @param cut whether the session follows an established call that was cut
 * @param farEnd number of the exchange where the session ends, or -1 where only a number was
 *     dialled, which never happens on a trunk
 * @param origin number of the exchange at the near end of the trunk group, or -1 off a trunk
 * @param timeLeft time in µs that is left until the caller's timer limit
 * @param number the dialled number
 */
public record CallHeaders(
        int service,
        double value,
        int width,
        boolean redial,
        boolean cut,
        int farEnd,
        int origin,
        long timeLeft,
        String number) {
    /**
     * Reads the headers of an INVITE.
     *
     * @param services number of services in the settings
     * @throws IllegalArgumentException if a header is missing or invalid; the message names it
     */
    public static CallHeaders parse(SipMessage invite, int services) {
        ParameterizedValue service = ParameterizedValue.parse(require(invite, "X-Service"));
        int index = parseNumber("X-Service", service.value(), 0, services - 1);
        int width = parseNumber("X-Service", service.parameter("width", "1"), 1, 64);
        String origin = invite.header("X-Origin");
        boolean onlyNumberDialled = origin == null && invite.header("X-Far-End") == null;
        int farEnd =
                onlyNumberDialled
                        ? -1
                        : parseNumber("X-Far-End", require(invite, "X-Far-End"), 0, 65_535);
        String timeLeft = invite.header("X-Time-Left");
        long left =
                timeLeft != null
                        ? parseTimeLeft(timeLeft)
                        : 1_000_000L * parseNumber("Expires", require(invite, "Expires"), 0, 3600);
        SipUri uri = SipUri.parse(invite.uri());
        if (uri == null) {
            throw new IllegalArgumentException("Request-URI " + invite.uri());
        }
        double value;
        try {
            value = Double.parseDouble(service.parameter("value", "1"));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("X-Service value " + service.parameter("value", ""));
        }
        return new CallHeaders(
                index,
                value,
                width,
                service.hasParameter("redial"),
                service.hasParameter("cut"),
                farEnd,
                origin == null ? -1 : parseNumber("X-Origin", origin, 0, 65_535),
                left,
                uri.user());
    }

    /** Returns a copy with this far end. */
    public CallHeaders withFarEnd(int newFarEnd) {
        return new CallHeaders(
                service, value, width, redial, cut, newFarEnd, origin, timeLeft, number);
    }

    private static String require(SipMessage message, String name) {
        String value = message.header(name);
        if (value == null) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return value;
    }

    private static int parseNumber(String name, String text, int min, int max) {
        try {
            int value = Integer.parseInt(text.strip());
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, with the bounds.
        }
        throw new IllegalArgumentException(
                name + " " + text + " is not between " + min + " and " + max);
    }

    private static long parseTimeLeft(String text) {
        try {
            long value = Long.parseLong(text.strip());
            if (value >= 0 && value <= 3_600_000_000L) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new IllegalArgumentException("X-Time-Left " + text);
    }

    /**
     * Header fields that belong to one call leg, or that {@link #addTo} adds itself. All other
     * fields are passed on unchanged.
     */
    private static final Set<String> CALL_LEG_FIELDS =
            Set.of(
                    "Via",
                    "From",
                    "To",
                    "Call-ID",
                    "CSeq",
                    "Contact",
                    "Route",
                    "Record-Route",
                    "Max-Forwards",
                    "Content-Length",
                    "Content-Type",
                    "Expires",
                    "Session-ID",
                    "X-Service",
                    "X-Far-End",
                    "X-Origin",
                    "X-Time-Left",
                    "Supported",
                    "Session-Expires",
                    "Min-SE",
                    "Require",
                    "Proxy-Require");

    /** Copies the body and the end-to-end header fields of a received INVITE to a new one. */
    public static void copyEndToEndFields(SipMessage received, SipMessage forwarded) {
        for (HeaderField field : received.fields()) {
            if (!CALL_LEG_FIELDS.contains(field.name())) {
                forwarded.add(field.name(), field.value());
            }
        }
        if (received.body().length > 0) {
            forwarded.body(received.header("Content-Type", "application/sdp"), received.body());
        }
    }

    /**
     * Adds the headers to an INVITE.
     *
     * @param origin number of the exchange at the near end of the trunk group; a negative one is
     *     left out, as is a negative far end
     * @param left time in µs until the caller's timer limit
     * @param sessionId value of the Session-ID header
     * @return the INVITE
     */
    public static SipMessage addTo(
            SipMessage invite, CallHeaders headers, int origin, long left, String sessionId) {
        invite.add(
                "X-Service",
                headers.service
                        + ";value="
                        + headers.value
                        + ";width="
                        + headers.width
                        + (headers.redial ? ";redial" : "")
                        + (headers.cut ? ";cut" : ""));
        if (headers.farEnd >= 0) {
            invite.add("X-Far-End", Integer.toString(headers.farEnd));
        }
        if (origin >= 0) {
            invite.add("X-Origin", Integer.toString(origin));
        }
        // Expires counts whole seconds: rounded up, it never contradicts the exact X-Time-Left.
        invite.add("Expires", Long.toString((left + 999_999) / 1_000_000));
        invite.add("X-Time-Left", Long.toString(left));
        return invite.add("Session-ID", sessionId);
    }
}
