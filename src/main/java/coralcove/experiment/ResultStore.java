package coralcove.experiment;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.store.MvStores;
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
 * Results of an experiment on disk, in an H2 MVStore. It has one entry per run, committed when the
 * run ends, so that a kill loses only the runs in progress. Each entry has the version of the
 * program and a checksum of the run's input; a run whose input has changed counts as not done.
 */
public final class ResultStore implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path path;
    private final MVStore store;
    private final MVMap<String, String> runs;

    /**
     * Opens or creates a store.
     *
     * @throws IOException if the file is not such a store or is open in another process
     */
    public ResultStore(Path path) throws IOException {
        this.path = path;
        try {
            if (path.toAbsolutePath().getParent() != null) {
                Files.createDirectories(path.toAbsolutePath().getParent());
            }
            store = MvStores.open(path);
            runs = store.openMap("runs");
        } catch (MVStoreException e) {
            throw new IOException(
                    path + ": results cannot be opened: " + MvStores.shortReason(e.getMessage()),
                    e);
        }
    }

    /** Returns a checksum of a run's input: its policy, seed and day. */
    static String inputDigest(ExperimentPlan.Run run) {
        CRC32C checksum = new CRC32C();
        checksum.update(
                (run.policy() + "\n" + run.seed() + "\n" + run.day())
                        .getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", checksum.getValue());
    }

    /** Versions of the program that produced the stored results, in order. */
    public List<String> versions() {
        TreeSet<String> versions = new TreeSet<>();
        for (Outcome outcome : outcomes()) {
            versions.add(outcome.version());
        }
        return List.copyOf(versions);
    }

    /**
     * Whether a run has a stored outcome with the same input.
     *
     * @param includeFailed whether a failed run counts as done
     */
    public boolean isDone(ExperimentPlan.Run run, boolean includeFailed) {
        String text = runs.get(run.id());
        if (text == null) {
            return false;
        }
        JsonNode entry = parse(text);
        return entry.path("digest").asText().equals(inputDigest(run))
                && (includeFailed || entry.has("result"));
    }

    /** Returns the outcome of a run, or null if there is none; the input may have changed. */
    public Outcome get(ExperimentPlan.Run run) {
        String text = runs.get(run.id());
        return text == null ? null : outcome(run.id(), parse(text));
    }

    /**
     * Stores the outcome of a run atomically.
     *
     * @param result the metrics, or null for a failed run
     * @param error why the run failed
     */
    public void put(ExperimentPlan.Run run, String version, ObjectNode result, String error) {
        ObjectNode entry = JSON.createObjectNode();
        entry.put("version", version).put("digest", inputDigest(run)).put("seed", run.seed());
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

    /** Size of the store on disk, in bytes. */
    public long sizeBytes() {
        try {
            return Files.size(path);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns all outcomes, in the order of the names of the runs. */
    public List<Outcome> outcomes() {
        List<Outcome> all = new ArrayList<>();
        for (Map.Entry<String, String> entry : runs.entrySet()) {
            all.add(outcome(entry.getKey(), parse(entry.getValue())));
        }
        return all;
    }

    private static Outcome outcome(String id, JsonNode entry) {
        Map<String, String> levels = new LinkedHashMap<>();
        entry.path("levels")
                .properties()
                .forEach(level -> levels.put(level.getKey(), level.getValue().asText()));
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
                    "malformed JSON in the result store: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Writes one JSON object per line, in the order of the names of the runs. Equal runs give equal
     * bytes, in whatever order and on however many workers they were executed.
     */
    public void export(Path file) throws IOException {
        StringBuilder lines = new StringBuilder();
        for (Map.Entry<String, String> entry : runs.entrySet()) {
            ObjectNode line = JSON.createObjectNode();
            line.put("run", entry.getKey());
            line.setAll((ObjectNode) parse(entry.getValue()));
            lines.append(line).append('\n');
        }
        Files.writeString(file, lines);
    }

    @Override
    public void close() {
        store.close();
    }
}
