package coralcove.sip;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Parses one message (RFC 3261 sections 7 and 25). Folded lines are unfolded, compact header names
 * expanded, and lists in Via, Route and Record-Route split into one field per value. Limits: {@link
 * #MAX_MESSAGE_BYTES}, {@link #MAX_HEADER_FIELDS}.
 */
public final class SipParser {
    /** No datagram can be longer; a connection with a longer message is closed. */
    public static final int MAX_MESSAGE_BYTES = 65_535;

    /** Forty times as many as a call needs, and few enough for a linear search. */
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

    /** Header names in the spelling in which they are written, whatever case they were read in. */
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
     * Parses a complete datagram: the body is what follows the header, up to Content-Length if
     * present.
     */
    public static SipMessage parse(byte[] data, int from, int length)
            throws MalformedMessageException {
        return parse(data, from, length, true);
    }

    /**
     * Parses a message of peers that omit From, To and Via by agreement, as on a trunk that matches
     * by Call-ID alone: the syntax is checked as strictly, but no header is mandatory.
     */
    public static SipMessage parseWithoutMandatoryHeaders(byte[] data)
            throws MalformedMessageException {
        return parse(data, 0, data.length, false);
    }

    private static SipMessage parse(byte[] data, int from, int length, boolean headersMandatory)
            throws MalformedMessageException {
        if (length > MAX_MESSAGE_BYTES) {
            throw new MalformedMessageException(
                    "longer than " + MAX_MESSAGE_BYTES + " bytes", null);
        }
        int headerEnd = headerEnd(data, from, from + length);
        if (headerEnd < 0) {
            throw new MalformedMessageException(
                    "the header section is not terminated by an empty line", null);
        }
        // One char per byte, so that uninterpreted values are forwarded unchanged even if they are
        // not valid UTF-8.
        String header = new String(data, from, headerEnd - from, StandardCharsets.ISO_8859_1);
        int startLineEnd = header.indexOf('\r');
        SipMessage message =
                parseStartLine(startLineEnd < 0 ? header : header.substring(0, startLineEnd));
        String problem =
                parseFields(header, startLineEnd < 0 ? header.length() : startLineEnd, message);
        int available = from + length - headerEnd;
        int bodyLength = available;
        String contentLength = message.header("Content-Length");
        if (contentLength != null) {
            bodyLength = parseNumber(contentLength);
            if (bodyLength < 0 || bodyLength > available) {
                problem =
                        problem == null
                                ? "Content-Length "
                                        + contentLength
                                        + " but "
                                        + available
                                        + " bytes follow"
                                : problem;
                bodyLength = 0;
            }
        }
        if (bodyLength > 0) {
            byte[] body = new byte[bodyLength];
            System.arraycopy(data, headerEnd, body, 0, bodyLength);
            message.setBody(body);
        }
        if (contentLength == null
                && message.fields().size() >= MAX_HEADER_FIELDS
                && problem == null) {
            // It is sent with a Content-Length added, and would then exceed the limit of the
            // receiver.
            problem = "more than " + MAX_HEADER_FIELDS + " header fields";
        }
        problem = problem == null && headersMandatory ? validate(message) : problem;
        if (problem != null) {
            throw new MalformedMessageException(problem, message);
        }
        return message;
    }

    /** The index after the empty line that ends the header, or -1 if there is none. */
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

    /** Parses a number of at most {@link #MAX_MESSAGE_BYTES}; -1 if it is larger or malformed. */
    static int parseNumber(String value) {
        try {
            int number = Integer.parseInt(value.strip());
            return number > MAX_MESSAGE_BYTES ? -1 : number;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static SipMessage parseStartLine(String line) throws MalformedMessageException {
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
            throw new MalformedMessageException("status line: " + abbreviate(line), null);
        }
        int firstSpace = line.indexOf(' ');
        int lastSpace = line.lastIndexOf(' ');
        if (firstSpace <= 0
                || lastSpace <= firstSpace + 1
                || !line.substring(lastSpace + 1).equals("SIP/2.0")
                || !isToken(line.substring(0, firstSpace))
                || line.substring(firstSpace + 1, lastSpace).indexOf(' ') >= 0) {
            throw new MalformedMessageException("request line: " + abbreviate(line), null);
        }
        return SipMessage.request(
                line.substring(0, firstSpace), line.substring(firstSpace + 1, lastSpace));
    }

    private static String abbreviate(String line) {
        return line.length() > 60 ? line.substring(0, 60) + "..." : line;
    }

    /** Parses the header fields into {@code message}; returns what is wrong with them, or null. */
    private static String parseFields(String header, int from, SipMessage message) {
        int at = from + 2;
        while (at < header.length()) {
            int end = header.indexOf("\r\n", at);
            if (end <= at) {
                return end < 0 ? "a header line is not terminated by CRLF" : null;
            }
            int next = end + 2;
            StringBuilder folded = null;
            while (next < header.length()
                    && (header.charAt(next) == ' ' || header.charAt(next) == '\t')) {
                int stop = header.indexOf("\r\n", next);
                folded = folded == null ? new StringBuilder(header.substring(at, end)) : folded;
                folded.append(' ').append(trimmed(header, next, stop));
                next = stop + 2;
            }
            String line = folded == null ? header : folded.toString();
            int lineStart = folded == null ? at : 0;
            int stop = folded == null ? end : line.length();
            int colon = line.indexOf(':', lineStart);
            int nameEnd = colon < 0 || colon >= stop ? -1 : colon;
            while (nameEnd > lineStart
                    && (line.charAt(nameEnd - 1) == ' ' || line.charAt(nameEnd - 1) == '\t')) {
                nameEnd--;
            }
            if (nameEnd < 0 || !isToken(line, lineStart, nameEnd)) {
                return "header line: " + abbreviate(line.substring(lineStart, stop));
            }
            if (message.fields().size() >= MAX_HEADER_FIELDS) {
                return "more than " + MAX_HEADER_FIELDS + " header fields";
            }
            addValues(message, fullName(line, lineStart, nameEnd), trimmed(line, colon + 1, stop));
            if (message.fields().size() > MAX_HEADER_FIELDS) {
                // A list truncated at the limit would be forwarded shorter than it was received.
                return "more than " + MAX_HEADER_FIELDS + " header fields";
            }
            at = next;
        }
        return null;
    }

    /** Adds a field, or one for each value of a list in Via, Route or Record-Route. */
    private static void addValues(SipMessage message, String name, String value) {
        if (!name.equals("Via") && !name.equals("Route") && !name.equals("Record-Route")) {
            message.add(name, value);
            return;
        }
        int from = 0;
        while (from <= value.length() && message.fields().size() <= MAX_HEADER_FIELDS) {
            int comma = ParameterizedValue.indexOfUnquoted(value, from, ',');
            message.add(name, trimmed(value, from, comma));
            from = comma + 1;
        }
    }

    /** The text without spaces and tabs at its ends; other control characters are kept. */
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

    /** The header name: expanded if compact, in its known spelling if known, else unchanged. */
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
        String[][] names = new String[20][];
        for (int length = 0; length < names.length; length++) {
            int wantedLength = length;
            names[length] =
                    java.util.Arrays.stream(KNOWN_NAMES)
                            .filter(name -> name.length() == wantedLength)
                            .toArray(String[]::new);
        }
        return names;
    }

    private static boolean[] tokenChars() {
        boolean[] allowed = new boolean[128];
        for (char c = 0; c < allowed.length; c++) {
            allowed[c] =
                    c >= 'a' && c <= 'z'
                            || c >= 'A' && c <= 'Z'
                            || c >= '0' && c <= '9'
                            || "-.!%*_+`'~".indexOf(c) >= 0;
        }
        return allowed;
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

    /** Checks the headers that every message must have; returns what is wrong, or null. */
    private static String validate(SipMessage message) {
        for (String name : MANDATORY_HEADERS) {
            if (message.header(name) == null) {
                return name + " is missing";
            }
        }
        long sequence = message.cseqNumber();
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
        String maxForwards = message.header("Max-Forwards");
        if (maxForwards != null
                && (parseNumber(maxForwards) < 0 || parseNumber(maxForwards) > 255)) {
            return "Max-Forwards: " + abbreviate(maxForwards);
        }
        return null;
    }
}
