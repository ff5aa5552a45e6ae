package coralcove.sip;

/**
 * A SIP URI (RFC 3261 19.1) as far as it is looked at: user, host, port (5060 if absent),
 * parameters.
 */
public record SipUri(String user, String host, int port, Params params) {
    /**
     * Reads a bare URI or the one between the angle brackets of a name-addr; null where there is
     * none.
     */
    public static SipUri of(String text) {
        int open = text.indexOf('<');
        int close = open < 0 ? -1 : text.indexOf('>', open);
        String inner = open >= 0 ? close < 0 ? "" : text.substring(open + 1, close) : text;
        if (!inner.regionMatches(true, 0, "sip:", 0, 4)) {
            return null;
        }
        Params params = Params.of(inner.substring(4));
        String rest = params.value();
        int at = rest.lastIndexOf('@');
        String user = at < 0 ? "" : rest.substring(0, at);
        String address = rest.substring(at + 1);
        int colon =
                address.startsWith("[")
                        ? address.indexOf(':', address.indexOf(']') + 1)
                        : address.indexOf(':');
        try {
            int port = colon < 0 ? 5060 : Integer.parseInt(address.substring(colon + 1));
            String host = colon < 0 ? address : address.substring(0, colon);
            boolean good = !host.isEmpty() && port > 0 && port < 65_536;
            return good ? new SipUri(user, host, port, params) : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    public Hop hop() {
        return new Hop(params.get("transport", "udp").equalsIgnoreCase("tcp"), host, port);
    }

    public static String text(String user, Hop hop) {
        return "sip:"
                + (user.isEmpty() ? "" : user + "@")
                + hop.host()
                + ":"
                + hop.port()
                + (hop.tcp() ? ";transport=tcp" : "");
    }
}
