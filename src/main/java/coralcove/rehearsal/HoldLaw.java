package coralcove.rehearsal;

import coralcove.config.BadConfig;
import coralcove.config.Toml;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** How long calls hold, about their service's mean. */
interface HoldLaw {
    HoldLaw EXPONENTIAL =
            (mean, chance) -> Math.max(1, Math.round(-Math.log(1 - chance.nextDouble()) * mean));
    HoldLaw FIXED = (mean, chance) -> mean;

    /** Values of a file at most; a law is well known by far fewer. */
    int MOST_VALUES = 1_000_000;

    /** µs, at least 1. */
    long draw(long mean, RandomGenerator chance);

    /**
     * The law of a service's table: {@code hold_law}, {@code hold_cv}, {@code hold_file} (beside
     * the day's file).
     */
    static HoldLaw read(Toml.Table table, Path folder) throws BadConfig {
        String law =
                table.oneOf(
                        "hold_law",
                        List.of("exponential", "fixed", "lognormal", "file"),
                        "exponential");
        if (!law.equals("lognormal") && table.has("hold_cv")) {
            throw table.bad("hold_cv", "is of hold_law \"lognormal\" only");
        }
        if (!law.equals("file") && table.has("hold_file")) {
            throw table.bad("hold_file", "is of hold_law \"file\" only");
        }
        return switch (law) {
            case "fixed" -> FIXED;
            case "lognormal" -> {
                double cv = table.number("hold_cv", 0, 10, 1);
                yield (mean, chance) -> Math.max(1, Math.round(mean * Traffic.spread(chance, cv)));
            }
            case "file" -> values(table, folder.resolve(table.text("hold_file")));
            default -> EXPONENTIAL;
        };
    }

    /**
     * Holds as they were seen, one in seconds a line; drawn evenly, and scaled so that their mean
     * is the service's.
     */
    private static HoldLaw values(Toml.Table table, Path path) throws BadConfig {
        List<Double> seen = new ArrayList<>();
        try {
            int number = 0;
            for (String line : Files.readAllLines(path)) {
                number++;
                String value = line.replaceAll("#.*", "").strip();
                if (value.isEmpty()) {
                    continue;
                }
                if (!value.matches("\\d+(\\.\\d+)?") || Double.parseDouble(value) <= 0) {
                    throw table.bad(
                            "hold_file",
                            path + ":" + number + ": " + value + " is no time above 0 in seconds");
                }
                seen.add(Double.parseDouble(value));
                if (seen.size() > MOST_VALUES) {
                    throw table.bad(
                            "hold_file", path + " has more than " + MOST_VALUES + " values");
                }
            }
        } catch (IOException e) {
            throw table.bad("hold_file", path + " cannot be read");
        }
        if (seen.isEmpty()) {
            throw table.bad("hold_file", path + " has no values");
        }
        double sum = seen.stream().mapToDouble(Double::doubleValue).sum() / seen.size();
        double[] parts = seen.stream().mapToDouble(v -> v / sum).toArray();
        return (mean, chance) ->
                Math.max(1, Math.round(mean * parts[chance.nextInt(parts.length)]));
    }
}
