package org.arbutuslock.testbed.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writes the reports of one run to a directory: report.txt, report.json and an SVG per plot. */
final class BenchOutput {
    private static final int WIDTH_PIXELS = 1_000;
    private static final int HEIGHT_PIXELS = 600;

    private final Path mDirectory;

    BenchOutput(Path directory) throws IOException {
        mDirectory = Files.createDirectories(directory);
    }

    static String toText(BenchEnvironment environment, List<BenchReport> reports) {
        StringBuilder text = new StringBuilder(environment.toText());
        reports.forEach(report -> text.append('\n').append(report.toText()).append('\n'));
        return text.toString();
    }

    void write(BenchEnvironment environment, List<BenchReport> reports) throws IOException {
        Files.writeString(mDirectory.resolve("report.txt"), toText(environment, reports));
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("environment", environment);
        fields.put("reports", reports.stream().map(BenchReport::toFields).toList());
        new ObjectMapper()
                .enable(SerializationFeature.INDENT_OUTPUT)
                .writeValue(mDirectory.resolve("report.json").toFile(), fields);
        for (BenchReport report : reports) {
            for (BenchPlot plot : report.plots()) {
                writePlot(report.name(), plot);
            }
        }
    }

    private void writePlot(String benchmark, BenchPlot plot) throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title(benchmark + ": " + plot.title())
                        .xAxisTitle(plot.horizontal())
                        .yAxisTitle(plot.vertical())
                        .build();
        chart.getStyler().setToolTipsEnabled(false);
        plot.series().forEach(series -> add(chart, series));
        if (chart.getSeriesMap().isEmpty()) {
            return;
        }
        String file = (benchmark + "-" + plot.title()).toLowerCase(Locale.ROOT);
        Path path = mDirectory.resolve(file.replaceAll("[^a-z0-9]+", "-") + ".svg");
        VectorGraphicsEncoder.saveVectorGraphic(chart, path.toString(), VectorGraphicsFormat.SVG);
    }

    /** Adds the finite points of a series. A fault that was not detected has an infinite time. */
    private static void add(XYChart chart, BenchPlot.Series series) {
        int[] finite =
                java.util.stream.IntStream.range(0, series.vertical().size())
                        .filter(index -> Double.isFinite(series.vertical().get(index)))
                        .toArray();
        if (finite.length > 0) {
            chart.addSeries(
                    series.name(),
                    java.util.Arrays.stream(finite).mapToDouble(series.horizontal()::get).toArray(),
                    java.util.Arrays.stream(finite).mapToDouble(series.vertical()::get).toArray());
        }
    }
}
