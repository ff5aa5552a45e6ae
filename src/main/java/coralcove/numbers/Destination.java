package coralcove.numbers;

import java.util.List;

/** Where calls to the numbers of a prefix are routed, as stated in a number table. */
public sealed interface Destination {
    /**
     * An exchange; only the listed {@code services} are carried to it, all of them if the list is
     * empty.
     */
    record FarEnd(int number, List<Integer> services) implements Destination {}

    /** No subscriber has the number: 404 (RFC 3261 21.4.5). */
    record Unallocated() implements Destination {}

    /** The number may not be called: 403 (RFC 3261 21.4.4). */
    record Blocked() implements Destination {}

    /**
     * The subscriber has another number now, {@code to}: 410 with that number (RFC 3261 21.4.11).
     */
    record Changed(String to) implements Destination {}

    /**
     * Some numbers of the prefix are ported, which the portability server knows; {@code donor} is
     * the exchange to which the whole prefix was assigned.
     */
    record Ported(int donor) implements Destination {}

    /**
     * The destination of the first calendar that is open; {@code otherwise} applies if none is,
     * null if the table has no {@code else}.
     */
    record ByHours(List<CalendarRoute> routes, Destination otherwise) implements Destination {}

    /** A calendar's name and the destination while it is open, which is never a {@link ByHours}. */
    record CalendarRoute(String calendar, Destination destination) {}

    /** This destination in the syntax of a table file. */
    default String toTableText() {
        if (this instanceof FarEnd far) {
            return "to "
                    + far.number
                    + (far.services.isEmpty()
                            ? ""
                            : " services " + far.services.toString().replaceAll("[\\[\\] ]", ""));
        }
        if (this instanceof Changed changed) {
            return "changed " + changed.to;
        }
        if (this instanceof Ported ported) {
            return "ported " + ported.donor;
        }
        if (this instanceof ByHours hours) {
            StringBuilder text = new StringBuilder("hours ");
            hours.routes.forEach(
                    each ->
                            text.append(each.calendar)
                                    .append(' ')
                                    .append(each.destination.toTableText())
                                    .append("; "));
            return hours.otherwise == null
                    ? text.substring(0, text.length() - 2)
                    : text + "else " + hours.otherwise.toTableText();
        }
        return this instanceof Blocked ? "blocked" : "unallocated";
    }
}
