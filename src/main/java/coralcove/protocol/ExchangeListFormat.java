package coralcove.protocol;

import coralcove.sources.DirectoryListing;
import coralcove.sources.Liveness;
import java.util.ArrayList;
import java.util.List;

/**
 * Text format of a directory's exchange list, as sent in the body of a NOTIFY. The first line is
 * "epoch E version V whole|learning|changes [after M]". Each further line describes one exchange as
 * "id number ready|draining|silent|left start beat age address", with the age in µs, or "-" if it
 * started long ago.
 */
public final class ExchangeListFormat {
    private static final int FIELDS = 7;

    private ExchangeListFormat() {}

    /**
     * Reads a complete list.
     *
     * @throws IllegalArgumentException if any part is malformed; the rest is then not used either
     */
    public static DirectoryListing parse(String text) {
        List<String> textLines = text.lines().toList();
        String[] header = textLines.isEmpty() ? new String[0] : textLines.get(0).split(" ");
        if (header.length < 5
                || !header[0].equals("epoch")
                || !header[1].matches("[0-9a-z]{1,32}")
                || !header[2].equals("version")) {
            throw new IllegalArgumentException("the first line is not \"epoch E version V KIND\"");
        }
        DirectoryListing.Kind kind =
                switch (header[4]) {
                    case "whole" -> DirectoryListing.Kind.WHOLE;
                    case "learning" -> DirectoryListing.Kind.LEARNING;
                    case "changes" -> DirectoryListing.Kind.CHANGES;
                    default ->
                            throw new IllegalArgumentException(
                                    "\"" + header[4] + "\" is not a kind of list");
                };
        if (kind == DirectoryListing.Kind.CHANGES
                && (header.length != 7 || !header[5].equals("after"))) {
            throw new IllegalArgumentException("a list of changes needs \"after M\"");
        }
        long after = kind == DirectoryListing.Kind.CHANGES ? parseCount(header[6]) : 0;
        List<DirectoryListing.Entry> lines = new ArrayList<>();
        for (String textLine : textLines.subList(1, textLines.size())) {
            lines.add(parseLine(textLine));
        }
        return new DirectoryListing(header[1], parseCount(header[3]), kind, after, lines);
    }

    /**
     * Reads the line of one exchange.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    public static DirectoryListing.Entry parseLine(String text) {
        String[] parts = text.split(" ");
        if (parts.length != FIELDS
                || !parts[1].matches("\\d{1,5}")
                || !parts[2].matches("ready|draining|silent|left")
                || !parts[6].matches("(udp|tcp):.+:\\d{1,5}")) {
            throw new IllegalArgumentException("a line of an exchange is malformed");
        }
        long beat = parseCount(parts[4]);
        Liveness life =
                new Liveness(
                        parseCount(parts[3]),
                        beat,
                        parts[2].equals("draining"),
                        parts[2].equals("silent") ? beat : Liveness.NOT_SILENT,
                        parts[2].equals("left"),
                        Integer.parseInt(parts[1]),
                        parts[6]);
        return new DirectoryListing.Entry(
                parseCount(parts[0]),
                life,
                parts[5].equals("-") ? DirectoryListing.LONG_AGO : parseCount(parts[5]));
    }

    private static long parseCount(String text) {
        if (!text.matches("\\d{1,18}")) {
            throw new IllegalArgumentException("not a number of up to 18 digits");
        }
        return Long.parseLong(text);
    }

    /** Returns the first line of a list; {@code after} counts only for changes. */
    public static String formatHeader(
            String epoch, long version, DirectoryListing.Kind kind, long after) {
        return "epoch "
                + epoch
                + " version "
                + version
                + switch (kind) {
                    case WHOLE -> " whole\n";
                    case LEARNING -> " learning\n";
                    case CHANGES -> " changes after " + after + "\n";
                };
    }

    /**
     * Returns the line of one exchange; {@code age} is in µs or {@link DirectoryListing#LONG_AGO}.
     */
    public static String formatLine(
            long id, int number, String phase, long start, long beat, long age, String address) {
        return id
                + " "
                + number
                + " "
                + phase
                + " "
                + start
                + " "
                + beat
                + " "
                + (age == DirectoryListing.LONG_AGO ? "-" : Long.toString(age))
                + " "
                + address;
    }
}
