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
 * A TOML settings file with checked access. Each value is requested with its bounds; an invalid one
 * is reported with file, line, key and reason, and so is a key that no caller requested.
 */
public final class TomlSettings {
    /** A table of the file. All bounds are inclusive. */
    public final class Table {
        private final String path;
        private final JsonNode node;
        private final Set<String> requestedKeys;

        private Table(String path, JsonNode node) {
            this.path = path;
            this.node = node;
            requestedKeys = requestedKeysByTable.computeIfAbsent(path, newPath -> new HashSet<>());
            tables.add(this);
        }

        /** Returns an exception for a key of this table, with its line. */
        public BadConfig invalid(String key, String reason) {
            return new BadConfig(
                    file + ":" + lineOf(path, key) + ": " + path + "." + key + ": " + reason);
        }

        /** Returns whether the key is present, and counts it as requested. */
        public boolean has(String key) {
            requestedKeys.add(key);
            return node.has(key);
        }

        private JsonNode require(String key) throws BadConfig {
            requestedKeys.add(key);
            JsonNode value = node.get(key);
            if (value == null) {
                throw invalid(key, "is missing");
            }
            return value;
        }

        /**
         * Returns a required number.
         *
         * @throws BadConfig if it is missing, not a number or out of bounds
         */
        public double number(String key, double min, double max) throws BadConfig {
            JsonNode value = require(key);
            if (!value.isNumber()) {
                throw invalid(key, "is no number: " + value);
            }
            double number = value.doubleValue();
            if (!(number >= min && number <= max)) {
                throw invalid(key, number + " is not between " + min + " and " + max);
            }
            return number;
        }

        /** Returns a number, or the default if the key is missing. */
        public double number(String key, double min, double max, double defaultValue)
                throws BadConfig {
            return has(key) ? number(key, min, max) : defaultValue;
        }

        /**
         * Returns a required integer.
         *
         * @throws BadConfig if it is missing, not an integer or out of bounds
         */
        public int integer(String key, int min, int max) throws BadConfig {
            double number = number(key, min, max);
            if (number != Math.rint(number)) {
                throw invalid(key, number + " is no whole number");
            }
            return (int) number;
        }

        /** Returns an integer, or the default if the key is missing. */
        public int integer(String key, int min, int max, int defaultValue) throws BadConfig {
            return has(key) ? integer(key, min, max) : defaultValue;
        }

        /** Returns a required time in µs; the file and the bounds are in ms. */
        public long microsFromMillis(String key, double min, double max) throws BadConfig {
            return Math.round(1000 * number(key, min, max));
        }

        /** Returns a time in µs; the file, the bounds and the default are in ms. */
        public long microsFromMillis(String key, double min, double max, double defaultValue)
                throws BadConfig {
            return Math.round(1000 * number(key, min, max, defaultValue));
        }

        /** Returns a required time in µs; the file and the bounds are in seconds. */
        public long microsFromSeconds(String key, double min, double max) throws BadConfig {
            return Math.round(1e6 * number(key, min, max));
        }

        /** Returns a time in µs; the file, the bounds and the default are in seconds. */
        public long microsFromSeconds(String key, double min, double max, double defaultValue)
                throws BadConfig {
            return Math.round(1e6 * number(key, min, max, defaultValue));
        }

        /** Returns a required string. */
        public String text(String key) throws BadConfig {
            JsonNode value = require(key);
            if (!value.isTextual()) {
                throw invalid(key, "is no text: " + value);
            }
            return value.textValue();
        }

        /** Returns a string, or the default if the key is missing. */
        public String text(String key, String defaultValue) throws BadConfig {
            return has(key) ? text(key) : defaultValue;
        }

        /** Returns a string that must be one of the allowed ones. */
        public String oneOf(String key, List<String> allowed, String defaultValue)
                throws BadConfig {
            String value = text(key, defaultValue);
            if (!allowed.contains(value)) {
                throw invalid(key, "\"" + value + "\" is none of " + String.join(", ", allowed));
            }
            return value;
        }

        /** Returns a boolean, or the default if the key is missing. */
        public boolean flag(String key, boolean defaultValue) throws BadConfig {
            if (!has(key)) {
                return defaultValue;
            }
            JsonNode value = require(key);
            if (!value.isBoolean()) {
                throw invalid(key, "is neither true nor false: " + value);
            }
            return value.booleanValue();
        }

        /** Returns the elements of an array, none if the key is missing. */
        private List<JsonNode> list(String key) throws BadConfig {
            List<JsonNode> entries = new ArrayList<>();
            if (has(key)) {
                JsonNode value = require(key);
                if (!value.isArray()) {
                    throw invalid(key, "is no list: " + value);
                }
                value.forEach(entries::add);
            }
            return entries;
        }

        /** Returns an array of numbers, each within the bounds; empty if the key is missing. */
        public double[] numbers(String key, double min, double max) throws BadConfig {
            List<JsonNode> elements = list(key);
            double[] numbers = new double[elements.size()];
            for (int i = 0; i < numbers.length; i++) {
                if (!elements.get(i).isNumber()
                        || elements.get(i).doubleValue() < min
                        || elements.get(i).doubleValue() > max) {
                    throw invalid(
                            key, elements.get(i) + " is no number between " + min + " and " + max);
                }
                numbers[i] = elements.get(i).doubleValue();
            }
            return numbers;
        }

