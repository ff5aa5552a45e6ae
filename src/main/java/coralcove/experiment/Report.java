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
 * Tables and charts of the results of an experiment, as a self-contained HTML page, PNG files and
 * text for a terminal.
 */
public final class Report {
    /**
     * The level that the other levels of its factor are compared with: the base level of the
     * stopping rule, else the first level of the policy, else the first level of the last factor.
     */
    private record Baseline(String factorKey, String level) {}

    private record Table(
            String title, String note, List<String> headers, List<List<String>> rows) {}

    private final ExperimentPlan plan;
    private final List<Outcome> outcomes;
    private final Map<Map<String, String>, List<Outcome>> outcomesByLevels = new LinkedHashMap<>();

    /** Mean share of the value lost, by reason, for each combination of levels. */
    private final Map<Map<String, String>, Map<String, Double>> lossByCombination =
            new LinkedHashMap<>();

    private final List<Table> tables = new ArrayList<>();
    private final LinkedHashMap<String, byte[]> charts = new LinkedHashMap<>();
    private final long failedCount;

    /** Creates the report of a plan from the outcomes of its runs. */
    public Report(ExperimentPlan plan, List<Outcome> outcomes) throws IOException {
        this.plan = plan;
        this.outcomes = outcomes;
        failedCount = outcomes.stream().filter(Outcome::failed).count();
        for (ExperimentPlan.Run run : plan.runs(plan.firstSeed(), 1)) {
            outcomesByLevels.put(run.levels(), new ArrayList<>());
        }
        outcomes.stream()
                .filter(outcome -> !outcome.failed())
                .forEach(
                        outcome ->
                                outcomesByLevels
                                        .computeIfAbsent(
                                                outcome.levels(), levels -> new ArrayList<>())
                                        .add(outcome));
        addValueServed();
        addDifferences();
        addServices();
        addLosses();
        addCharts();
        addFailures();
    }

    private static String percent(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.2f", 100 * value);
    }

    private static String interval(MeanEstimate estimate) {
        return estimate.count() == 0
                ? "no data"
                : percent(estimate.mean())
                        + " ("
                        + percent(estimate.low())
                        + " to "
                        + percent(estimate.high())
                        + ")";
    }

    private static MeanEstimate estimate(List<Outcome> outcomes, String metric) {
        return MeanEstimate.of(
                outcomes.stream().mapToDouble(outcome -> outcome.metric(metric)).toArray());
    }

    private List<String> headers(String... more) {
        List<String> headers = new ArrayList<>();
        plan.factors().forEach(factor -> headers.add(factor.key()));
        headers.addAll(List.of(more));
        return headers;
    }

    private static List<String> row(Map<String, String> levels, String... more) {
        List<String> row = new ArrayList<>(levels.values());
        row.addAll(List.of(more));
        return row;
    }

