package coralcove.rehearsal;

import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** The distribution of hold times about the mean of their service. */
interface HoldTimeDistribution {
    HoldTimeDistribution EXPONENTIAL =
            (mean, random) -> Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * mean));
    HoldTimeDistribution FIXED = (mean, random) -> mean;

    /** Maximum number of values in a file; far fewer determine a distribution well. */
    int MAX_VALUES = 1_000_000;

    /** Draws a hold time in µs, at least 1. */
    long sample(long mean, RandomGenerator random);

    /**
     * Reads the distribution of a service from its table: {@code hold_law}, {@code hold_cv} and
     * {@code hold_file}, whose path is relative to the scenario file.
     */
    static HoldTimeDistribution read(TomlSettings.Table service, Path directory) throws BadConfig {
        String name =
                service.oneOf(
                        "hold_law",
                        List.of("exponential", "fixed", "lognormal", "file"),
                        "exponential");
        if (!name.equals("lognormal") && service.has("hold_cv")) {
            throw service.invalid("hold_cv", "applies only to hold_law \"lognormal\"");
        }
        if (!name.equals("file") && service.has("hold_file")) {
            throw service.invalid("hold_file", "applies only to hold_law \"file\"");
        }
        return switch (name) {
            case "fixed" -> FIXED;
            case "lognormal" -> {
                double cv = service.number("hold_cv", 0, 10, 1);
                yield (mean, random) ->
                        Math.max(
                                1, Math.round(mean * TrafficGenerator.lognormalFactor(random, cv)));
            }
            case "file" -> readSamples(service, directory.resolve(service.text("hold_file")));
            default -> EXPONENTIAL;
        };
    }

    /**
     * Reads measured hold times, one in seconds per line. They are drawn with equal probability and
     * scaled so that their mean is that of the service.
     */
    private static HoldTimeDistribution readSamples(TomlSettings.Table service, Path path)
            throws BadConfig {
        List<Double> samples = new ArrayList<>();
        try {
            int lineNumber = 0;
            for (String line : Files.readAllLines(path)) {
                lineNumber++;
                String value = line.replaceAll("#.*", "").strip();
                if (value.isEmpty()) {
                    continue;
                }
                if (!value.matches("\\d+(\\.\\d+)?") || Double.parseDouble(value) <= 0) {
                    throw service.invalid(
                            "hold_file",
                            path
                                    + ":"
                                    + lineNumber
                                    + ": "
                                    + value
                                    + " is not a time above 0 in seconds");
                }
                samples.add(Double.parseDouble(value));
                if (samples.size() > MAX_VALUES) {
                    throw service.invalid(
                            "hold_file", path + " has more than " + MAX_VALUES + " values");
                }
            }
        } catch (IOException e) {
            throw service.invalid("hold_file", path + " cannot be read");
        }
        if (samples.isEmpty()) {
            throw service.invalid("hold_file", path + " has no values");
        }
        double sampleMean =
                samples.stream().mapToDouble(Double::doubleValue).sum() / samples.size();
        double[] factors = samples.stream().mapToDouble(sample -> sample / sampleMean).toArray();
        return (mean, random) ->
                Math.max(1, Math.round(mean * factors[random.nextInt(factors.length)]));
    }
}
