package coralcove.protocol;

import coralcove.sources.Life;
import coralcove.sources.Listing;
import java.util.ArrayList;
import java.util.List;

/**
 * What a directory says, as the body of a NOTIFY: a first line "epoch E version V
 * whole|learning|changes [after M]", then a line a machine, "id number ready|draining|silent|left
 * start beat age address", age in µs, "-" for long ago.
 */
public final class ListingText {
    private static final int FIELDS = 7;

    private ListingText() {}

    /**
     * Throws IllegalArgumentException where any of it cannot be read: nothing of it counts then.
     */
    public static Listing read(String text) {
        List<String> all = text.lines().toList();
        String[] first = all.isEmpty() ? new String[0] : all.get(0).split(" ");
        if (first.length < 5
                || !first[0].equals("epoch")
                || !first[1].matches("[0-9a-z]{1,32}")
                || !first[2].equals("version")) {
            throw new IllegalArgumentException("the first line is not \"epoch E version V KIND\"");
        }
        Listing.Kind kind =
                switch (first[4]) {
                    case "whole" -> Listing.Kind.WHOLE;
                    case "learning" -> Listing.Kind.LEARNING;
                    case "changes" -> Listing.Kind.CHANGES;
                    default ->
                            throw new IllegalArgumentException(
                                    "\"" + first[4] + "\" is no kind of list");
                };
        if (kind == Listing.Kind.CHANGES && (first.length != 7 || !first[5].equals("after"))) {
            throw new IllegalArgumentException("changes after what?");
        }
        long after = kind == Listing.Kind.CHANGES ? count(first[6]) : 0;
        List<Listing.Line> lines = new ArrayList<>();
        for (String each : all.subList(1, all.size())) {
            lines.add(line(each));
        }
        return new Listing(first[1], count(first[3]), kind, after, lines);
    }

    public static Listing.Line line(String text) {
        String[] parts = text.split(" ");
        if (parts.length != FIELDS
                || !parts[1].matches("\\d{1,5}")
                || !parts[2].matches("ready|draining|silent|left")
                || !parts[6].matches("(udp|tcp):.+:\\d{1,5}")) {
            throw new IllegalArgumentException("a line of a machine cannot be read");
        }
        long beat = count(parts[4]);
        Life life =
                new Life(
                        count(parts[3]),
                        beat,
                        parts[2].equals("draining"),
                        parts[2].equals("silent") ? beat : Life.HEARD,
                        parts[2].equals("left"),
                        Integer.parseInt(parts[1]),
                        parts[6]);
        return new Listing.Line(
                count(parts[0]), life, parts[5].equals("-") ? Listing.LONG_AGO : count(parts[5]));
    }

    private static long count(String text) {
        if (!text.matches("\\d{1,18}")) {
            throw new IllegalArgumentException("no number of up to 18 digits where one must be");
        }
        return Long.parseLong(text);
    }

    public static String head(String epoch, long version, Listing.Kind kind, long after) {
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

    public static String text(
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
                + (age == Listing.LONG_AGO ? "-" : Long.toString(age))
                + " "
                + address;
    }
}
