package coralcove.platform;

/**
 * Whether the exchange list may still be relied on. Each answer of the discovery service renews it;
 * without one it expires, as an exchange may have begun to drain that this router was not told of.
 * Times are µs since the epoch.
 */
final class ExchangeListLease {
    /**
     * Time after which the events that a silent discovery service would have told count as told, by
     * the platform's protocol.
     */
    private static final long DEEMED_TOLD_AFTER_MICROS = 7_000_000;

    private final long duration;
    private long currentAt;
    private boolean expired;

    /**
     * Creates the lease of a list that is current now.
     *
     * @param drainGrace time in which new INVITEs must end once an exchange is told to drain, in µs
     */
    ExchangeListLease(long now, long drainGrace) {
        currentAt = now;
        duration = DEEMED_TOLD_AFTER_MICROS + drainGrace;
    }

    /**
     * The list was current at this time. Returns whether the lease had expired and is valid now.
     */
    boolean renew(long now, long listCurrentAt) {
        currentAt = Math.max(currentAt, listCurrentAt);
        boolean renewed = expired && isValid(now);
        expired &= !renewed;
        return renewed;
    }

    /** Whether INVITEs may be sent by this list. */
    boolean isValid(long now) {
        return now - currentAt < duration;
    }

    /** Notes whether the lease has expired. Returns whether it had not when last called. */
    boolean expire(long now) {
        boolean expires = !expired && !isValid(now);
        expired |= expires;
        return expires;
    }

    /** Time since the list was known to be current, in µs. */
    long age(long now) {
        return now - currentAt;
    }
}
