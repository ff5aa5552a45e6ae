package coralcove.numbers;

/**
 * A telephone number or a prefix of one, packed into a long: four bits per digit from the top, each
 * holding digit + 1, so that 0 marks the end. Numeric order of keys is the order of prefixes, with
 * each prefix before the numbers that begin with it. At most 15 digits (E.164).
 */
public final class Digits {
    /** Digits of the longest number (ITU-T E.164 section 6.1). */
    public static final int MAX_LENGTH = 15;

    /** Bits of the long in use: 15 digits of four bits. */
    private static final int USED_BITS = 60;

    private Digits() {}

    /**
     * Packs a string of digits.
     *
     * @throws IllegalArgumentException with the reason if it is too long or has another character
     */
    public static long pack(CharSequence digits) {
        if (digits.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("has more than " + MAX_LENGTH + " digits");
        }
        long key = 0;
        for (int i = 0; i < digits.length(); i++) {
            int digit = digits.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                throw new IllegalArgumentException("'" + digits.charAt(i) + "' is no digit");
            }
            key |= (digit + 1L) << USED_BITS - 4 - 4 * i;
        }
        return key;
    }

    /** The digits of a key as a string; the inverse of {@link #pack}. */
    public static String unpack(long key) {
        StringBuilder text = new StringBuilder(MAX_LENGTH);
        for (int i = 0; i < MAX_LENGTH && digitAt(key, i) != 0; i++) {
            text.append((char) ('0' + digitAt(key, i) - 1));
        }
        return text.toString();
    }

    /** How many digits a key has. */
    public static int length(long key) {
        return key == 0 ? 0 : (USED_BITS - Long.numberOfTrailingZeros(key) + 3) / 4;
    }

    /** Digit + 1 at an index, 0 past the end. */
    static int digitAt(long key, int index) {
        return (int) (key >>> USED_BITS - 4 - 4 * index) & 15;
    }

    /** {@code count} digits from index {@code from}, the last one in the lowest four bits. */
    static int slice(long key, int from, int count) {
        return (int) (key >>> USED_BITS - 4 * (from + count)) & (1 << 4 * count) - 1;
    }

    /** The first {@code count} digits, as a key. */
    static long prefix(long key, int count) {
        return count == 0 ? 0 : key & -1L << USED_BITS - 4 * count;
    }

    /** The length of the longest common prefix of two keys, in digits. */
    static int commonPrefixLength(long a, long b) {
        long difference = a ^ b;
        return difference == 0
                ? Math.min(length(a), length(b))
                : Math.min(
                        (Long.numberOfLeadingZeros(difference) - (64 - USED_BITS)) / 4,
                        Math.min(length(a), length(b)));
    }
}
