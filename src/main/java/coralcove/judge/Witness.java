package coralcove.judge;

/** Hears of what a day does that no traffic shows. */
public interface Witness {
    /** A call router was killed: what it held is no longer its duty. */
    void killed(String node);

    /** A processor started cold at {@code since}, as its registration tells. */
    void started(int number, long since);
}
