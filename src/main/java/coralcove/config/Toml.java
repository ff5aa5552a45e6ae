package coralcove.config;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A TOML settings file, read with checks: each value is asked for with its bounds, a bad one is
 * told with file, line, key and reason, and so is a key that nobody asked for.
 */
public final class Toml {
    /** One table of the file. */
    public final class Table {
        private final String path;
        private final JsonNode node;
        private final Set<String> asked;

        private Table(String path, JsonNode node) {
            this.path = path;
            this.node = node;
            asked = askedIn.computeIfAbsent(path, p -> new HashSet<>());
            tables.add(this);
        }

        public BadConfig bad(String key, String reason) {
            return new BadConfig(
                    file + ":" + line(path, key) + ": " + path + "." + key + ": " + reason);
        }

        public boolean has(String key) {
            asked.add(key);
            return node.has(key);
        }

        private JsonNode need(String key) throws BadConfig {
            asked.add(key);
            JsonNode value = node.get(key);
            if (value == null) {
                throw bad(key, "is missing");
            }
            return value;
        }

        public double number(String key, double least, double most) throws BadConfig {
            JsonNode value = need(key);
            if (!value.isNumber()) {
                throw bad(key, "is no number: " + value);
            }
            double found = value.doubleValue();
            if (!(found >= least && found <= most)) {
                throw bad(key, found + " is not between " + least + " and " + most);
            }
            return found;
        }

        public double number(String key, double least, double most, double otherwise)
                throws BadConfig {
            return has(key) ? number(key, least, most) : otherwise;
        }

        public int whole(String key, int least, int most) throws BadConfig {
            double found = number(key, least, most);
            if (found != Math.rint(found)) {
                throw bad(key, found + " is no whole number");
            }
            return (int) found;
        }

        public int whole(String key, int least, int most, int otherwise) throws BadConfig {
            return has(key) ? whole(key, least, most) : otherwise;
        }

        /** Milliseconds in the file, µs here. */
        public long millis(String key, double least, double most) throws BadConfig {
            return Math.round(1000 * number(key, least, most));
        }

        public long millis(String key, double least, double most, double otherwise)
                throws BadConfig {
            return Math.round(1000 * number(key, least, most, otherwise));
        }

        /** Seconds in the file, µs here. */
        public long seconds(String key, double least, double most) throws BadConfig {
            return Math.round(1e6 * number(key, least, most));
        }

        public long seconds(String key, double least, double most, double otherwise)
                throws BadConfig {
            return Math.round(1e6 * number(key, least, most, otherwise));
        }

        public String text(String key) throws BadConfig {
            JsonNode value = need(key);
            if (!value.isTextual()) {
                throw bad(key, "is no text: " + value);
            }
            return value.textValue();
        }

        public String text(String key, String otherwise) throws BadConfig {
            return has(key) ? text(key) : otherwise;
        }

        public String oneOf(String key, List<String> allowed, String otherwise) throws BadConfig {
            String found = text(key, otherwise);
            if (!allowed.contains(found)) {
                throw bad(key, "\"" + found + "\" is none of " + String.join(", ", allowed));
            }
            return found;
        }

        public boolean flag(String key, boolean otherwise) throws BadConfig {
            if (!has(key)) {
                return otherwise;
            }
            JsonNode value = need(key);
            if (!value.isBoolean()) {
                throw bad(key, "is neither true nor false: " + value);
            }
            return value.booleanValue();
        }

        /** A list's entries; none where it is absent. */
        private List<JsonNode> list(String key) throws BadConfig {
            List<JsonNode> entries = new ArrayList<>();
            if (has(key)) {
                JsonNode value = need(key);
                if (!value.isArray()) {
                    throw bad(key, "is no list: " + value);
                }
                value.forEach(entries::add);
            }
            return entries;
        }

        /** A list of numbers, each within the bounds; empty where it is absent. */
        public double[] numbers(String key, double least, double most) throws BadConfig {
            List<JsonNode> value = list(key);
            double[] found = new double[value.size()];
            for (int i = 0; i < found.length; i++) {
                if (!value.get(i).isNumber()
                        || value.get(i).doubleValue() < least
                        || value.get(i).doubleValue() > most) {
                    throw bad(
                            key, value.get(i) + " is no number between " + least + " and " + most);
                }
                found[i] = value.get(i).doubleValue();
            }
            return found;
        }

        /** The value as it stands, or null; whoever asks checks it. */
        public JsonNode node(String key) {
            return has(key) ? node.get(key) : null;
        }

        /** The names of all keys, in the order of the file. */
        public List<String> keys() {
            List<String> keys = new ArrayList<>();
            node.fieldNames().forEachRemaining(keys::add);
            return keys;
        }

