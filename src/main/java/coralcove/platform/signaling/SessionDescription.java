package coralcove.platform.signaling;

/**
 * The session description that caller and exchange send each other: a first line of 16 hex digits,
 * then lines of a lower-case letter, "=" and text, each terminated by CRLF. It is passed on
 * unchanged; a description of any other form was corrupted in transit and must not be used as an
 * answer.
 */
public final class SessionDescription {
    private static final int FIRST_LINE_LENGTH = 16;

    private SessionDescription() {}

    /** Whether the text is a complete description; false if it is null. */
    public static boolean isWellFormed(byte[] text) {
        if (text == null || text.length < FIRST_LINE_LENGTH + 2) {
            return false;
        }
        int start = 0;
        for (int line = 0; start < text.length; line++) {
            int end = start;
            while (end < text.length && text[end] >= ' ' && text[end] < 0x7f) {
                end++;
            }
            if (end + 1 >= text.length || text[end] != '\r' || text[end + 1] != '\n') {
                return false;
            }
            if (line == 0
                    ? !isFirstLine(text, start, end)
                    : end - start < 3
                            || text[start + 1] != '='
                            || text[start] < 'a'
                            || text[start] > 'z') {
                return false;
            }
            start = end + 2;
        }
        return true;
    }

    private static boolean isFirstLine(byte[] text, int start, int end) {
        for (int i = start; i < end; i++) {
            if (Character.digit(text[i], 16) < 0) {
                return false;
            }
        }
        return end - start == FIRST_LINE_LENGTH;
    }
}
