package coralcove.emulator;

import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import coralcove.exchange.Arrival;
import coralcove.rehearsal.Scenario;
import coralcove.rehearsal.ScenarioFile;
import coralcove.rehearsal.ScenarioResult;
import coralcove.rehearsal.ScenarioRunner;
import coralcove.theory.Erlang;
import coralcove.theory.SymmetricNetwork;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * Compares the emulated network with theory on networks simple enough for closed formulas or fixed
 * points. The router, edge and SIP path are the real ones; callers do not redial and the load on
 * processors is negligible. If a comparison fails, results of the emulator cannot be trusted.
 */
public final class Calibration {
    /** Seconds excluded at the start: the network starts empty and calls last ten seconds. */
    private static final int WARM_UP_SECONDS = 60;

    private static final long MICROS_PER_SECOND = 1_000_000;

    /**
     * Standard errors of the emulated mean within which theory must lie; chance alone exceeds them
     * once in 370 comparisons.
     */
    private static final double MAX_STANDARD_ERRORS = 3;

    /**
     * Relative tolerance in addition: set-ups hold circuits some milliseconds longer than the hold
     * time, and both ends may seize the last circuit at the same time.
     */
    private static final double RELATIVE_TOLERANCE = 0.03;

    /**
     * One comparison: the loss by theory, the mean loss of the emulated network, its standard
     * error, and whether they agree.
     */
    public record Comparison(
            String law, double theory, double emulated, double error, boolean agrees) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%-72s %.4f  %.4f ± %.4f  %s",
                    law,
                    theory,
                    emulated,
                    error,
                    agrees ? "agrees" : "DIFFERS");
        }
    }

    private final int seconds;
    private final int seeds;

    /**
     * Runs each comparison on several simulated days.
     *
     * @param seconds length of a day without the warm-up of {@value #WARM_UP_SECONDS} s
     * @param seeds number of days, each with its own seed
     */
    public Calibration(int seconds, int seeds) {
        this.seconds = seconds;
        this.seeds = seeds;
    }

    private static String serviceTable(int share, double hold, int width, String law) {
        return "[[service]]\nname = \"s"
                + width
                + "\"\nshare = "
                + share
                + "\nhold_s = "
                + hold
                + "\ntarget_ms = 1500\n"
                + "limit_ms = 6000\nvalue = 1\nwidth = "
                + width
                + "\nhold_law = \""
                + law
                + "\"\n";
    }

    private String dayFile(int exchanges, double perSecond, double load, String services) {
        return "[day]\nname = \"calibration\"\nlength_s = "
                + (WARM_UP_SECONDS + seconds)
                + "\n[size]\nexchanges = "
                + exchanges
                + "\n[traffic]\nsessions_per_s = "
                + perSecond
                + "\nload = "
                + load
                + "\npair_cv = 0\nspare = 0\n"
                + services
                + "[processor]\n"
                + "use = 0.005\n"
                + "[callers]\n"
                + "redials = 0\n"
                + "try_share = 1\n"
                + "[net]\n"
                + "same_ms = 0.2\n"
                + "[router]\n"
                + "invites = 2\n";
    }

    /** Share of sessions lost by service, one row per seed. */
    private double[][] lossByService(String toml, String policy) {
        double[][] lost = new double[seeds][];
        IntStream.range(0, seeds)
                .parallel()
                .forEach(
                        i -> {
                            try {
                                Scenario day =
                                        ScenarioFile.parse(
                                                TomlSettings.from("calibration.toml", toml), 1 + i);
                                lost[i] =
                                        lossByService(
                                                day,
                                                ScenarioRunner.runVirtual(
                                                        day, 1 + i, policy, null, null, false,
                                                        false));
                            } catch (BadConfig | IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        return lost;
    }

    private static double[] lossByService(Scenario day, ScenarioResult result) {
        double[] offered = new double[day.services().size()];
        double[] established = new double[offered.length];
        long from = result.startTime() / MICROS_PER_SECOND + WARM_UP_SECONDS;
        for (List<Arrival> list : day.arrivals()) {
            for (Arrival each : list) {
                offered[each.service()] +=
                        each.arrivalTime() / MICROS_PER_SECOND >= WARM_UP_SECONDS ? 1 : 0;
            }
        }
        for (int i = 0; i < established.length; i++) {
            established[i] = result.stats().establishedSince(i, from);
        }
        double[] lost = new double[offered.length];
        Arrays.setAll(lost, i -> 1 - established[i] / offered[i]);
        return lost;
    }

    static Comparison compare(String law, double theory, double[] observed) {
        double mean = Arrays.stream(observed).average().orElse(0);
        double squares = Arrays.stream(observed).map(v -> (v - mean) * (v - mean)).sum();
        double error = Math.sqrt(squares / Math.max(1, observed.length - 1) / observed.length);
        return new Comparison(
                law,
                theory,
                mean,
                error,
                Math.abs(mean - theory)
                        <= MAX_STANDARD_ERRORS * error + RELATIVE_TOLERANCE * theory);
    }

    /**
     * One trunk group between two exchanges against Erlang's B formula, with several distributions
     * of hold times, which must not affect the result.
     */
    public List<Comparison> erlangB() {
        List<Comparison> rows = new ArrayList<>();
        for (String law : List.of("exponential", "fixed", "lognormal")) {
            for (double load : new double[] {0.9, 1.1}) {
                int circuits = 40;
                double[][] lost =
                        lossByService(
                                dayFile(2, circuits / 10.0, load, serviceTable(1, 10, 1, law)),
                                "direct");
                rows.add(
                        compare(
                                "one group of 40, load " + load + ", " + law + " holds: Erlang B",
                                Erlang.blockingProbability(circuits * load, circuits),
                                column(lost, 0)));
            }
        }
        return rows;
    }

    private static double[] column(double[][] rows, int at) {
        return Arrays.stream(rows).mapToDouble(r -> r[at]).toArray();
    }

    /** Two widths on one trunk group against the Kaufman-Roberts recursion. */
    public List<Comparison> kaufmanRoberts() {
        List<Comparison> rows = new ArrayList<>();
        // Shares 3 to 1 of 4 sessions a second: 30 erlangs of width 1 and 10 of width 3 planned, 60
        // circuits.
        double[][] lost =
                lossByService(
                        dayFile(
                                2,
                                4,
                                1,
                                serviceTable(3, 10, 1, "exponential")
                                        + serviceTable(1, 10, 3, "exponential")),
                        "direct");
        double[] theory = Erlang.blockingProbability(60, new int[] {1, 3}, new double[] {30, 10});
        for (int i = 0; i < 2; i++) {
            rows.add(
                    compare(
                            "one group of 60, widths 1 and 3, load 1, width "
                                    + (i == 0 ? 1 : 3)
                                    + ": Kaufman-Roberts",
                            theory[i],
                            column(lost, i)));
        }
        return rows;
    }

    /**
     * Twelve fully connected exchanges with equal groups, where a call whose direct group is full
     * tries one random tandem, against the fixed point. The fixed point assumes independent groups,
     * which is nearly true with twelve exchanges.
     */
    public List<Comparison> alternativeRouting() {
        List<Comparison> rows = new ArrayList<>();
        int exchanges = 12;
        int groups = exchanges * (exchanges - 1) / 2;
        int circuits = 40;
        for (double load : new double[] {0.8, 0.9, 1}) {
            double[][] lost =
                    lossByService(
                            dayFile(
                                    exchanges,
                                    groups * circuits / 10.0,
                                    load,
                                    serviceTable(1, 10, 1, "exponential")),
                            "one-tandem");
            SymmetricNetwork theory = new SymmetricNetwork(circuits, 0);
            rows.add(
                    compare(
                            "66 groups of 40, load " + load + ", one tandem by chance: fixed point",
                            theory.lossProbability(circuits * load, 0),
                            column(lost, 0)));
        }
        return rows;
    }

    /** All comparisons, one after another. */
    public List<Comparison> all() {
        List<Comparison> rows = new ArrayList<>(erlangB());
        rows.addAll(kaufmanRoberts());
        rows.addAll(alternativeRouting());
        return rows;
    }
}
