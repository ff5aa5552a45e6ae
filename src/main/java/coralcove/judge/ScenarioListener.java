package coralcove.judge;

/** Receives events of a day that captured traffic does not show. */
public interface ScenarioListener {
    /** A call router was killed: it owes no answers for its pending sessions any more. */
    void routerKilled(String node);

    /** An exchange's processor started cold at {@code since}, in µs, as its registration says. */
    void coldStarted(int number, long since);
}
