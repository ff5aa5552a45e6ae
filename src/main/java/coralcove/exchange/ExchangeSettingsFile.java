package coralcove.exchange;

import coralcove.config.AddressSettings;
import coralcove.config.BadConfig;
import coralcove.config.ServiceTable;
import coralcove.config.StartTags;
import coralcove.config.TomlSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The settings file of a simulated exchange, with its randomly drawn callers; arrival times count
 * from the exchange's start.
 */
public record ExchangeSettingsFile(
        ExchangeSettings settings, boolean startsCold, List<Arrival> arrivals) {
    /** An exchange called from here and its share of the calls. */
    private record TrafficShare(int to, double share) {}

    /** Reads a settings file and draws the callers from its seed. */
    public static ExchangeSettingsFile read(TomlSettings toml) throws BadConfig {
        TomlSettings.Table exchange = toml.table("exchange");
        int number = exchange.integer("number", 0, 65_535);
        long seed = exchange.integer("seed", 1, Integer.MAX_VALUE, 1);
        boolean cold = exchange.flag("cold", false);
        TreeMap<Integer, Integer> groups = new TreeMap<>();
        List<TrafficShare> trafficShares = new ArrayList<>();
        for (TomlSettings.Table each : toml.list("group")) {
            int to = each.integer("to", 0, 65_535);
            if (to == number
                    || groups.putIfAbsent(to, each.integer("circuits", 0, 1_000_000)) != null) {
                throw each.invalid(
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
        TomlSettings.Table processor = toml.table("processor");
        ExchangeSettings.ProcessingTimes processingTimes =
                new ExchangeSettings.ProcessingTimes(
                        processor.microsFromMillis("look_ms", 0, 10_000, 0.2),
                        processor.microsFromMillis("set_up_ms", 0.001, 10_000, 1),
                        processor.microsFromMillis("answer_ms", 0, 10_000, 0.35),
                        processor.microsFromMillis("release_ms", 0, 10_000, 0.35),
                        processor.microsFromMillis("refuse_ms", 0, 10_000, 0.2),
                        processor.microsFromMillis("repeat_ms", 0, 10_000, 0.4),
                        processor.microsFromMillis("probe_ms", 0, 10_000, 0.3),
                        processor.microsFromMillis("queue_ms", 1, 60_000, 2000),
                        processor.flag("tells_wait", true),
                        processor.microsFromMillis("resend_ms", 0, 60_000, 0));
        TomlSettings.Table callers = toml.table("callers");
        double rate = callers.number("sessions_per_s", 0, 100_000, 0);
        long duration = callers.microsFromSeconds("length_s", 0, 86_400, 60);
        ExchangeSettings.CallerModel callerModel =
                new ExchangeSettings.CallerModel(
                        callers.integer("redials", 0, 10, 2),
                        callers.number("try_share", 0.01, 1, 0.35),
                        callers.microsFromMillis("backoff_ms", 1, 60_000, 700),
                        callers.number("honour", 0, 1, 0.7),
                        callers.flag("marks_redials", true));
        TomlSettings.Table rules = toml.table("rules");
        ExchangeSettings settings =
                new ExchangeSettings(
                        number,
                        exchange.integer("id", 0, Integer.MAX_VALUE),
                        AddressSettings.read(exchange, "listen"),
                        AddressSettings.read(exchange, "edge"),
                        AddressSettings.readAll(exchange, "directory"),
                        processingTimes,
                        services,
                        callerModel,
                        new ExchangeSettings.ColdStartRules(
                                rules.number("fall_multiple", 1, 100, 3),
                                rules.microsFromMillis("fall_ms", 1, 60_000, 1500),
                                rules.number("cold_from", 0.01, 1, 0.32),
                                rules.microsFromSeconds("warm_s", 0.01, 600, 12)),
                        0,
                        groups,
                        callers.integer("hot_lines", 1, 1000, 8),
                        seed,
                        StartTags.newTag());
        toml.rejectUnknownKeys();
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
        return new ExchangeSettingsFile(settings, cold, arrivals);
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
