package coralcove.numbers.file;

import coralcove.numbers.Destination;
import coralcove.numbers.Digits;
import coralcove.numbers.Hours;
import coralcove.numbers.NumberTable;
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
 * Reads a table of numbers, or the changes to one, from a text file of one statement a line;
 * docs/numbers.md has them all. The last line counts the prefixes or changes, so that a file cut
 * short is seen. A bad file names its line.
 */
public final class TableReader {
    /** A file that is no table; the message begins with file and line. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1;

        Bad(String file, int line, String reason) {
            super(file + ":" + line + ": " + reason);
        }
    }

    /** The changes of one file: from which version to which. */
    public record Changes(long after, long version, List<NumberTable.Change> list) {}

    /** Characters of a line at most. */
    private static final int LONGEST_LINE = 1000;

    /** Prefixes at most, as many as the trie's array can hold with room for edits. */
    private static final int MOST_PREFIXES = 20_000_000;

    private static final int MOST_FAR_END = 65_535;
    private static final int MOST_SERVICE = 63;

    private final String file;
    private final IntPredicate known;
    private int line;
    private final Set<LocalDate> holidays = new HashSet<>();
    private final Map<String, Hours> calendars = new LinkedHashMap<>();
    private final Map<Destination, Integer> values = new HashMap<>();
    private final Map<String, Destination> read = new HashMap<>();

    private TableReader(String file, IntPredicate known) {
        this.file = file;
        this.known = known;
    }

    /** A whole table; {@code known} tells which far ends the directory has. */
    public static NumberTable table(Path path, IntPredicate known) throws IOException, Bad {
        try (BufferedReader in = Files.newBufferedReader(path)) {
            return table(path.getFileName().toString(), in, known);
        }
    }

    public static NumberTable table(String file, BufferedReader in, IntPredicate known)
            throws IOException, Bad {
        return new TableReader(file, known).table(in);
    }

    /** Changes to be made to {@code base}. */
    public static Changes changes(Path path, NumberTable base, IntPredicate known)
            throws IOException, Bad {
        try (BufferedReader in = Files.newBufferedReader(path)) {
            return changes(path.getFileName().toString(), in, base, known);
        }
    }

    public static Changes changes(
            String file, BufferedReader in, NumberTable base, IntPredicate known)
            throws IOException, Bad {
        TableReader reader = new TableReader(file, known);
        reader.calendars.putAll(base.calendars());
        return reader.changes(in);
    }

    private NumberTable table(BufferedReader in) throws IOException, Bad {
        String[] first = words(next(in));
        if (first.length != 2 || !first[0].equals("table")) {
            throw bad("begins with 'table VERSION'");
        }
        long version = whole(first[1], 1, Long.MAX_VALUE);
        List<NumberTable.Rule> rules = new ArrayList<>();
        long[] keys = new long[1024];
        int[] found = new int[1024];
        int[] lines = new int[1024];
        int count = 0;
        while (true) {
            String text = next(in);
            char c = text.charAt(0);
            if (c >= '0' && c <= '9' || c == '*') {
                if (count == MOST_PREFIXES) {
                    throw bad("more than " + MOST_PREFIXES + " prefixes");
                }
                if (count == keys.length) {
                    keys = Arrays.copyOf(keys, 2 * count);
                    found = Arrays.copyOf(found, 2 * count);
                    lines = Arrays.copyOf(lines, 2 * count);
                }
                int space = text.indexOf(' ');
                keys[count] = prefix(space < 0 ? text : text.substring(0, space));
                found[count] = value(space < 0 ? "" : text.substring(space + 1).strip());
                lines[count++] = line;
                continue;
            }
            String[] words = words(text);
            if (words[0].equals("end")) {
                if (words.length != 2 || whole(words[1], 0, MOST_PREFIXES) != count) {
                    throw bad(
                            "counts "
                                    + text.substring(3).strip()
                                    + " prefixes where there are "
                                    + count);
                }
                break;
            }
            head(words, text, rules);
        }
        nothingBehind(in);
        return new NumberTable(
                version,
                List.copyOf(rules),
                Map.copyOf(calendars),
                sorted(keys, found, lines, count),
                destinations(),
                values.size() + 1);
    }

    private void head(String[] words, String text, List<NumberTable.Rule> rules) throws Bad {
        switch (words[0]) {
            case "holidays" -> {
                for (String day : Arrays.asList(words).subList(1, words.length)) {
                    try {
                        holidays.add(LocalDate.parse(day));
                    } catch (DateTimeException e) {
                        throw bad(day + " is no date");
                    }
                }
            }
            case "calendar" -> calendar(words, text);
            case "rule" -> rules.add(rule(words));
            default -> throw bad("'" + words[0] + "' is no statement");
        }
    }

