package coralcove.numbers.file;

import coralcove.numbers.OpeningHours;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Parses the text form of opening hours (docs/numbers.md). */
public final class OpeningHoursParser {
    /** Thrown for a text that is not valid; the column counts from 1. */
    public static final class InvalidHoursException extends Exception {
        private static final long serialVersionUID = 1;
        private final int column;
        private final String reason;

        InvalidHoursException(int column, String reason) {
            super("column " + column + ": " + reason);
            this.column = column;
            this.reason = reason;
        }

        public String reason() {
            return reason;
        }

        public int column() {
            return column;
        }
    }

    private static final List<String> WEEKDAYS = List.of("mo", "tu", "we", "th", "fr", "sa", "su");

    private OpeningHoursParser() {}

    /**
     * Parses opening hours in a time zone; {@code holidays} are the dates that the text calls
     * holidays.
     */
    public static OpeningHours parse(String text, ZoneId zone, Set<LocalDate> holidays)
            throws InvalidHoursException {
        List<InvalidHoursException> errors = new ArrayList<>();
        BaseErrorListener listener =
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> recognizer,
                            Object offendingSymbol,
                            int line,
                            int column,
                            String message,
                            RecognitionException cause) {
                        errors.add(new InvalidHoursException(column + 1, message));
                    }
                };
        HoursTextLexer lexer = new HoursTextLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        HoursTextParser parser = new HoursTextParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        HoursTextParser.HoursContext hours = parser.hours();
        if (!errors.isEmpty()) {
            throw errors.get(0);
        }
        List<OpeningHours.Clause> clauses = new ArrayList<>();
        for (HoursTextParser.ClauseContext clause : hours.clause()) {
            clauses.add(
                    new OpeningHours.Clause(
                            clause.days() == null ? null : parseDays(clause.days()),
                            parseSpans(clause.times()),
                            clause.except() == null ? null : parseDays(clause.except().days())));
        }
        return new OpeningHours(zone, holidays, clauses);
    }

    private static OpeningHours.Days parseDays(HoursTextParser.DaysContext days)
            throws InvalidHoursException {
        int weekdays = 0;
        boolean holidays = false;
        List<OpeningHours.DateRange> dates = new ArrayList<>();
        for (HoursTextParser.DayContext day : days.day()) {
            holidays |= day.HOLIDAYS() != null;
            if (!day.WEEKDAY().isEmpty()) {
                int first = WEEKDAYS.indexOf(day.WEEKDAY(0).getText());
                int last =
                        day.WEEKDAY().size() > 1
                                ? WEEKDAYS.indexOf(day.WEEKDAY(1).getText())
                                : first;
                // A range such as sa-mo continues past the end of the week.
                for (int i = first; ; i = (i + 1) % 7) {
                    weekdays |= 1 << i;
                    if (i == last) {
                        break;
                    }
                }
            }
            if (!day.DATE().isEmpty()) {
                LocalDate first = parseDate(day.DATE(0).getSymbol());
                LocalDate last = day.DATE().size() > 1 ? parseDate(day.DATE(1).getSymbol()) : first;
                if (last.isBefore(first)) {
                    throw invalid(day.DATE(1).getSymbol(), "is before " + first);
                }
                dates.add(new OpeningHours.DateRange(first, last));
            }
        }
        return new OpeningHours.Days(weekdays, dates, holidays);
    }

    private static List<OpeningHours.TimeSpan> parseSpans(HoursTextParser.TimesContext times)
            throws InvalidHoursException {
        List<OpeningHours.TimeSpan> spans = new ArrayList<>();
        if (times != null) {
            for (HoursTextParser.TimeContext time : times.time()) {
                int startMinute = parseMinutes(time.CLOCK(0).getSymbol(), 23 * 60 + 59);
                int endMinute = parseMinutes(time.CLOCK(1).getSymbol(), 24 * 60);
                if (startMinute == endMinute) {
                    throw invalid(
                            time.CLOCK(1).getSymbol(),
                            "is where it begins; for the whole day leave the times out");
                }
                spans.add(new OpeningHours.TimeSpan(startMinute, endMinute));
            }
        }
        return spans;
    }

    private static LocalDate parseDate(Token token) throws InvalidHoursException {
        try {
            return LocalDate.parse(token.getText());
        } catch (DateTimeException e) {
            throw invalid(token, "is no date");
        }
    }

    private static int parseMinutes(Token token, int max) throws InvalidHoursException {
        String text = token.getText();
        int minutes =
                60 * Integer.parseInt(text.substring(0, 2)) + Integer.parseInt(text.substring(3));
        if (text.charAt(3) > '5' || minutes > max) {
            throw invalid(token, "is no time of day");
        }
        return minutes;
    }

    private static InvalidHoursException invalid(Token token, String reason) {
        return new InvalidHoursException(
                token.getCharPositionInLine() + 1, token.getText() + " " + reason);
    }
}
