package coralcove.numbers;

/**
 * A number or a prefix of one as a long: four bits a digit from the top, digit + 1 each, so that 0
 * is no digit and plain order is the order of prefixes, each before what it begins. At most 15
 * digits (E.164).
 */
public final class Digits {
    /** Digits of the longest number (ITU-T E.164 section 6.1). */
    public static final int MOST = 15;

    /** Bits of the long in use: 15 digits of four. */
    private static final int BITS = 60;

    private Digits() {}

    /** Packs digits; an {@link IllegalArgumentException} says what is wrong with them. */
    public static long pack(CharSequence digits) {
        if (digits.length() > MOST) {
            throw new IllegalArgumentException("has more than " + MOST + " digits");
        }
        long key = 0;
        for (int i = 0; i < digits.length(); i++) {
            int digit = digits.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                throw new IllegalArgumentException("'" + digits.charAt(i) + "' is no digit");
            }
            key |= (digit + 1L) << BITS - 4 - 4 * i;
        }
        return key;
    }

    public static String text(long key) {
        StringBuilder text = new StringBuilder(MOST);
        for (int i = 0; i < MOST && at(key, i) != 0; i++) {
            text.append((char) ('0' + at(key, i) - 1));
        }
        return text.toString();
    }

    public static int length(long key) {
        return key == 0 ? 0 : (BITS - Long.numberOfTrailingZeros(key) + 3) / 4;
    }

    /** Digit + 1 at place {@code i}, 0 past the end. */
    static int at(long key, int i) {
        return (int) (key >>> BITS - 4 - 4 * i) & 15;
    }

    /** {@code count} digits from place {@code from}, the last in the lowest bits. */
    static int part(long key, int from, int count) {
        return (int) (key >>> BITS - 4 * (from + count)) & (1 << 4 * count) - 1;
    }

    /** The first {@code count} digits. */
    static long head(long key, int count) {
        return count == 0 ? 0 : key & -1L << BITS - 4 * count;
    }

    /** How many digits two keys begin with in common. */
    static int common(long a, long b) {
        long differ = a ^ b;
        return differ == 0
                ? Math.min(length(a), length(b))
                : Math.min(
                        (Long.numberOfLeadingZeros(differ) - (64 - BITS)) / 4,
                        Math.min(length(a), length(b)));
    }
}