    private void calendar(String[] words, String text) throws Bad {
        if (words.length < 4) {
            throw bad("a calendar is 'calendar NAME ZONE HOURS'");
        }
        if (calendars.containsKey(words[1])) {
            throw bad("calendar " + words[1] + " is there twice");
        }
        int at =
                text.indexOf(words[2], text.indexOf(words[1], 8) + words[1].length())
                        + words[2].length();
        while (text.charAt(at) == ' ') {
            at++;
        }
        try {
            calendars.put(
                    words[1], HoursReader.read(text.substring(at), ZoneId.of(words[2]), holidays));
        } catch (HoursReader.Bad e) {
            throw bad("column " + (at + e.column()) + ": " + e.reason());
        } catch (DateTimeException e) {
            throw bad(words[2] + " is no time zone");
        }
    }

    /** "rule 010 -> +" or "rule 5-8 digits -> +8111". */
    private NumberTable.Rule rule(String[] words) throws Bad {
        int arrow = Arrays.asList(words).indexOf("->");
        String put = arrow == words.length - 2 ? words[arrow + 1] : "";
        if (!put.matches("\\+?\\d{0,15}") || put.isEmpty() || arrow < 2 || arrow > 3) {
            throw bad("a rule is 'rule BEGINS -> PUT' or 'rule 5-8 digits -> PUT'");
        }
        if (arrow == 2 && words[1].matches("\\d{1,15}")) {
            return new NumberTable.Rule(words[1], 0, 0, put);
        }
        String[] bounds = words[1].split("-");
        if (arrow != 3 || !words[2].equals("digits") || bounds.length != 2) {
            throw bad("a rule is 'rule BEGINS -> PUT' or 'rule 5-8 digits -> PUT'");
        }
        int least = (int) whole(bounds[0], 1, Digits.MOST);
        return new NumberTable.Rule(null, least, (int) whole(bounds[1], least, Digits.MOST), put);
    }

    private Changes changes(BufferedReader in) throws IOException, Bad {
        String[] first = words(next(in));
        if (first.length != 4 || !first[0].equals("changes") || !first[2].equals("after")) {
            throw bad("begins with 'changes VERSION after VERSION'");
        }
        long version = whole(first[1], 1, Long.MAX_VALUE);
        long after = whole(first[3], 1, version - 1);
        List<NumberTable.Change> list = new ArrayList<>();
        Set<Long> seen = new HashSet<>();
        while (true) {
            String text = next(in);
            String[] words = words(text);
            if (words[0].equals("end")) {
                if (words.length != 2 || whole(words[1], 0, MOST_PREFIXES) != list.size()) {
                    throw bad(
                            "counts "
                                    + text.substring(3).strip()
                                    + " changes where there are "
                                    + list.size());
                }
                nothingBehind(in);
                return new Changes(after, version, list);
            }
            if (words.length < 2 || !words[0].equals("put") && !words[0].equals("drop")) {
                throw bad("'" + words[0] + "' is no statement");
            }
            long key = prefix(words[1]);
            if (!seen.add(key)) {
                throw bad("prefix " + words[1] + " is there twice");
            }
            String rest =
                    text.substring(text.indexOf(words[1], words[0].length()) + words[1].length())
                            .strip();
            if (words[0].equals("drop") && !rest.isEmpty()) {
                throw bad("drop takes nothing behind the prefix");
            }
            list.add(
                    new NumberTable.Change(
                            key, words[0].equals("drop") ? null : destination(rest, true)));
        }
    }

    // ---- lines and words

    /** The next line that says something, its comment cut off. */
    private String next(BufferedReader in) throws IOException, Bad {
        while (true) {
            String text = in.readLine();
            line++;
            if (text == null) {
                throw bad("the file is cut short: it has no 'end' line");
            }
            if (text.length() > LONGEST_LINE) {
                throw bad("is longer than " + LONGEST_LINE + " characters");
            }
            int comment = text.indexOf('#');
            text = (comment < 0 ? text : text.substring(0, comment)).strip();
            if (!text.isEmpty()) {
                return text;
            }
        }
    }

    private void nothingBehind(BufferedReader in) throws IOException, Bad {
        for (String text = in.readLine(); text != null; text = in.readLine()) {
            line++;
            if (!text.isBlank()) {
                throw bad("something stands behind the end");
            }
        }
    }

    private static String[] words(String text) {
        return text.split("\\s+");
    }

    private Bad bad(String reason) {
        return new Bad(file, line, reason);
    }

