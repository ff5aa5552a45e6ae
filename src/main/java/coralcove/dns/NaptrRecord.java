package coralcove.dns;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/**
 * The data of a NAPTR record (RFC 3403 section 4). A decoded {@code replacement} is empty or, if
 * the record has one, "?".
 */
public record NaptrRecord(
        int order,
        int preference,
        String flags,
        String service,
        String regexp,
        String replacement) {
    /** Maximum length of an expression in characters, as its subject has at most 16. */
    private static final int MAX_EXPRESSION_LENGTH = 255;

    /** The record data in wire format. */
    public byte[] encode() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(order >> 8);
        out.write(order);
        out.write(preference >> 8);
        out.write(preference);
        for (String field : new String[] {flags, service, regexp}) {
            byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
            out.write(bytes.length);
            out.writeBytes(bytes);
        }
        for (String label : replacement.isEmpty() ? new String[0] : replacement.split("\\.")) {
            out.write(label.length());
            out.writeBytes(label.getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write(0);
        return out.toByteArray();
    }

    /** Decodes record data. Flags and service are converted to lower case. */
    public static NaptrRecord decode(byte[] data) throws MalformedDnsException {
        if (data.length < 7) {
            throw new MalformedDnsException(
                    "NAPTR record of " + data.length + " bytes is too short");
        }
        int order = (data[0] & 255) << 8 | data[1] & 255;
        int preference = (data[2] & 255) << 8 | data[3] & 255;
        String[] texts = new String[3];
        int position = 4;
        for (int i = 0; i < texts.length; i++) {
            int length = position < data.length ? data[position] & 255 : -1;
            if (length < 0 || position + 1 + length > data.length) {
                throw new MalformedDnsException("text in NAPTR record exceeds its end");
            }
            texts[i] = new String(data, position + 1, length, StandardCharsets.UTF_8);
            position += 1 + length;
        }
        // Terminal ENUM rules have no replacement; rules that have one are not followed.
        String replacement = position < data.length && data[position] == 0 ? "" : "?";
        return new NaptrRecord(
                order,
                preference,
                texts[0].toLowerCase(Locale.ROOT),
                texts[1].toLowerCase(Locale.ROOT),
                texts[2],
                replacement);
    }

    /**
     * The URI that the substitution expression makes of {@code +number} (RFC 6116 section 3.2);
     * null if it does not match or is not valid.
     */
    public String toUri(String number) {
        if (!flags.equals("u")
                || !replacement.isEmpty()
                || regexp.length() < 3
                || regexp.length() > MAX_EXPRESSION_LENGTH) {
            return null;
        }
        char delimiter = regexp.charAt(0);
        int patternEnd = regexp.indexOf(delimiter, 1);
        int templateEnd = patternEnd < 0 ? -1 : regexp.indexOf(delimiter, patternEnd + 1);
        if (templateEnd < 0
                || regexp.length() > templateEnd + 2
                || regexp.length() == templateEnd + 2 && regexp.charAt(templateEnd + 1) != 'i') {
            return null;
        }
        try {
            Matcher matcher =
                    Pattern.compile(regexp.substring(1, patternEnd)).matcher("+" + number);
            return matcher.find()
                    ? substituteGroups(regexp.substring(patternEnd + 1, templateEnd), matcher)
                    : null;
        } catch (PatternSyntaxException | IndexOutOfBoundsException e) {
            return null;
        }
    }

    /**
     * Replaces back references by the matched groups; a backslash before any other character stands
     * for that character.
     */
    private static String substituteGroups(String template, Matcher matcher) {
        StringBuilder uri = new StringBuilder();
        for (int i = 0; i < template.length(); i++) {
            char c = template.charAt(i);
            if (c == '\\' && i + 1 < template.length()) {
                char next = template.charAt(++i);
                String group =
                        next >= '0' && next <= '9'
                                ? matcher.group(next - '0')
                                : String.valueOf(next);
                uri.append(group == null ? "" : group);
            } else {
                uri.append(c);
            }
        }
        return uri.toString();
    }
}
