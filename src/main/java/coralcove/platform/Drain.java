package coralcove.platform;

/**
 * The graceful shutdown of a router after SIGTERM. It accepts set-ups while the front still sends
 * some, then stops accepting connections, then waits until callers are quiet and have acknowledged
 * the releases sent to them. Only then it exits and closes its exchange connections: an exchange
 * finds undelivered what it sends from then on, and sends it again to the next router.
 */
final class Drain {
    /** Time after SIGTERM in which set-ups are accepted; later ones are refused at once. */
    private static final long ACCEPT_SET_UPS_MICROS = 1_000_000;

    /** Time without input from callers after which the next step is taken. */
    private static final long QUIET_MICROS = 150_000;

    /**
     * Maximum time to wait for acknowledgements of releases: a caller that is alive acknowledges
     * within some ms, one that is gone never does.
     */
    private static final long ACKNOWLEDGEMENT_WAIT_MICROS = 600_000;

    /** What the router has to do next. */
    enum Step {
        NONE,
        STOP_ACCEPTING,
        EXIT
    }

    private long begunAt;
    private long stoppedAcceptingAt;
    private long acknowledgementWaitFrom;
    private boolean exited;

    /** Begins the drain; returns false if it has begun already. */
    boolean begin(long now) {
        boolean first = begunAt == 0;
        begunAt = first ? now : begunAt;
        return first;
    }

    boolean begun() {
        return begunAt > 0;
    }

    boolean acceptsSetUps(long now) {
        return begunAt == 0 || now - begunAt <= ACCEPT_SET_UPS_MICROS;
    }

    /**
     * Returns the next step, each but {@link Step#NONE} once.
     *
     * @param idle whether no session is pending and all inputs are processed
     * @param lastCallerInputAt time of the last input from a caller, in µs
     * @param unacknowledged whether a release is not acknowledged yet
     */
    Step step(long now, boolean idle, long lastCallerInputAt, boolean unacknowledged) {
        boolean quiet = idle && now - lastCallerInputAt > QUIET_MICROS;
        if (acceptsSetUps(now) || !quiet || exited) {
            acknowledgementWaitFrom = 0;
            return Step.NONE;
        }
        if (stoppedAcceptingAt == 0) {
            stoppedAcceptingAt = now;
            return Step.STOP_ACCEPTING;
        }
        if (now - stoppedAcceptingAt <= QUIET_MICROS) {
            return Step.NONE;
        }
        acknowledgementWaitFrom = acknowledgementWaitFrom == 0 ? now : acknowledgementWaitFrom;
        exited = !unacknowledged || now - acknowledgementWaitFrom > ACKNOWLEDGEMENT_WAIT_MICROS;
        return exited ? Step.EXIT : Step.NONE;
    }
}
