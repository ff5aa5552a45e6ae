package coralcove.sip;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A header value split into what stands before its first parameter and its parameters; quoted strings and what
 * stands between angle brackets are not split (RFC 3261 section 25.1, generic-param).
 */
public final class Params {
    private final String value;
    private final Map<String, String> params = new LinkedHashMap<>();

    private Params(String value) {
        this.value = value;
    }

    public static Params of(String text) {
        int end = next(text, 0, ';');
        Params out = new Params(text.substring(0, end).strip());
        while (end < text.length()) {
            int from = end + 1;
            end = next(text, from, ';');
            String param = text.substring(from, end).strip();
            int equals = param.indexOf('=');
            String name = (equals < 0 ? param : param.substring(0, equals)).strip().toLowerCase(Locale.ROOT);
            String found = equals < 0 ? "" : param.substring(equals + 1).strip();
            if (found.length() > 1 && found.startsWith("\"") && found.endsWith("\"")) {
                found = found.substring(1, found.length() - 1).replaceAll("\\\\(.)", "$1");
            }
            out.params.putIfAbsent(name, found);
        }
        return out;
    }

    /** The index of the next {@code mark} outside quotes and angle brackets, or the text's length. */
    static int next(String text, int from, char mark) {
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
        return params.containsKey(name);
    }

    public String get(String name, String otherwise) {
        return params.getOrDefault(name, otherwise);
    }

    public long number(String name, long otherwise) {
        try {
            String found = params.get(name);
            return found == null ? otherwise : Long.parseLong(found);
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }
}
