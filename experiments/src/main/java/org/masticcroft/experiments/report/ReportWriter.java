package org.masticcroft.experiments.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.CategoryLabelPositions;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.data.category.DefaultCategoryDataset;

/** Writes a report as a CSV table and as a bar chart of each value relative to its bound. */
public final class ReportWriter {
    private static final String HEADER = "decision,scenario,policy,metric,value,bound,kept";
    private static final int WIDTH_PIXELS = 1400;
    private static final int PIXELS_PER_BAR = 18;
    private static final int MARGIN_PIXELS = 160;

    /** Longer bars are cut off here, so that a baseline far beyond its bound does not flatten the other bars. */
    private static final double MAX_DRAWN_FRACTION = 4;

    private ReportWriter() {}

    /**
     * Writes {@code <decision>.csv} and {@code <decision>.png}.
     *
     * @throws IOException if a file cannot be written
     */
    public static void write(Report report, Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.write(directory.resolve(report.decision() + ".csv"), lines(report));
        int bars = (int) report.measurements().stream()
                .filter(measurement -> measurement.bound().isPresent())
                .count();
        ChartUtils.saveChartAsPNG(
                directory.resolve(report.decision() + ".png").toFile(),
                chart(report),
                WIDTH_PIXELS,
                MARGIN_PIXELS + bars * PIXELS_PER_BAR);
    }

    /** Returns the lines of the CSV table. */
    public static List<String> lines(Report report) {
        List<String> lines = new ArrayList<>(List.of(HEADER));
        for (Measurement measurement : report.measurements()) {
            lines.add(String.join(
                    ",",
                    report.decision(),
                    measurement.scenario(),
                    measurement.policy(),
                    measurement.metric(),
                    String.format(Locale.ROOT, "%.4f", measurement.value()),
                    measurement.bound().map(Bound::toString).orElse(""),
                    measurement
                            .bound()
                            .map(bound -> bound.isSatisfiedBy(measurement.value()) ? "yes" : "no")
                            .orElse("")));
        }
        return lines;
    }

    private static JFreeChart chart(Report report) {
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        for (Measurement measurement : report.measurements()) {
            measurement
                    .bound()
                    .ifPresent(bound -> data.addValue(
                            Math.min(bound.usedFraction(measurement.value()), MAX_DRAWN_FRACTION),
                            measurement.policy(),
                            measurement.scenario() + ": " + measurement.metric()));
        }
        JFreeChart chart = ChartFactory.createBarChart(
                report.decision() + ": part of the bound used (1 is the bound)",
                "",
                "part of the bound",
                data,
                PlotOrientation.HORIZONTAL,
                true,
                false,
                false);
        CategoryPlot plot = chart.getCategoryPlot();
        plot.addRangeMarker(new ValueMarker(1, Color.BLACK, new BasicStroke(2)));
        plot.getDomainAxis().setCategoryLabelPositions(CategoryLabelPositions.STANDARD);
        plot.getDomainAxis().setMaximumCategoryLabelWidthRatio(0.5f);
        return chart;
    }
}
