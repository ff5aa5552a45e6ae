package coralcove.sip;

/**
 * A header value split into the part before the first parameter and its parameters (RFC 3261
 * section 25.1, generic-param). Semicolons in quoted strings and angle brackets do not separate.
 */
public final class ParameterizedValue {
    private static final String[] NO_PARAMETERS = {};

    private final String value;

    /**
     * Alternating names and values; for the few parameters of a value a linear search is faster
     * than a map.
     */
    private String[] namesAndValues = NO_PARAMETERS;

    private int count;

    private ParameterizedValue(String value) {
        this.value = value;
    }

    /** Parses a header value; quotes around parameter values are removed. */
    public static ParameterizedValue parse(String text) {
        int end = indexOfUnquoted(text, 0, ';');
        ParameterizedValue parsed = new ParameterizedValue(text.substring(0, end).strip());
        while (end < text.length()) {
            int from = end + 1;
            end = indexOfUnquoted(text, from, ';');
            String parameter = text.substring(from, end).strip();
            int equals = parameter.indexOf('=');
            String name = (equals < 0 ? parameter : parameter.substring(0, equals)).strip();
            String parameterValue = equals < 0 ? "" : parameter.substring(equals + 1).strip();
            if (parameterValue.length() > 1
                    && parameterValue.startsWith("\"")
                    && parameterValue.endsWith("\"")) {
                parameterValue =
                        parameterValue
                                .substring(1, parameterValue.length() - 1)
                                .replaceAll("\\\\(.)", "$1");
            }
            parsed.add(name, parameterValue);
        }
        return parsed;
    }

    private void add(String name, String parameterValue) {
        if (2 * count == namesAndValues.length) {
            namesAndValues =
                    java.util.Arrays.copyOf(namesAndValues, Math.max(4, 2 * namesAndValues.length));
        }
        namesAndValues[2 * count] = name;
        namesAndValues[2 * count + 1] = parameterValue;
        count++;
    }

    /** The value of the first parameter of this name, empty if it has none; null if absent. */
    private String find(String name) {
        for (int i = 0; i < count; i++) {
            if (namesAndValues[2 * i].equalsIgnoreCase(name)) {
                return namesAndValues[2 * i + 1];
            }
        }
        return null;
    }

    /**
     * The index of the next {@code separator} outside quotes and angle brackets, or the text's
     * length.
     */
    static int indexOfUnquoted(String text, int from, char separator) {
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
            } else if (c == separator && depth <= 0) {
                return i;
            }
        }
        return text.length();
    }

    /** The part before the first parameter. */
    public String value() {
        return value;
    }

    /** Whether there is a parameter of this name. */
    public boolean hasParameter(String name) {
        return find(name) != null;
    }

    /** The value of a parameter, {@code defaultValue} if absent. */
    public String parameter(String name, String defaultValue) {
        String found = find(name);
        return found == null ? defaultValue : found;
    }

    /** The value of a parameter as a number, {@code defaultValue} if absent or not a number. */
    public long numericParameter(String name, long defaultValue) {
        try {
            String found = find(name);
            return found == null ? defaultValue : Long.parseLong(found);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
