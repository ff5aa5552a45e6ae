package coralcove.sip;

import java.net.InetAddress;
import java.net.UnknownHostException;

/**
 * Where a message goes or came from: one transport address. An IPv6 address stands in brackets, in
 * one spelling, so that equal addresses are equal however they were written (RFC 5952 speaks of
 * why; the spelling is the JDK's).
 */
public record Hop(boolean tcp, String host, int port) {
    public Hop {
        if (host.indexOf(':') >= 0) {
            host = normalizeIpv6(host);
        }
    }

    private static String normalizeIpv6(String host) {
        String bare =
                host.startsWith("[") && host.endsWith("]")
                        ? host.substring(1, host.length() - 1)
                        : host;
        try {
            // Only a literal has a colon: no name is looked up here.
            return "[" + InetAddress.getByName("[" + bare + "]").getHostAddress() + "]";
        } catch (UnknownHostException e) {
            return host;
        }
    }

    public Hop over(boolean stream) {
        return stream == tcp ? this : new Hop(stream, host, port);
    }

    @Override
    public String toString() {
        return (tcp ? "tcp:" : "udp:") + host + ":" + port;
    }
}
