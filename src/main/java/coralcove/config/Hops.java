package coralcove.config;

import coralcove.sip.Hop;

/** Addresses in settings files: "udp:127.0.0.1:5060" or "tcp:127.0.0.1:5060". */
public final class Hops {
    private Hops() {}

    public static Hop read(Toml.Table table, String key) throws BadConfig {
        String text = table.text(key);
        int colon = text.lastIndexOf(':');
        boolean tcp = text.startsWith("tcp:");
        if (!tcp && !text.startsWith("udp:") || colon < 5) {
            throw table.bad(key, "\"" + text + "\" is not udp:HOST:PORT or tcp:HOST:PORT");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port > 0 && port < 65_536) {
                return new Hop(tcp, text.substring(4, colon), port);
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw table.bad(key, "\"" + text.substring(colon + 1) + "\" is no port between 1 and 65535");
    }
}