        /** Returns the unchecked value, or null if the key is missing. */
        public JsonNode node(String key) {
            return has(key) ? node.get(key) : null;
        }

        /** Returns the names of all keys, in file order. */
        public List<String> keys() {
            List<String> keys = new ArrayList<>();
            node.fieldNames().forEachRemaining(keys::add);
            return keys;
        }

        /** Returns an array of integers, each within the bounds; empty if the key is missing. */
        public int[] integers(String key, int min, int max) throws BadConfig {
            List<JsonNode> elements = list(key);
            int[] integers = new int[elements.size()];
            for (int i = 0; i < integers.length; i++) {
                JsonNode element = elements.get(i);
                if (!element.isIntegralNumber()
                        || element.longValue() < min
                        || element.longValue() > max) {
                    throw invalid(
                            key, element + " is no whole number between " + min + " and " + max);
                }
                integers[i] = element.intValue();
            }
            return integers;
        }
    }

    private final String file;
    private final JsonNode root;
    private final Map<String, Integer> lines = new HashMap<>();
    private final List<Table> tables = new ArrayList<>();
    private final Set<String> requestedTables = new HashSet<>();

    /** Requested keys by the path of the table, as several readers may request the same table. */
    private final Map<String, Set<String>> requestedKeysByTable = new HashMap<>();

    private TomlSettings(String file, String text, JsonNode root) {
        this.file = file;
        this.root = root;
        indexLines(text);
    }

    /** Reads a file. */
    public static TomlSettings read(Path path) throws BadConfig {
        try {
            return from(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new BadConfig(path + ": cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** Parses the text of a file; {@code file} is its name in error messages. */
    public static TomlSettings from(String file, String text) throws BadConfig {
        try {
            JsonNode root = new TomlMapper().readTree(text.getBytes(StandardCharsets.UTF_8));
            return new TomlSettings(file, text, root);
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new BadConfig(file + ":" + line + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new BadConfig(file + ": " + e.getMessage());
        }
    }

    /** Wraps values that a program generated; errors in them are reported with line 1. */
    public static TomlSettings from(String file, JsonNode root) {
        return new TomlSettings(file, "", root);
    }

    /** Returns all values; must not be modified. */
    public JsonNode root() {
        return root;
    }

    /** Returns the name of the file in error messages. */
    public String file() {
        return file;
    }

    /**
     * Records the line of each key of each table; the tables of an array are distinguished by their
     * index.
     */
    private void indexLines(String text) {
        String table = "";
        Map<String, Integer> counts = new HashMap<>();
        int number = 0;
        for (String rawLine : text.lines().toList()) {
            number++;
            String line = rawLine.strip();
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

    private int lineOf(String path, String key) {
        Integer keyLine = lines.get(path + "." + key);
        return keyLine != null ? keyLine : lines.getOrDefault(path + ".", 1);
    }

    /** Returns a table; a missing one is empty, so that its missing keys are reported. */
    public Table table(String name) throws BadConfig {
        requestedTables.add(name);
        JsonNode node = root.get(name);
        if (node != null && !node.isObject()) {
            throw new BadConfig(file + ":" + lineOf(name, "") + ": " + name + " is no table");
        }
        return new Table(
                name,
                node == null
                        ? com.fasterxml.jackson.databind.node.JsonNodeFactory.instance.objectNode()
                        : node);
    }

    /** Returns whether the table or array of tables is present, and counts it as requested. */
    public boolean has(String name) {
        requestedTables.add(name);
        return root.has(name);
    }

    /** Returns an array of tables, empty if it is missing. */
    public List<Table> list(String name) throws BadConfig {
        requestedTables.add(name);
        JsonNode node = root.get(name);
        List<Table> elements = new ArrayList<>();
        if (node != null && !node.isArray()) {
            throw new BadConfig(
                    file
                            + ":"
                            + lineOf(name, "")
                            + ": "
                            + name
                            + " is no list of tables: write [["
                            + name
                            + "]]");
        }
        for (int i = 0; node != null && i < node.size(); i++) {
            elements.add(new Table(name + "[" + i + "]", node.get(i)));
        }
        return elements;
    }

    /**
     * Checks that all keys and tables of the file have been requested. To be called last.
     *
     * @throws BadConfig for one that has not been, as it is misspelt or unknown
     */
    public void rejectUnknownKeys() throws BadConfig {
        for (Map.Entry<String, JsonNode> entry : root.properties()) {
            if (!requestedTables.contains(entry.getKey())) {
                throw new BadConfig(
                        file
                                + ":"
                                + lineOf(entry.getKey(), "")
                                + ": "
                                + entry.getKey()
                                + ": is not known");
            }
        }
        for (Table table : tables) {
            for (Map.Entry<String, JsonNode> entry : table.node.properties()) {
                if (!table.requestedKeys.contains(entry.getKey())) {
                    throw table.invalid(entry.getKey(), "is not known");
                }
            }
        }
    }
}
