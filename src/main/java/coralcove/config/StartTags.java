package coralcove.config;

import java.security.SecureRandom;

/**
 * Generates tags that identify one start of a program. They are unpredictable, because ids of calls
 * and dialogs are derived from them.
 */
public final class StartTags {
    /**
     * Number of random bits: enough that an attacker cannot guess a tag (RFC 3261 19.3 requires at
     * least 32).
     */
    private static final int TAG_BITS = 80;

    private StartTags() {}

    /** Returns a new random tag of lower-case letters and digits. */
    public static String newTag() {
        return new java.math.BigInteger(TAG_BITS, new SecureRandom()).toString(36);
    }
}
