package coralcove.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.bound.Demand;
import coralcove.bound.Network;
import coralcove.bound.PricedBound;
import coralcove.config.BadConfig;
import coralcove.config.Toml;
import coralcove.exchange.Arrival;
import coralcove.rehearsal.Day;
import coralcove.rehearsal.DayFile;
import coralcove.rehearsal.Rehearse;
import coralcove.rehearsal.Result;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plays one day of an experiment and tells it in figures that only its inputs make: no clock of the
 * machine is in them.
 */
public final class OneRun {
    private static final long SECOND = 1_000_000;

    /** Seconds of the worst stretch. */
    private static final int STRETCH = 10;

    /** µs of a slice of the bound, as long as most holds, and slices at most. */
    private static final long SLICE = 10_000_000;

    private static final int MOST_SLICES = 12;

    private OneRun() {}

    public static ObjectNode play(ObjectNode day, long seed, String policy, boolean bounded)
            throws BadConfig, IOException {
        Day drawn = DayFile.of(Toml.of("day", day), seed);
        Result result = Rehearse.virtual(drawn, seed, policy, null, null, false, true);
        return figures(drawn, result, bounded);
    }

    static ObjectNode figures(Day day, Result result, boolean bounded) {
        ObjectNode out = new ObjectMapper().createObjectNode();
        out.put("share", round(result.share()));
        out.put("worst_10s", round(worst(day, result)));
        out.put("offered", round(result.offered()))
                .put("served", round(result.stats().valueServed));
        out.put("sessions", result.stats().sessions).put("stood", result.stats().stood);
        out.put("busy_replied", result.stats().busyReplied).put("gave_up", result.stats().gaveUp);
        out.put("set_up_p50_ms", result.stats().setUp.getValueAtPercentile(50) / 1e3);
        out.put("set_up_p99_ms", result.stats().setUp.getValueAtPercentile(99) / 1e3);
        double[] offered = new double[day.services().size()];
        for (List<Arrival> list : day.arrivals()) {
            for (Arrival each : list) {
                offered[each.service()] += day.services().get(each.service()).value();
            }
        }
        ObjectNode services = out.putObject("share_by_service");
        for (int i = 0; i < offered.length; i++) {
            services.put(
                    day.services().get(i).name(),
                    offered[i] == 0
                            ? 1
                            : round(
                                    result.stats().servedByService.getOrDefault(i, 0.0)
                                            / offered[i]));
        }
        ObjectNode lost = out.putObject("lost");
        double told = result.stats().valueServed;
        for (Map.Entry<String, Double> each : new TreeMap<>(result.stats().lost).entrySet()) {
            lost.put(each.getKey(), round(each.getValue() / result.offered()));
            told += each.getValue();
        }
        // Callers of an exchange that was down never dialled, or were in the middle of it.
        lost.put("exchange down", round(Math.max(0, result.offered() - told) / result.offered()));
        long broken = 0;
        long checked = 0;
        for (var verdict : result.rules().values()) {
            broken += verdict.broken();
            checked += verdict.checked();
        }
        out.put("broken", broken).put("checked", checked);
        if (bounded) {
            out.put(
                    "bound",
                    round(Math.min(1, new PricedBound(network(day)).value() / result.offered())));
        }
        return out;
    }

    /**
     * The least share of ten seconds in a row, by the callers' first tries, whole seconds from the
     * day's start.
     */
    private static double worst(Day day, Result result) {
        int seconds = (int) (day.length() / SECOND);
        double[] offered = new double[seconds + 1];
        for (List<Arrival> list : day.arrivals()) {
            for (Arrival each : list) {
                offered[(int) (each.at() / SECOND)] += day.services().get(each.service()).value();
            }
        }
        long zero = result.zero() / SECOND;
        double worst = 1;
        for (int from = 0; from + STRETCH <= seconds; from++) {
            double wanted = 0;
            double served = 0;
            for (int s = from; s < from + STRETCH; s++) {
                wanted += offered[s];
                served += result.stats().servedBySecond.getOrDefault(zero + s, 0.0);
            }
            worst = wanted == 0 ? worst : Math.min(worst, served / wanted);
        }
        return worst;
    }

    /**
     * The day's demand as it was drawn; a crowd's calls too. Troubles take no room away: the bound
     * stays above all.
     */
    static Network network(Day day) {
        int n = day.exchanges();
        int services = day.services().size();
        int slices = (int) Math.max(1, Math.min(MOST_SLICES, day.length() / SLICE));
        Map<Long, Integer> counts = new TreeMap<>();
        for (int from = 0; from < n; from++) {
            for (Arrival each : day.arrivals().get(from)) {
                long slice = each.at() * slices / day.length();
                counts.merge(
                        ((slice * services + each.service()) * n + from) * n + each.farEnd(),
                        1,
                        Integer::sum);
            }
        }
        List<Demand> demands = new ArrayList<>();
        counts.forEach(
                (key, count) -> {
                    int service = (int) (key / n / n % services);
                    Day.Service of = day.services().get(service);
                    demands.add(
                            new Demand(
                                    (int) (key / n % n),
                                    (int) (key % n),
                                    (int) (key / n / n / services),
                                    of.width(),
                                    of.hold() / 1e6,
                                    count,
                                    of.value()));
                });
        return new Network(day.groups(), slices, day.length() / 1e6 / slices, demands);
    }

    private static double round(double value) {
        return Math.round(value * 1e6) / 1e6;
    }
}
