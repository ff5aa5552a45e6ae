package coralcove.numbers.file;

import coralcove.numbers.Hours;
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

/** Reads the language of hours; what is wrong is told with its column, counted from 1. */
public final class HoursReader {
    /** A text that is no hours. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1;
        private final int column;
        private final String reason;

        Bad(int column, String reason) {
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

    private static final List<String> WEEK = List.of("mo", "tu", "we", "th", "fr", "sa", "su");

    private HoursReader() {}

    public static Hours read(String text, ZoneId zone, Set<LocalDate> holidays) throws Bad {
        List<Bad> found = new ArrayList<>();
        BaseErrorListener listener =
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> recognizer,
                            Object symbol,
                            int line,
                            int column,
                            String message,
                            RecognitionException cause) {
                        found.add(new Bad(column + 1, message));
                    }
                };
        HoursTextLexer lexer = new HoursTextLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        HoursTextParser parser = new HoursTextParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        HoursTextParser.HoursContext hours = parser.hours();
        if (!found.isEmpty()) {
            throw found.get(0);
        }
        List<Hours.Clause> clauses = new ArrayList<>();
        for (HoursTextParser.ClauseContext each : hours.clause()) {
            clauses.add(
                    new Hours.Clause(
                            each.days() == null ? null : days(each.days()),
                            spans(each.times()),
                            each.except() == null ? null : days(each.except().days())));
        }
        return new Hours(zone, holidays, clauses);
    }

    private static Hours.Days days(HoursTextParser.DaysContext days) throws Bad {
        int weekdays = 0;
        boolean holidays = false;
        List<Hours.Range> dates = new ArrayList<>();
        for (HoursTextParser.DayContext day : days.day()) {
            holidays |= day.HOLIDAYS() != null;
            if (!day.WEEKDAY().isEmpty()) {
                int first = WEEK.indexOf(day.WEEKDAY(0).getText());
                int last =
                        day.WEEKDAY().size() > 1 ? WEEK.indexOf(day.WEEKDAY(1).getText()) : first;
                // sa-mo goes round the end of the week.
                for (int i = first; ; i = (i + 1) % 7) {
                    weekdays |= 1 << i;
                    if (i == last) {
                        break;
                    }
                }
            }
            if (!day.DATE().isEmpty()) {
                LocalDate first = date(day.DATE(0).getSymbol());
                LocalDate last = day.DATE().size() > 1 ? date(day.DATE(1).getSymbol()) : first;
                if (last.isBefore(first)) {
                    throw bad(day.DATE(1).getSymbol(), "is before " + first);
                }
                dates.add(new Hours.Range(first, last));
            }
        }
        return new Hours.Days(weekdays, dates, holidays);
    }

    private static List<Hours.Span> spans(HoursTextParser.TimesContext times) throws Bad {
        List<Hours.Span> spans = new ArrayList<>();
        if (times != null) {
            for (HoursTextParser.TimeContext time : times.time()) {
                int from = minutes(time.CLOCK(0).getSymbol(), 23 * 60 + 59);
                int to = minutes(time.CLOCK(1).getSymbol(), 24 * 60);
                if (from == to) {
                    throw bad(
                            time.CLOCK(1).getSymbol(),
                            "is where it begins; for the whole day leave the times out");
                }
                spans.add(new Hours.Span(from, to));
            }
        }
        return spans;
    }

    private static LocalDate date(Token token) throws Bad {
        try {
            return LocalDate.parse(token.getText());
        } catch (DateTimeException e) {
            throw bad(token, "is no date");
        }
    }

    private static int minutes(Token token, int most) throws Bad {
        String text = token.getText();
        int minutes =
                60 * Integer.parseInt(text.substring(0, 2)) + Integer.parseInt(text.substring(3));
        if (text.charAt(3) > '5' || minutes > most) {
            throw bad(token, "is no time of day");
        }
        return minutes;
    }

    private static Bad bad(Token token, String reason) {
        return new Bad(token.getCharPositionInLine() + 1, token.getText() + " " + reason);
    }
}