    private void addValueServed() {
        List<List<String>> rows = new ArrayList<>();
        outcomesByLevels.forEach(
                (levels, runs) -> {
                    MeanEstimate share = estimate(runs, "share");
                    MeanEstimate bound = estimate(runs, "bound");
                    rows.add(
                            row(
                                    levels,
                                    Integer.toString(runs.size()),
                                    interval(share),
                                    interval(estimate(runs, "worst_10s")),
                                    plan.boundRequired() ? percent(bound.mean()) : "",
                                    plan.boundRequired()
                                            ? percent(share.mean() / bound.mean())
                                            : "",
                                    runs.isEmpty()
                                            ? ""
                                            : String.format(
                                                    Locale.ROOT,
                                                    "%.0f",
                                                    estimate(runs, "set_up_p99_ms").mean()),
                                    Long.toString(
                                            (long)
                                                    runs.stream()
                                                            .mapToDouble(
                                                                    outcome ->
                                                                            outcome.metric(
                                                                                    "broken"))
                                                            .sum()),
                                    Long.toString(
                                            (long)
                                                    runs.stream()
                                                            .mapToDouble(
                                                                    outcome ->
                                                                            outcome.metric(
                                                                                    "checked"))
                                                            .sum())));
                });
        tables.add(
                new Table(
                        "Value served",
                        "Hundredths of the value of all first tries, mean and the interval that"
                            + " holds it 19 times of 20; the worst ten seconds in a row; the bound"
                            + " that no routing passes (calls as a fluid, no troubles), and the"
                            + " value served in hundredths of it.",
                        headers(
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

    private Baseline baseline() {
        if (plan.stoppingRule() != null) {
            return new Baseline(plan.stoppingRule().factorKey(), plan.stoppingRule().baseLevel());
        }
        ExperimentPlan.Factor factor = null;
        for (ExperimentPlan.Factor each : plan.factors()) {
            factor =
                    factor != null && factor.key().equals(ExperimentPlan.POLICY_KEY)
                            ? factor
                            : each;
        }
        return factor == null ? null : new Baseline(factor.key(), factor.levels().get(0).asText());
    }

    private void addDifferences() {
        Baseline baseline = baseline();
        if (baseline == null) {
            return;
        }
        List<List<String>> rows = new ArrayList<>();
        for (PairedDifferences pair :
                PairedDifferences.of(outcomes, baseline.factorKey, baseline.level, "share")) {
            List<String> row = new ArrayList<>(pair.otherLevels().values());
            row.add(pair.level());
            row.add(Integer.toString(pair.differences().length));
            row.add(interval(pair.estimate()));
            rows.add(row);
        }
        List<String> headers = new ArrayList<>();
        plan.factors().stream()
                .filter(factor -> !factor.key().equals(baseline.factorKey))
                .forEach(factor -> headers.add(factor.key()));
        headers.addAll(List.of(baseline.factorKey, "seeds", "points more than " + baseline.level));
        tables.add(
                new Table(
                        "Differences from " + baseline.level,
                        "Seed by seed on the same callers, in hundredths of the value offered.",
                        headers,
                        rows));
    }

    private void addServices() {
        Set<String> services = new LinkedHashSet<>();
        outcomes.forEach(
                outcome -> services.addAll(outcome.breakdown("share_by_service").keySet()));
        List<List<String>> rows = new ArrayList<>();
        outcomesByLevels.forEach(
                (levels, runs) -> {
                    List<String> row = row(levels);
                    services.forEach(
                            service ->
                                    row.add(
                                            interval(
                                                    MeanEstimate.of(
                                                            runs.stream()
                                                                    .mapToDouble(
                                                                            outcome ->
                                                                                    outcome.breakdown(
                                                                                                    "share_by_service")
                                                                                            .getOrDefault(
                                                                                                    service,
                                                                                                    0.0))
                                                                    .toArray()))));
                    rows.add(row);
                });
        tables.add(
                new Table(
                        "By service",
                        "Value served of each service, in hundredths of its own.",
                        headers(services.toArray(String[]::new)),
                        rows));
    }

    private void addLosses() {
        Set<String> reasons = new LinkedHashSet<>();
        outcomesByLevels.forEach(
                (levels, runs) -> {
                    Map<String, Double> meanShares = new TreeMap<>();
                    runs.forEach(
                            outcome ->
                                    outcome.breakdown("lost")
                                            .forEach(
                                                    (reason, share) ->
                                                            meanShares.merge(
                                                                    reason,
                                                                    share / runs.size(),
                                                                    Double::sum)));
                    lossByCombination.put(levels, meanShares);
                    reasons.addAll(meanShares.keySet());
                });
        List<List<String>> rows = new ArrayList<>();
        outcomesByLevels.forEach(
                (levels, runs) -> {
                    List<String> row = row(levels);
                    reasons.forEach(
                            reason ->
                                    row.add(
                                            runs.isEmpty()
                                                    ? ""
                                                    : percent(
                                                            lossByCombination
                                                                    .get(levels)
                                                                    .getOrDefault(reason, 0.0))));
                    rows.add(row);
                });
        tables.add(
                new Table(
                        "What loss is made of",
                        "By what became of a caller's last try, in hundredths of the value offered;"
                                + " late: stood past the post-dial target; cut: stood and was cut.",
                        headers(reasons.toArray(String[]::new)),
                        rows));
    }

    private void addFailures() {
        List<List<String>> rows = new ArrayList<>();
        outcomes.stream()
                .filter(Outcome::failed)
                .forEach(outcome -> rows.add(List.of(outcome.id(), outcome.error())));
        if (!rows.isEmpty()) {
            tables.add(
                    new Table(
                            "Failed runs",
                            "They count nowhere above.",
                            List.of("run", "why"),
                            rows));
        }
    }

    /**
     * Returns the factor of the x axis: the first with several levels that are all numbers, or
     * null.
     */
    private ExperimentPlan.Factor xAxisFactor() {
        return plan.factors().stream()
                .filter(
                        factor ->
                                factor.levels().size() > 1
                                        && factor.levels().stream()
                                                .allMatch(level -> level.isNumber()))
                .findFirst()
                .orElse(null);
    }

    private void addCharts() throws IOException {
        ExperimentPlan.Factor xAxis = xAxisFactor();
        if (xAxis != null) {
            charts.put(
                    "value-served",
                    Charts.lines(
                            "Value served",
                            xAxis.key(),
                            "share of the value offered",
                            lines(xAxis, "share")));
            charts.put(
                    "worst-10s",
                    Charts.lines(
                            "Worst ten seconds",
                            xAxis.key(),
                            "share of the value offered",
                            lines(xAxis, "worst_10s")));
            charts.put(
                    "set-up-p99",
                    Charts.lines(
                            "Set-up delay, p99", xAxis.key(), "ms", lines(xAxis, "set_up_p99_ms")));
        }
        Map<String, Map<String, Double>> bars = new LinkedHashMap<>();
        outcomesByLevels.forEach(
                (levels, runs) -> {
                    if (!runs.isEmpty()) {
                        bars.put(String.join(" ", levels.values()), lossByCombination.get(levels));
                    }
                });
        charts.put("loss", Charts.bars("What loss is made of", "share of the value offered", bars));
    }

    private Map<String, List<Charts.Point>> lines(ExperimentPlan.Factor xAxis, String metric) {
        Map<String, List<Charts.Point>> lines = new LinkedHashMap<>();
        outcomesByLevels.forEach(
                (levels, runs) -> {
                    Map<String, String> otherLevels = new LinkedHashMap<>(levels);
                    double x = Double.parseDouble(otherLevels.remove(xAxis.key()));
                    String name =
                            otherLevels.isEmpty()
                                    ? plan.name()
                                    : String.join(" ", otherLevels.values());
                    lines.computeIfAbsent(name, line -> new ArrayList<>())
                            .add(new Charts.Point(x, estimate(runs, metric)));
                });
        return lines;
    }

    /** Returns the tables as Markdown, for a terminal or a page. */
    public String text() {
        StringBuilder text = new StringBuilder(heading()).append('\n');
        for (Table table : tables) {
            text.append('\n').append(table.title).append(". ").append(table.note).append("\n\n");
            text.append("| ").append(String.join(" | ", table.headers)).append(" |\n|");
            table.headers.forEach(header -> text.append(" --- |"));
            text.append('\n');
            table.rows.forEach(
                    row -> text.append("| ").append(String.join(" | ", row)).append(" |\n"));
        }
        return text.toString();
    }

    private String heading() {
        Set<String> versions = new LinkedHashSet<>();
        outcomes.forEach(outcome -> versions.add(outcome.version()));
        return plan.name()
                + ": "
                + outcomes.size()
                + " runs"
                + (failedCount > 0 ? ", " + failedCount + " of them failed" : "")
                + ", program "
                + String.join(" and ", versions)
                + (versions.size() > 1 ? " (mixed)" : "");
    }

    /** Writes {@code report.html} and the charts as PNG into a folder. */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        Charts.write(folder, charts);
        StringBuilder html =
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
        charts.forEach(
                (name, png) ->
                        html.append("<p><img alt=\"")
                                .append(escaped(name))
                                .append("\" src=\"data:image/png;base64,")
                                .append(Base64.getEncoder().encodeToString(png))
                                .append("\"></p>\n"));
        for (Table table : tables) {
            html.append("<h2>")
                    .append(escaped(table.title))
                    .append("</h2>\n<p>")
                    .append(escaped(table.note))
                    .append("</p>\n<table><tr>");
            table.headers.forEach(
                    header -> html.append("<th>").append(escaped(header)).append("</th>"));
            html.append("</tr>\n");
            for (List<String> row : table.rows) {
                html.append("<tr>");
                row.forEach(cell -> html.append("<td>").append(escaped(cell)).append("</td>"));
                html.append("</tr>\n");
            }
            html.append("</table>\n");
        }
        Files.writeString(folder.resolve("report.html"), html.append("</body></html>\n"));
    }

    /** Returns text with the special characters of HTML escaped. */
    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
