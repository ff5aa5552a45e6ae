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

/** Pictures of tables, by XChart: lines with their intervals, and stacked bars. */
final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 480;

    /** Told apart by those who do not tell red from green, and in print by their markers. */
    private static final Color[] COLOURS = {
        new Color(0, 92, 175),
        new Color(213, 94, 0),
        new Color(0, 135, 102),
        new Color(170, 70, 140),
        new Color(90, 90, 90),
        new Color(196, 150, 0),
        new Color(70, 150, 210)
    };

    /** One point of a line. */
    record Point(double x, Sample sample) {}

    private Charts() {}

    /** Lines over x, each point with its interval; a picture without points says so. */
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
        look(chart);
        for (Map.Entry<String, List<Point>> each : lines.entrySet()) {
            List<Point> points =
                    each.getValue().stream().filter(p -> p.sample.count() > 0).toList();
            if (!points.isEmpty()) {
                chart.addSeries(
                        each.getKey(),
                        points.stream().mapToDouble(Point::x).toArray(),
                        points.stream().mapToDouble(p -> p.sample.mean()).toArray(),
                        points.stream().mapToDouble(p -> p.sample.halfWidth()).toArray());
            }
        }
        return chart.getSeriesMap().isEmpty() ? nothing(title) : png(chart);
    }

    /** Bars of parts on top of one another, one bar an entry. */
    static byte[] bars(String title, String yTitle, Map<String, Map<String, Double>> bars)
            throws IOException {
        TreeSet<String> parts = new TreeSet<>();
        bars.values().forEach(each -> parts.addAll(each.keySet()));
        if (parts.isEmpty()) {
            return nothing(title);
        }
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(title)
                        .yAxisTitle(yTitle)
                        .build();
        chart.getStyler().setStacked(true).setXAxisLabelRotation(30).setSeriesColors(COLOURS);
        look(chart);
        List<String> names = new ArrayList<>(bars.keySet());
        for (String part : parts) {
            chart.addSeries(
                    part,
                    names,
                    names.stream().map(name -> bars.get(name).getOrDefault(part, 0.0)).toList());
        }
        return png(chart);
    }

    private static void look(Chart<?, ?> chart) {
        chart.getStyler()
                .setChartBackgroundColor(Color.WHITE)
                .setPlotBorderVisible(false)
                .setLegendBorderColor(Color.WHITE);
    }

    private static byte[] nothing(String title) throws IOException {
        XYChart chart =
                new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title + ": no data").build();
        look(chart);
        return png(chart);
    }

    private static byte[] png(Chart<?, ?> chart) throws IOException {
        return BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    }

    /** Writes pictures by name into a folder. */
    static void write(Path folder, LinkedHashMap<String, byte[]> pictures) throws IOException {
        for (Map.Entry<String, byte[]> each : pictures.entrySet()) {
            Files.write(folder.resolve(each.getKey() + ".png"), each.getValue());
        }
    }
}
