package coralcove.sip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One SIP message (RFC 3261 section 7): a start line, header fields in the order of the wire, a
 * body. Header names compare without regard to case; what this program does not look at passes
 * through unchanged.
 */
public final class SipMessage {
    private static final byte[] NO_BODY = {};

    private final String method;
    private final String uri;
    private final int status;
    private final String reason;
    private final List<Field> fields = new ArrayList<>(12);
    private byte[] body = NO_BODY;
    private String parsedViaText;
    private Via via;
    private String parsedFromText;
    private String fromTag = "";

    private SipMessage(String method, String uri, int status, String reason) {
        this.method = method;
        this.uri = uri;
        this.status = status;
        this.reason = reason;
    }

    public static SipMessage request(String method, String uri) {
        return new SipMessage(method, uri, 0, "");
    }

    public static SipMessage status(int status, String reason) {
        return new SipMessage("", "", status, reason);
    }

    /**
     * A response to {@code request} with the fields that RFC 3261 8.2.6.2 copies; the To tag is
     * added if absent.
     */
    public static SipMessage reply(SipMessage request, int status, String reason, String toTag) {
        SipMessage reply = status(status, reason);
        for (Field field : request.fields) {
            switch (field.name()) {
                case "Via", "From", "Call-ID", "CSeq" -> reply.fields.add(field);
                case "To" ->
                        reply.fields.add(
                                status == 100 || field.value().contains(";tag=")
                                        ? field
                                        : new Field("To", field.value() + ";tag=" + toTag));
                default -> {}
            }
        }
        return reply;
    }

    /** As it would be read from {@link #bytes}; a change to either is not seen by the other. */
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

    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    public List<Field> fields() {
        return fields;
    }

    /** The first value of this header, or null. */
    public String header(String name) {
        for (Field field : fields) {
            if (field.name() == name || field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return null;
    }

    public String header(String name, String otherwise) {
        String value = header(name);
        return value == null ? otherwise : value;
    }

    public List<String> headers(String name) {
        List<String> values = new ArrayList<>();
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                values.add(field.value());
            }
        }
        return values;
    }

    public SipMessage add(String name, String value) {
        fields.add(new Field(name, value));
        return this;
    }

    public SipMessage addFirst(String name, String value) {
        fields.add(0, new Field(name, value));
        return this;
    }

    public SipMessage set(String name, String value) {
        for (int i = 0; i < fields.size(); i++) {
            if (fields.get(i).name().equalsIgnoreCase(name)) {
                fields.set(i, new Field(name, value));
                return this;
            }
        }
        return add(name, value);
    }

    public SipMessage body(String type, byte[] bytes) {
        set("Content-Type", type);
        body = bytes;
        return this;
    }

    void setBody(byte[] bytes) {
        body = bytes;
    }

    /** The topmost Via, or null where it cannot be read; kept until that field changes. */
    public Via via() {
        String text = header("Via");
        if (text != parsedViaText) {
            parsedViaText = text;
            via = text == null ? null : Via.of(text);
        }
        return via;
    }

    /** Whether it has all that a response copies, so that even a bad request can be answered. */
    public boolean canBeAnswered() {
        return SipParser.MANDATORY_HEADERS.stream().allMatch(name -> header(name) != null)
                && via() != null;
    }

    /** A header's value as a whole number, {@code otherwise} where it is absent or none. */
    public long number(String name, long otherwise) {
        try {
            String value = header(name);
            return value == null ? otherwise : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    /** CSeq's number, or -1 where there is none that can be read. */
    public long sequence() {
        String value = header("CSeq");
        int space = value == null ? -1 : value.indexOf(' ');
        try {
            return space < 0 ? -1 : Long.parseLong(value.substring(0, space));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** CSeq's method; of a request its own. */
    public String cseqMethod() {
        if (isRequest()) {
            return method;
        }
        String value = header("CSeq", "");
        return value.substring(value.indexOf(' ') + 1).strip();
    }

    public String callId() {
        return header("Call-ID", "");
    }

    public String fromTag() {
        String text = header("From", "");
        if (text != parsedFromText) {
            parsedFromText = text;
            fromTag = Params.of(text).get("tag", "");
        }
        return fromTag;
    }

    public String toTag() {
        return Params.of(header("To", "")).get("tag", "");
    }

    /** The length of {@link #bytes}, without writing them. */
    public int encodedLength() {
        int length = isRequest() ? method.length() + uri.length() + 11 : 14 + reason.length();
        for (Field field : fields) {
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

    public byte[] bytes() {
        StringBuilder out = new StringBuilder(512);
        if (isRequest()) {
            out.append(method).append(' ').append(uri).append(" SIP/2.0\r\n");
        } else {
            out.append("SIP/2.0 ").append(status).append(' ').append(reason).append("\r\n");
        }
        for (Field field : fields) {
            if (!field.name().equals("Content-Length")) {
                out.append(field.name()).append(": ").append(field.value()).append("\r\n");
            }
        }
        out.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] head = out.toString().getBytes(StandardCharsets.ISO_8859_1);
        if (body.length == 0) {
            return head;
        }
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    @Override
    public String toString() {
        return isRequest() ? method + " " + uri : status + " " + reason + " (" + cseqMethod() + ")";
    }
}
