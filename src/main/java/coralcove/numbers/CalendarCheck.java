package coralcove.numbers;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Looks ahead for times at which two calendars of one destination are open at once, or none is open
 * and the destination has no {@code else}.
 */
public final class CalendarCheck {
    /** A year and a day, so that each holiday and clock change is covered once. */
    private static final long LOOK_AHEAD_MICROS = 367L * 86_400_000_000L;

    /** Findings reported per destination; the first ones show what is wrong. */
    private static final int MAX_FINDINGS = 3;

    /**
     * Opening and closing times examined per destination; some hundred per calendar and year are
     * usual.
     */
    private static final int MAX_CHANGES = 20_000;

    private CalendarCheck() {}

    /**
     * The overlaps and gaps in a table's calendars from {@code now} (µs since 1970) on, one line
     * each.
     */
    public static List<String> findProblems(NumberTable table, long now) {
        List<String> findings = new ArrayList<>();
        for (int value = 1; value <= table.destinationCount(); value++) {
            if (table.destination(value) instanceof Destination.ByHours hours) {
                findings.addAll(findProblems(table, hours, now));
            }
        }
        return findings;
    }

    private static List<String> findProblems(
            NumberTable table, Destination.ByHours hours, long now) {
        Set<String> seen = new TreeSet<>();
        List<String> findings = new ArrayList<>();
        long time = now;
        for (int i = 0;
                i < MAX_CHANGES && time < now + LOOK_AHEAD_MICROS && findings.size() < MAX_FINDINGS;
                i++) {
            List<String> open = new ArrayList<>();
            long next = OpeningHours.NEVER;
            for (Destination.CalendarRoute route : hours.routes()) {
                OpeningHours calendar = table.calendars().get(route.calendar());
                if (calendar.isOpen(time)) {
                    open.add(route.calendar());
                }
                next = Math.min(next, calendar.nextChange(time));
            }
            String problem =
                    open.size() > 1
                            ? "overlap of " + String.join(" and ", open) + ", the first counts"
                            : open.isEmpty() && hours.otherwise() == null
                                    ? "gap: no calendar is open and there is no 'else'"
                                    : "";
            if (!problem.isEmpty() && seen.add(problem)) {
                findings.add(
                        "from "
                                + Instant.ofEpochSecond(time / 1_000_000)
                                + ": "
                                + problem
                                + " ("
                                + hours.toTableText()
                                + ")");
            }
            if (next == OpeningHours.NEVER) {
                break;
            }
            time = next;
        }
        return findings;
    }
}
