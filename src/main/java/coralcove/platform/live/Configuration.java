package coralcove.platform.live;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import coralcove.boot.Boot;
import coralcove.config.BadConfig;
import coralcove.platform.Descriptors;
import coralcove.platform.ServiceSettings;
import coralcove.platform.bulletin.Bulletin;
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
 * What the platform tells a router: its file, read whole; a mistake is told with file, key and
 * reason.
 */
record Configuration(
        String name,
        InetSocketAddress listen,
        long seed,
        ServiceSettings settings,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        InetSocketAddress bulletin,
        Bulletin known) {
    /** Descriptors under which no router can hold the list, a leg and its callers. */
    private static final int LEAST_DESCRIPTORS = 64;

    /** How the descriptors are shared out, by the exchanges that the list has at the start. */
    Descriptors room() {
        Set<String> exchanges = new HashSet<>();
        known.events().forEach(event -> event.entries().forEach(each -> exchanges.add(each.id())));
        return new Descriptors(settings.descriptors(), exchanges.size());
    }

    static Configuration read(Path file) throws BadConfig {
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new BadConfig(file + ": cannot be read: " + e.getMessage());
        }
        Map<String, String> pairs = new HashMap<>();
        flatten("", root.path("settings"), pairs);
        try {
            List<InetSocketAddress> peers = new ArrayList<>();
            for (JsonNode each : root.path("peers")) {
                peers.add(address(file, "peers", each.asText()));
            }
            return new Configuration(
                    root.path("name").asText("router"),
                    address(file, "listen", text(file, root, "listen")),
                    seed(file, text(file, root, "seed")),
                    ServiceSettings.of(
                            Boot.of(pairs), descriptors(file, root.path("limits").path("sockets"))),
                    root.hasNonNull("peer_listen")
                            ? address(file, "peer_listen", text(file, root, "peer_listen"))
                            : null,
                    List.copyOf(peers),
                    root.hasNonNull("peers_all")
                            ? address(file, "peers_all", text(file, root, "peers_all"))
                            : null,
                    address(file, "bulletin", text(file, root, "bulletin")),
                    Bulletin.of(root.get("known")));
        } catch (IOException e) {
            throw new BadConfig(file + ": known: " + e.getMessage());
        }
    }

    /**
     * Nested JSON as the paths of the simulator's first message: lists of objects by index with a
     * count, others joined.
     */
    static void flatten(String path, JsonNode node, Map<String, String> pairs) {
        if (node.isObject()) {
            node.properties()
                    .forEach(
                            each ->
                                    flatten(
                                            path.isEmpty()
                                                    ? each.getKey()
                                                    : path + "." + each.getKey(),
                                            each.getValue(),
                                            pairs));
        } else if (node.isArray()) {
            boolean plain = true;
            for (JsonNode each : node) {
                plain &= each.isValueNode();
            }
            if (plain) {
                List<String> values = new ArrayList<>();
                node.forEach(each -> values.add(each.asText()));
                pairs.put(path, String.join(",", values));
                return;
            }
            pairs.put(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), pairs);
            }
        } else if (!node.isNull() && !node.isMissingNode()) {
            pairs.put(path, node.asText());
        }
    }

    private static int descriptors(Path file, JsonNode sockets) throws BadConfig {
        if (!sockets.canConvertToInt() || sockets.asInt() < LEAST_DESCRIPTORS) {
            throw new BadConfig(
                    file
                            + ": limits.sockets: "
                            + (sockets.isMissingNode()
                                    ? "is missing"
                                    : "no number from " + LEAST_DESCRIPTORS + " up: " + sockets));
        }
        return sockets.asInt();
    }

    private static String text(Path file, JsonNode root, String key) throws BadConfig {
        String value = root.path(key).asText("");
        if (value.isEmpty()) {
            throw new BadConfig(file + ": " + key + " is missing");
        }
        return value;
    }

    private static long seed(Path file, String text) throws BadConfig {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BadConfig(file + ": seed: no hex number: " + text);
        }
    }

    static InetSocketAddress address(Path file, String key, String text) throws BadConfig {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new BadConfig(file + ": " + key + ": no address: " + text);
        }
    }
}
