package coralcove.config;

import java.security.SecureRandom;

/**
 * What tells one start of a program from every other, and is guessed by nobody: ids of calls and
 * dialogs grow from it.
 */
public final class Starts {
    /**
     * Bits: enough that a stranger's guesses come to nothing (RFC 3261 19.3 asks for 32 at least).
     */
    private static final int BITS = 80;

    private Starts() {}

    public static String tag() {
        return new java.math.BigInteger(BITS, new SecureRandom()).toString(36);
    }
}
