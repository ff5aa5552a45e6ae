package coralcove.baseline;

import coralcove.CallRouter;
import coralcove.ExponentialPenaltyRouter;
import coralcove.Settings;
import java.util.List;
import java.util.SplittableRandom;

/** The routing policies that a router can be started with, by name. */
public final class Policies {
    public static final List<String> NAMES =
            List.of("choice", "direct", "first-tandem", "reserved", "least-busy", "one-tandem");

    private Policies() {}

    /**
     * A router with this policy, one of {@link #NAMES}; any other name gives the regular policy.
     */
    public static CallRouter router(String policy, Settings settings, long seed) {
        return switch (policy) {
            case "direct" -> new Direct(settings, Direct.Kind.ALONE);
            case "first-tandem" -> new Direct(settings, Direct.Kind.FIRST_TANDEM);
            case "reserved" -> new Direct(settings, Direct.Kind.TRUNK_RESERVATION);
            case "one-tandem" -> new Direct(settings, Direct.Kind.RANDOM_TANDEM, seed);
            case "least-busy" -> new Direct(settings, Direct.Kind.LEAST_BUSY);
            default -> new ExponentialPenaltyRouter(settings, new SplittableRandom(seed));
        };
    }
}
