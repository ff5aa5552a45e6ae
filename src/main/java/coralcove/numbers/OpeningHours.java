package coralcove.numbers;

import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Opening hours: clauses of days and times of day in a time zone. A span that passes midnight
 * belongs to the day on which it begins. Where the clock is put forward, a local time that does not
 * exist is taken as the instant of the transition. Where it is put back, a span begins at the first
 * and ends at the second occurrence of its local time, so that no span ends too early.
 */
public record OpeningHours(ZoneId zone, Set<LocalDate> holidays, List<Clause> clauses) {
    /**
     * The days of a clause: weekdays as bits from Monday (bit 0), date ranges, and whether holidays
     * are included.
     */
    public record Days(int weekdays, List<DateRange> dates, boolean holidays) {
        boolean contains(LocalDate day, Set<LocalDate> allHolidays) {
            return (weekdays >> day.getDayOfWeek().getValue() - 1 & 1) != 0
                    || holidays && allHolidays.contains(day)
                    || dates.stream().anyMatch(r -> !day.isBefore(r.first) && !day.isAfter(r.last));
        }
    }

    /** The dates from {@code first} to {@code last}, both inclusive. */
    public record DateRange(LocalDate first, LocalDate last) {}

    /**
     * A span in minutes of the day; {@code endMinute} is at most 24:00 and belongs to the next day
     * if it is not after {@code startMinute}.
     */
    public record TimeSpan(int startMinute, int endMinute) {}

    /**
     * Open on {@code days} (all days if null) except on {@code except} (no exceptions if null)
     * during {@code spans} (the whole day if empty).
     */
    public record Clause(Days days, List<TimeSpan> spans, Days except) {
        boolean appliesOn(LocalDate day, Set<LocalDate> holidays) {
            return (days == null || days.contains(day, holidays))
                    && (except == null || !except.contains(day, holidays));
        }
    }

    /**
     * How far the next change is searched for; hours that do not change within it count as
     * constant.
     */
    private static final int LOOK_AHEAD_DAYS = 800;

    private static final int MINUTES_PER_DAY = 24 * 60;

    /** The result of {@link #nextChange} if nothing changes. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Whether it is open at a time, in µs since 1970. */
    public boolean isOpen(long now) {
        LocalDate today = dateOf(now);
        for (int offset = -1; offset <= 1; offset++) {
            for (long[] span : spansStartingOn(today.plusDays(offset))) {
                if (now >= span[0] && now < span[1]) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * The first time after {@code now} at which {@link #isOpen} changes, in µs since 1970; {@link
     * #NEVER} if none is found.
     */
    public long nextChange(long now) {
        boolean open = isOpen(now);
        LocalDate day = dateOf(now).minusDays(1);
        long closesAt = now;
        for (int i = 0; i < LOOK_AHEAD_DAYS; i++, day = day.plusDays(1)) {
            List<long[]> spans = spansStartingOn(day);
            spans.sort((a, b) -> Long.compare(a[0], b[0]));
            for (long[] span : spans) {
                if (!open && span[0] > now) {
                    return earliestStart(day, span[0]);
                }
                if (open && span[0] <= closesAt && span[1] > closesAt) {
                    closesAt = span[1];
                }
            }
            // A span of the next day may continue this one: it closes only if it ends before that
            // day.
            if (open
                    && closesAt > now
                    && closesAt < startOfDay(day.plusDays(1))
                    && !isOpen(closesAt)) {
                return closesAt;
            }
        }
        return NEVER;
    }

    /**
     * The earlier of {@code start} and the next day's first span, which may begin before this day's
     * where the clock is put back at midnight.
     */
    private long earliestStart(LocalDate day, long start) {
        long first = start;
        for (long[] span : spansStartingOn(day.plusDays(1))) {
            first = Math.min(first, span[0]);
        }
        return first;
    }

    private LocalDate dateOf(long now) {
        return LocalDate.ofInstant(Instant.ofEpochSecond(Math.floorDiv(now, 1_000_000)), zone);
    }

    private long startOfDay(LocalDate day) {
        return toMicros(day.atStartOfDay(), false);
    }

    /** The spans that begin on a day, as {start, end} in µs since 1970. */
    private List<long[]> spansStartingOn(LocalDate day) {
        List<long[]> spans = new ArrayList<>();
        for (Clause clause : clauses) {
            if (!clause.appliesOn(day, holidays)) {
                continue;
            }
            if (clause.spans.isEmpty()) {
                spans.add(
                        new long[] {
                            toMicros(day.atStartOfDay(), false),
                            toMicros(day.plusDays(1).atStartOfDay(), true)
                        });
            }
            for (TimeSpan span : clause.spans) {
                int endMinute =
                        span.endMinute > span.startMinute
                                ? span.endMinute
                                : span.endMinute + MINUTES_PER_DAY;
                long start = toMicros(localTime(day, span.startMinute), false);
                long end = toMicros(localTime(day, endMinute), true);
                // Nothing remains of a span inside the hour skipped when the clock is put forward.
                if (end > start) {
                    spans.add(new long[] {start, end});
                }
            }
        }
        return spans;
    }

    private static LocalDateTime localTime(LocalDate day, int minutes) {
        return day.plusDays(minutes / MINUTES_PER_DAY)
                .atTime(LocalTime.ofSecondOfDay(minutes % MINUTES_PER_DAY * 60L));
    }

    /** A local time in µs since 1970; {@code end} selects the later of two occurrences. */
    private long toMicros(LocalDateTime local, boolean end) {
        List<ZoneOffset> offsets = zone.getRules().getValidOffsets(local);
        Instant instant =
                offsets.isEmpty()
                        ? zone.getRules().getTransition(local).getInstant()
                        : local.toInstant(offsets.get(end ? offsets.size() - 1 : 0));
        return Math.multiplyExact(instant.getEpochSecond(), 1_000_000L);
    }
}
