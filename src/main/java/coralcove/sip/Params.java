package coralcove.sip;

/**
 * A header value split into what stands before its first parameter and its parameters; quoted
 * strings and what stands between angle brackets are not split (RFC 3261 section 25.1,
 * generic-param).
 */
public final class Params {
    private static final String[] NO_PARAMETERS = {};

    private final String value;

    /**
     * Names and values in turn: a value has few parameters, and looking through them beats any map.
     */
    private String[] namesAndValues = NO_PARAMETERS;

    private int count;

    private Params(String value) {
        this.value = value;
    }

    public static Params of(String text) {
        int end = indexOfUnquoted(text, 0, ';');
        Params out = new Params(text.substring(0, end).strip());
        while (end < text.length()) {
            int from = end + 1;
            end = indexOfUnquoted(text, from, ';');
            String param = text.substring(from, end).strip();
            int equals = param.indexOf('=');
            String name = (equals < 0 ? param : param.substring(0, equals)).strip();
            String found = equals < 0 ? "" : param.substring(equals + 1).strip();
            if (found.length() > 1 && found.startsWith("\"") && found.endsWith("\"")) {
                found = found.substring(1, found.length() - 1).replaceAll("\\\\(.)", "$1");
            }
            out.add(name, found);
        }
        return out;
    }

    private void add(String name, String found) {
        if (2 * count == namesAndValues.length) {
            namesAndValues =
                    java.util.Arrays.copyOf(namesAndValues, Math.max(4, 2 * namesAndValues.length));
        }
        namesAndValues[2 * count] = name;
        namesAndValues[2 * count + 1] = found;
        count++;
    }

    /** The first parameter of this name, or null. */
    private String find(String name) {
        for (int i = 0; i < count; i++) {
            if (namesAndValues[2 * i].equalsIgnoreCase(name)) {
                return namesAndValues[2 * i + 1];
            }
        }
        return null;
    }

    /**
     * The index of the next {@code mark} outside quotes and angle brackets, or the text's length.
     */
    static int indexOfUnquoted(String text, int from, char mark) {
        boolean quoted = false;
        int depth = 0;
        for (int i = from; i < text.length(); i++) {
            char c = text.charAt(i);
            if (quoted) {
                if (c == '\\') {
                    i++;
                } else if (c == '"') {
                    quoted = false;
                }
            } else if (c == '"') {
                quoted = true;
            } else if (c == '<') {
                depth++;
            } else if (c == '>') {
                depth--;
            } else if (c == mark && depth <= 0) {
                return i;
            }
        }
        return text.length();
    }

    public String value() {
        return value;
    }

    public boolean has(String name) {
        return find(name) != null;
    }

    public String get(String name, String otherwise) {
        String found = find(name);
        return found == null ? otherwise : found;
    }

    public long number(String name, long otherwise) {
        try {
            String found = find(name);
            return found == null ? otherwise : Long.parseLong(found);
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }
}
