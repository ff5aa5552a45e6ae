package coralcove.platform.caller;

import coralcove.platform.signaling.SessionDescription;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * A caller's request for a call, validated against the services of the settings. Call id, service,
 * number and description are passed on to an exchange unchanged.
 *
 * @param serviceIndex index of the service in the settings
 * @param waitMs how long the caller waits for an answer, in ms
 * @param farEnd number of the exchange that the call is for
 * @param width circuits that the call needs
 * @param advisedTandem number of the tandem that the caller advises, or -1
 * @param transit whether the call is in transit, so that its only onward route is to the far end
 * @param redialledAfterCut whether the caller sets the call up again after it was cut
 * @param establishedExchange id of the exchange with which the call is established already, or null
 */
public record SetUpRequest(
        long callId,
        String service,
        int serviceIndex,
        long waitMs,
        boolean redialled,
        String calledNumber,
        int farEnd,
        int width,
        int advisedTandem,
        boolean transit,
        boolean redialledAfterCut,
        String establishedExchange,
        byte[] description) {

    /** No caller waits as long as an hour, so that a longer wait is an error. */
    private static final long MAX_WAIT_MS = 3_600_000;

    /** Numbers of exchanges and ranks of routers; the routing policy encodes them in two bytes. */
    private static final int MAX_NUMBER = 65_535;

    /**
     * Reads and validates a request; {@code services} are the names of the services in the settings
     * and {@code widths} the circuits that a call of each needs.
     */
    public static SetUpRequest parse(
            CallerMessage message, List<String> services, List<Integer> widths)
            throws MalformedCallerMessageException {
        if (message.callId() == 0) {
            // An exchange rejects the id 0 by closing the connection with all INVITEs on it.
            throw new MalformedCallerMessageException("the call id is 0");
        }
        String service = required(message, CallerMessage.SERVICE, "service");
        int index = services.indexOf(service);
        if (index < 0) {
            throw new MalformedCallerMessageException("unknown service");
        }
        String number = required(message, CallerMessage.NUMBER, "number");
        if (number.length() != 16 || !number.chars().allMatch(HexFormat::isHexDigit)) {
            throw new MalformedCallerMessageException("the number is not 16 hex digits");
        }
        String redial =
                message.has(CallerMessage.REDIAL)
                        ? required(message, CallerMessage.REDIAL, "redial")
                        : "0";
        if (!redial.equals("0") && !redial.equals("1")) {
            throw new MalformedCallerMessageException("redial is neither 0 nor 1");
        }
        byte[] description = message.value(CallerMessage.DESCRIPTION);
        Map<String, String> attributes =
                attributes(required(message, CallerMessage.ATTRIBUTES, "figures"));
        String establishedExchange = attributes.get("at");
        if (establishedExchange == null && !SessionDescription.isWellFormed(description)) {
            throw new MalformedCallerMessageException("description is missing or malformed");
        }
        long wait =
                establishedExchange != null && !message.has(CallerMessage.WAIT)
                        ? 1
                        : integer(
                                required(message, CallerMessage.WAIT, "wait"),
                                1,
                                MAX_WAIT_MS,
                                "wait");
        int width = (int) integer(attributes.getOrDefault("width", ""), 1, MAX_NUMBER, "width");
        if (width != widths.get(index)) {
            throw new MalformedCallerMessageException(
                    "width " + width + " differs from that of the service");
        }
        return new SetUpRequest(
                message.callId(),
                service,
                index,
                wait,
                redial.equals("1"),
                number,
                (int) integer(attributes.getOrDefault("dest", ""), 0, MAX_NUMBER, "dest"),
                width,
                (int) integer(attributes.getOrDefault("via", "-1"), -1, MAX_NUMBER, "via"),
                flag(attributes, "transit"),
                flag(attributes, "again"),
                establishedExchange,
                description);
    }

    private static String required(CallerMessage message, int code, String name)
            throws MalformedCallerMessageException {
        String text = message.text(code);
        if (text == null || text.isEmpty()) {
            throw new MalformedCallerMessageException(name + " is missing, empty or repeated");
        }
        return text;
    }

    private static Map<String, String> attributes(String text)
            throws MalformedCallerMessageException {
        Map<String, String> attributes = new HashMap<>();
        for (String attribute : text.split(";", -1)) {
            int colon = attribute.indexOf(':');
            if (colon <= 0
                    || attributes.put(attribute.substring(0, colon), attribute.substring(colon + 1))
                            != null) {
                throw new MalformedCallerMessageException("malformed figures");
            }
        }
        return attributes;
    }

    private static boolean flag(Map<String, String> attributes, String name)
            throws MalformedCallerMessageException {
        return integer(attributes.getOrDefault(name, "0"), 0, 1, name) == 1;
    }

    private static long integer(String text, long minimum, long maximum, String name)
            throws MalformedCallerMessageException {
        try {
            long value = Long.parseLong(text);
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, together with the name of the attribute.
        }
        throw new MalformedCallerMessageException(
                name + " is not an integer from " + minimum + " to " + maximum);
    }
}
