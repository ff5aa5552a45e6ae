package coralcove.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tables and pictures of an experiment's results: one HTML page that needs no other file, PNGs, and
 * text for a terminal.
 */
public final class Report {
    /**
     * What is compared; where a plan names no base, the first level of its policy, or of its last
     * factor.
     */
    private record Base(String factor, String level) {}

    /** One table. */
    private record Table(String title, String note, List<String> heads, List<List<String>> rows) {}

    private final Plan plan;
    private final List<Outcome> outcomes;
    private final Map<Map<String, String>, List<Outcome>> combinations = new LinkedHashMap<>();

    /** Parts of the value lost, by combination. */
    private final Map<Map<String, String>, Map<String, Double>> lost = new LinkedHashMap<>();

    private final List<Table> tables = new ArrayList<>();
    private final LinkedHashMap<String, byte[]> pictures = new LinkedHashMap<>();
    private final long failed;

    /** {@code outcomes} of the plan's runs; those of other runs have been left out. */
    public Report(Plan plan, List<Outcome> outcomes) throws IOException {
        this.plan = plan;
        this.outcomes = outcomes;
        failed = outcomes.stream().filter(Outcome::failed).count();
        for (Plan.Run run : plan.runs(plan.firstSeed(), 1)) {
            combinations.put(run.levels(), new ArrayList<>());
        }
        outcomes.stream()
                .filter(o -> !o.failed())
                .forEach(
                        o ->
                                combinations
                                        .computeIfAbsent(o.levels(), l -> new ArrayList<>())
                                        .add(o));
        served();
        differences();
        services();
        lost();
        pictures();
        failures();
    }

    private static String percent(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.2f", 100 * value);
    }

    private static String interval(Sample sample) {
        return sample.count() == 0
                ? "no data"
                : percent(sample.mean())
                        + " ("
                        + percent(sample.low())
                        + " to "
                        + percent(sample.high())
                        + ")";
    }

    private static Sample sample(List<Outcome> of, String figure) {
        return Sample.of(of.stream().mapToDouble(o -> o.number(figure)).toArray());
    }

    private List<String> heads(String... more) {
        List<String> heads = new ArrayList<>();
        plan.factors().forEach(f -> heads.add(f.key()));
        heads.addAll(List.of(more));
        return heads;
    }

    private static List<String> row(Map<String, String> levels, String... more) {
        List<String> row = new ArrayList<>(levels.values());
        row.addAll(List.of(more));
        return row;
    }

    private void served() {
        List<List<String>> rows = new ArrayList<>();
        combinations.forEach(
                (levels, of) -> {
                    Sample share = sample(of, "share");
                    Sample bound = sample(of, "bound");
                    rows.add(
                            row(
                                    levels,
                                    Integer.toString(of.size()),
                                    interval(share),
                                    interval(sample(of, "worst_10s")),
                                    plan.bounded() ? percent(bound.mean()) : "",
                                    plan.bounded() ? percent(share.mean() / bound.mean()) : "",
                                    of.isEmpty()
                                            ? ""
                                            : String.format(
                                                    Locale.ROOT,
                                                    "%.0f",
                                                    sample(of, "set_up_p99_ms").mean()),
                                    Long.toString(
                                            (long)
                                                    of.stream()
                                                            .mapToDouble(o -> o.number("broken"))
                                                            .sum()),
                                    Long.toString(
                                            (long)
                                                    of.stream()
                                                            .mapToDouble(o -> o.number("checked"))
                                                            .sum())));
                });
        tables.add(
                new Table(
                        "Value served",
                        "Hundredths of the value of all first tries, mean and the interval that"
                            + " holds it 19 times of 20; the worst ten seconds in a row; the bound"
                            + " that no routing passes (calls as a fluid, no troubles), and the"
                            + " value served in hundredths of it.",
                        heads(
                                "seeds",
                                "value served",
                                "worst 10 s",
                                "bound",
                                "of the bound",
                                "set-up p99 ms",
                                "rules broken",
                                "checked"),
                        rows));
    }

