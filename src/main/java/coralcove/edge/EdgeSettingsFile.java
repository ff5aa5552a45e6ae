package coralcove.edge;

import coralcove.Settings;
import coralcove.baseline.RoutingPolicies;
import coralcove.config.AddressSettings;
import coralcove.config.BadConfig;
import coralcove.config.ServiceTable;
import coralcove.config.StartTags;
import coralcove.config.TomlSettings;
import coralcove.sip.TransportAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The contents of a call router's settings file; docs/operating.md describes its keys. Components
 * of optional tables and keys are null if these are absent.
 *
 * @param settings settings of the router itself
 * @param policy name of the routing policy
 * @param numbers settings of number analysis, or null
 * @param planner address at which the planner connects, or null
 * @param plannerStore file in which the planner stores what it has learnt, or null
 * @param planStore file in which the router stores the plans in force, or null
 * @param planAhead whether the planner plans for forecast loads
 * @param rosterStore file in which the router stores what directories reported, or null
 * @param dns settings for finding routers through DNS, or null
 */
public record EdgeSettingsFile(
        EdgeSettings settings,
        String policy,
        NumberAnalysisSettings numbers,
        TransportAddress planner,
        Path plannerStore,
        Path planStore,
        boolean planAhead,
        Path rosterStore,
        LocatorSettings dns) {
    /**
     * Reads and checks a settings file; throws {@link BadConfig} with the line and key at fault.
     */
    public static EdgeSettingsFile of(TomlSettings toml) throws BadConfig {
        TomlSettings.Table edge = toml.table("edge");
        int number = edge.integer("number", 0, 65_535);
        long seed = edge.integer("seed", 1, Integer.MAX_VALUE, 1);
        String policy = edge.oneOf("policy", RoutingPolicies.NAMES, "choice");
        String rosterStore = edge.text("roster", "");
        List<Settings.Service> services = new ArrayList<>();
        long shortestLimit = Long.MAX_VALUE;
        for (ServiceTable service : ServiceTable.read(toml, false)) {
            shortestLimit = Math.min(shortestLimit, service.limit());
            services.add(
                    new Settings.Service(
                            service.target(),
                            service.value(),
                            service.lateValue(),
                            service.width(),
                            service.hold(),
                            true,
                            List.of()));
        }
        TomlSettings.Table limits = toml.table("limits");
        long maxRetryAfter = limits.microsFromMillis("come_back_ms", 0, 60_000, 2000);
        long answerMargin = limits.microsFromMillis("answer_margin_ms", 0, 5000, 20);
        if (answerMargin >= shortestLimit) {
            throw limits.invalid("answer_margin_ms", "leaves no time of the shortest limit_ms");
        }
        int maxInvites = limits.integer("invites", 1, 20, 4);
        boolean redialsMarked = limits.flag("redials_marked", true);
        boolean peerMessages = limits.flag("peers", true);
        int routerCount = limits.integer("routers", 1, 65_535);
        int maxOpen = limits.integer("max_open", 1, 1_000_000, 20_000);
        TomlSettings.Table rules = toml.table("rules");
        long releaseWait = rules.microsFromMillis("release_ms", 0, 60_000);
        if (releaseWait >= shortestLimit) {
            throw rules.invalid(
                    "release_ms",
                    "is longer than the shortest limit_ms: no second INVITE could be sent");
        }
        Settings policySettings =
                new Settings(
                        routerCount,
                        number,
                        false,
                        services,
                        maxInvites,
                        redialsMarked,
                        maxRetryAfter > 0,
                        maxRetryAfter,
                        peerMessages,
                        true,
                        releaseWait,
                        rules.number("fall_multiple", 1, 100),
                        rules.microsFromMillis("fall_ms", 1, 60_000),
                        rules.number("cold_from", 0.01, 1),
                        rules.microsFromSeconds("warm_s", 0.01, 600));
        EdgeSettings settings =
                new EdgeSettings(
                        number,
                        AddressSettings.read(edge, "listen"),
                        AddressSettings.read(edge, "exchange"),
                        AddressSettings.readAll(edge, "directory"),
                        policySettings,
                        answerMargin,
                        maxOpen,
                        seed,
                        StartTags.newTag());
        if (settings.listenAddress().port() == settings.exchangeAddress().port()
                && settings.listenAddress().host().equals(settings.exchangeAddress().host())) {
            throw edge.invalid("exchange", "is the router's own address");
        }
        NumberAnalysisSettings numbers =
                toml.has("numbers") ? NumberAnalysisSettings.of(toml.table("numbers")) : null;
        LocatorSettings dns =
                toml.has("dns")
                        ? LocatorSettings.of(
                                toml.table("dns"),
                                number,
                                routerCount,
                                new SplittableRandom(settings.startTag().hashCode()))
                        : null;
        TransportAddress planner = null;
        String plannerStore = "";
        String planStore = "";
        boolean planAhead = false;
        if (toml.has("planner")) {
            TomlSettings.Table table = toml.table("planner");
            planner = AddressSettings.read(table, "listen");
            plannerStore = table.text("store", "");
            planStore = table.text("plans", "");
            planAhead = table.flag("ahead", false);
            if (!planStore.isEmpty() && planStore.equals(plannerStore)) {
                throw table.invalid("plans", "is also the planner's store");
            }
            if (!planner.tcp() || !policy.equals("choice")) {
                throw table.invalid(
                        "listen",
                        planner.tcp()
                                ? "a planner is supported only with policy choice"
                                : "is not a tcp: address");
            }
        }
        toml.rejectUnknownKeys();
        return new EdgeSettingsFile(
                settings,
                policy,
                numbers,
                planner,
                plannerStore.isEmpty() ? null : Path.of(plannerStore),
                planStore.isEmpty() ? null : Path.of(planStore),
                planAhead,
                rosterStore.isEmpty() ? null : Path.of(rosterStore),
                dns);
    }
}