    private long whole(String text, long least, long most) throws Bad {
        try {
            long value = Long.parseLong(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, with the bounds.
        }
        throw bad(text + " is no whole number from " + least + " to " + most);
    }

    private long prefix(String text) throws Bad {
        try {
            return text.equals("*") ? 0 : Digits.pack(text);
        } catch (IllegalArgumentException e) {
            throw bad("prefix " + text + " " + e.getMessage());
        }
    }

    // ---- destinations

    private int value(String text) throws Bad {
        Destination to = read.get(text);
        if (to == null) {
            to = destination(text, true);
            // Texts that come again are read once; those of changed numbers each come once and
            // would fill the map.
            if (!(to instanceof Destination.Changed)) {
                read.put(text, to);
            }
        }
        Integer value = values.get(to);
        if (value == null) {
            value = values.size() + 1;
            values.put(to, value);
        }
        return value;
    }

    private Destination[] destinations() {
        Destination[] all = new Destination[values.size() + 1];
        values.forEach((destination, value) -> all[value] = destination);
        return all;
    }

    private Destination destination(String text, boolean hours) throws Bad {
        String[] words = words(text);
        switch (words[0]) {
            case "to" -> {
                if (words.length != 2 && (words.length != 4 || !words[2].equals("services"))) {
                    throw bad("'to FAR_END' or 'to FAR_END services 0,1'");
                }
                List<Integer> services = new ArrayList<>();
                for (String each : words.length == 2 ? new String[0] : words[3].split(",")) {
                    services.add((int) whole(each, 0, MOST_SERVICE));
                }
                return new Destination.FarEnd(farEnd(words[1]), List.copyOf(services));
            }
            case "unallocated", "blocked" -> {
                if (words.length != 1) {
                    throw bad("nothing stands behind " + words[0]);
                }
                return words[0].equals("blocked")
                        ? new Destination.Blocked()
                        : new Destination.Unallocated();
            }
            case "changed" -> {
                if (words.length != 2 || !words[1].matches("\\+?\\d{1,15}")) {
                    throw bad("'changed NUMBER'");
                }
                return new Destination.Changed(words[1]);
            }
            case "ported" -> {
                if (words.length != 2) {
                    throw bad("'ported DONOR'");
                }
                return new Destination.Ported(farEnd(words[1]));
            }
            case "hours" -> {
                if (!hours) {
                    throw bad("hours within hours");
                }
                return byHours(text.substring("hours".length()).strip());
            }
            default -> throw bad("'" + words[0] + "' is no destination");
        }
    }

    /** "office to 7; night to 9; else unallocated". */
    private Destination byHours(String text) throws Bad {
        List<Destination.Choice> choices = new ArrayList<>();
        Destination otherwise = null;
        for (String part : text.split(";")) {
            String[] words = part.strip().split("\\s+", 2);
            if (words.length != 2 || otherwise != null) {
                throw bad("'hours CALENDAR DESTINATION; ... else DESTINATION'");
            }
            Destination to = destination(words[1], false);
            if (words[0].equals("else")) {
                otherwise = to;
            } else if (!calendars.containsKey(words[0])) {
                throw bad("there is no calendar " + words[0] + " above");
            } else {
                choices.add(new Destination.Choice(words[0], to));
            }
        }
        return new Destination.ByHours(List.copyOf(choices), otherwise);
    }

    private int farEnd(String text) throws Bad {
        int number = (int) whole(text, 0, MOST_FAR_END);
        if (!known.test(number)) {
            throw bad("far end " + number + " is not in the directory");
        }
        return number;
    }

    // ---- order

    /** Files come in any order; most are sorted already. */
    private PrefixTrie sorted(long[] keys, int[] found, int[] lines, int count) throws Bad {
        boolean sorted = true;
        for (int i = 1; sorted && i < count; i++) {
            sorted = keys[i] > keys[i - 1];
        }
        if (sorted) {
            return PrefixTrie.of(keys, found, count);
        }
        Integer[] order = new Integer[count];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, (a, b) -> Long.compare(keys[a], keys[b]));
        long[] rising = new long[count];
        int[] values = new int[count];
        for (int i = 0; i < count; i++) {
            rising[i] = keys[order[i]];
            values[i] = found[order[i]];
            if (i > 0 && rising[i] == rising[i - 1]) {
                line = Math.max(lines[order[i]], lines[order[i - 1]]);
                throw bad(
                        "prefix "
                                + (rising[i] == 0 ? "*" : Digits.text(rising[i]))
                                + " is there twice, first in line "
                                + Math.min(lines[order[i]], lines[order[i - 1]]));
            }
        }
        return PrefixTrie.of(rising, values, count);
    }
}
