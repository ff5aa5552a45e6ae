package coralcove;

import java.util.List;

/** What a call router is told at its start, in this project's words; times in microseconds. */
public record Settings(
        int routers,
        int ownNumber,
        boolean pools,
        List<Service> services,
        int inviteLimit,
        boolean redialsMarked,
        boolean comeBack,
        long longestComeBack,
        boolean peers,
        boolean subscribe,
        long releaseWait,
        double fallMultiple,
        long fallWindow,
        double coldFrom,
        long warmUp) {

    /** One service; {@code pools} lists the pools it may go to (empty: any). */
    public record Service(
            long target,
            double value,
            double lateValue,
            int width,
            long hold,
            boolean repeatable,
            List<Integer> pools) {}
}
