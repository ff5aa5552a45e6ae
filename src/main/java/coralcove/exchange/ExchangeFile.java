package coralcove.exchange;

import coralcove.config.BadConfig;
import coralcove.config.Hops;
import coralcove.config.ServiceTable;
import coralcove.config.Starts;
import coralcove.config.Toml;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The settings file of a simulated exchange, with its randomly drawn callers; arrival times count
 * from the exchange's start.
 */
public record ExchangeFile(ExchangeSettings settings, boolean cold, List<Arrival> arrivals) {
    /** An exchange called from here and its share of the calls. */
    private record TrafficShare(int to, double share) {}

    /** Reads a settings file and draws the callers from its seed. */
    public static ExchangeFile of(Toml toml) throws BadConfig {
        Toml.Table exchange = toml.table("exchange");
        int number = exchange.whole("number", 0, 65_535);
        long seed = exchange.whole("seed", 1, Integer.MAX_VALUE, 1);
        boolean cold = exchange.flag("cold", false);
        TreeMap<Integer, Integer> groups = new TreeMap<>();
        List<TrafficShare> trafficShares = new ArrayList<>();
        for (Toml.Table each : toml.list("group")) {
            int to = each.whole("to", 0, 65_535);
            if (to == number
                    || groups.putIfAbsent(to, each.whole("circuits", 0, 1_000_000)) != null) {
                throw each.bad(
                        "to",
                        to + (to == number ? " is the exchange itself" : " has a group already"));
            }
            trafficShares.add(new TrafficShare(to, each.number("share", 0, 1e6, 1)));
        }
        List<ExchangeSettings.Service> services = new ArrayList<>();
        List<Double> serviceShares = new ArrayList<>();
        List<Long> holdTimes = new ArrayList<>();
        for (ServiceTable each : ServiceTable.read(toml, true)) {
            services.add(
                    new ExchangeSettings.Service(
                            each.target(),
                            each.limit(),
                            each.value(),
                            each.lateValue(),
                            each.width()));
            serviceShares.add(each.share());
            holdTimes.add(each.hold());
        }
        Toml.Table processor = toml.table("processor");
        ExchangeSettings.Work processingTimes =
                new ExchangeSettings.Work(
                        processor.millis("look_ms", 0, 10_000, 0.2),
                        processor.millis("set_up_ms", 0.001, 10_000, 1),
                        processor.millis("answer_ms", 0, 10_000, 0.35),
                        processor.millis("release_ms", 0, 10_000, 0.35),
                        processor.millis("refuse_ms", 0, 10_000, 0.2),
                        processor.millis("repeat_ms", 0, 10_000, 0.4),
                        processor.millis("probe_ms", 0, 10_000, 0.3),
                        processor.millis("queue_ms", 1, 60_000, 2000),
                        processor.flag("tells_wait", true),
                        processor.millis("resend_ms", 0, 60_000, 0));
        Toml.Table callers = toml.table("callers");
        double rate = callers.number("sessions_per_s", 0, 100_000, 0);
        long duration = callers.seconds("length_s", 0, 86_400, 60);
        ExchangeSettings.Callers callerModel =
                new ExchangeSettings.Callers(
                        callers.whole("redials", 0, 10, 2),
                        callers.number("try_share", 0.01, 1, 0.35),
                        callers.millis("backoff_ms", 1, 60_000, 700),
                        callers.number("honour", 0, 1, 0.7),
                        callers.flag("marks_redials", true));
        Toml.Table rules = toml.table("rules");
        ExchangeSettings settings =
                new ExchangeSettings(
                        number,
                        exchange.whole("id", 0, Integer.MAX_VALUE),
                        Hops.read(exchange, "listen"),
                        Hops.read(exchange, "edge"),
                        Hops.readAll(exchange, "directory"),
                        processingTimes,
                        services,
                        callerModel,
                        new ExchangeSettings.Rules(
                                rules.number("fall_multiple", 1, 100, 3),
                                rules.millis("fall_ms", 1, 60_000, 1500),
                                rules.number("cold_from", 0.01, 1, 0.32),
                                rules.seconds("warm_s", 0.01, 600, 12)),
                        0,
                        groups,
                        callers.whole("hot_lines", 1, 1000, 8),
                        seed,
                        Starts.tag());
        toml.nothingElse();
        List<Arrival> arrivals =
                trafficShares.isEmpty()
                        ? List.of()
                        : draw(
                                new SplittableRandom(seed),
                                rate,
                                duration,
                                serviceShares,
                                holdTimes,
                                trafficShares);
        return new ExchangeFile(settings, cold, arrivals);
    }

    private static List<Arrival> draw(
            RandomGenerator random,
            double rate,
            long duration,
            List<Double> serviceShares,
            List<Long> holdTimes,
            List<TrafficShare> trafficShares) {
        List<Arrival> arrivals = new ArrayList<>();
        long time = 0;
        while (rate > 0) {
            time += Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) / rate * 1e6));
            if (time >= duration) {
                break;
            }
            int service = pick(random, serviceShares);
            TrafficShare target =
                    trafficShares.get(
                            pick(random, trafficShares.stream().map(TrafficShare::share).toList()));
            arrivals.add(
                    new Arrival(
                            time,
                            service,
                            target.to,
                            100 + random.nextInt(900_000),
                            Math.max(
                                    1,
                                    Math.round(
                                            -Math.log(1 - random.nextDouble())
                                                    * holdTimes.get(service)))));
        }
        return arrivals;
    }

    private static int pick(RandomGenerator random, List<Double> weights) {
        double remaining =
                random.nextDouble() * weights.stream().mapToDouble(Double::doubleValue).sum();
        for (int i = 0; i < weights.size(); i++) {
            remaining -= weights.get(i);
            if (remaining < 0) {
                return i;
            }
        }
        return weights.size() - 1;
    }
}
