package coralcove.platform.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A response of the discovery service: events numbered from 1, each with the complete exchange list
 * or its changes. {@code lastEvent} is the number of the newest event.
 */
public record DiscoveryUpdate(long lastEvent, List<Event> events) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** State of an exchange in the list. */
    public enum State {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /**
     * One exchange; {@code startedMs} is the time of a late start in ms since the Unix epoch, or 0.
     */
    public record Entry(String id, String address, int number, State state, long startedMs) {}

    /**
     * One event; with {@code complete} its entries are the complete list, else the changed
     * exchanges.
     */
    public record Event(long number, boolean complete, List<Entry> entries) {}

    /** Parses a response; one that is truncated or malformed fails as a whole. */
    public static DiscoveryUpdate parse(byte[] text) throws IOException {
        return of(JSON.readTree(text));
    }

    /** Converts JSON of the same form, as in the configuration's {@code known}. */
    public static DiscoveryUpdate of(JsonNode node) throws IOException {
        if (node == null || !node.path("no").isIntegralNumber() || !node.path("items").isArray()) {
            throw new IOException("bulletin: no is not an integer or items is not an array");
        }
        List<Event> events = new ArrayList<>();
        for (JsonNode item : node.path("items")) {
            if (!item.path("no").isIntegralNumber()) {
                throw new IOException("bulletin: an item without an integer no");
            }
            JsonNode roster = item.path("roster");
            List<Entry> entries = new ArrayList<>();
            for (JsonNode server : roster.path("servers")) {
                entries.add(entry(server));
            }
            if (roster.isObject()) {
                events.add(
                        new Event(
                                item.path("no").longValue(),
                                roster.path("full").asBoolean(),
                                entries));
            }
        }
        return new DiscoveryUpdate(node.path("no").longValue(), events);
    }

    private static Entry entry(JsonNode server) throws IOException {
        String id = server.path("id").asText("");
        String address = server.path("addr").asText("");
        State state =
                switch (server.path("state").asText("")) {
                    case "in_service" -> State.IN_SERVICE;
                    case "terminating" -> State.TERMINATING;
                    case "terminated" -> State.TERMINATED;
                    default ->
                            throw new IOException(
                                    "bulletin: " + id + ": unknown state " + server.path("state"));
                };
        if (id.isEmpty() || address.isEmpty() && state != State.TERMINATED) {
            throw new IOException("bulletin: an exchange without id or address");
        }
        if (!address.isEmpty() && !address.matches("[^:]+:\\d{1,5}")) {
            throw new IOException("bulletin: " + id + ": malformed address: " + address);
        }
        return new Entry(
                id,
                address,
                server.path("cell").asInt(-1),
                state,
                server.path("started_ms").asLong(0));
    }
}
