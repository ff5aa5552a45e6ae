package coralcove.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.bound.Demand;
import coralcove.bound.DemandNetwork;
import coralcove.bound.LagrangianBound;
import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import coralcove.exchange.Arrival;
import coralcove.rehearsal.Scenario;
import coralcove.rehearsal.ScenarioFile;
import coralcove.rehearsal.ScenarioResult;
import coralcove.rehearsal.ScenarioRunner;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Executes one run of an experiment in virtual time and computes its metrics. They depend on the
 * inputs only, never on the clock of the machine.
 */
public final class RunExecutor {
    private static final long SECOND_MICROS = 1_000_000;

    private static final int WORST_PERIOD_SECONDS = 10;

    /** µs: length of a time slice in the upper bound, about as long as most hold times. */
    private static final long SLICE_MICROS = 10_000_000;

    /** Greatest number of time slices in the upper bound. */
    private static final int MAX_SLICES = 12;

    private RunExecutor() {}

    /**
     * Executes a run and returns its metrics.
     *
     * @param day settings of the day
     * @param policy name of the routing policy
     * @param boundRequired whether the upper bound of the demand is computed
     */
    public static ObjectNode execute(
            ObjectNode day, long seed, String policy, boolean boundRequired)
            throws BadConfig, IOException {
        Scenario generatedDay = ScenarioFile.parse(TomlSettings.from("day", day), seed);
        ScenarioResult result =
                ScenarioRunner.runVirtual(generatedDay, seed, policy, null, null, false, true);
        return metrics(generatedDay, result, boundRequired);
    }

    static ObjectNode metrics(Scenario day, ScenarioResult result, boolean boundRequired) {
        ObjectNode metrics = new ObjectMapper().createObjectNode();
        metrics.put("share", round(result.servedShare()));
        metrics.put("worst_10s", round(worstShare(day, result)));
        metrics.put("offered", round(result.offeredValue()))
                .put("served", round(result.stats().valueServed));
        metrics.put("sessions", result.stats().sessions).put("stood", result.stats().established);
        metrics.put("busy_replied", result.stats().busyReplied)
                .put("gave_up", result.stats().abandoned);
        metrics.put("set_up_p50_ms", result.stats().postDialDelay.getValueAtPercentile(50) / 1e3);
        metrics.put("set_up_p99_ms", result.stats().postDialDelay.getValueAtPercentile(99) / 1e3);
        double[] offered = new double[day.services().size()];
        for (List<Arrival> arrivals : day.arrivals()) {
            for (Arrival arrival : arrivals) {
                offered[arrival.service()] += day.services().get(arrival.service()).value();
            }
        }
        ObjectNode services = metrics.putObject("share_by_service");
        for (int i = 0; i < offered.length; i++) {
            services.put(
                    day.services().get(i).name(),
                    offered[i] == 0
                            ? 1
                            : round(
                                    result.stats().servedByService.getOrDefault(i, 0.0)
                                            / offered[i]));
        }
        ObjectNode lost = metrics.putObject("lost");
        double accountedFor = result.stats().valueServed;
        for (Map.Entry<String, Double> loss : new TreeMap<>(result.stats().lostValue).entrySet()) {
            lost.put(loss.getKey(), round(loss.getValue() / result.offeredValue()));
            accountedFor += loss.getValue();
        }
        // The rest belongs to callers of an exchange that was down: they never dialled, or the
        // exchange failed during their call attempt.
        lost.put(
                "exchange down",
                round(Math.max(0, result.offeredValue() - accountedFor) / result.offeredValue()));
        long broken = 0;
        long checked = 0;
        for (var verdict : result.ruleResults().values()) {
            broken += verdict.broken();
            checked += verdict.checked();
        }
        metrics.put("broken", broken).put("checked", checked);
        if (boundRequired) {
            metrics.put(
                    "bound",
                    round(
                            Math.min(
                                    1,
                                    new LagrangianBound(demandNetwork(day)).value()
                                            / result.offeredValue())));
        }
        return metrics;
    }

    /**
     * Returns the least share of the offered value that was served in any ten consecutive seconds,
     * counted in full seconds from the start of the day by the time of the caller's first attempt.
     */
    private static double worstShare(Scenario day, ScenarioResult result) {
        int seconds = (int) (day.duration() / SECOND_MICROS);
        double[] offered = new double[seconds + 1];
        for (List<Arrival> arrivals : day.arrivals()) {
            for (Arrival arrival : arrivals) {
                offered[(int) (arrival.arrivalTime() / SECOND_MICROS)] +=
                        day.services().get(arrival.service()).value();
            }
        }
        long firstSecond = result.startTime() / SECOND_MICROS;
        double worst = 1;
        for (int start = 0; start + WORST_PERIOD_SECONDS <= seconds; start++) {
            double offeredInPeriod = 0;
            double servedInPeriod = 0;
            for (int second = start; second < start + WORST_PERIOD_SECONDS; second++) {
                offeredInPeriod += offered[second];
                servedInPeriod +=
                        result.stats().servedBySecond.getOrDefault(firstSecond + second, 0.0);
            }
            worst =
                    offeredInPeriod == 0
                            ? worst
                            : Math.min(worst, servedInPeriod / offeredInPeriod);
        }
        return worst;
    }

    /**
     * Returns the demand of a day as it was generated, the calls of a crowd included. Faults remove
     * no capacity, so the bound holds with and without them.
     */
    static DemandNetwork demandNetwork(Scenario day) {
        int exchanges = day.exchangeCount();
        int services = day.services().size();
        int slices = (int) Math.max(1, Math.min(MAX_SLICES, day.duration() / SLICE_MICROS));
        Map<Long, Integer> counts = new TreeMap<>();
        for (int from = 0; from < exchanges; from++) {
            for (Arrival arrival : day.arrivals().get(from)) {
                long slice = arrival.arrivalTime() * slices / day.duration();
                counts.merge(
                        ((slice * services + arrival.service()) * exchanges + from) * exchanges
                                + arrival.farEnd(),
                        1,
                        Integer::sum);
            }
        }
        List<Demand> demands = new ArrayList<>();
        counts.forEach(
                (key, count) -> {
                    int service = (int) (key / exchanges / exchanges % services);
                    Scenario.Service demanded = day.services().get(service);
                    demands.add(
                            new Demand(
                                    (int) (key / exchanges % exchanges),
                                    (int) (key % exchanges),
                                    (int) (key / exchanges / exchanges / services),
                                    demanded.width(),
                                    demanded.meanHoldTime() / 1e6,
                                    count,
                                    demanded.value()));
                });
        return new DemandNetwork(day.groups(), slices, day.duration() / 1e6 / slices, demands);
    }

    private static double round(double value) {
        return Math.round(value * 1e6) / 1e6;
    }
}
