package coralcove.exchange;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What the callers of one simulated exchange experienced. Kept outside the exchange, so that it
 * survives the exchange's crash.
 */
public final class CallerStats {
    /** The longest delay that the histogram distinguishes. */
    private static final long MAX_SET_UP_MICROS = 60_000_000;

    /** INVITEs sent to the call router. */
    public long sessions;

    public long finalAnswers;

    /** Calls that were established. */
    public long established;

    public long busyReplied;
    public long terminated;

    /** Attempts that the caller abandoned before a final answer. */
    public long abandoned;

    /** Attempts rejected by the local exchange because its processor was overloaded. */
    public long rejectedLocally;

    /** Established calls that were cut off before the caller hung up. */
    public long cutOff;

    /** Value of the calls that were established, without those cut off. */
    public double valueServed;

    /** µs from an attempt to the established call, as seen by the caller. */
    public final Histogram postDialDelay = new Histogram(MAX_SET_UP_MICROS, 3);

    /** Value served, by service. */
    public final Map<Integer, Double> servedByService = new TreeMap<>();

    /** Value served, by the second of the caller's first attempt. */
    public final Map<Long, Double> servedBySecond = new TreeMap<>();

    /** Established calls, by service and the second of the caller's first attempt. */
    private final Map<Integer, TreeMap<Long, Integer>> establishedBySecond = new TreeMap<>();

    /**
     * Value not served, by the outcome of the caller's last attempt; {@link #LATE} and {@link
     * #CUT_OFF} are shares of established calls.
     */
    public final Map<String, Double> lostValue = new TreeMap<>();

    public static final String LATE = "late";
    public static final String CUT_OFF = "cut";
    private static final long MICROS_PER_SECOND = 1_000_000;

    /**
     * Adds the value of an established call; a negative value takes it back when the call is cut
     * off.
     */
    void addServedValue(Arrival arrival, double value) {
        valueServed += value;
        servedByService.merge(arrival.service(), value, Double::sum);
        servedBySecond.merge(arrival.arrivalTime() / MICROS_PER_SECOND, value, Double::sum);
    }

    /** Counts an established call. */
    void callEstablished(Arrival arrival) {
        established++;
        establishedBySecond
                .computeIfAbsent(arrival.service(), s -> new TreeMap<>())
                .merge(arrival.arrivalTime() / MICROS_PER_SECOND, 1, Integer::sum);
    }

    /**
     * Established calls of a service whose callers made their first attempt in second {@code from}
     * or later.
     */
    public long establishedSince(int service, long from) {
        return establishedBySecond
                .getOrDefault(service, new TreeMap<>())
                .tailMap(from)
                .values()
                .stream()
                .mapToLong(n -> n)
                .sum();
    }

    /** Adds value lost for a reason. */
    void addLostValue(String reason, double value) {
        lostValue.merge(reason, value, Double::sum);
    }

    /** Adds all figures of another exchange. */
    public void add(CallerStats other) {
        other.servedByService.forEach(
                (key, value) -> servedByService.merge(key, value, Double::sum));
        other.servedBySecond.forEach((key, value) -> servedBySecond.merge(key, value, Double::sum));
        other.establishedBySecond.forEach(
                (service, seconds) ->
                        seconds.forEach(
                                (second, count) ->
                                        establishedBySecond
                                                .computeIfAbsent(service, s -> new TreeMap<>())
                                                .merge(second, count, Integer::sum)));
        other.lostValue.forEach((key, value) -> lostValue.merge(key, value, Double::sum));
        sessions += other.sessions;
        finalAnswers += other.finalAnswers;
        established += other.established;
        busyReplied += other.busyReplied;
        terminated += other.terminated;
        abandoned += other.abandoned;
        rejectedLocally += other.rejectedLocally;
        cutOff += other.cutOff;
        valueServed += other.valueServed;
        postDialDelay.add(other.postDialDelay);
    }
}
