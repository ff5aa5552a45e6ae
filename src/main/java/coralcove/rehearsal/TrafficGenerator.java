package coralcove.rehearsal;

import coralcove.exchange.Arrival;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Generates the arrivals of a scenario in advance from a seed: Poisson arrivals at each exchange,
 * far ends by destination weight, hold times by the distribution of the service. Surges, swamped
 * routers and mass calls change the rates; the destination weights drift.
 */
final class TrafficGenerator {
    /** The share of a service in all sessions, its mean hold time in µs and their distribution. */
    record ServiceShare(double share, long meanHoldTime, HoldTimeDistribution holdTimes) {
        ServiceShare(double share, long meanHoldTime) {
            this(share, meanHoldTime, HoldTimeDistribution.EXPONENTIAL);
        }
    }

    /**
     * Factors on all arrival rates, one for each {@code step} µs of the scenario; the last one
     * applies to the rest.
     */
    record RateProfile(double[] factors, long step) {
        static final RateProfile FLAT = new RateProfile(new double[] {1}, Long.MAX_VALUE);

        double factorAt(long time) {
            return factors[(int) Math.min(factors.length - 1, time / step)];
        }

        double maxFactor() {
            return java.util.Arrays.stream(factors).max().orElse(1);
        }
    }

    private static final String MASS_CALL = "mass-call";

    /** The number that all callers of a mass call dial; numbers below 100 have few lines. */
    private static final long MASS_CALLED_NUMBER = 1;

    private final RandomGenerator random;
    private final double[][] destinationWeights;
    private final List<ServiceShare> services;
    private final double[] serviceShares;
    private final List<InjectedFault> faults;
    private final long length;
    private final long driftInterval;
    private final double driftCv;
    private final RateProfile profile;

    TrafficGenerator(
            RandomGenerator random,
            double[][] destinationWeights,
            List<ServiceShare> services,
            List<InjectedFault> faults,
            long length,
            long driftInterval,
            double driftCv) {
        this(
                random,
                destinationWeights,
                services,
                faults,
                length,
                driftInterval,
                driftCv,
                RateProfile.FLAT);
    }

    TrafficGenerator(
            RandomGenerator random,
            double[][] destinationWeights,
            List<ServiceShare> services,
            List<InjectedFault> faults,
            long length,
            long driftInterval,
            double driftCv,
            RateProfile profile) {
        this.profile = profile;
        this.random = random;
        this.destinationWeights = destinationWeights;
        this.services = services;
        serviceShares = services.stream().mapToDouble(ServiceShare::share).toArray();
        this.faults = faults;
        this.length = length;
        this.driftInterval = driftInterval;
        this.driftCv = driftCv;
    }

    /**
     * Draws the arrivals at each exchange. {@code rates} are sessions per second at each exchange,
     * without faults.
     */
    List<List<Arrival>> draw(double[] rates) {
        int exchangeCount = rates.length;
        double totalRate = 0;
        for (double rate : rates) {
            totalRate += rate;
        }
        List<List<Arrival>> arrivals = new ArrayList<>();
        for (int i = 0; i < exchangeCount; i++) {
            arrivals.add(drawArrivals(i, rates[i], totalRate));
        }
        return arrivals;
    }

    /** Draws the arrivals at one exchange, by thinning of a Poisson process at the highest rate. */
    private List<Arrival> drawArrivals(int exchange, double rate, double totalRate) {
        double maxRate = rate * profile.maxFactor();
        for (InjectedFault fault : faults) {
            if (fault.kind().equals("surge")) {
                maxRate *= Math.max(1, fault.size());
            } else if (fault.kind().equals("swamped") && fault.affects(exchange)) {
                maxRate += extraRate(fault, totalRate);
            } else if (fault.kind().equals(MASS_CALL)) {
                maxRate += fault.size() * rate;
            }
        }
        List<Arrival> arrivals = new ArrayList<>();
        double[] weights = destinationWeights[exchange].clone();
        long driftCount = 0;
        long at = 0;
        while (maxRate > 0) {
            at += Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) / maxRate * 1e6));
            if (at >= length) {
                return arrivals;
            }
            while (driftInterval > 0 && at / driftInterval > driftCount) {
                driftCount++;
                weights = driftWeights(destinationWeights[exchange]);
            }
            if (random.nextDouble() * maxRate <= rateAt(exchange, rate, totalRate, at)) {
                int service = sampleIndex(serviceShares);
                long holdTime =
                        services.get(service)
                                .holdTimes
                                .sample(services.get(service).meanHoldTime, random);
                InjectedFault massCall = massCallOf(exchange, rate, totalRate, at);
                arrivals.add(
                        massCall != null
                                ? new Arrival(
                                        at,
                                        service,
                                        massCall.on().get(0),
                                        MASS_CALLED_NUMBER,
                                        holdTime)
                                : new Arrival(
                                        at,
                                        service,
                                        sampleIndex(weights),
                                        100 + random.nextInt(900_000),
                                        holdTime));
            }
        }
        return arrivals;
    }

    /**
     * Returns the mass call that a call at {@code at} belongs to, or null. A random number is drawn
     * only while a mass call is active.
     */
    private InjectedFault massCallOf(int exchange, double rate, double totalRate, long at) {
        for (InjectedFault fault : faults) {
            boolean active =
                    fault.kind().equals(MASS_CALL)
                            && at >= fault.at()
                            && at < fault.end()
                            && fault.on().get(0) != exchange;
            if (active
                    && random.nextDouble() * rateAt(exchange, rate, totalRate, at)
                            < fault.size() * rate) {
                return fault;
            }
        }
        return null;
    }

    /** Arrival rate at an exchange at the time {@code at}, sessions per second. */
    private double rateAt(int exchange, double rate, double totalRate, long at) {
        double current = rate * profile.factorAt(at);
        for (InjectedFault fault : faults) {
            boolean active = at >= fault.at() && at < fault.end();
            if (active && fault.kind().equals("surge")) {
                current *= fault.size();
            } else if (active && fault.kind().equals("swamped") && fault.affects(exchange)) {
                current += extraRate(fault, totalRate);
            } else if (active && fault.kind().equals(MASS_CALL) && fault.on().get(0) != exchange) {
                current += fault.size() * rate;
            }
        }
        return current;
    }

    /**
     * Returns the additional rate of a swamped router: {@code size} times the total rate, divided
     * evenly among the affected routers.
     */
    private static double extraRate(InjectedFault fault, double totalRate) {
        return totalRate * fault.size() / Math.max(1, fault.on().size());
    }

    /** Returns the weights, each multiplied by a random factor. */
    private double[] driftWeights(double[] weights) {
        double[] drifted = new double[weights.length];
        for (int i = 0; i < drifted.length; i++) {
            drifted[i] = weights[i] * lognormalFactor(random, driftCv);
        }
        return drifted;
    }

    /** Draws a lognormal factor of mean 1 with the given coefficient of variation. */
    static double lognormalFactor(RandomGenerator random, double cv) {
        double variance = Math.log(1 + cv * cv);
        return Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
    }

    /** Draws an index with a probability in proportion to its weight. */
    private int sampleIndex(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double remaining = random.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }
}
