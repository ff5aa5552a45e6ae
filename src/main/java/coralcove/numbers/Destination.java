package coralcove.numbers;

import java.util.List;

/** Where the numbers of a prefix go, as a table says it. */
public sealed interface Destination {
    /** To the lines of an exchange; {@code services} are the only ones carried, all if empty. */
    record FarEnd(int number, List<Integer> services) implements Destination {}

    /** Nobody has it: 404 (RFC 3261 21.4.5). */
    record Unallocated() implements Destination {}

    /** Its owner may not be called: 403 (RFC 3261 21.4.4). */
    record Blocked() implements Destination {}

    /** Its owner has another number now: 410 with the new one (RFC 3261 21.4.11). */
    record Changed(String to) implements Destination {}

    /**
     * Some of its numbers have moved: the portability server knows; {@code donor} had them all
     * once.
     */
    record Ported(int donor) implements Destination {}

    /** By the first calendar that is open; {@code otherwise} is null where nothing is said. */
    record ByHours(List<Choice> choices, Destination otherwise) implements Destination {}

    /** One calendar, by its name, and where numbers go while it is open: never again by hours. */
    record Choice(String calendar, Destination to) {}

    /** As a table's file has it. */
    default String text() {
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
            StringBuilder all = new StringBuilder("hours ");
            hours.choices.forEach(
                    each ->
                            all.append(each.calendar)
                                    .append(' ')
                                    .append(each.to.text())
                                    .append("; "));
            return hours.otherwise == null
                    ? all.substring(0, all.length() - 2)
                    : all + "else " + hours.otherwise.text();
        }
        return this instanceof Blocked ? "blocked" : "unallocated";
    }
}