    private Base base() {
        if (plan.stop() != null) {
            return new Base(plan.stop().factor(), plan.stop().base());
        }
        Plan.Factor factor = null;
        for (Plan.Factor each : plan.factors()) {
            factor = factor != null && factor.key().equals(Plan.POLICY) ? factor : each;
        }
        return factor == null ? null : new Base(factor.key(), factor.levels().get(0).asText());
    }

    private void differences() {
        Base base = base();
        if (base == null) {
            return;
        }
        List<List<String>> rows = new ArrayList<>();
        for (Paired each : Paired.of(outcomes, base.factor, base.level, "share")) {
            List<String> row = new ArrayList<>(each.others().values());
            row.add(each.level());
            row.add(Integer.toString(each.differences().length));
            row.add(interval(each.sample()));
            rows.add(row);
        }
        List<String> heads = new ArrayList<>();
        plan.factors().stream()
                .filter(f -> !f.key().equals(base.factor))
                .forEach(f -> heads.add(f.key()));
        heads.addAll(List.of(base.factor, "seeds", "points more than " + base.level));
        tables.add(
                new Table(
                        "Differences from " + base.level,
                        "Seed by seed on the same callers, in hundredths of the value offered.",
                        heads,
                        rows));
    }

    private void services() {
        Set<String> names = new LinkedHashSet<>();
        outcomes.forEach(o -> names.addAll(o.parts("share_by_service").keySet()));
        List<List<String>> rows = new ArrayList<>();
        combinations.forEach(
                (levels, of) -> {
                    List<String> row = row(levels);
                    names.forEach(
                            name ->
                                    row.add(
                                            interval(
                                                    Sample.of(
                                                            of.stream()
                                                                    .mapToDouble(
                                                                            o ->
                                                                                    o.parts(
                                                                                                    "share_by_service")
                                                                                            .getOrDefault(
                                                                                                    name,
                                                                                                    0.0))
                                                                    .toArray()))));
                    rows.add(row);
                });
        tables.add(
                new Table(
                        "By service",
                        "Value served of each service, in hundredths of its own.",
                        heads(names.toArray(String[]::new)),
                        rows));
    }

    private void lost() {
        Set<String> names = new LinkedHashSet<>();
        combinations.forEach(
                (levels, of) -> {
                    Map<String, Double> sums = new TreeMap<>();
                    of.forEach(
                            o ->
                                    o.parts("lost")
                                            .forEach(
                                                    (why, part) ->
                                                            sums.merge(
                                                                    why,
                                                                    part / of.size(),
                                                                    Double::sum)));
                    lost.put(levels, sums);
                    names.addAll(sums.keySet());
                });
        List<List<String>> rows = new ArrayList<>();
        combinations.forEach(
                (levels, of) -> {
                    List<String> row = row(levels);
                    names.forEach(
                            name ->
                                    row.add(
                                            of.isEmpty()
                                                    ? ""
                                                    : percent(
                                                            lost.get(levels)
                                                                    .getOrDefault(name, 0.0))));
                    rows.add(row);
                });
        tables.add(
                new Table(
                        "What loss is made of",
                        "By what became of a caller's last try, in hundredths of the value offered;"
                                + " late: stood past the post-dial target; cut: stood and was cut.",
                        heads(names.toArray(String[]::new)),
                        rows));
    }

    private void failures() {
        List<List<String>> rows = new ArrayList<>();
        outcomes.stream()
                .filter(Outcome::failed)
                .forEach(o -> rows.add(List.of(o.id(), o.error())));
        if (!rows.isEmpty()) {
            tables.add(
                    new Table(
                            "Failed runs",
                            "They count nowhere above.",
                            List.of("run", "why"),
                            rows));
        }
    }

    /** The factor drawn along x: the first whose levels are all numbers. */
    private Plan.Factor along() {
        return plan.factors().stream()
                .filter(
                        f ->
                                f.levels().size() > 1
                                        && f.levels().stream().allMatch(l -> l.isNumber()))
                .findFirst()
                .orElse(null);
    }

