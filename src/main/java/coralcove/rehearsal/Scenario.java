package coralcove.rehearsal;

import coralcove.Settings;
import coralcove.exchange.Arrival;
import coralcove.exchange.ExchangeSettings;
import coralcove.judge.Rules;
import coralcove.network.VirtualNetwork.NetworkConditions;
import coralcove.numbers.PortabilityCache;
import java.util.ArrayList;
import java.util.List;

/**
 * A scenario ready to be run: the exchanges, the trunk groups between them, the arrivals of calls
 * and the faults to inject. Times are µs from the start of the scenario. {@code groups[i][j]} is
 * the number of circuits between exchanges i and j. If {@code dnsTtl}, the time to live of DNS
 * records in seconds, is above 0, routers are also discovered by DNS. {@code unmappedSettings}
 * describes the settings of a foreign format that have no counterpart here.
 */
public record Scenario(
        String name,
        long duration,
        int[] zones,
        int[][] groups,
        List<List<Arrival>> arrivals,
        List<Service> services,
        ExchangeSettings.ProcessingTimes processingTimes,
        double[] speeds,
        ExchangeSettings.CallerModel callerModel,
        int hotNumberLines,
        DirectoryDelays directoryDelays,
        Rules rules,
        RouterLimits routerLimits,
        NetworkConditions networkConditions,
        String transport,
        List<InjectedFault> faults,
        List<String> unmappedSettings,
        NumberPlan numberPlan,
        Planners planners,
        int directoryCount,
        long dnsTtl) {

    /** Maximum number of directories in a scenario. */
    public static final int MAX_DIRECTORIES = 4;

    /**
     * A service: {@code meanHoldTime} is its mean hold time, {@code width} the circuits a session
     * takes.
     */
    public record Service(
            String name,
            long target,
            long limit,
            double value,
            double lateValue,
            int width,
            long meanHoldTime) {}

    /**
     * The dialled numbers that routers resolve to far ends; null where callers name the far end
     * itself. {@code portedShare} is the share of calls to numbers that only the portability server
     * can resolve, {@code portedLines} the number of such numbers at each exchange, {@code
     * unusedPrefixes} the number of table prefixes that are never dialled. A new table is loaded
     * every {@code replaceInterval} µs, 0 for never. The portability server answers after about
     * {@code serverDelay} µs with a time to live of {@code recordTtl} seconds.
     */
    public record NumberPlan(
            double portedShare,
            int portedLines,
            int unusedPrefixes,
            long replaceInterval,
            long serverDelay,
            long recordTtl,
            int maxTables,
            PortabilityCache.Settings porting) {}

    /**
     * Planners that run in separate processes; null for none. With {@code planAhead} they plan for
     * forecast loads.
     */
    public record Planners(boolean planAhead) {}

    /**
     * Delays of a directory's notifications in µs: of a drain or an end, of the silence of an
     * exchange, and of a start.
     */
    public record DirectoryDelays(long notice, long silence, long add) {}

    /**
     * Limits and permissions of the routers. {@code retryAfter} is the longest retry-after delay in
     * µs, 0 if routers may not state one; {@code peers} allows messages between routers.
     */
    public record RouterLimits(
            int maxInvites,
            long retryAfter,
            boolean peers,
            boolean redialsMarked,
            long answerMargin,
            int maxOpenSessions) {}

    /** Number of exchanges. */
    public int exchangeCount() {
        return zones.length;
    }

    /** Settings of the routing policy at exchange {@code number}. */
    public Settings settings(int number) {
        List<Settings.Service> settings = new ArrayList<>();
        for (Service each : services) {
            settings.add(
                    new Settings.Service(
                            each.target,
                            each.value,
                            each.lateValue,
                            each.width,
                            each.meanHoldTime,
                            true,
                            List.of()));
        }
        return new Settings(
                exchangeCount(),
                number,
                false,
                settings,
                routerLimits.maxInvites,
                routerLimits.redialsMarked,
                routerLimits.retryAfter > 0,
                routerLimits.retryAfter,
                routerLimits.peers,
                true,
                rules.releaseWait(),
                rules.overloadMultiple(),
                rules.overloadWindow(),
                rules.coldCapacityShare(),
                rules.warmUp());
    }

    /** Total value of all callers' first attempts. */
    public double offeredValue() {
        double sum = 0;
        for (List<Arrival> exchangeArrivals : arrivals) {
            for (Arrival each : exchangeArrivals) {
                sum += services.get(each.service()).value;
            }
        }
        return sum;
    }
}
