package coralcove.sip;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads one message from bytes (RFC 3261 sections 7 and 25). Folded lines are unfolded, compact
 * names written out, Via and Route lists split into one field a value. Bounds: {@link
 * #MAX_MESSAGE_BYTES}, {@link #MAX_HEADER_FIELDS}.
 */
public final class SipParser {
    /** Bytes: a datagram cannot be longer; a stream's message longer than this is cut off. */
    public static final int MAX_MESSAGE_BYTES = 65_535;

    /** Fields: forty times what a call takes, and few enough to look through one by one. */
    public static final int MAX_HEADER_FIELDS = 256;

    private static final Map<String, String> COMPACT_FORMS =
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
    private static final String[] KNOWN_NAMES = {
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

    private static final String[][] KNOWN_NAMES_BY_LENGTH = groupByLength();
    private static final boolean[] TOKEN_CHARS = tokenChars();

    static final List<String> MANDATORY_HEADERS = List.of("Via", "From", "To", "Call-ID", "CSeq");

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
        if (length > MAX_MESSAGE_BYTES) {
            throw new BadMessage("longer than " + MAX_MESSAGE_BYTES + " bytes", null);
        }
        int end = headerEnd(data, from, from + length);
        if (end < 0) {
            throw new BadMessage("the header does not end", null);
        }
        // A char a byte: what is not looked at crosses unchanged, also where it is no UTF-8.
        String head = new String(data, from, end - from, StandardCharsets.ISO_8859_1);
        int line = head.indexOf('\r');
        SipMessage message = parseStartLine(line < 0 ? head : head.substring(0, line));
        String wrong = parseFields(head, line < 0 ? head.length() : line, message);
        int given = from + length - end;
        int wanted = given;
        String announced = message.header("Content-Length");
        if (announced != null) {
            wanted = parseNumber(announced);
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
            message.setBody(body);
        }
        if (announced == null && message.fields().size() >= MAX_HEADER_FIELDS && wrong == null) {
            // It is written with a Content-Length, and would then be past the bound for whoever
            // reads it.
            wrong = "more than " + MAX_HEADER_FIELDS + " header fields";
        }
        wrong = wrong == null && whole ? validate(message) : wrong;
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

    static int parseNumber(String value) {
        try {
            int length = Integer.parseInt(value.strip());
            return length > MAX_MESSAGE_BYTES ? -1 : length;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static SipMessage parseStartLine(String line) throws BadMessage {
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
            throw new BadMessage("status line: " + abbreviate(line), null);
        }
        int first = line.indexOf(' ');
        int last = line.lastIndexOf(' ');
        if (first <= 0
                || last <= first + 1
                || !line.substring(last + 1).equals("SIP/2.0")
                || !isToken(line.substring(0, first))
                || line.substring(first + 1, last).indexOf(' ') >= 0) {
            throw new BadMessage("request line: " + abbreviate(line), null);
        }
        return SipMessage.request(line.substring(0, first), line.substring(first + 1, last));
    }

    private static String abbreviate(String line) {
        return line.length() > 60 ? line.substring(0, 60) + "..." : line;
    }

    private static String parseFields(String head, int from, SipMessage message) {
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
            if (nameEnd < 0 || !isToken(line, from0, nameEnd)) {
                return "header line: " + abbreviate(line.substring(from0, stop));
            }
            if (message.fields().size() >= MAX_HEADER_FIELDS) {
                return "more than " + MAX_HEADER_FIELDS + " header fields";
            }
            addValues(message, fullName(line, from0, nameEnd), trimmed(line, colon + 1, stop));
            if (message.fields().size() > MAX_HEADER_FIELDS) {
                // A list that was cut at the bound would be written shorter than it was read.
                return "more than " + MAX_HEADER_FIELDS + " header fields";
            }
            at = next;
        }
        return null;
    }

    private static void addValues(SipMessage message, String name, String value) {
        if (!name.equals("Via") && !name.equals("Route") && !name.equals("Record-Route")) {
            message.add(name, value);
            return;
        }
        int from = 0;
        while (from <= value.length() && message.fields().size() <= MAX_HEADER_FIELDS) {
            int comma = Params.indexOfUnquoted(value, from, ',');
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
    private static String fullName(String line, int from, int to) {
        int length = to - from;
        if (length == 1) {
            String name = line.substring(from, to);
            return COMPACT_FORMS.getOrDefault(name.toLowerCase(Locale.ROOT), name);
        }
        if (length < KNOWN_NAMES_BY_LENGTH.length) {
            for (String known : KNOWN_NAMES_BY_LENGTH[length]) {
                if (line.regionMatches(true, from, known, 0, length)) {
                    return known;
                }
            }
        }
        return line.substring(from, to);
    }

    private static String[][] groupByLength() {
        String[][] found = new String[20][];
        for (int length = 0; length < found.length; length++) {
            int wanted = length;
            found[length] =
                    java.util.Arrays.stream(KNOWN_NAMES)
                            .filter(k -> k.length() == wanted)
                            .toArray(String[]::new);
        }
        return found;
    }

    private static boolean[] tokenChars() {
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

    private static boolean isToken(String text) {
        return isToken(text, 0, text.length());
    }

    private static boolean isToken(String text, int from, int to) {
        for (int i = from; i < to; i++) {
            char c = text.charAt(i);
            if (c >= TOKEN_CHARS.length || !TOKEN_CHARS[c]) {
                return false;
            }
        }
        return to > from;
    }

    private static String validate(SipMessage message) {
        for (String name : MANDATORY_HEADERS) {
            if (message.header(name) == null) {
                return name + " is missing";
            }
        }
        long sequence = message.sequence();
        String cseq = message.header("CSeq");
        if (sequence < 0 || sequence > 0x7fffffffL) {
            return "CSeq: " + abbreviate(cseq);
        }
        if (message.isRequest()
                && !cseq.substring(cseq.indexOf(' ') + 1).strip().equals(message.method())) {
            return "CSeq names another method: " + abbreviate(cseq);
        }
        if (message.via() == null) {
            return "Via: " + abbreviate(message.header("Via"));
        }
        if (message.callId().isEmpty() || message.fromTag().isEmpty()) {
            return "Call-ID or the tag of From is empty";
        }
        String forwards = message.header("Max-Forwards");
        if (forwards != null && (parseNumber(forwards) < 0 || parseNumber(forwards) > 255)) {
            return "Max-Forwards: " + abbreviate(forwards);
        }
        return null;
    }
}
