package coralcove.emulator;

import coralcove.config.BadConfig;
import coralcove.config.Toml;
import coralcove.exchange.Arrival;
import coralcove.rehearsal.Day;
import coralcove.rehearsal.DayFile;
import coralcove.rehearsal.Rehearse;
import coralcove.rehearsal.Result;
import coralcove.theory.Erlang;
import coralcove.theory.Symmetric;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * Holds the emulated network against what theory says of networks simple enough for it: the real
 * router, edge and SIP path, with callers who do not call again and processors that hardly count.
 * What fails here is not to be believed elsewhere.
 */
public final class Calibration {
    /** Seconds left out at a day's start: the network starts empty, and holds are ten seconds. */
    private static final int WARM = 60;

    private static final long SECOND = 1_000_000;

    /**
     * Standard deviations of the emulated mean within which theory must lie: by chance missed once
     * in 370 rows.
     */
    private static final double WITHIN = 3;

    /**
     * Share of a loss by which theory may be off besides: set-ups hold circuits some milliseconds
     * longer than holds say, and both ends may seize the last circuit in the same moment.
     */
    private static final double OFF = 0.03;

    /**
     * One law: what theory says, what the emulated network did, the error of that, and whether they
     * agree.
     */
    public record Row(String law, double theory, double emulated, double error, boolean agrees) {
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

    /** Each law on {@code seeds} days of {@code seconds}; a warm-up of a minute is added. */
    public Calibration(int seconds, int seeds) {
        this.seconds = seconds;
        this.seeds = seeds;
    }

    private static String service(int share, double hold, int width, String law) {
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

    private String day(int exchanges, double perSecond, double load, String services) {
        return "[day]\nname = \"calibration\"\nlength_s = "
                + (WARM + seconds)
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

    /** Shares lost by service, one row a seed. */
    private double[][] lost(String toml, String policy) {
        double[][] lost = new double[seeds][];
        IntStream.range(0, seeds)
                .parallel()
                .forEach(
                        i -> {
                            try {
                                Day day = DayFile.of(Toml.of("calibration.toml", toml), 1 + i);
                                lost[i] =
                                        lost(
                                                day,
                                                Rehearse.virtual(
                                                        day, 1 + i, policy, null, null, false,
                                                        false));
                            } catch (BadConfig | IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        return lost;
    }

    private static double[] lost(Day day, Result result) {
        double[] offered = new double[day.services().size()];
        double[] stood = new double[offered.length];
        long from = result.zero() / SECOND + WARM;
        for (List<Arrival> list : day.arrivals()) {
            for (Arrival each : list) {
                offered[each.service()] += each.at() / SECOND >= WARM ? 1 : 0;
            }
        }
        for (int i = 0; i < stood.length; i++) {
            stood[i] = result.stats().standing(i, from);
        }
        double[] lost = new double[offered.length];
        Arrays.setAll(lost, i -> 1 - stood[i] / offered[i]);
        return lost;
    }

    static Row row(String law, double theory, double[] seen) {
        double mean = Arrays.stream(seen).average().orElse(0);
        double squares = Arrays.stream(seen).map(v -> (v - mean) * (v - mean)).sum();
        double error = Math.sqrt(squares / Math.max(1, seen.length - 1) / seen.length);
        return new Row(
                law, theory, mean, error, Math.abs(mean - theory) <= WITHIN * error + OFF * theory);
    }

    /**
     * One group between two exchanges against Erlang's B formula, under laws of hold that must not
     * matter to it.
     */
    public List<Row> erlangB() {
        List<Row> rows = new ArrayList<>();
        for (String law : List.of("exponential", "fixed", "lognormal")) {
            for (double load : new double[] {0.9, 1.1}) {
                int circuits = 40;
                double[][] lost =
                        lost(day(2, circuits / 10.0, load, service(1, 10, 1, law)), "direct");
                rows.add(
                        row(
                                "one group of 40, load " + load + ", " + law + " holds: Erlang B",
                                Erlang.blocking(circuits * load, circuits),
                                column(lost, 0)));
            }
        }
        return rows;
    }

    private static double[] column(double[][] rows, int at) {
        return Arrays.stream(rows).mapToDouble(r -> r[at]).toArray();
    }

    /** Two widths on one group against the Kaufman-Roberts recursion. */
    public List<Row> kaufmanRoberts() {
        List<Row> rows = new ArrayList<>();
        // Shares 3 to 1 of 4 sessions a second: 30 erlangs of width 1 and 10 of width 3 planned, 60
        // circuits.
        double[][] lost =
                lost(
                        day(
                                2,
                                4,
                                1,
                                service(3, 10, 1, "exponential")
                                        + service(1, 10, 3, "exponential")),
                        "direct");
        double[] theory = Erlang.blocking(60, new int[] {1, 3}, new double[] {30, 10});
        for (int i = 0; i < 2; i++) {
            rows.add(
                    row(
                            "one group of 60, widths 1 and 3, load 1, width "
                                    + (i == 0 ? 1 : 3)
                                    + ": Kaufman-Roberts",
                            theory[i],
                            column(lost, i)));
        }
        return rows;
    }

    /**
     * Twelve exchanges joined alike; a call whose direct group is full tries one tandem by chance,
     * with circuits reserved or not, against the fixed point. It takes groups for independent,
     * which twelve exchanges nearly are.
     */
    public List<Row> alternatives() {
        List<Row> rows = new ArrayList<>();
        int exchanges = 12;
        int groups = exchanges * (exchanges - 1) / 2;
        int circuits = 40;
        for (double load : new double[] {0.8, 0.9, 1}) {
            double[][] lost =
                    lost(
                            day(
                                    exchanges,
                                    groups * circuits / 10.0,
                                    load,
                                    service(1, 10, 1, "exponential")),
                            "one-tandem");
            Symmetric theory = new Symmetric(circuits, 0);
            rows.add(
                    row(
                            "66 groups of 40, load " + load + ", one tandem by chance: fixed point",
                            theory.lost(circuits * load, 0),
                            column(lost, 0)));
        }
        return rows;
    }

    /** All laws, in turn. */
    public List<Row> all() {
        List<Row> rows = new ArrayList<>(erlangB());
        rows.addAll(kaufmanRoberts());
        rows.addAll(alternatives());
        return rows;
    }
}
