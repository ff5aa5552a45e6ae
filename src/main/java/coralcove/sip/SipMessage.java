package coralcove.sip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One SIP message (RFC 3261 section 7): a start line, header fields in the order in which they are
 * transmitted, and a body. Header names are not case-sensitive. Fields that this program does not
 * interpret are forwarded unchanged.
 */
public final class SipMessage {
    private static final byte[] NO_BODY = {};

    private final String method;
    private final String uri;
    private final int status;
    private final String reason;
    private final List<HeaderField> fields = new ArrayList<>(12);
    private byte[] body = NO_BODY;

    /** The Via value that {@link #via} was parsed from. */
    private String parsedViaText;

    private Via via;

    /** The From value that {@link #fromTag} was parsed from. */
    private String parsedFromText;

    private String fromTag = "";

    private SipMessage(String method, String uri, int status, String reason) {
        this.method = method;
        this.uri = uri;
        this.status = status;
        this.reason = reason;
    }

    /** Creates a request without header fields. */
    public static SipMessage request(String method, String uri) {
        return new SipMessage(method, uri, 0, "");
    }

    /** Creates a response without header fields. */
    public static SipMessage status(int status, String reason) {
        return new SipMessage("", "", status, reason);
    }

    /**
     * Creates a response to {@code request} with the fields that RFC 3261 8.2.6.2 copies; {@code
     * toTag} is added to To if it has no tag and the status is not 100.
     */
    public static SipMessage responseTo(
            SipMessage request, int status, String reason, String toTag) {
        SipMessage reply = status(status, reason);
        for (HeaderField field : request.fields) {
            switch (field.name()) {
                case "Via", "From", "Call-ID", "CSeq" -> reply.fields.add(field);
                case "To" ->
                        reply.fields.add(
                                status == 100 || field.value().contains(";tag=")
                                        ? field
                                        : new HeaderField("To", field.value() + ";tag=" + toTag));
                default -> {}
            }
        }
        return reply;
    }

    /** A copy whose header fields can be changed without changing this message. */
    public SipMessage copy() {
        SipMessage copy = new SipMessage(method, uri, status, reason);
        copy.fields.addAll(fields);
        copy.body = body;
        copy.parsedViaText = parsedViaText;
        copy.via = via;
        copy.parsedFromText = parsedFromText;
        copy.fromTag = fromTag;
        return copy;
    }

    public boolean isRequest() {
        return status == 0;
    }

    public String method() {
        return method;
    }

    public String uri() {
        return uri;
    }

    public int status() {
        return status;
    }

    public String reason() {
        return reason;
    }

    public byte[] body() {
        return body;
    }

    /** The body as UTF-8 text. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    public List<HeaderField> fields() {
        return fields;
    }

    /** The first value of this header, or null. */
    public String header(String name) {
        for (HeaderField field : fields) {
            if (field.name() == name || field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return null;
    }

    /** The first value of this header, {@code defaultValue} if absent. */
    public String header(String name, String defaultValue) {
        String value = header(name);
        return value == null ? defaultValue : value;
    }

    /** All values of this header. */
    public List<String> headers(String name) {
        List<String> values = new ArrayList<>();
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                values.add(field.value());
            }
        }
        return values;
    }

    /** Appends a header field. */
    public SipMessage add(String name, String value) {
        fields.add(new HeaderField(name, value));
        return this;
    }

    /** Inserts a header field before all others. */
    public SipMessage addFirst(String name, String value) {
        fields.add(0, new HeaderField(name, value));
        return this;
    }

    /** Replaces the first field of this name, or appends it. */
    public SipMessage set(String name, String value) {
        for (int i = 0; i < fields.size(); i++) {
            if (fields.get(i).name().equalsIgnoreCase(name)) {
                fields.set(i, new HeaderField(name, value));
                return this;
            }
        }
        return add(name, value);
    }

    /** Sets the body and its Content-Type. */
    public SipMessage body(String type, byte[] bytes) {
        set("Content-Type", type);
        body = bytes;
        return this;
    }

    void setBody(byte[] bytes) {
        body = bytes;
    }

    /** The topmost Via, or null if absent or malformed; parsed again only after it changes. */
    public Via via() {
        String text = header("Via");
        if (text != parsedViaText) {
            parsedViaText = text;
            via = text == null ? null : Via.parse(text);
        }
        return via;
    }

    /**
     * Whether it has all fields that a response copies, so that even a malformed request can be
     * answered.
     */
    public boolean canBeAnswered() {
        return SipParser.MANDATORY_HEADERS.stream().allMatch(name -> header(name) != null)
                && via() != null;
    }

    /** A header's value as a number, {@code defaultValue} if absent or not a number. */
    public long numericHeader(String name, long defaultValue) {
        try {
            String value = header(name);
            return value == null ? defaultValue : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** The number of CSeq, or -1 if absent or malformed. */
    public long cseqNumber() {
        String value = header("CSeq");
        int space = value == null ? -1 : value.indexOf(' ');
        try {
            return space < 0 ? -1 : Long.parseLong(value.substring(0, space));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** The method of CSeq; for a request the method of the request line. */
    public String cseqMethod() {
        if (isRequest()) {
            return method;
        }
        String value = header("CSeq", "");
        return value.substring(value.indexOf(' ') + 1).strip();
    }

    /** The value of Call-ID, or an empty string. */
    public String callId() {
        return header("Call-ID", "");
    }

    /** The tag of From, or an empty string. */
    public String fromTag() {
        String text = header("From", "");
        if (text != parsedFromText) {
            parsedFromText = text;
            fromTag = ParameterizedValue.parse(text).parameter("tag", "");
        }
        return fromTag;
    }

    /** The tag of To, or an empty string. */
    public String toTag() {
        return ParameterizedValue.parse(header("To", "")).parameter("tag", "");
    }

    /** The length of {@link #encode}, computed without encoding the message. */
    public int encodedLength() {
        int length = isRequest() ? method.length() + uri.length() + 11 : 14 + reason.length();
        for (HeaderField field : fields) {
            length +=
                    field.name().equals("Content-Length")
                            ? 0
                            : field.name().length() + field.value().length() + 4;
        }
        return length
                + "Content-Length: ".length()
                + Integer.toString(body.length).length()
                + 4
                + body.length;
    }

    /** The message encoded for transmission; Content-Length is always the last header field. */
    public byte[] encode() {
        StringBuilder header = new StringBuilder(512);
        if (isRequest()) {
            header.append(method).append(' ').append(uri).append(" SIP/2.0\r\n");
        } else {
            header.append("SIP/2.0 ").append(status).append(' ').append(reason).append("\r\n");
        }
        for (HeaderField field : fields) {
            if (!field.name().equals("Content-Length")) {
                header.append(field.name()).append(": ").append(field.value()).append("\r\n");
            }
        }
        header.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] headerBytes = header.toString().getBytes(StandardCharsets.ISO_8859_1);
        if (body.length == 0) {
            return headerBytes;
        }
        byte[] encoded = new byte[headerBytes.length + body.length];
        System.arraycopy(headerBytes, 0, encoded, 0, headerBytes.length);
        System.arraycopy(body, 0, encoded, headerBytes.length, body.length);
        return encoded;
    }

    @Override
    public String toString() {
        return isRequest() ? method + " " + uri : status + " " + reason + " (" + cseqMethod() + ")";
    }
}
