package coralcove.sip;

/**
 * The parts of a Via header that are used here: transport, sent-by host and port, and parameters
 * (RFC 3261 18.1, 20.42; RFC 3581).
 */
public record Via(boolean tcp, String host, int port, ParameterizedValue parameters) {
    /** The magic cookie with which a branch of RFC 3261 begins. */
    public static final String MAGIC_COOKIE = "z9hG4bK";

    /** Parses a Via value; null if it is malformed or for another transport than UDP and TCP. */
    public static Via parse(String text) {
        ParameterizedValue params = ParameterizedValue.parse(text);
        String value = params.value();
        if (!value.startsWith("SIP/2.0/")) {
            return null;
        }
        int space = value.indexOf(' ');
        if (space < 0) {
            return null;
        }
        SipUri sentBy = SipUri.parse("sip:" + value.substring(space + 1).strip());
        String transport = value.substring(8, space).strip();
        if (sentBy == null
                || !isHost(sentBy.host())
                || !transport.equals("UDP") && !transport.equals("TCP")) {
            return null;
        }
        return new Via(transport.equals("TCP"), sentBy.host(), sentBy.port(), params);
    }

    /** The branch parameter, or an empty string. */
    public String branch() {
        return parameters.parameter("branch", "");
    }

    /**
     * Whether the host has only letters, digits, dots and hyphens, or is an IPv6 address in
     * brackets (RFC 3261 section 25, host).
     */
    private static boolean isHost(String host) {
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        for (int i = bracketed ? 1 : 0; i < host.length() - (bracketed ? 1 : 0); i++) {
            char c = host.charAt(i);
            boolean allowed =
                    c >= 'a' && c <= 'z'
                            || c >= 'A' && c <= 'Z'
                            || c >= '0' && c <= '9'
                            || c == '.'
                            || (bracketed ? c == ':' : c == '-');
            if (!allowed) {
                return false;
            }
        }
        return true;
    }

    /**
     * The address for responses (18.2.2): received and rport if the receiver added them, else
     * sent-by.
     */
    public TransportAddress responseAddress() {
        return new TransportAddress(
                tcp,
                parameters.parameter("received", host),
                (int) parameters.numericParameter("rport", port));
    }

    /** Formats a Via value with an empty rport parameter. */
    public static String format(TransportAddress from, String branch) {
        return "SIP/2.0/"
                + (from.tcp() ? "TCP " : "UDP ")
                + from.host()
                + ":"
                + from.port()
                + ";rport;branch="
                + branch;
    }
}
