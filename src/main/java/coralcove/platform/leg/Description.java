package coralcove.platform.leg;

/**
 * What caller and exchange tell each other of a call: a first line of 16 hex digits, then lines of
 * a letter, "=" and text, each ended by CRLF. It passes unchanged; what has another form was spoilt
 * on its way and would only be taken for an answer.
 */
public final class Description {
    private static final int FIRST = 16;

    private Description() {}

    public static boolean readable(byte[] text) {
        if (text == null || text.length < FIRST + 2) {
            return false;
        }
        int from = 0;
        for (int line = 0; from < text.length; line++) {
            int end = from;
            while (end < text.length && text[end] >= ' ' && text[end] < 0x7f) {
                end++;
            }
            if (end + 1 >= text.length || text[end] != '\r' || text[end + 1] != '\n') {
                return false;
            }
            if (line == 0
                    ? !hex(text, from, end)
                    : end - from < 3
                            || text[from + 1] != '='
                            || text[from] < 'a'
                            || text[from] > 'z') {
                return false;
            }
            from = end + 2;
        }
        return true;
    }

    private static boolean hex(byte[] text, int from, int end) {
        for (int i = from; i < end; i++) {
            if (Character.digit(text[i], 16) < 0) {
                return false;
            }
        }
        return end - from == FIRST;
    }
}
