package coralcove.sip;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads one message from bytes (RFC 3261 sections 7 and 25). Folded lines are unfolded, compact
 * names written out, Via and Route lists split into one field a value. Bounds: {@link #MOST_BYTES},
 * {@link #MOST_FIELDS}.
 */
public final class SipParser {
    /** Bytes: a datagram cannot be longer; a stream's message longer than this is cut off. */
    public static final int MOST_BYTES = 65_535;

    /** Fields: forty times what a call takes, and few enough to look through one by one. */
    public static final int MOST_FIELDS = 256;

    private static final Map<String, String> COMPACT =
            Map.ofEntries(
                    Map.entry("v", "Via"),
                    Map.entry("f", "From"),
                    Map.entry("t", "To"),
                    Map.entry("i", "Call-ID"),
                    Map.entry("m", "Contact"),
                    Map.entry("l", "Content-Length"),
                    Map.entry("c", "Content-Type"),
                    Map.entry("e", "Content-Encoding"),
                    Map.entry("s", "Subject"),
                    Map.entry("k", "Supported"),
                    Map.entry("o", "Event"),
                    Map.entry("u", "Allow-Events"));

    /** Names as this program writes them; a name read in any other case is written like this. */
    private static final String[] KNOWN = {
        "Via",
        "From",
        "To",
        "Call-ID",
        "CSeq",
        "Contact",
        "Route",
        "Record-Route",
        "Content-Length",
        "Max-Forwards",
        "Expires",
        "Content-Type",
        "Session-ID",
        "X-Service",
        "X-Far-End",
        "X-Origin",
        "X-Time-Left",
        "Supported",
        "Session-Expires",
        "Min-SE",
        "Reason",
        "Retry-After",
        "Event"
    };

    private static final String[][] BY_LENGTH = byLength();
    private static final boolean[] TOKEN = tokens();

    static final List<String> NEEDED = List.of("Via", "From", "To", "Call-ID", "CSeq");

    private SipParser() {}

    /**
     * Reads a whole datagram: the body is what follows the header, cut to Content-Length if there
     * is one.
     */
    public static SipMessage parse(byte[] data, int from, int length) throws BadMessage {
        return parse(data, from, length, true);
    }

    /**
     * The same where peers leave out From, To and Via by agreement, as on a trunk that matches by
     * Call-ID alone: the form of the message is read as strictly, but no header is asked for.
     */
    public static SipMessage parseBare(byte[] data) throws BadMessage {
        return parse(data, 0, data.length, false);
    }

    private static SipMessage parse(byte[] data, int from, int length, boolean whole)
            throws BadMessage {
        if (length > MOST_BYTES) {
            throw new BadMessage("longer than " + MOST_BYTES + " bytes", null);
        }
        int end = headerEnd(data, from, from + length);
        if (end < 0) {
            throw new BadMessage("the header does not end", null);
        }
        // A char a byte: what is not looked at crosses unchanged, also where it is no UTF-8.
        String head = new String(data, from, end - from, StandardCharsets.ISO_8859_1);
        int line = head.indexOf('\r');
        SipMessage message = startLine(line < 0 ? head : head.substring(0, line));
        String wrong = fields(head, line < 0 ? head.length() : line, message);
        int given = from + length - end;
        int wanted = given;
        String announced = message.header("Content-Length");
        if (announced != null) {
            wanted = contentLength(announced);
            if (wanted < 0 || wanted > given) {
                wrong =
                        wrong == null
                                ? "Content-Length " + announced + " but " + given + " bytes follow"
                                : wrong;
                wanted = 0;
            }
        }
        if (wanted > 0) {
            byte[] body = new byte[wanted];
            System.arraycopy(data, end, body, 0, wanted);
            message.rawBody(body);
        }
        if (announced == null && message.fields().size() >= MOST_FIELDS && wrong == null) {
            // It is written with a Content-Length, and would then be past the bound for whoever
            // reads it.
            wrong = "more than " + MOST_FIELDS + " header fields";
        }
        wrong = wrong == null && whole ? check(message) : wrong;
        if (wrong != null) {
            throw new BadMessage(wrong, message);
        }
        return message;
    }

    /** The index behind the empty line that ends the header, or -1. */
    static int headerEnd(byte[] data, int from, int to) {
        for (int i = from; i + 3 < to; i++) {
            if (data[i] == '\r'
                    && data[i + 1] == '\n'
                    && data[i + 2] == '\r'
                    && data[i + 3] == '\n') {
                return i + 4;
            }
        }
        return -1;
    }

    static int contentLength(String value) {
        try {
            int length = Integer.parseInt(value.strip());
            return length > MOST_BYTES ? -1 : length;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static SipMessage startLine(String line) throws BadMessage {
        if (line.startsWith("SIP/2.0 ")) {
            if (line.length() >= 11
                    && line.substring(8, 11).chars().allMatch(c -> c >= '0' && c <= '9')
                    && line.charAt(8) >= '1'
                    && line.charAt(8) <= '6'
                    && (line.length() == 11 || line.charAt(11) == ' ')) {
                return SipMessage.status(
                        Integer.parseInt(line.substring(8, 11)),
                        line.length() > 12 ? line.substring(12) : "");
            }
            throw new BadMessage("status line: " + cut(line), null);
        }
        int first = line.indexOf(' ');
        int last = line.lastIndexOf(' ');
        if (first <= 0
                || last <= first + 1
                || !line.substring(last + 1).equals("SIP/2.0")
                || !token(line.substring(0, first))
                || line.substring(first + 1, last).indexOf(' ') >= 0) {
            throw new BadMessage("request line: " + cut(line), null);
        }
        return SipMessage.request(line.substring(0, first), line.substring(first + 1, last));
    }

    private static String cut(String line) {
        return line.length() > 60 ? line.substring(0, 60) + "..." : line;
    }

    private static String fields(String head, int from, SipMessage message) {
        int at = from + 2;
        while (at < head.length()) {
            int end = head.indexOf("\r\n", at);
            if (end <= at) {
                return end < 0 ? "a header line does not end" : null;
            }
            int next = end + 2;
            StringBuilder folded = null;
            while (next < head.length()
                    && (head.charAt(next) == ' ' || head.charAt(next) == '\t')) {
                int stop = head.indexOf("\r\n", next);
                folded = folded == null ? new StringBuilder(head.substring(at, end)) : folded;
                folded.append(' ').append(trimmed(head, next, stop));
                next = stop + 2;
            }
            String line = folded == null ? head : folded.toString();
            int from0 = folded == null ? at : 0;
            int stop = folded == null ? end : line.length();
            int colon = line.indexOf(':', from0);
            int nameEnd = colon < 0 || colon >= stop ? -1 : colon;
            while (nameEnd > from0
                    && (line.charAt(nameEnd - 1) == ' ' || line.charAt(nameEnd - 1) == '\t')) {
                nameEnd--;
            }
            if (nameEnd < 0 || !token(line, from0, nameEnd)) {
                return "header line: " + cut(line.substring(from0, stop));
            }
            if (message.fields().size() >= MOST_FIELDS) {
                return "more than " + MOST_FIELDS + " header fields";
            }
            add(message, name(line, from0, nameEnd), trimmed(line, colon + 1, stop));
            if (message.fields().size() > MOST_FIELDS) {
                // A list that was cut at the bound would be written shorter than it was read.
                return "more than " + MOST_FIELDS + " header fields";
            }
            at = next;
        }
        return null;
    }

    private static void add(SipMessage message, String name, String value) {
        if (!name.equals("Via") && !name.equals("Route") && !name.equals("Record-Route")) {
            message.add(name, value);
            return;
        }
        int from = 0;
        while (from <= value.length() && message.fields().size() <= MOST_FIELDS) {
            int comma = Params.next(value, from, ',');
            message.add(name, trimmed(value, from, comma));
            from = comma + 1;
        }
    }

    private static String trimmed(String line, int from, int to) {
        int start = from;
        int end = to;
        while (start < end && (line.charAt(start) == ' ' || line.charAt(start) == '\t')) {
            start++;
        }
        while (end > start && (line.charAt(end - 1) == ' ' || line.charAt(end - 1) == '\t')) {
            end--;
        }
        return line.substring(start, end);
    }

    /** The name in full form: one of the known, written out, or as it stands. */
    private static String name(String line, int from, int to) {
        int length = to - from;
        if (length == 1) {
            String name = line.substring(from, to);
            return COMPACT.getOrDefault(name.toLowerCase(Locale.ROOT), name);
        }
        if (length < BY_LENGTH.length) {
            for (String known : BY_LENGTH[length]) {
                if (line.regionMatches(true, from, known, 0, length)) {
                    return known;
                }
            }
        }
        return line.substring(from, to);
    }

    private static String[][] byLength() {
        String[][] found = new String[20][];
        for (int length = 0; length < found.length; length++) {
            int wanted = length;
            found[length] =
                    java.util.Arrays.stream(KNOWN)
                            .filter(k -> k.length() == wanted)
                            .toArray(String[]::new);
        }
        return found;
    }

    private static boolean[] tokens() {
        boolean[] found = new boolean[128];
        for (char c = 0; c < found.length; c++) {
            found[c] =
                    c >= 'a' && c <= 'z'
                            || c >= 'A' && c <= 'Z'
                            || c >= '0' && c <= '9'
                            || "-.!%*_+`'~".indexOf(c) >= 0;
        }
        return found;
    }

    private static boolean token(String text) {
        return token(text, 0, text.length());
    }

    private static boolean token(String text, int from, int to) {
        for (int i = from; i < to; i++) {
            char c = text.charAt(i);
            if (c >= TOKEN.length || !TOKEN[c]) {
                return false;
            }
        }
        return to > from;
    }

    private static String check(SipMessage message) {
        for (String name : NEEDED) {
            if (message.header(name) == null) {
                return name + " is missing";
            }
        }
        long sequence = message.sequence();
        String cseq = message.header("CSeq");
        if (sequence < 0 || sequence > 0x7fffffffL) {
            return "CSeq: " + cut(cseq);
        }
        if (message.isRequest()
                && !cseq.substring(cseq.indexOf(' ') + 1).strip().equals(message.method())) {
            return "CSeq names another method: " + cut(cseq);
        }
        if (message.via() == null) {
            return "Via: " + cut(message.header("Via"));
        }
        if (message.callId().isEmpty() || message.fromTag().isEmpty()) {
            return "Call-ID or the tag of From is empty";
        }
        String forwards = message.header("Max-Forwards");
        if (forwards != null && (contentLength(forwards) < 0 || contentLength(forwards) > 255)) {
            return "Max-Forwards: " + cut(forwards);
        }
        return null;
    }
}