    private void pictures() throws IOException {
        Plan.Factor along = along();
        if (along != null) {
            pictures.put(
                    "value-served",
                    Charts.lines(
                            "Value served",
                            along.key(),
                            "share of the value offered",
                            lines(along, "share")));
            pictures.put(
                    "worst-10s",
                    Charts.lines(
                            "Worst ten seconds",
                            along.key(),
                            "share of the value offered",
                            lines(along, "worst_10s")));
            pictures.put(
                    "set-up-p99",
                    Charts.lines(
                            "Set-up delay, p99", along.key(), "ms", lines(along, "set_up_p99_ms")));
        }
        Map<String, Map<String, Double>> bars = new LinkedHashMap<>();
        combinations.forEach(
                (levels, of) -> {
                    if (!of.isEmpty()) {
                        bars.put(String.join(" ", levels.values()), lost.get(levels));
                    }
                });
        pictures.put(
                "loss", Charts.bars("What loss is made of", "share of the value offered", bars));
    }

    private Map<String, List<Charts.Point>> lines(Plan.Factor along, String figure) {
        Map<String, List<Charts.Point>> lines = new LinkedHashMap<>();
        combinations.forEach(
                (levels, of) -> {
                    Map<String, String> others = new LinkedHashMap<>(levels);
                    double x = Double.parseDouble(others.remove(along.key()));
                    String name =
                            others.isEmpty() ? plan.name() : String.join(" ", others.values());
                    lines.computeIfAbsent(name, l -> new ArrayList<>())
                            .add(new Charts.Point(x, sample(of, figure)));
                });
        return lines;
    }

    /** For a terminal, or a page in Markdown. */
    public String text() {
        StringBuilder out = new StringBuilder(heading()).append('\n');
        for (Table table : tables) {
            out.append('\n').append(table.title).append(". ").append(table.note).append("\n\n");
            out.append("| ").append(String.join(" | ", table.heads)).append(" |\n|");
            table.heads.forEach(head -> out.append(" --- |"));
            out.append('\n');
            table.rows.forEach(
                    row -> out.append("| ").append(String.join(" | ", row)).append(" |\n"));
        }
        return out.toString();
    }

    private String heading() {
        Set<String> versions = new LinkedHashSet<>();
        outcomes.forEach(o -> versions.add(o.version()));
        return plan.name()
                + ": "
                + outcomes.size()
                + " runs"
                + (failed > 0 ? ", " + failed + " of them failed" : "")
                + ", program "
                + String.join(" and ", versions)
                + (versions.size() > 1 ? " (mixed)" : "");
    }

    /** Writes {@code report.html} and the pictures into a folder. */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        Charts.write(folder, pictures);
        StringBuilder out =
                new StringBuilder(
                                "<!doctype html>\n"
                                        + "<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                        .append(escaped(plan.name()))
                        .append(
                                "</title>\n"
                                    + "<style>body{font:15px/1.5"
                                    + " sans-serif;max-width:70em;margin:2em auto;padding:0"
                                    + " 1em;color:#222}table{border-collapse:collapse;margin:.5em 0"
                                    + " 2em}th,td{padding:.25em .8em;border-bottom:1px solid"
                                    + " #ccc;text-align:right}th{background:#f2f4f7}img{max-width:100%}</style></head><body>\n"
                                    + "<h1>")
                        .append(escaped(plan.name()))
                        .append("</h1>\n<p>")
                        .append(escaped(heading()))
                        .append("</p>\n");
        pictures.forEach(
                (name, png) ->
                        out.append("<p><img alt=\"")
                                .append(escaped(name))
                                .append("\" src=\"data:image/png;base64,")
                                .append(Base64.getEncoder().encodeToString(png))
                                .append("\"></p>\n"));
        for (Table table : tables) {
            out.append("<h2>")
                    .append(escaped(table.title))
                    .append("</h2>\n<p>")
                    .append(escaped(table.note))
                    .append("</p>\n<table><tr>");
            table.heads.forEach(head -> out.append("<th>").append(escaped(head)).append("</th>"));
            out.append("</tr>\n");
            for (List<String> row : table.rows) {
                out.append("<tr>");
                row.forEach(cell -> out.append("<td>").append(escaped(cell)).append("</td>"));
                out.append("</tr>\n");
            }
            out.append("</table>\n");
        }
        Files.writeString(folder.resolve("report.html"), out.append("</body></html>\n"));
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
