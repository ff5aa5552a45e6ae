package coralcove.edge;

import coralcove.Settings;
import coralcove.baseline.Policies;
import coralcove.config.BadConfig;
import coralcove.config.Hops;
import coralcove.config.ServiceTable;
import coralcove.config.Starts;
import coralcove.config.Toml;
import coralcove.sip.Hop;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Reads a call router's settings file (docs/operating.md lists its keys); {@code numbers} and
 * {@code planner}, where a planner connects, are null without their tables; {@code store}, where it
 * keeps what it has learnt, and {@code plans}, where the edge keeps the plan in force, and {@code
 * roster}, where it keeps what directories said, without their keys; {@code dns} without its table.
 */
public record EdgeFile(
        EdgeSettings settings,
        String policy,
        NumbersFile numbers,
        Hop planner,
        Path store,
        Path plans,
        boolean ahead,
        Path roster,
        LocatorSettings dns) {
    public static EdgeFile of(Toml toml) throws BadConfig {
        Toml.Table edge = toml.table("edge");
        int number = edge.whole("number", 0, 65_535);
        long seed = edge.whole("seed", 1, Integer.MAX_VALUE, 1);
        String policy = edge.oneOf("policy", Policies.NAMES, "choice");
        String roster = edge.text("roster", "");
        List<Settings.Service> services = new ArrayList<>();
        long shortest = Long.MAX_VALUE;
        for (ServiceTable each : ServiceTable.read(toml, false)) {
            shortest = Math.min(shortest, each.limit());
            services.add(
                    new Settings.Service(
                            each.target(),
                            each.value(),
                            each.lateValue(),
                            each.width(),
                            each.hold(),
                            true,
                            List.of()));
        }
        Toml.Table limits = toml.table("limits");
        long comeBack = limits.millis("come_back_ms", 0, 60_000, 2000);
        long margin = limits.millis("answer_margin_ms", 0, 5000, 20);
        if (margin >= shortest) {
            throw limits.bad("answer_margin_ms", "leaves no time of the shortest limit_ms");
        }
        int invites = limits.whole("invites", 1, 20, 4);
        boolean marked = limits.flag("redials_marked", true);
        boolean peers = limits.flag("peers", true);
        int routers = limits.whole("routers", 1, 65_535);
        int mostOpen = limits.whole("max_open", 1, 1_000_000, 20_000);
        Toml.Table rules = toml.table("rules");
        long release = rules.millis("release_ms", 0, 60_000);
        if (release >= shortest) {
            throw rules.bad(
                    "release_ms",
                    "is longer than the shortest limit_ms: no second INVITE could be sent");
        }
        Settings module =
                new Settings(
                        routers,
                        number,
                        false,
                        services,
                        invites,
                        marked,
                        comeBack > 0,
                        comeBack,
                        peers,
                        true,
                        release,
                        rules.number("fall_multiple", 1, 100),
                        rules.millis("fall_ms", 1, 60_000),
                        rules.number("cold_from", 0.01, 1),
                        rules.seconds("warm_s", 0.01, 600));
        EdgeSettings settings =
                new EdgeSettings(
                        number,
                        Hops.read(edge, "listen"),
                        Hops.read(edge, "exchange"),
                        Hops.readAll(edge, "directory"),
                        module,
                        margin,
                        mostOpen,
                        seed,
                        Starts.tag());
        if (settings.self().port() == settings.exchange().port()
                && settings.self().host().equals(settings.exchange().host())) {
            throw edge.bad("exchange", "is the router's own address");
        }
        NumbersFile numbers = toml.has("numbers") ? NumbersFile.of(toml.table("numbers")) : null;
        LocatorSettings dns =
                toml.has("dns")
                        ? LocatorSettings.of(
                                toml.table("dns"),
                                number,
                                routers,
                                new SplittableRandom(settings.start().hashCode()))
                        : null;
        Hop planner = null;
        String store = "";
        String plans = "";
        boolean ahead = false;
        if (toml.has("planner")) {
            Toml.Table table = toml.table("planner");
            planner = Hops.read(table, "listen");
            store = table.text("store", "");
            plans = table.text("plans", "");
            ahead = table.flag("ahead", false);
            if (!plans.isEmpty() && plans.equals(store)) {
                throw table.bad("plans", "is the planner's own store");
            }
            if (!planner.tcp() || !policy.equals("choice")) {
                throw table.bad(
                        "listen",
                        planner.tcp() ? "only policy choice has a planner" : "is not tcp:");
            }
        }
        toml.nothingElse();
        return new EdgeFile(
                settings,
                policy,
                numbers,
                planner,
                store.isEmpty() ? null : Path.of(store),
                plans.isEmpty() ? null : Path.of(plans),
                ahead,
                roster.isEmpty() ? null : Path.of(roster),
                dns);
    }
}