        public int[] wholes(String key, int least, int most) throws BadConfig {
            List<JsonNode> value = list(key);
            int[] found = new int[value.size()];
            for (int i = 0; i < found.length; i++) {
                JsonNode each = value.get(i);
                if (!each.isIntegralNumber()
                        || each.longValue() < least
                        || each.longValue() > most) {
                    throw bad(key, each + " is no whole number between " + least + " and " + most);
                }
                found[i] = each.intValue();
            }
            return found;
        }
    }

    private final String file;
    private final JsonNode root;
    private final Map<String, Integer> lines = new HashMap<>();
    private final List<Table> tables = new ArrayList<>();
    private final Set<String> askedTables = new HashSet<>();

    /** By table: several readers may ask for the same one. */
    private final Map<String, Set<String>> askedIn = new HashMap<>();

    private Toml(String file, String text, JsonNode root) {
        this.file = file;
        this.root = root;
        index(text);
    }

    public static Toml read(Path path) throws BadConfig {
        try {
            return of(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new BadConfig(path + ": cannot be read: " + e.getClass().getSimpleName());
        }
    }

    public static Toml of(String file, String text) throws BadConfig {
        try {
            JsonNode root = new TomlMapper().readTree(text.getBytes(StandardCharsets.UTF_8));
            return new Toml(file, text, root);
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new BadConfig(file + ":" + line + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new BadConfig(file + ": " + e.getMessage());
        }
    }

    /** A file whose values were put together by a program: all mistakes are told with line 1. */
    public static Toml of(String file, JsonNode root) {
        return new Toml(file, "", root);
    }

    /** All values as they stand; not to be changed. */
    public JsonNode root() {
        return root;
    }

    public String file() {
        return file;
    }

    /**
     * Notes on which line each key of each table stands; a list's tables are told apart by their
     * place.
     */
    private void index(String text) {
        String table = "";
        Map<String, Integer> counts = new HashMap<>();
        int number = 0;
        for (String raw : text.lines().toList()) {
            number++;
            String line = raw.strip();
            if (line.startsWith("[[")) {
                String name = line.substring(2, Math.max(2, line.indexOf(']'))).strip();
                table = name + "[" + (counts.merge(name, 1, Integer::sum) - 1) + "]";
                lines.put(table + ".", number);
            } else if (line.startsWith("[")) {
                table = line.substring(1, Math.max(1, line.indexOf(']'))).strip();
                lines.put(table + ".", number);
            } else if (!line.startsWith("#") && line.indexOf('=') > 0) {
                lines.putIfAbsent(
                        table + "." + line.substring(0, line.indexOf('=')).strip(), number);
            }
        }
    }

    private int line(String path, String key) {
        Integer own = lines.get(path + "." + key);
        return own != null ? own : lines.getOrDefault(path + ".", 1);
    }

    /** A table of the file; an absent one is empty, so that its missing keys are told. */
    public Table table(String name) throws BadConfig {
        askedTables.add(name);
        JsonNode node = root.get(name);
        if (node != null && !node.isObject()) {
            throw new BadConfig(file + ":" + line(name, "") + ": " + name + " is no table");
        }
        return new Table(
                name,
                node == null
                        ? com.fasterxml.jackson.databind.node.JsonNodeFactory.instance.objectNode()
                        : node);
    }

    public boolean has(String name) {
        askedTables.add(name);
        return root.has(name);
    }

    public List<Table> list(String name) throws BadConfig {
        askedTables.add(name);
        JsonNode node = root.get(name);
        List<Table> found = new ArrayList<>();
        if (node != null && !node.isArray()) {
            throw new BadConfig(
                    file
                            + ":"
                            + line(name, "")
                            + ": "
                            + name
                            + " is no list of tables: write [["
                            + name
                            + "]]");
        }
        for (int i = 0; node != null && i < node.size(); i++) {
            found.add(new Table(name + "[" + i + "]", node.get(i)));
        }
        return found;
    }

    /** Called when all has been asked: what is left over is a mistake in the file. */
    public void nothingElse() throws BadConfig {
        for (Map.Entry<String, JsonNode> each : root.properties()) {
            if (!askedTables.contains(each.getKey())) {
                throw new BadConfig(
                        file
                                + ":"
                                + line(each.getKey(), "")
                                + ": "
                                + each.getKey()
                                + ": is not known");
            }
        }
        for (Table table : tables) {
            for (Map.Entry<String, JsonNode> each : table.node.properties()) {
                if (!table.asked.contains(each.getKey())) {
                    throw table.bad(each.getKey(), "is not known");
                }
            }
        }
    }
}
