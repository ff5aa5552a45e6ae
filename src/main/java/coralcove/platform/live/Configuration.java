package coralcove.platform.live;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import coralcove.config.BadConfig;
import coralcove.platform.DescriptorBudget;
import coralcove.platform.ServiceSettings;
import coralcove.platform.discovery.DiscoveryUpdate;
import coralcove.settings.SettingsReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The configuration file of a session router, read completely. An error message names the file, the
 * key and the reason.
 *
 * @param name the router's name in the log
 * @param listen address for callers
 * @param seed seed of the random choices
 * @param settings settings of the session router
 * @param peerListen address for datagrams from peer routers, or null if there are none
 * @param peers addresses of the peer routers, by their index
 * @param peerBroadcast address for datagrams to all peer routers, or null
 * @param discoveryService address of the service that publishes the exchange list
 * @param knownExchanges the exchange list at the time the file was written
 */
record Configuration(
        String name,
        InetSocketAddress listen,
        long seed,
        ServiceSettings settings,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peerBroadcast,
        InetSocketAddress discoveryService,
        DiscoveryUpdate knownExchanges) {
    /**
     * Smallest usable number of file descriptors: with fewer there is no room for the discovery
     * service, an exchange connection and callers.
     */
    private static final int MIN_DESCRIPTORS = 64;

    /** Returns the shares of the file descriptors, given the exchanges known at the start. */
    DescriptorBudget descriptorShares() {
        Set<String> exchanges = new HashSet<>();
        knownExchanges
                .events()
                .forEach(event -> event.entries().forEach(entry -> exchanges.add(entry.id())));
        return new DescriptorBudget(settings.descriptorLimit(), exchanges.size());
    }

    /**
     * Reads a configuration file.
     *
     * @throws BadConfig if the file cannot be read or a value is missing or invalid
     */
    static Configuration read(Path file) throws BadConfig {
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new BadConfig(file + ": cannot be read: " + e.getMessage());
        }
        Map<String, String> properties = new HashMap<>();
        flatten("", root.path("settings"), properties);
        try {
            List<InetSocketAddress> peers = new ArrayList<>();
            for (JsonNode peer : root.path("peers")) {
                peers.add(parseAddress(file, "peers", peer.asText()));
            }
            return new Configuration(
                    root.path("name").asText("router"),
                    parseAddress(file, "listen", requiredText(file, root, "listen")),
                    parseSeed(file, requiredText(file, root, "seed")),
                    ServiceSettings.of(
                            SettingsReader.of(properties),
                            descriptorLimit(file, root.path("limits").path("sockets"))),
                    root.hasNonNull("peer_listen")
                            ? parseAddress(
                                    file, "peer_listen", requiredText(file, root, "peer_listen"))
                            : null,
                    List.copyOf(peers),
                    root.hasNonNull("peers_all")
                            ? parseAddress(file, "peers_all", requiredText(file, root, "peers_all"))
                            : null,
                    parseAddress(file, "bulletin", requiredText(file, root, "bulletin")),
                    DiscoveryUpdate.of(root.get("known")));
        } catch (IOException e) {
            throw new BadConfig(file + ": known: " + e.getMessage());
        }
    }

    /**
     * Flattens nested JSON to the paths that the simulator sends in its first message. An array of
     * plain values becomes one value joined by commas; the elements of any other array get their
     * index in the path, and {@code count} their number.
     */
    static void flatten(String path, JsonNode node, Map<String, String> properties) {
        if (node.isObject()) {
            node.properties()
                    .forEach(
                            field ->
                                    flatten(
                                            path.isEmpty()
                                                    ? field.getKey()
                                                    : path + "." + field.getKey(),
                                            field.getValue(),
                                            properties));
        } else if (node.isArray()) {
            boolean allPlain = true;
            for (JsonNode element : node) {
                allPlain &= element.isValueNode();
            }
            if (allPlain) {
                List<String> values = new ArrayList<>();
                node.forEach(element -> values.add(element.asText()));
                properties.put(path, String.join(",", values));
                return;
            }
            properties.put(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), properties);
            }
        } else if (!node.isNull() && !node.isMissingNode()) {
            properties.put(path, node.asText());
        }
    }

    private static int descriptorLimit(Path file, JsonNode sockets) throws BadConfig {
        if (!sockets.canConvertToInt() || sockets.asInt() < MIN_DESCRIPTORS) {
            throw new BadConfig(
                    file
                            + ": limits.sockets: "
                            + (sockets.isMissingNode()
                                    ? "is missing"
                                    : "not a number of at least "
                                            + MIN_DESCRIPTORS
                                            + ": "
                                            + sockets));
        }
        return sockets.asInt();
    }

    private static String requiredText(Path file, JsonNode root, String key) throws BadConfig {
        String value = root.path(key).asText("");
        if (value.isEmpty()) {
            throw new BadConfig(file + ": " + key + " is missing");
        }
        return value;
    }

    private static long parseSeed(Path file, String text) throws BadConfig {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BadConfig(file + ": seed: not a hexadecimal number: " + text);
        }
    }

    static InetSocketAddress parseAddress(Path file, String key, String text) throws BadConfig {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new BadConfig(file + ": " + key + ": not an address: " + text);
        }
    }
}
