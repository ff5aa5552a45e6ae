package coralcove.sip;

import java.net.InetAddress;
import java.net.UnknownHostException;

/**
 * A transport address: transport, host and port that a message is sent to or came from. An IPv6
 * address is kept in brackets and in the JDK's spelling, so that addresses compare as equal however
 * they were written (see RFC 5952).
 */
public record TransportAddress(boolean tcp, String host, int port) {
    public TransportAddress {
        if (host.indexOf(':') >= 0) {
            host = normalizeIpv6(host);
        }
    }

    private static String normalizeIpv6(String host) {
        String address =
                host.startsWith("[") && host.endsWith("]")
                        ? host.substring(1, host.length() - 1)
                        : host;
        try {
            // Only an address literal contains a colon, so that this performs no DNS lookup.
            return "[" + InetAddress.getByName("[" + address + "]").getHostAddress() + "]";
        } catch (UnknownHostException e) {
            return host;
        }
    }

    /** The same host and port over TCP or UDP. */
    public TransportAddress withTransport(boolean useTcp) {
        return useTcp == tcp ? this : new TransportAddress(useTcp, host, port);
    }

    @Override
    public String toString() {
        return (tcp ? "tcp:" : "udp:") + host + ":" + port;
    }
}
