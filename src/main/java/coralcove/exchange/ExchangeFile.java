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
 * Reads a stand-in exchange's settings file and draws its callers; times of arrivals count from its
 * start.
 */
public record ExchangeFile(ExchangeSettings settings, boolean cold, List<Arrival> arrivals) {
    private record Pull(int to, double share) {}

    public static ExchangeFile of(Toml toml) throws BadConfig {
        Toml.Table exchange = toml.table("exchange");
        int number = exchange.whole("number", 0, 65_535);
        long seed = exchange.whole("seed", 1, Integer.MAX_VALUE, 1);
        boolean cold = exchange.flag("cold", false);
        TreeMap<Integer, Integer> groups = new TreeMap<>();
        List<Pull> pulls = new ArrayList<>();
        for (Toml.Table each : toml.list("group")) {
            int to = each.whole("to", 0, 65_535);
            if (to == number
                    || groups.putIfAbsent(to, each.whole("circuits", 0, 1_000_000)) != null) {
                throw each.bad(
                        "to",
                        to + (to == number ? " is the exchange itself" : " has a group already"));
            }
            pulls.add(new Pull(to, each.number("share", 0, 1e6, 1)));
        }
        List<ExchangeSettings.Service> services = new ArrayList<>();
        List<Double> shares = new ArrayList<>();
        List<Long> holds = new ArrayList<>();
        for (ServiceTable each : ServiceTable.read(toml, true)) {
            services.add(
                    new ExchangeSettings.Service(
                            each.target(),
                            each.limit(),
                            each.value(),
                            each.lateValue(),
                            each.width()));
            shares.add(each.share());
            holds.add(each.hold());
        }
        Toml.Table work = toml.table("processor");
        ExchangeSettings.Work costs =
                new ExchangeSettings.Work(
                        work.millis("look_ms", 0, 10_000, 0.2),
                        work.millis("set_up_ms", 0.001, 10_000, 1),
                        work.millis("answer_ms", 0, 10_000, 0.35),
                        work.millis("release_ms", 0, 10_000, 0.35),
                        work.millis("refuse_ms", 0, 10_000, 0.2),
                        work.millis("repeat_ms", 0, 10_000, 0.4),
                        work.millis("probe_ms", 0, 10_000, 0.3),
                        work.millis("queue_ms", 1, 60_000, 2000),
                        work.flag("tells_wait", true),
                        work.millis("resend_ms", 0, 60_000, 0));
        Toml.Table habits = toml.table("callers");
        double rate = habits.number("sessions_per_s", 0, 100_000, 0);
        long length = habits.seconds("length_s", 0, 86_400, 60);
        ExchangeSettings.Callers callers =
                new ExchangeSettings.Callers(
                        habits.whole("redials", 0, 10, 2),
                        habits.number("try_share", 0.01, 1, 0.35),
                        habits.millis("backoff_ms", 1, 60_000, 700),
                        habits.number("honour", 0, 1, 0.7),
                        habits.flag("marks_redials", true));
        Toml.Table rules = toml.table("rules");
        ExchangeSettings settings =
                new ExchangeSettings(
                        number,
                        exchange.whole("id", 0, Integer.MAX_VALUE),
                        Hops.read(exchange, "listen"),
                        Hops.read(exchange, "edge"),
                        Hops.readAll(exchange, "directory"),
                        costs,
                        services,
                        callers,
                        new ExchangeSettings.Rules(
                                rules.number("fall_multiple", 1, 100, 3),
                                rules.millis("fall_ms", 1, 60_000, 1500),
                                rules.number("cold_from", 0.01, 1, 0.32),
                                rules.seconds("warm_s", 0.01, 600, 12)),
                        0,
                        groups,
                        habits.whole("hot_lines", 1, 1000, 8),
                        seed,
                        Starts.tag());
        toml.nothingElse();
        List<Arrival> arrivals =
                pulls.isEmpty()
                        ? List.of()
                        : draw(new SplittableRandom(seed), rate, length, shares, holds, pulls);
        return new ExchangeFile(settings, cold, arrivals);
    }

    private static List<Arrival> draw(
            RandomGenerator chance,
            double rate,
            long length,
            List<Double> shares,
            List<Long> holds,
            List<Pull> pulls) {
        List<Arrival> list = new ArrayList<>();
        long at = 0;
        while (rate > 0) {
            at += Math.max(1, Math.round(-Math.log(1 - chance.nextDouble()) / rate * 1e6));
            if (at >= length) {
                break;
            }
            int service = pick(chance, shares);
            Pull pull = pulls.get(pick(chance, pulls.stream().map(Pull::share).toList()));
            list.add(
                    new Arrival(
                            at,
                            service,
                            pull.to,
                            100 + chance.nextInt(900_000),
                            Math.max(
                                    1,
                                    Math.round(
                                            -Math.log(1 - chance.nextDouble())
                                                    * holds.get(service)))));
        }
        return list;
    }

    private static int pick(RandomGenerator chance, List<Double> weights) {
        double left = chance.nextDouble() * weights.stream().mapToDouble(Double::doubleValue).sum();
        for (int i = 0; i < weights.size(); i++) {
            left -= weights.get(i);
            if (left < 0) {
                return i;
            }
        }
        return weights.size() - 1;
    }
}
