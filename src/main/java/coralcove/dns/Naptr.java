package coralcove.dns;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/** The data of a NAPTR record (RFC 3403 section 4). */
public record Naptr(
        int order,
        int preference,
        String flags,
        String service,
        String regexp,
        String replacement) {
    /** Characters of an expression at most: it is run against a number of 16. */
    private static final int LONGEST = 255;

    public byte[] bytes() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(order >> 8);
        out.write(order);
        out.write(preference >> 8);
        out.write(preference);
        for (String each : new String[] {flags, service, regexp}) {
            byte[] text = each.getBytes(StandardCharsets.UTF_8);
            out.write(text.length);
            out.writeBytes(text);
        }
        for (String label : replacement.isEmpty() ? new String[0] : replacement.split("\\.")) {
            out.write(label.length());
            out.writeBytes(label.getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write(0);
        return out.toByteArray();
    }

    public static Naptr read(byte[] data) throws BadDns {
        if (data.length < 7) {
            throw new BadDns("a NAPTR of " + data.length + " bytes");
        }
        int order = (data[0] & 255) << 8 | data[1] & 255;
        int preference = (data[2] & 255) << 8 | data[3] & 255;
        String[] texts = new String[3];
        int at = 4;
        for (int i = 0; i < texts.length; i++) {
            int length = at < data.length ? data[at] & 255 : -1;
            if (length < 0 || at + 1 + length > data.length) {
                throw new BadDns("a NAPTR whose text runs past its end");
            }
            texts[i] = new String(data, at + 1, length, StandardCharsets.UTF_8);
            at += 1 + length;
        }
        // ENUM's terminal rules have no replacement; one that has is not followed.
        String replacement = at < data.length && data[at] == 0 ? "" : "?";
        return new Naptr(
                order,
                preference,
                texts[0].toLowerCase(Locale.ROOT),
                texts[1].toLowerCase(Locale.ROOT),
                texts[2],
                replacement);
    }

    /**
     * The URI that the expression makes of {@code +number} (RFC 6116 section 3.2); null if it makes
     * none.
     */
    public String uri(String number) {
        if (!flags.equals("u")
                || !replacement.isEmpty()
                || regexp.length() < 3
                || regexp.length() > LONGEST) {
            return null;
        }
        char mark = regexp.charAt(0);
        int middle = regexp.indexOf(mark, 1);
        int end = middle < 0 ? -1 : regexp.indexOf(mark, middle + 1);
        if (end < 0
                || regexp.length() > end + 2
                || regexp.length() == end + 2 && regexp.charAt(end + 1) != 'i') {
            return null;
        }
        try {
            Matcher found = Pattern.compile(regexp.substring(1, middle)).matcher("+" + number);
            return found.find() ? filled(regexp.substring(middle + 1, end), found) : null;
        } catch (PatternSyntaxException | IndexOutOfBoundsException e) {
            return null;
        }
    }

    /** Back references by digit; a backslash before anything else stands for that character. */
    private static String filled(String put, Matcher found) {
        StringBuilder uri = new StringBuilder();
        for (int i = 0; i < put.length(); i++) {
            char c = put.charAt(i);
            if (c == '\\' && i + 1 < put.length()) {
                char next = put.charAt(++i);
                String group =
                        next >= '0' && next <= '9' ? found.group(next - '0') : String.valueOf(next);
                uri.append(group == null ? "" : group);
            } else {
                uri.append(c);
            }
        }
        return uri.toString();
    }
}
