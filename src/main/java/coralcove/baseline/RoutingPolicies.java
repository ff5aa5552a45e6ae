package coralcove.baseline;

import coralcove.CallRouter;
import coralcove.ExponentialPenaltyRouter;
import coralcove.Settings;
import java.util.List;
import java.util.SplittableRandom;

/** The routing policies that a router can be started with, by name. */
public final class RoutingPolicies {
    public static final List<String> NAMES =
            List.of("choice", "direct", "first-tandem", "reserved", "least-busy", "one-tandem");

    private RoutingPolicies() {}

    /**
     * A router with this policy, one of {@link #NAMES}; any other name gives the regular policy.
     */
    public static CallRouter create(String policy, Settings settings, long seed) {
        return switch (policy) {
            case "direct" ->
                    new BaselineRouter(settings, BaselineRouter.OverflowPolicy.DIRECT_ONLY);
            case "first-tandem" ->
                    new BaselineRouter(settings, BaselineRouter.OverflowPolicy.FIRST_TANDEM);
            case "reserved" ->
                    new BaselineRouter(settings, BaselineRouter.OverflowPolicy.TRUNK_RESERVATION);
            case "one-tandem" ->
                    new BaselineRouter(settings, BaselineRouter.OverflowPolicy.RANDOM_TANDEM, seed);
            case "least-busy" ->
                    new BaselineRouter(settings, BaselineRouter.OverflowPolicy.LEAST_BUSY);
            default -> new ExponentialPenaltyRouter(settings, new SplittableRandom(seed));
        };
    }
}
