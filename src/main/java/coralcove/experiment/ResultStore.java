package coralcove.experiment;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.store.Stores;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.zip.CRC32C;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * Results of an experiment on disk, in an H2 MVStore: one entry a run, committed as it ends, so
 * that a kill loses only the runs in hand. Each entry has the program's version and a checksum of
 * the run's input: a run whose plan has changed is not done.
 */
public final class ResultStore implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path path;
    private final MVStore store;
    private final MVMap<String, String> runs;

    /**
     * Opens or makes it; a file that is no such store, or is open elsewhere, ends in an
     * IOException.
     */
    public ResultStore(Path path) throws IOException {
        this.path = path;
        try {
            if (path.toAbsolutePath().getParent() != null) {
                Files.createDirectories(path.toAbsolutePath().getParent());
            }
            store = Stores.open(path);
            runs = store.openMap("runs");
        } catch (MVStoreException e) {
            throw new IOException(
                    path + ": results cannot be opened: " + Stores.reason(e.getMessage()), e);
        }
    }

    /** What stands for a run's input. */
    static String digest(Plan.Run run) {
        CRC32C sum = new CRC32C();
        sum.update(
                (run.policy() + "\n" + run.seed() + "\n" + run.day())
                        .getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", sum.getValue());
    }

    /** Versions of the program that made the results kept. */
    public List<String> versions() {
        TreeSet<String> found = new TreeSet<>();
        for (Outcome each : outcomes()) {
            found.add(each.version());
        }
        return List.copyOf(found);
    }

    /**
     * Whether this run, with this input, has its result; a failed one counts as done unless it is
     * to be tried again.
     */
    public boolean done(Plan.Run run, boolean failedToo) {
        String text = runs.get(run.id());
        if (text == null) {
            return false;
        }
        JsonNode entry = parse(text);
        return entry.path("digest").asText().equals(digest(run))
                && (failedToo || entry.has("result"));
    }

    /** A run's result, or null. */
    public Outcome get(Plan.Run run) {
        String text = runs.get(run.id());
        return text == null ? null : outcome(run.id(), parse(text));
    }

    /** Writes one result, whole or not at all. */
    public void put(Plan.Run run, String version, ObjectNode result, String error) {
        ObjectNode entry = JSON.createObjectNode();
        entry.put("version", version).put("digest", digest(run)).put("seed", run.seed());
        ObjectNode levels = entry.putObject("levels");
        run.levels().forEach(levels::put);
        if (result == null) {
            entry.put("error", error);
        } else {
            entry.set("result", result);
        }
        runs.put(run.id(), entry.toString());
        store.commit();
    }

    /** Bytes on disk. */
    public long bytes() {
        try {
            return Files.size(path);
        } catch (IOException e) {
            return 0;
        }
    }

    /** All results by name. */
    public List<Outcome> outcomes() {
        List<Outcome> all = new ArrayList<>();
        for (Map.Entry<String, String> each : runs.entrySet()) {
            all.add(outcome(each.getKey(), parse(each.getValue())));
        }
        return all;
    }

    private static Outcome outcome(String id, JsonNode entry) {
        Map<String, String> levels = new LinkedHashMap<>();
        entry.path("levels")
                .properties()
                .forEach(each -> levels.put(each.getKey(), each.getValue().asText()));
        return new Outcome(
                id,
                entry.path("version").asText(),
                levels,
                entry.path("seed").asLong(),
                (ObjectNode) entry.get("result"),
                entry.path("error").asText());
    }

    private static JsonNode parse(String text) {
        try {
            return JSON.readTree(text);
        } catch (JacksonException e) {
            throw new IllegalStateException(
                    "an entry of the results is no JSON: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * One JSON object a line, by the runs' names: equal runs give equal bytes, whoever ran them and
     * in which order.
     */
    public void export(Path to) throws IOException {
        StringBuilder out = new StringBuilder();
        for (Map.Entry<String, String> each : runs.entrySet()) {
            ObjectNode line = JSON.createObjectNode();
            line.put("run", each.getKey());
            line.setAll((ObjectNode) parse(each.getValue()));
            out.append(line).append('\n');
        }
        Files.writeString(to, out);
    }

    @Override
    public void close() {
        store.close();
    }
}
