package coralcove;

import java.util.List;

/** What a call router is told at its start, in this project's words; times in microseconds. */
public record Settings(
        int rank, int routers, int ownNumber, boolean pools, List<Service> services, List<Double> allowances,
        int inviteLimit, boolean redialsMarked, boolean comeBack, long longestComeBack, boolean probes, boolean peers, boolean advice,
        boolean subscribe, long askWithin, long releaseWait, long resendAfter, double fallMultiple, long fallWindow,
        double coldFrom, long warmUp, List<String> columns) {

    /** One service; {@code pools} lists the pools it may go to (empty: any). */
    public record Service(long target, double value, double lateValue, int width, long hold, boolean repeatable,
            List<Integer> pools) {}
}
