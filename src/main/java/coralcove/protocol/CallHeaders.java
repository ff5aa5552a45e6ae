package coralcove.protocol;

import coralcove.sip.Field;
import coralcove.sip.Params;
import coralcove.sip.SipMessage;
import coralcove.sip.SipUri;
import java.util.Set;

/** The stated headers of a session's INVITE (docs/protocol.md), read and written in one place. */
public record CallHeaders(
        int service,
        double value,
        int width,
        boolean redial,
        boolean cut,
        int farEnd,
        int origin,
        long left,
        String number) {
    /**
     * Reads them; a missing or impossible one throws with the header's name. {@code origin} is -1
     * off a trunk, and {@code farEnd} is -1 where only a number was dialled, which is never so on a
     * trunk.
     */
    public static CallHeaders of(SipMessage invite, int services) {
        Params service = Params.of(need(invite, "X-Service"));
        int index = number("X-Service", service.value(), 0, services - 1);
        int width = number("X-Service", service.get("width", "1"), 1, 64);
        String origin = invite.header("X-Origin");
        boolean dialled = origin == null && invite.header("X-Far-End") == null;
        int farEnd = dialled ? -1 : number("X-Far-End", need(invite, "X-Far-End"), 0, 65_535);
        String exact = invite.header("X-Time-Left");
        long left =
                exact != null
                        ? micros(exact)
                        : 1_000_000L * number("Expires", need(invite, "Expires"), 0, 3600);
        SipUri uri = SipUri.of(invite.uri());
        if (uri == null) {
            throw new IllegalArgumentException("Request-URI " + invite.uri());
        }
        double value;
        try {
            value = Double.parseDouble(service.get("value", "1"));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("X-Service value " + service.get("value", ""));
        }
        return new CallHeaders(
                index,
                value,
                width,
                service.has("redial"),
                service.has("cut"),
                farEnd,
                origin == null ? -1 : number("X-Origin", origin, 0, 65_535),
                left,
                uri.user());
    }

    /** The same to this far end. */
    public CallHeaders to(int known) {
        return new CallHeaders(service, value, width, redial, cut, known, origin, left, number);
    }

    private static String need(SipMessage message, String name) {
        String value = message.header(name);
        if (value == null) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return value;
    }

    private static int number(String name, String text, int least, int most) {
        try {
            int value = Integer.parseInt(text.strip());
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, with the bounds.
        }
        throw new IllegalArgumentException(
                name + " " + text + " is not between " + least + " and " + most);
    }

    private static long micros(String text) {
        try {
            long value = Long.parseLong(text.strip());
            if (value >= 0 && value <= 3_600_000_000L) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new IllegalArgumentException("X-Time-Left " + text);
    }

    /**
     * Fields that belong to one leg, or that {@link #write} writes itself; all others cross
     * unchanged.
     */
    private static final Set<String> OF_A_LEG =
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

    /**
     * Copies the body and what is not of one leg only from the INVITE that came to the one that
     * goes on.
     */
    public static void pass(SipMessage from, SipMessage to) {
        for (Field field : from.fields()) {
            if (!OF_A_LEG.contains(field.name())) {
                to.add(field.name(), field.value());
            }
        }
        if (from.body().length > 0) {
            to.body(from.header("Content-Type", "application/sdp"), from.body());
        }
    }

    /** Writes them into an INVITE; {@code origin} or far end below 0 is left out. */
    public static SipMessage write(
            SipMessage invite, CallHeaders it, int origin, long left, String sessionId) {
        invite.add(
                "X-Service",
                it.service
                        + ";value="
                        + it.value
                        + ";width="
                        + it.width
                        + (it.redial ? ";redial" : "")
                        + (it.cut ? ";cut" : ""));
        if (it.farEnd >= 0) {
            invite.add("X-Far-End", Integer.toString(it.farEnd));
        }
        if (origin >= 0) {
            invite.add("X-Origin", Integer.toString(origin));
        }
        // Expires counts whole seconds: rounded up it never contradicts the exact figure beside it.
        invite.add("Expires", Long.toString((left + 999_999) / 1_000_000));
        invite.add("X-Time-Left", Long.toString(left));
        return invite.add("Session-ID", sessionId);
    }
}
