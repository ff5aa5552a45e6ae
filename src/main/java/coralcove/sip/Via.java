package coralcove.sip;

/** The topmost Via as far as it is looked at (RFC 3261 18.1, 20.42; RFC 3581). */
public record Via(boolean tcp, String host, int port, Params params) {
    public static final String COOKIE = "z9hG4bK";

    public static Via of(String text) {
        Params params = Params.of(text);
        String value = params.value();
        if (!value.startsWith("SIP/2.0/")) {
            return null;
        }
        int space = value.indexOf(' ');
        if (space < 0) {
            return null;
        }
        SipUri sentBy = SipUri.of("sip:" + value.substring(space + 1).strip());
        String transport = value.substring(8, space).strip();
        if (sentBy == null
                || !isHost(sentBy.host())
                || !transport.equals("UDP") && !transport.equals("TCP")) {
            return null;
        }
        return new Via(transport.equals("TCP"), sentBy.host(), sentBy.port(), params);
    }

    public String branch() {
        return params.get("branch", "");
    }

    /** Letters, digits, dots and dashes, or what stands in brackets (RFC 3261 section 25, host). */
    private static boolean isHost(String host) {
        boolean six = host.startsWith("[") && host.endsWith("]");
        for (int i = six ? 1 : 0; i < host.length() - (six ? 1 : 0); i++) {
            char c = host.charAt(i);
            boolean good =
                    c >= 'a' && c <= 'z'
                            || c >= 'A' && c <= 'Z'
                            || c >= '0' && c <= '9'
                            || c == '.'
                            || (six ? c == ':' : c == '-');
            if (!good) {
                return false;
            }
        }
        return true;
    }

    /**
     * Where a response goes (18.2.2): to received and rport if the receiver wrote them, else to
     * sent-by.
     */
    public Hop responseAddress() {
        return new Hop(tcp, params.get("received", host), (int) params.number("rport", port));
    }

    public static String text(Hop from, String branch) {
        return "SIP/2.0/"
                + (from.tcp() ? "TCP " : "UDP ")
                + from.host()
                + ":"
                + from.port()
                + ";rport;branch="
                + branch;
    }
}
