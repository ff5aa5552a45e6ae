package coralcove.config;

import com.fasterxml.jackson.databind.JsonNode;
import coralcove.sip.TransportAddress;
import java.util.ArrayList;
import java.util.List;

/** Reads addresses in settings files, such as "udp:127.0.0.1:5060" or "tcp:127.0.0.1:5060". */
public final class AddressSettings {
    /** Largest number of addresses in one list. */
    private static final int MAX_ADDRESSES = 8;

    private AddressSettings() {}

    /**
     * Parses an address without checks, in the format of {@link TransportAddress#toString}. The
     * last colon precedes the port, as an IPv6 host contains colons too.
     */
    public static TransportAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        return new TransportAddress(
                text.startsWith("tcp:"),
                text.substring(4, colon),
                Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Reads a key that holds one address or an array of addresses.
     *
     * @throws BadConfig if an address is invalid or repeated, or there are none or too many
     */
    public static List<TransportAddress> readAll(TomlSettings.Table table, String key)
            throws BadConfig {
        if (table.node(key) == null || !table.node(key).isArray()) {
            return List.of(read(table, key));
        }
        List<TransportAddress> addresses = new ArrayList<>();
        for (JsonNode element : table.node(key)) {
            TransportAddress address = read(table, key, element.asText());
            if (addresses.contains(address)) {
                throw table.invalid(key, "has \"" + address + "\" twice");
            }
            addresses.add(address);
        }
        if (addresses.isEmpty() || addresses.size() > MAX_ADDRESSES) {
            throw table.invalid(
                    key,
                    "has "
                            + addresses.size()
                            + " addresses; 1 to "
                            + MAX_ADDRESSES
                            + " are possible");
        }
        return List.copyOf(addresses);
    }

    /** Reads a key that holds one address. */
    public static TransportAddress read(TomlSettings.Table table, String key) throws BadConfig {
        return read(table, key, table.text(key));
    }

    private static TransportAddress read(TomlSettings.Table table, String key, String text)
            throws BadConfig {
        int colon = text.lastIndexOf(':');
        boolean tcp = text.startsWith("tcp:");
        if (!tcp && !text.startsWith("udp:") || colon < 5) {
            throw table.invalid(key, "\"" + text + "\" is not udp:HOST:PORT or tcp:HOST:PORT");
        }
        if (!tcp && text.startsWith("[", 4)) {
            throw table.invalid(
                    key, "\"" + text + "\" is IPv6 over UDP, which is not served; tcp:[...] is");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port > 0 && port < 65_536) {
                return new TransportAddress(tcp, text.substring(4, colon), port);
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw table.invalid(
                key, "\"" + text.substring(colon + 1) + "\" is no port between 1 and 65535");
    }
}
