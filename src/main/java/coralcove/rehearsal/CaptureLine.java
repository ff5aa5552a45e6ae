package coralcove.rehearsal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import coralcove.network.Network;
import coralcove.sip.Hop;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;

/**
 * One captured message as a line of JSON: time in µs, node, direction, transport, peer, the bytes.
 */
public final class CaptureLine {
    private static final ObjectMapper JSON = new ObjectMapper();

    private CaptureLine() {}

    static String write(long now, String node, boolean out, Hop peer, byte[] bytes)
            throws JsonProcessingException {
        String text = new String(bytes, StandardCharsets.UTF_8);
        boolean plain = java.util.Arrays.equals(text.getBytes(StandardCharsets.UTF_8), bytes);
        return JSON.writeValueAsString(
                JSON.createObjectNode()
                        .put("t", now)
                        .put("node", node)
                        .put("dir", out ? "out" : "in")
                        .put("proto", peer.tcp() ? "tcp" : "udp")
                        .put("peer", peer.host() + ":" + peer.port())
                        .put(
                                plain ? "text" : "base64",
                                plain ? text : Base64.getEncoder().encodeToString(bytes)));
    }

    static String broken(long now, String node, Hop peer, boolean refused)
            throws JsonProcessingException {
        return JSON.writeValueAsString(
                JSON.createObjectNode()
                        .put("t", now)
                        .put("node", node)
                        .put("dir", refused ? "refused" : "broken")
                        .put("proto", "tcp")
                        .put("peer", peer.host() + ":" + peer.port()));
    }

    /** Plays a capture file to {@code tap}; returns the time of its last line. */
    public static long read(Path path, Network.Tap tap) throws IOException {
        long last = 0;
        int number = 0;
        try (BufferedReader in = Files.newBufferedReader(path)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                number++;
                try {
                    JsonNode node = JSON.readTree(line);
                    String peer = node.get("peer").asText();
                    int colon = peer.lastIndexOf(':');
                    String dir = node.get("dir").asText();
                    Hop hop =
                            new Hop(
                                    node.get("proto").asText().equals("tcp"),
                                    peer.substring(0, colon),
                                    Integer.parseInt(peer.substring(colon + 1)));
                    last = node.get("t").asLong();
                    if (dir.equals("broken") || dir.equals("refused")) {
                        tap.broken(last, node.get("node").asText(), hop, dir.equals("refused"));
                        continue;
                    }
                    byte[] bytes =
                            node.has("text")
                                    ? node.get("text").asText().getBytes(StandardCharsets.UTF_8)
                                    : Base64.getDecoder().decode(node.get("base64").asText());
                    tap.message(last, node.get("node").asText(), dir.equals("out"), hop, bytes);
                } catch (JsonProcessingException | RuntimeException e) {
                    throw new IOException(path + ":" + number + ": no captured message");
                }
            }
        }
        return last;
    }
}
