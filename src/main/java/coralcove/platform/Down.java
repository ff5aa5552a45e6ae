package coralcove.platform;

/**
 * Why a leg is not, or no longer, up: nothing listens there, nothing answers, or it broke after it
 * was up.
 */
public enum Down {
    REFUSED,
    SILENT,
    BROKEN
}
