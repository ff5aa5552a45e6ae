package coralcove.numbers;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Looks ahead for times at which two calendars of one destination are open, or none and nothing
 * else is said.
 */
public final class HoursCheck {
    /** µs looked ahead: a year and a day, so that each holiday and clock change comes once. */
    private static final long AHEAD = 367L * 86_400_000_000L;

    /** Findings told of one destination at most; the first ones show what is wrong. */
    private static final int MOST = 3;

    /** Changes looked at of one destination: some hundred a calendar and year are usual. */
    private static final int MOST_CHANGES = 20_000;

    private HoursCheck() {}

    /** What is found in a table from {@code now} on, one line each. */
    public static List<String> of(NumberTable table, long now) {
        List<String> found = new ArrayList<>();
        for (int value = 1; value <= table.destinations(); value++) {
            if (table.destination(value) instanceof Destination.ByHours hours) {
                found.addAll(of(table, hours, now));
            }
        }
        return found;
    }

    private static List<String> of(NumberTable table, Destination.ByHours hours, long now) {
        Set<String> found = new TreeSet<>();
        List<String> told = new ArrayList<>();
        long at = now;
        for (int i = 0; i < MOST_CHANGES && at < now + AHEAD && told.size() < MOST; i++) {
            List<String> open = new ArrayList<>();
            long next = Hours.NEVER;
            for (Destination.Choice choice : hours.choices()) {
                Hours calendar = table.calendars().get(choice.calendar());
                if (calendar.open(at)) {
                    open.add(choice.calendar());
                }
                next = Math.min(next, calendar.change(at));
            }
            String what =
                    open.size() > 1
                            ? "overlap of " + String.join(" and ", open) + ", the first counts"
                            : open.isEmpty() && hours.otherwise() == null
                                    ? "gap: no calendar is open and nothing else is said"
                                    : "";
            if (!what.isEmpty() && found.add(what)) {
                told.add(
                        "from "
                                + Instant.ofEpochSecond(at / 1_000_000)
                                + ": "
                                + what
                                + " ("
                                + hours.text()
                                + ")");
            }
            if (next == Hours.NEVER) {
                break;
            }
            at = next;
        }
        return told;
    }
}
