package coralcove.platform;

/**
 * What a connection has shown of being a caller's, weakest first.
 *
 * <p>Clients that place no calls connect too, and some request calls that no exchange can take as
 * fast as they are refused. So a connection earns the releases of calls by calls that were
 * established on it, not by requests.
 */
enum CallerEvidence {
    /** Nothing yet. */
    NONE,

    /** It has sent a valid message, if only a readiness check. */
    VALID_MESSAGE,

    /** It has requested a call. */
    REQUESTED_CALL,

    /** It has reported a call as established. */
    REPORTED_CALL,

    /** A call that it requested was established, or one that it reported was released. */
    ESTABLISHED_CALL,

    /** It has acknowledged a release that was sent on it: its client reads and knows the call. */
    ACKNOWLEDGED_RELEASE;

    /** Whether only a caller can have given it. */
    boolean isProof() {
        return compareTo(ESTABLISHED_CALL) >= 0;
    }
}
