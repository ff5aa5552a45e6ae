package coralcove.experiment;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.internal.chartpart.Chart;

/** Renders charts as PNG by XChart: lines with confidence intervals, and stacked bars. */
final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 480;

    /** Distinguishable with red-green colour blindness; in print the markers distinguish series. */
    private static final Color[] COLOURS = {
        new Color(0, 92, 175),
        new Color(213, 94, 0),
        new Color(0, 135, 102),
        new Color(170, 70, 140),
        new Color(90, 90, 90),
        new Color(196, 150, 0),
        new Color(70, 150, 210)
    };

    /** A point of a line: the estimate of a metric at {@code x}. */
    record Point(double x, MeanEstimate estimate) {}

    private Charts() {}

    /**
     * Draws lines over x, each point with its confidence interval. A chart without points has a
     * title that says so.
     */
    static byte[] lines(String title, String xTitle, String yTitle, Map<String, List<Point>> lines)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(title)
                        .xAxisTitle(xTitle)
                        .yAxisTitle(yTitle)
                        .build();
        chart.getStyler()
                .setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Line)
                .setSeriesColors(COLOURS);
        applyStyle(chart);
        for (Map.Entry<String, List<Point>> line : lines.entrySet()) {
            List<Point> points =
                    line.getValue().stream().filter(point -> point.estimate.count() > 0).toList();
            if (!points.isEmpty()) {
                chart.addSeries(
                        line.getKey(),
                        points.stream().mapToDouble(Point::x).toArray(),
                        points.stream().mapToDouble(point -> point.estimate.mean()).toArray(),
                        points.stream().mapToDouble(point -> point.estimate.halfWidth()).toArray());
            }
        }
        return chart.getSeriesMap().isEmpty() ? emptyChart(title) : png(chart);
    }

    /** Draws one stacked bar per entry, from parts by name. */
    static byte[] bars(String title, String yTitle, Map<String, Map<String, Double>> bars)
            throws IOException {
        TreeSet<String> parts = new TreeSet<>();
        bars.values().forEach(bar -> parts.addAll(bar.keySet()));
        if (parts.isEmpty()) {
            return emptyChart(title);
        }
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(title)
                        .yAxisTitle(yTitle)
                        .build();
        chart.getStyler().setStacked(true).setXAxisLabelRotation(30).setSeriesColors(COLOURS);
        applyStyle(chart);
        List<String> names = new ArrayList<>(bars.keySet());
        for (String part : parts) {
            chart.addSeries(
                    part,
                    names,
                    names.stream().map(name -> bars.get(name).getOrDefault(part, 0.0)).toList());
        }
        return png(chart);
    }

    private static void applyStyle(Chart<?, ?> chart) {
        chart.getStyler()
                .setChartBackgroundColor(Color.WHITE)
                .setPlotBorderVisible(false)
                .setLegendBorderColor(Color.WHITE);
    }

    private static byte[] emptyChart(String title) throws IOException {
        XYChart chart =
                new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title + ": no data").build();
        applyStyle(chart);
        return png(chart);
    }

    private static byte[] png(Chart<?, ?> chart) throws IOException {
        return BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    }

    /** Writes charts into a folder, each as its name with {@code .png}. */
    static void write(Path folder, LinkedHashMap<String, byte[]> charts) throws IOException {
        for (Map.Entry<String, byte[]> chart : charts.entrySet()) {
            Files.write(folder.resolve(chart.getKey() + ".png"), chart.getValue());
        }
    }
}
