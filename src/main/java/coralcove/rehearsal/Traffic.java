package coralcove.rehearsal;

import coralcove.exchange.Arrival;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Draws a day's callers ahead, from a seed: Poisson arrivals at each exchange, far ends by pull,
 * exponential holds. Surges and swamped routers change the rates; where sessions go drifts.
 */
final class Traffic {
    /** Share of a service in all sessions, and its mean hold in µs. */
    record Mix(double share, long hold, HoldLaw law) {
        Mix(double share, long hold) {
            this(share, hold, HoldLaw.EXPONENTIAL);
        }
    }

    /**
     * Factors on all rates, one for each {@code step} µs of the day; past the last one it stays.
     */
    record Shape(double[] factors, long step) {
        static final Shape FLAT = new Shape(new double[] {1}, Long.MAX_VALUE);

        double at(long time) {
            return factors[(int) Math.min(factors.length - 1, time / step)];
        }

        double most() {
            return java.util.Arrays.stream(factors).max().orElse(1);
        }
    }

    private static final String MASS_CALL = "mass-call";

    /** The number that a crowd calls; numbers below 100 have few lines. */
    private static final long CROWDED = 1;

    private final RandomGenerator chance;
    private final double[][] pull;
    private final List<Mix> mix;
    private final double[] shares;
    private final List<Trouble> troubles;
    private final long length;
    private final long driftEvery;
    private final double driftBy;
    private final Shape shape;

    Traffic(
            RandomGenerator chance,
            double[][] pull,
            List<Mix> mix,
            List<Trouble> troubles,
            long length,
            long driftEvery,
            double driftBy) {
        this(chance, pull, mix, troubles, length, driftEvery, driftBy, Shape.FLAT);
    }

    Traffic(
            RandomGenerator chance,
            double[][] pull,
            List<Mix> mix,
            List<Trouble> troubles,
            long length,
            long driftEvery,
            double driftBy,
            Shape shape) {
        this.shape = shape;
        this.chance = chance;
        this.pull = pull;
        this.mix = mix;
        shares = mix.stream().mapToDouble(Mix::share).toArray();
        this.troubles = troubles;
        this.length = length;
        this.driftEvery = driftEvery;
        this.driftBy = driftBy;
    }

    /** Sessions a second at each exchange, before troubles; one list of arrivals an exchange. */
    List<List<Arrival>> draw(double[] rates) {
        int n = rates.length;
        double all = 0;
        for (double rate : rates) {
            all += rate;
        }
        List<List<Arrival>> out = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            out.add(one(i, rates[i], all));
        }
        return out;
    }

    private List<Arrival> one(int here, double rate, double all) {
        double top = rate * shape.most();
        for (Trouble trouble : troubles) {
            if (trouble.kind().equals("surge")) {
                top *= Math.max(1, trouble.size());
            } else if (trouble.kind().equals("swamped") && trouble.strikes(here)) {
                top += extra(trouble, all);
            } else if (trouble.kind().equals(MASS_CALL)) {
                top += trouble.size() * rate;
            }
        }
        List<Arrival> list = new ArrayList<>();
        double[] weights = pull[here].clone();
        long drifted = 0;
        long at = 0;
        while (top > 0) {
            at += Math.max(1, Math.round(-Math.log(1 - chance.nextDouble()) / top * 1e6));
            if (at >= length) {
                return list;
            }
            while (driftEvery > 0 && at / driftEvery > drifted) {
                drifted++;
                weights = drift(pull[here]);
            }
            if (chance.nextDouble() * top <= rate(here, rate, all, at)) {
                int service = pick(shares);
                long hold = mix.get(service).law.draw(mix.get(service).hold, chance);
                Trouble crowd = crowd(here, rate, all, at);
                list.add(
                        crowd != null
                                ? new Arrival(at, service, crowd.on().get(0), CROWDED, hold)
                                : new Arrival(
                                        at,
                                        service,
                                        pick(weights),
                                        100 + chance.nextInt(900_000),
                                        hold));
            }
        }
        return list;
    }

    /** The crowd that this caller is one of, or null; chance is asked only where there is one. */
    private Trouble crowd(int here, double rate, double all, long at) {
        for (Trouble trouble : troubles) {
            boolean on =
                    trouble.kind().equals(MASS_CALL)
                            && at >= trouble.at()
                            && at < trouble.end()
                            && trouble.on().get(0) != here;
            if (on && chance.nextDouble() * rate(here, rate, all, at) < trouble.size() * rate) {
                return trouble;
            }
        }
        return null;
    }

    private double rate(int here, double rate, double all, long at) {
        double now = rate * shape.at(at);
        for (Trouble trouble : troubles) {
            boolean on = at >= trouble.at() && at < trouble.end();
            if (on && trouble.kind().equals("surge")) {
                now *= trouble.size();
            } else if (on && trouble.kind().equals("swamped") && trouble.strikes(here)) {
                now += extra(trouble, all);
            } else if (on && trouble.kind().equals(MASS_CALL) && trouble.on().get(0) != here) {
                now += trouble.size() * rate;
            }
        }
        return now;
    }

    /** A swamped router gets {@code size} of all sessions on top, shared among the ones struck. */
    private static double extra(Trouble trouble, double all) {
        return all * trouble.size() / Math.max(1, trouble.on().size());
    }

    private double[] drift(double[] from) {
        double[] to = new double[from.length];
        for (int i = 0; i < to.length; i++) {
            to[i] = from[i] * spread(chance, driftBy);
        }
        return to;
    }

    /** A lognormal factor of mean 1 and the given coefficient of variation. */
    static double spread(RandomGenerator chance, double cv) {
        double variance = Math.log(1 + cv * cv);
        return Math.exp(Math.sqrt(variance) * chance.nextGaussian() - variance / 2);
    }

    private int pick(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double left = chance.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            left -= weights[i];
            if (left < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }
}
