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

/** Writes a report as a CSV table and as a bar chart of how much of its bound each value uses. */
public final class ReportWriter {
    private static final String HEADER = "decision,scenario,policy,metric,value,bound,kept";
    private static final int WIDTH_PIXELS = 1400;
    private static final int PIXELS_PER_BAR = 18;
    private static final int MARGIN_PIXELS = 160;

    /** Uses of a bound beyond this are drawn at it, so that a baseline does not flatten the other bars. */
    private static final double MAX_DRAWN_USE = 4;

    private ReportWriter() {}

    /**
     * Writes {@code <decision>.csv} and {@code <decision>.png}.
     *
     * @throws IOException if a file cannot be written
     */
    public static void write(Report report, Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.write(directory.resolve(report.decision() + ".csv"), lines(report));
        int bars = (int)
                report.measures().stream().filter(m -> m.bound().isPresent()).count();
        ChartUtils.saveChartAsPNG(
                directory.resolve(report.decision() + ".png").toFile(),
                chart(report),
                WIDTH_PIXELS,
                MARGIN_PIXELS + bars * PIXELS_PER_BAR);
    }

    /** Returns the lines of the CSV table. */
    public static List<String> lines(Report report) {
        List<String> lines = new ArrayList<>(List.of(HEADER));
        for (Measure measure : report.measures()) {
            lines.add(String.join(
                    ",",
                    report.decision(),
                    measure.scenario(),
                    measure.policy(),
                    measure.metric(),
                    String.format(Locale.ROOT, "%.4f", measure.value()),
                    measure.bound().map(Bound::toString).orElse(""),
                    measure.bound()
                            .map(b -> b.isKeptBy(measure.value()) ? "yes" : "no")
                            .orElse("")));
        }
        return lines;
    }

    private static JFreeChart chart(Report report) {
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        for (Measure measure : report.measures()) {
            measure.bound()
                    .ifPresent(bound -> data.addValue(
                            Math.min(bound.use(measure.value()), MAX_DRAWN_USE),
                            measure.policy(),
                            measure.scenario() + ": " + measure.metric()));
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
