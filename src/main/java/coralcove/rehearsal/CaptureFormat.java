package coralcove.rehearsal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import coralcove.network.Network;
import coralcove.sip.TransportAddress;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;

/**
 * Writes and reads capture files. Each line is a JSON object for one captured message: time in µs,
 * node, direction, transport, peer and the message as text, or as Base64 if it is not valid UTF-8.
 */
public final class CaptureFormat {
    private static final ObjectMapper JSON = new ObjectMapper();

    private CaptureFormat() {}

    /** Returns the line for a message that {@code node} sent ({@code out}) or received. */
    static String formatMessage(
            long now, String node, boolean out, TransportAddress peer, byte[] bytes)
            throws JsonProcessingException {
        String text = new String(bytes, StandardCharsets.UTF_8);
        boolean validUtf8 = java.util.Arrays.equals(text.getBytes(StandardCharsets.UTF_8), bytes);
        return JSON.writeValueAsString(
                JSON.createObjectNode()
                        .put("t", now)
                        .put("node", node)
                        .put("dir", out ? "out" : "in")
                        .put("proto", peer.tcp() ? "tcp" : "udp")
                        .put("peer", peer.host() + ":" + peer.port())
                        .put(
                                validUtf8 ? "text" : "base64",
                                validUtf8 ? text : Base64.getEncoder().encodeToString(bytes)));
    }

    /**
     * Returns the line for a TCP connection that broke or, if {@code refused}, was not accepted.
     */
    static String formatStreamFailure(long now, String node, TransportAddress peer, boolean refused)
            throws JsonProcessingException {
        return JSON.writeValueAsString(
                JSON.createObjectNode()
                        .put("t", now)
                        .put("node", node)
                        .put("dir", refused ? "refused" : "broken")
                        .put("proto", "tcp")
                        .put("peer", peer.host() + ":" + peer.port()));
    }

    /**
     * Replays a capture file to {@code tap}; returns the time of its last line in µs, 0 for an
     * empty file.
     */
    public static long replay(Path path, Network.MessageObserver tap) throws IOException {
        long lastTime = 0;
        int lineNumber = 0;
        try (BufferedReader reader = Files.newBufferedReader(path)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lineNumber++;
                try {
                    JsonNode node = JSON.readTree(line);
                    String peer = node.get("peer").asText();
                    int portSeparator = peer.lastIndexOf(':');
                    String direction = node.get("dir").asText();
                    TransportAddress address =
                            new TransportAddress(
                                    node.get("proto").asText().equals("tcp"),
                                    peer.substring(0, portSeparator),
                                    Integer.parseInt(peer.substring(portSeparator + 1)));
                    lastTime = node.get("t").asLong();
                    if (direction.equals("broken") || direction.equals("refused")) {
                        tap.onStreamFailure(
                                lastTime,
                                node.get("node").asText(),
                                address,
                                direction.equals("refused"));
                        continue;
                    }
                    byte[] bytes =
                            node.has("text")
                                    ? node.get("text").asText().getBytes(StandardCharsets.UTF_8)
                                    : Base64.getDecoder().decode(node.get("base64").asText());
                    tap.onMessage(
                            lastTime,
                            node.get("node").asText(),
                            direction.equals("out"),
                            address,
                            bytes);
                } catch (JsonProcessingException | RuntimeException e) {
                    throw new IOException(path + ":" + lineNumber + ": not a captured message");
                }
            }
        }
        return lastTime;
    }
}
