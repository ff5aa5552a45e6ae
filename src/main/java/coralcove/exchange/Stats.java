package coralcove.exchange;

import org.HdrHistogram.Histogram;

/** What the callers of one exchange saw; kept outside the stand-in, so that it outlives a death. */
public final class Stats {
    private static final long LONGEST = 60_000_000;

    public long sessions;
    public long finalAnswers;
    public long stood;
    public long busyReplied;
    public long terminated;
    public long gaveUp;
    public long turnedAway;
    public long cut;
    public double valueServed;
    /** µs from a caller's try to its call standing, as it saw it. */
    public final Histogram setUp = new Histogram(LONGEST, 3);

    public void add(Stats other) {
        sessions += other.sessions;
        finalAnswers += other.finalAnswers;
        stood += other.stood;
        busyReplied += other.busyReplied;
        terminated += other.terminated;
        gaveUp += other.gaveUp;
        turnedAway += other.turnedAway;
        cut += other.cut;
        valueServed += other.valueServed;
        setUp.add(other.setUp);
    }
}
