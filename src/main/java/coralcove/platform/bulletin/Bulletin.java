package coralcove.platform.bulletin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The bulletin's words: events numbered from 1, each a list of exchanges, the whole one or what has
 * changed.
 */
public record Bulletin(long last, List<Event> events) {
    private static final ObjectMapper JSON = new ObjectMapper();

    public enum State {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /** One exchange; {@code startedMs} is 0, or the Unix millisecond of a late start. */
    public record Entry(String id, String address, int number, State state, long startedMs) {}

    public record Event(long no, boolean whole, List<Entry> entries) {}

    /** Reads an answer; what breaks off or is no list is told, and none of it is used. */
    public static Bulletin read(byte[] text) throws IOException {
        return of(JSON.readTree(text));
    }

    /** The same from the configuration's {@code known}. */
    public static Bulletin of(JsonNode node) throws IOException {
        if (node == null || !node.path("no").isIntegralNumber() || !node.path("items").isArray()) {
            throw new IOException("bulletin: no is no number or items no list");
        }
        List<Event> events = new ArrayList<>();
        for (JsonNode item : node.path("items")) {
            if (!item.path("no").isIntegralNumber()) {
                throw new IOException("bulletin: an item without a number");
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
        return new Bulletin(node.path("no").longValue(), events);
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
                                    "bulletin: " + id + ": state " + server.path("state"));
                };
        if (id.isEmpty() || address.isEmpty() && state != State.TERMINATED) {
            throw new IOException("bulletin: an exchange without id or address");
        }
        if (!address.isEmpty() && !address.matches("[^:]+:\\d{1,5}")) {
            throw new IOException("bulletin: " + id + ": no address: " + address);
        }
        return new Entry(
                id,
                address,
                server.path("cell").asInt(-1),
                state,
                server.path("started_ms").asLong(0));
    }
}
