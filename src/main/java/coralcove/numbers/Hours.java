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
 * When something is open: clauses of days and times in a time zone. A span past midnight belongs to
 * the day it begins. Where the clock is put forward, a time that does not exist counts as the
 * moment of the change; where it is put back, a span begins at the first and ends at the second
 * passing of its time, so that nobody finds a firm closed too early.
 */
public record Hours(ZoneId zone, Set<LocalDate> holidays, List<Clause> clauses) {
    /**
     * Days on which a clause holds: weekdays as bits from Monday, dates, and whether holidays are
     * among them.
     */
    public record Days(int weekdays, List<Range> dates, boolean holidays) {
        boolean has(LocalDate day, Set<LocalDate> all) {
            return (weekdays >> day.getDayOfWeek().getValue() - 1 & 1) != 0
                    || holidays && all.contains(day)
                    || dates.stream().anyMatch(r -> !day.isBefore(r.first) && !day.isAfter(r.last));
        }
    }

    /** Dates from the first to the last, both included. */
    public record Range(LocalDate first, LocalDate last) {}

    /**
     * Minutes of a day: from, and to, which is at most 24:00 and on the next day where it is not
     * above from.
     */
    public record Span(int from, int to) {}

    /**
     * On {@code days}, all if null, but not on {@code except}, none if null, in {@code spans}, all
     * day if empty.
     */
    public record Clause(Days days, List<Span> spans, Days except) {
        boolean has(LocalDate day, Set<LocalDate> holidays) {
            return (days == null || days.has(day, holidays))
                    && (except == null || !except.has(day, holidays));
        }
    }

    /** Days looked ahead for the next change; hours that do not change in them count as fixed. */
    private static final int AHEAD = 800;

    private static final int DAY = 24 * 60;

    /** What {@link #change} gives where nothing changes. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Whether it is open at this moment, µs since 1970. */
    public boolean open(long now) {
        LocalDate today = day(now);
        for (int back = -1; back <= 1; back++) {
            for (long[] span : spans(today.plusDays(back))) {
                if (now >= span[0] && now < span[1]) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * The first moment after {@code now} at which {@link #open} changes: nothing has to be asked
     * before.
     */
    public long change(long now) {
        boolean open = open(now);
        LocalDate day = day(now).minusDays(1);
        long at = now;
        for (int i = 0; i < AHEAD; i++, day = day.plusDays(1)) {
            List<long[]> spans = spans(day);
            spans.sort((a, b) -> Long.compare(a[0], b[0]));
            for (long[] span : spans) {
                if (!open && span[0] > now) {
                    return earliest(day, span[0]);
                }
                if (open && span[0] <= at && span[1] > at) {
                    at = span[1];
                }
            }
            // A span of the next day may join this one: only a day that ends past it closes.
            if (open && at > now && at < start(day.plusDays(1)) && !open(at)) {
                return at;
            }
        }
        return NEVER;
    }

    /**
     * A span of the next day may begin before this day's, where the clock is put back at midnight.
     */
    private long earliest(LocalDate day, long at) {
        long first = at;
        for (long[] span : spans(day.plusDays(1))) {
            first = Math.min(first, span[0]);
        }
        return first;
    }

    private LocalDate day(long now) {
        return LocalDate.ofInstant(Instant.ofEpochSecond(Math.floorDiv(now, 1_000_000)), zone);
    }

    private long start(LocalDate day) {
        return moment(day.atStartOfDay(), false);
    }

    /** The spans that begin on a day, µs since 1970. */
    private List<long[]> spans(LocalDate day) {
        List<long[]> spans = new ArrayList<>();
        for (Clause clause : clauses) {
            if (!clause.has(day, holidays)) {
                continue;
            }
            if (clause.spans.isEmpty()) {
                spans.add(
                        new long[] {
                            moment(day.atStartOfDay(), false),
                            moment(day.plusDays(1).atStartOfDay(), true)
                        });
            }
            for (Span span : clause.spans) {
                int to = span.to > span.from ? span.to : span.to + DAY;
                long from = moment(at(day, span.from), false);
                long end = moment(at(day, to), true);
                // Nothing is left of a span within an hour that the clock leaves out.
                if (end > from) {
                    spans.add(new long[] {from, end});
                }
            }
        }
        return spans;
    }

    private static LocalDateTime at(LocalDate day, int minutes) {
        return day.plusDays(minutes / DAY).atTime(LocalTime.ofSecondOfDay(minutes % DAY * 60L));
    }

    private long moment(LocalDateTime local, boolean end) {
        List<ZoneOffset> offsets = zone.getRules().getValidOffsets(local);
        Instant at =
                offsets.isEmpty()
                        ? zone.getRules().getTransition(local).getInstant()
                        : local.toInstant(offsets.get(end ? offsets.size() - 1 : 0));
        return Math.multiplyExact(at.getEpochSecond(), 1_000_000L);
    }
}
