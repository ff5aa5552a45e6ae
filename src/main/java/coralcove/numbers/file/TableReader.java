package coralcove.numbers.file;

import coralcove.numbers.Destination;
import coralcove.numbers.Digits;
import coralcove.numbers.NumberTable;
import coralcove.numbers.OpeningHours;
import coralcove.numbers.PrefixTrie;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Reads a number table, or a set of changes to one, from a text file with one statement per line
 * (docs/numbers.md). The last line states the number of prefixes or changes, so that a truncated
 * file is detected. Errors name the line.
 */
public final class TableReader {
    /** Thrown for a file that is not valid; the message begins with file and line. */
    public static final class InvalidTableException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidTableException(String file, int line, String reason) {
            super(file + ":" + line + ": " + reason);
        }
    }

    /**
     * The changes of one file, which turn version {@code baseVersion} into version {@code version}.
     */
    public record TableChanges(
            long baseVersion, long version, List<NumberTable.PrefixChange> changes) {}

    /** Characters per line. */
    private static final int MAX_LINE_LENGTH = 1000;

    /** As many prefixes as the trie's array can hold with room for edits. */
    private static final int MAX_PREFIXES = 20_000_000;

    private static final int MAX_FAR_END = 65_535;
    private static final int MAX_SERVICE = 63;

    private final String file;
    private final IntPredicate knownFarEnds;

    /** The number of the line read last, from 1. */
    private int lineNumber;

    private final Set<LocalDate> holidays = new HashSet<>();
    private final Map<String, OpeningHours> calendars = new LinkedHashMap<>();

    /** The trie value of service distinct destination, from 1 in the order of first use. */
    private final Map<Destination, Integer> destinationValues = new HashMap<>();

    /** Destinations already parsed, by their text. */
    private final Map<String, Destination> destinationsByText = new HashMap<>();

    private TableReader(String file, IntPredicate knownFarEnds) {
        this.file = file;
        this.knownFarEnds = knownFarEnds;
    }

    /** Reads a complete table; {@code knownFarEnds} accepts the far ends that may be used. */
    public static NumberTable readTable(Path path, IntPredicate knownFarEnds)
            throws IOException, InvalidTableException {
        try (BufferedReader in = Files.newBufferedReader(path)) {
            return readTable(path.getFileName().toString(), in, knownFarEnds);
        }
    }

    /** As {@link #readTable(Path, IntPredicate)}, with a file name for error messages. */
    public static NumberTable readTable(String file, BufferedReader in, IntPredicate knownFarEnds)
            throws IOException, InvalidTableException {
        return new TableReader(file, knownFarEnds).readTable(in);
    }

    /** Reads changes to {@code base}, whose calendars they may use. */
    public static TableChanges readChanges(Path path, NumberTable base, IntPredicate knownFarEnds)
            throws IOException, InvalidTableException {
        try (BufferedReader in = Files.newBufferedReader(path)) {
            return readChanges(path.getFileName().toString(), in, base, knownFarEnds);
        }
    }

    /**
     * As {@link #readChanges(Path, NumberTable, IntPredicate)}, with a file name for error
     * messages.
     */
    public static TableChanges readChanges(
            String file, BufferedReader in, NumberTable base, IntPredicate knownFarEnds)
            throws IOException, InvalidTableException {
        TableReader reader = new TableReader(file, knownFarEnds);
        reader.calendars.putAll(base.calendars());
        return reader.readChanges(in);
    }

    private NumberTable readTable(BufferedReader in) throws IOException, InvalidTableException {
        String[] header = words(nextStatement(in));
        if (header.length != 2 || !header[0].equals("table")) {
            throw invalid("begins with 'table VERSION'");
        }
        long version = parseInteger(header[1], 1, Long.MAX_VALUE);
        List<NumberTable.DialingRule> rules = new ArrayList<>();
        long[] keys = new long[1024];
        int[] values = new int[1024];
        int[] lines = new int[1024];
        int count = 0;
        while (true) {
            String text = nextStatement(in);
            char first = text.charAt(0);
            if (first >= '0' && first <= '9' || first == '*') {
                if (count == MAX_PREFIXES) {
                    throw invalid("more than " + MAX_PREFIXES + " prefixes");
                }
                if (count == keys.length) {
                    keys = Arrays.copyOf(keys, 2 * count);
                    values = Arrays.copyOf(values, 2 * count);
                    lines = Arrays.copyOf(lines, 2 * count);
                }
                int space = text.indexOf(' ');
                keys[count] = parsePrefix(space < 0 ? text : text.substring(0, space));
                values[count] =
                        destinationValue(space < 0 ? "" : text.substring(space + 1).strip());
                lines[count++] = lineNumber;
                continue;
            }
            String[] words = words(text);
            if (words[0].equals("end")) {
                if (words.length != 2 || parseInteger(words[1], 0, MAX_PREFIXES) != count) {
                    throw invalid(
                            "counts "
                                    + text.substring(3).strip()
                                    + " prefixes where there are "
                                    + count);
                }
                break;
            }
            parseDeclaration(words, text, rules);
        }
        requireEndOfFile(in);
        return new NumberTable(
                version,
                List.copyOf(rules),
                Map.copyOf(calendars),
                buildTrie(keys, values, lines, count),
                destinationArray(),
                destinationValues.size() + 1);
    }

    private void parseDeclaration(String[] words, String text, List<NumberTable.DialingRule> rules)
            throws InvalidTableException {
        switch (words[0]) {
            case "holidays" -> {
                for (String day : Arrays.asList(words).subList(1, words.length)) {
                    try {
                        holidays.add(LocalDate.parse(day));
                    } catch (DateTimeException e) {
                        throw invalid(day + " is no date");
                    }
                }
            }
            case "calendar" -> parseCalendar(words, text);
            case "rule" -> rules.add(parseRule(words));
            default -> throw invalid("'" + words[0] + "' is no statement");
        }
    }

    private void parseCalendar(String[] words, String text) throws InvalidTableException {
        if (words.length < 4) {
            throw invalid("a calendar is 'calendar NAME ZONE HOURS'");
        }
        if (calendars.containsKey(words[1])) {
            throw invalid("calendar " + words[1] + " is there twice");
        }
        int column =
                text.indexOf(words[2], text.indexOf(words[1], 8) + words[1].length())
                        + words[2].length();
        while (text.charAt(column) == ' ') {
            column++;
        }
        try {
            calendars.put(
                    words[1],
                    OpeningHoursParser.parse(
                            text.substring(column), ZoneId.of(words[2]), holidays));
        } catch (OpeningHoursParser.InvalidHoursException e) {
            throw invalid("column " + (column + e.column()) + ": " + e.reason());
        } catch (DateTimeException e) {
            throw invalid(words[2] + " is no time zone");
        }
    }

    /** Parses "rule 010 -> +" or "rule 5-8 digits -> +8111". */
    private NumberTable.DialingRule parseRule(String[] words) throws InvalidTableException {
        int arrow = Arrays.asList(words).indexOf("->");
        String replacement = arrow == words.length - 2 ? words[arrow + 1] : "";
        if (!replacement.matches("\\+?\\d{0,15}")
                || replacement.isEmpty()
                || arrow < 2
                || arrow > 3) {
            throw invalid("a rule is 'rule BEGINS -> PUT' or 'rule 5-8 digits -> PUT'");
        }
        if (arrow == 2 && words[1].matches("\\d{1,15}")) {
            return new NumberTable.DialingRule(words[1], 0, 0, replacement);
        }
        String[] bounds = words[1].split("-");
        if (arrow != 3 || !words[2].equals("digits") || bounds.length != 2) {
            throw invalid("a rule is 'rule BEGINS -> PUT' or 'rule 5-8 digits -> PUT'");
        }
        int minDigits = (int) parseInteger(bounds[0], 1, Digits.MAX_LENGTH);
        return new NumberTable.DialingRule(
                null,
                minDigits,
                (int) parseInteger(bounds[1], minDigits, Digits.MAX_LENGTH),
                replacement);
    }

    private TableChanges readChanges(BufferedReader in) throws IOException, InvalidTableException {
        String[] header = words(nextStatement(in));
        if (header.length != 4 || !header[0].equals("changes") || !header[2].equals("after")) {
            throw invalid("begins with 'changes VERSION after VERSION'");
        }
        long version = parseInteger(header[1], 1, Long.MAX_VALUE);
        long baseVersion = parseInteger(header[3], 1, version - 1);
        List<NumberTable.PrefixChange> changes = new ArrayList<>();
        Set<Long> seen = new HashSet<>();
        while (true) {
            String text = nextStatement(in);
            String[] words = words(text);
            if (words[0].equals("end")) {
                if (words.length != 2
                        || parseInteger(words[1], 0, MAX_PREFIXES) != changes.size()) {
                    throw invalid(
                            "counts "
                                    + text.substring(3).strip()
                                    + " changes where there are "
                                    + changes.size());
                }
                requireEndOfFile(in);
                return new TableChanges(baseVersion, version, changes);
            }
            if (words.length < 2 || !words[0].equals("put") && !words[0].equals("drop")) {
                throw invalid("'" + words[0] + "' is no statement");
            }
            long key = parsePrefix(words[1]);
            if (!seen.add(key)) {
                throw invalid("prefix " + words[1] + " is there twice");
            }
            String rest =
                    text.substring(text.indexOf(words[1], words[0].length()) + words[1].length())
                            .strip();
            if (words[0].equals("drop") && !rest.isEmpty()) {
                throw invalid("drop takes nothing behind the prefix");
            }
            changes.add(
                    new NumberTable.PrefixChange(
                            key, words[0].equals("drop") ? null : parseDestination(rest, true)));
        }
    }

    // Lines and words.

    /** The next line that is not blank, without its comment. */
    private String nextStatement(BufferedReader in) throws IOException, InvalidTableException {
        while (true) {
            String text = in.readLine();
            lineNumber++;
            if (text == null) {
                throw invalid("the file is cut short: it has no 'end' line");
            }
            if (text.length() > MAX_LINE_LENGTH) {
                throw invalid("is longer than " + MAX_LINE_LENGTH + " characters");
            }
            int comment = text.indexOf('#');
            text = (comment < 0 ? text : text.substring(0, comment)).strip();
            if (!text.isEmpty()) {
                return text;
            }
        }
    }

    private void requireEndOfFile(BufferedReader in) throws IOException, InvalidTableException {
        for (String text = in.readLine(); text != null; text = in.readLine()) {
            lineNumber++;
            if (!text.isBlank()) {
                throw invalid("something stands behind the end");
            }
        }
    }

    private static String[] words(String text) {
        return text.split("\\s+");
    }

    private InvalidTableException invalid(String reason) {
        return new InvalidTableException(file, lineNumber, reason);
    }

    private long parseInteger(String text, long min, long max) throws InvalidTableException {
        try {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below together with the bounds.
        }
        throw invalid(text + " is no whole number from " + min + " to " + max);
    }

    private long parsePrefix(String text) throws InvalidTableException {
        try {
            return text.equals("*") ? 0 : Digits.pack(text);
        } catch (IllegalArgumentException e) {
            throw invalid("prefix " + text + " " + e.getMessage());
        }
    }

    // Destinations.

    /** The trie value of the destination with this text. */
    private int destinationValue(String text) throws InvalidTableException {
        Destination destination = destinationsByText.get(text);
        if (destination == null) {
            destination = parseDestination(text, true);
            // Repeated texts are parsed once. Texts of changed numbers rarely repeat and would only
            // fill the map.
            if (!(destination instanceof Destination.Changed)) {
                destinationsByText.put(text, destination);
            }
        }
        Integer value = destinationValues.get(destination);
        if (value == null) {
            value = destinationValues.size() + 1;
            destinationValues.put(destination, value);
        }
        return value;
    }

    private Destination[] destinationArray() {
        Destination[] array = new Destination[destinationValues.size() + 1];
        destinationValues.forEach((destination, value) -> array[value] = destination);
        return array;
    }

    private Destination parseDestination(String text, boolean hoursAllowed)
            throws InvalidTableException {
        String[] words = words(text);
        switch (words[0]) {
            case "to" -> {
                if (words.length != 2 && (words.length != 4 || !words[2].equals("services"))) {
                    throw invalid("'to FAR_END' or 'to FAR_END services 0,1'");
                }
                List<Integer> services = new ArrayList<>();
                for (String service : words.length == 2 ? new String[0] : words[3].split(",")) {
                    services.add((int) parseInteger(service, 0, MAX_SERVICE));
                }
                return new Destination.FarEnd(parseFarEnd(words[1]), List.copyOf(services));
            }
            case "unallocated", "blocked" -> {
                if (words.length != 1) {
                    throw invalid("nothing stands behind " + words[0]);
                }
                return words[0].equals("blocked")
                        ? new Destination.Blocked()
                        : new Destination.Unallocated();
            }
            case "changed" -> {
                if (words.length != 2 || !words[1].matches("\\+?\\d{1,15}")) {
                    throw invalid("'changed NUMBER'");
                }
                return new Destination.Changed(words[1]);
            }
            case "ported" -> {
                if (words.length != 2) {
                    throw invalid("'ported DONOR'");
                }
                return new Destination.Ported(parseFarEnd(words[1]));
            }
            case "hours" -> {
                if (!hoursAllowed) {
                    throw invalid("hours within hours");
                }
                return parseByHours(text.substring("hours".length()).strip());
            }
            default -> throw invalid("'" + words[0] + "' is no destination");
        }
    }

    /** Parses "office to 7; night to 9; else unallocated". */
    private Destination parseByHours(String text) throws InvalidTableException {
        List<Destination.CalendarRoute> routes = new ArrayList<>();
        Destination otherwise = null;
        for (String part : text.split(";")) {
            String[] words = part.strip().split("\\s+", 2);
            if (words.length != 2 || otherwise != null) {
                throw invalid("'hours CALENDAR DESTINATION; ... else DESTINATION'");
            }
            Destination destination = parseDestination(words[1], false);
            if (words[0].equals("else")) {
                otherwise = destination;
            } else if (!calendars.containsKey(words[0])) {
                throw invalid("there is no calendar " + words[0] + " above");
            } else {
                routes.add(new Destination.CalendarRoute(words[0], destination));
            }
        }
        return new Destination.ByHours(List.copyOf(routes), otherwise);
    }

    private int parseFarEnd(String text) throws InvalidTableException {
        int number = (int) parseInteger(text, 0, MAX_FAR_END);
        if (!knownFarEnds.test(number)) {
            throw invalid("far end " + number + " is not in the directory");
        }
        return number;
    }

    // Sorting.

    /** Builds the trie from prefixes in any order; most files are sorted already. */
    private PrefixTrie buildTrie(long[] keys, int[] values, int[] lines, int count)
            throws InvalidTableException {
        boolean sorted = true;
        for (int i = 1; sorted && i < count; i++) {
            sorted = keys[i] > keys[i - 1];
        }
        if (sorted) {
            return PrefixTrie.of(keys, values, count);
        }
        Integer[] order = new Integer[count];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, (a, b) -> Long.compare(keys[a], keys[b]));
        long[] sortedKeys = new long[count];
        int[] sortedValues = new int[count];
        for (int i = 0; i < count; i++) {
            sortedKeys[i] = keys[order[i]];
            sortedValues[i] = values[order[i]];
            if (i > 0 && sortedKeys[i] == sortedKeys[i - 1]) {
                lineNumber = Math.max(lines[order[i]], lines[order[i - 1]]);
                throw invalid(
                        "prefix "
                                + (sortedKeys[i] == 0 ? "*" : Digits.unpack(sortedKeys[i]))
                                + " is there twice, first in line "
                                + Math.min(lines[order[i]], lines[order[i - 1]]));
            }
        }
        return PrefixTrie.of(sortedKeys, sortedValues, count);
    }
}
