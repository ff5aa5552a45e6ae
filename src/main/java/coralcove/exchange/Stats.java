package coralcove.exchange;

import java.util.Map;
import java.util.TreeMap;
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

    /**
     * Value served by service, and by the second of the callers' first tries (of all time, so that
     * days can be laid beside).
     */
    public final Map<Integer, Double> servedByService = new TreeMap<>();

    public final Map<Long, Double> servedBySecond = new TreeMap<>();

    /** Calls that stood, by service and the second of the caller's first try. */
    private final Map<Integer, TreeMap<Long, Integer>> standing = new TreeMap<>();

    /**
     * Value not served by what became of the caller's last try; {@link #LATE} and {@link #CUT} are
     * parts of calls that stood.
     */
    public final Map<String, Double> lost = new TreeMap<>();

    public static final String LATE = "late";
    public static final String CUT = "cut";
    private static final long SECOND = 1_000_000;

    /** A call stood, or ({@code value} below 0) what it had earned is lost again. */
    void served(Arrival arrival, double value) {
        valueServed += value;
        servedByService.merge(arrival.service(), value, Double::sum);
        servedBySecond.merge(arrival.at() / SECOND, value, Double::sum);
    }

    void stands(Arrival arrival) {
        stood++;
        standing.computeIfAbsent(arrival.service(), s -> new TreeMap<>())
                .merge(arrival.at() / SECOND, 1, Integer::sum);
    }

    /** Calls of a service that stood whose callers first tried in second {@code from} or later. */
    public long standing(int service, long from) {
        return standing.getOrDefault(service, new TreeMap<>()).tailMap(from).values().stream()
                .mapToLong(n -> n)
                .sum();
    }

    void lost(String why, double value) {
        lost.merge(why, value, Double::sum);
    }

    public void add(Stats other) {
        other.servedByService.forEach(
                (key, value) -> servedByService.merge(key, value, Double::sum));
        other.servedBySecond.forEach((key, value) -> servedBySecond.merge(key, value, Double::sum));
        other.standing.forEach(
                (service, seconds) ->
                        seconds.forEach(
                                (second, count) ->
                                        standing.computeIfAbsent(service, s -> new TreeMap<>())
                                                .merge(second, count, Integer::sum)));
        other.lost.forEach((key, value) -> lost.merge(key, value, Double::sum));
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
