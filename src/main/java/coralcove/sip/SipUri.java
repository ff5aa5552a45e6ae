package coralcove.sip;

/**
 * The parts of a SIP URI (RFC 3261 19.1) that are used here: user (empty if absent), host, port
 * (5060 if absent) and parameters.
 */
public record SipUri(String user, String host, int port, ParameterizedValue uriParameters) {
    /**
     * Parses a bare URI or the one between the angle brackets of a name-addr; null if there is no
     * valid one.
     */
    public static SipUri parse(String text) {
        int openBracket = text.indexOf('<');
        int closeBracket = openBracket < 0 ? -1 : text.indexOf('>', openBracket);
        String uri =
                openBracket >= 0
                        ? closeBracket < 0 ? "" : text.substring(openBracket + 1, closeBracket)
                        : text;
        if (!uri.regionMatches(true, 0, "sip:", 0, 4)) {
            return null;
        }
        ParameterizedValue params = ParameterizedValue.parse(uri.substring(4));
        String userAndAddress = params.value();
        int at = userAndAddress.lastIndexOf('@');
        String user = at < 0 ? "" : userAndAddress.substring(0, at);
        String address = userAndAddress.substring(at + 1);
        int colon =
                address.startsWith("[")
                        ? address.indexOf(':', address.indexOf(']') + 1)
                        : address.indexOf(':');
        try {
            int port = colon < 0 ? 5060 : Integer.parseInt(address.substring(colon + 1));
            String host = colon < 0 ? address : address.substring(0, colon);
            boolean valid = !host.isEmpty() && port > 0 && port < 65_536;
            return valid ? new SipUri(user, host, port, params) : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** The transport address: TCP if the transport parameter says so, else UDP. */
    public TransportAddress transportAddress() {
        return new TransportAddress(
                uriParameters.parameter("transport", "udp").equalsIgnoreCase("tcp"), host, port);
    }

    /** Formats a URI for an address; {@code user} may be empty. */
    public static String format(String user, TransportAddress address) {
        return "sip:"
                + (user.isEmpty() ? "" : user + "@")
                + address.host()
                + ":"
                + address.port()
                + (address.tcp() ? ";transport=tcp" : "");
    }
}
