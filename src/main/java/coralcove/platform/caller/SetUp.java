package coralcove.platform.caller;

import coralcove.platform.leg.Description;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * A set-up as its caller sent it, held against the settings' services. Id, service, number and
 * description go on to an exchange unchanged. {@code standsAt} is the exchange of a call that
 * stands already, or null; the wait is in ms.
 */
public record SetUp(
        long call,
        String service,
        int serviceIndex,
        long waitMs,
        boolean redialled,
        String number,
        int farEnd,
        int width,
        int via,
        boolean transit,
        boolean cut,
        String standsAt,
        byte[] description) {

    /** Milliseconds: no caller waits an hour; what says so is no figure of a caller. */
    private static final long LONGEST_WAIT = 3_600_000;

    /** Numbers of exchanges and ranks of routers; the module tells them in two bytes. */
    private static final int MOST_NUMBER = 65_535;

    /**
     * Reads a set-up; {@code services} are the names of the settings, {@code widths} their
     * circuits.
     */
    public static SetUp of(CallerMessage message, List<String> services, List<Integer> widths)
            throws BadCallerMessage {
        if (message.call() == 0) {
            // An exchange cannot read it, and closes the leg with all that is out on it.
            throw new BadCallerMessage("no id");
        }
        String service = need(message, CallerMessage.SERVICE, "service");
        int index = services.indexOf(service);
        if (index < 0) {
            throw new BadCallerMessage("no such service");
        }
        String number = need(message, CallerMessage.NUMBER, "number");
        if (number.length() != 16 || !number.chars().allMatch(HexFormat::isHexDigit)) {
            throw new BadCallerMessage("the number is not 16 hex digits");
        }
        String redial =
                message.has(CallerMessage.REDIAL)
                        ? need(message, CallerMessage.REDIAL, "redial")
                        : "0";
        if (!redial.equals("0") && !redial.equals("1")) {
            throw new BadCallerMessage("the mark of a redial is neither 0 nor 1");
        }
        byte[] description = message.value(CallerMessage.DESCRIPTION);
        Map<String, String> figures = figures(need(message, CallerMessage.FIGURES, "figures"));
        String at = figures.get("at");
        if (at == null && !Description.readable(description)) {
            throw new BadCallerMessage("no description, or one that cannot be read");
        }
        long wait =
                at != null && !message.has(CallerMessage.WAIT)
                        ? 1
                        : whole(need(message, CallerMessage.WAIT, "wait"), 1, LONGEST_WAIT, "wait");
        int width = (int) whole(figures.getOrDefault("width", ""), 1, MOST_NUMBER, "width");
        if (width != widths.get(index)) {
            throw new BadCallerMessage("width " + width + " is not the service's");
        }
        return new SetUp(
                message.call(),
                service,
                index,
                wait,
                redial.equals("1"),
                number,
                (int) whole(figures.getOrDefault("dest", ""), 0, MOST_NUMBER, "dest"),
                width,
                (int) whole(figures.getOrDefault("via", "-1"), -1, MOST_NUMBER, "via"),
                flag(figures, "transit"),
                flag(figures, "again"),
                at,
                description);
    }

    private static String need(CallerMessage message, int code, String name)
            throws BadCallerMessage {
        String text = message.text(code);
        if (text == null || text.isEmpty()) {
            throw new BadCallerMessage("no " + name + ", or two");
        }
        return text;
    }

    private static Map<String, String> figures(String text) throws BadCallerMessage {
        Map<String, String> found = new HashMap<>();
        for (String each : text.split(";", -1)) {
            int colon = each.indexOf(':');
            if (colon <= 0
                    || found.put(each.substring(0, colon), each.substring(colon + 1)) != null) {
                throw new BadCallerMessage("figures that cannot be read");
            }
        }
        return found;
    }

    private static boolean flag(Map<String, String> figures, String name) throws BadCallerMessage {
        return whole(figures.getOrDefault(name, "0"), 0, 1, name) == 1;
    }

    private static long whole(String text, long least, long most, String name)
            throws BadCallerMessage {
        try {
            long value = Long.parseLong(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, with the name of the figure.
        }
        throw new BadCallerMessage(name + " is no whole number from " + least + " to " + most);
    }
}
