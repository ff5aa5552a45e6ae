package coralcove.platform;

/** Why a connection to an exchange did not come up, or was lost. */
public enum ConnectionLoss {
    /** The connection attempt was refused: nothing listens at the address. */
    REFUSED,
    /** The connection attempt timed out. */
    SILENT,
    /** The connection was lost after it had come up. */
    BROKEN
}
