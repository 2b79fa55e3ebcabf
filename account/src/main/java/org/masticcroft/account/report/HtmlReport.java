package org.masticcroft.account.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.Date;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.time.Hour;
import org.jfree.data.time.TimeSeries;
import org.jfree.data.time.TimeSeriesCollection;
import org.masticcroft.account.verify.Verification;

/** Renders a self-contained HTML page with charts, formatted for A4 paper. */
enum HtmlReport implements ReportFormat {
    INSTANCE;

    private static final int CHART_WIDTH_PIXELS = 900;
    private static final int CHART_HEIGHT_PIXELS = 320;
    private static final String STYLE = """
            @page { size: A4 landscape; margin: 15mm }
            body { font: 11pt sans-serif; color: #111 }
            table { border-collapse: collapse; width: 100% }
            th, td { border-bottom: 1px solid #999; padding: 2pt 6pt; text-align: right }
            th:nth-child(-n+4), td:nth-child(-n+4) { text-align: left }
            tr, img { page-break-inside: avoid }
            img { max-width: 100% }
            thead { display: table-header-group }
            """;

    @Override
    public String render(AccountReport report) {
        Verification verification = report.verification();
        StringBuilder out = new StringBuilder("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<title>Account</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>Account</h1><p>")
                .append(verification.isAuthentic() ? "Verified" : "<strong>Not authentic</strong>")
                .append(": ")
                .append(verification.records())
                .append(" records in ")
                .append(verification.batches())
                .append(" batches.</p>");
        appendList(
                out,
                "Findings",
                verification.findings().stream()
                        .map(finding -> finding.kind() + ": " + finding.detail())
                        .toList());
        appendTable(out, report);
        appendChart(out, "Requests by rank", chartByRank(report));
        appendChart(out, "Requests by hour", chartByHour(report));
        appendList(
                out,
                "Gaps",
                verification.gaps().stream().map(Verification.Gap::describe).toList());
        appendList(out, "Requests known from sidecars only", report.withoutEntryRecord());
        return out.append("</body></html>\n").toString();
    }

    private static void appendTable(StringBuilder out, AccountReport report) {
        out.append("<h2>Requests</h2><table><thead><tr>");
        for (String column : new String[] {
            "model", "version", "customer", "rank", "served", "failed", "refused", "uncertain", "mean ms"
        }) {
            out.append("<th>").append(column).append("</th>");
        }
        out.append("</tr></thead><tbody>");
        report.groups().forEach((key, totals) -> {
            out.append("<tr>");
            appendCell(out, key.model());
            appendCell(out, key.version());
            appendCell(out, key.customer());
            appendCell(out, key.rank());
            appendCell(out, Long.toString(totals.served()));
            appendCell(out, Long.toString(totals.failed()));
            appendCell(out, Long.toString(totals.refused()));
            appendCell(out, Long.toString(totals.uncertain()));
            appendCell(out, Long.toString(totals.meanMillis()));
            out.append("</tr>");
        });
        out.append("</tbody></table>");
    }

    private static void appendCell(StringBuilder out, String text) {
        out.append("<td>").append(escapeHtml(text)).append("</td>");
    }

    private static void appendList(StringBuilder out, String title, Iterable<String> items) {
        if (items.iterator().hasNext()) {
            out.append("<h2>").append(title).append("</h2><ul>");
            items.forEach(item -> out.append("<li>").append(escapeHtml(item)).append("</li>"));
            out.append("</ul>");
        }
    }

    private static void appendChart(StringBuilder out, String title, JFreeChart chart) {
        chart.setBackgroundPaint(Color.WHITE);
        ByteArrayOutputStream image = new ByteArrayOutputStream();
        try {
            ChartUtils.writeChartAsPNG(image, chart, CHART_WIDTH_PIXELS, CHART_HEIGHT_PIXELS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        out.append("<h2>").append(title).append("</h2><img alt=\"").append(title);
        out.append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(image.toByteArray()))
                .append("\">");
    }

    private static JFreeChart chartByRank(AccountReport report) {
        SortedMap<String, AccountReport.Totals> ranks = new TreeMap<>();
        report.groups().forEach((key, totals) -> ranks.merge(key.rank(), totals, AccountReport.Totals::plus));
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        ranks.forEach((rank, totals) -> {
            data.addValue(totals.served(), "served", rank);
            data.addValue(totals.failed(), "failed", rank);
            data.addValue(totals.refused(), "refused", rank);
            data.addValue(totals.uncertain(), "uncertain", rank);
        });
        return ChartFactory.createStackedBarChart(
                null, "rank", "requests", data, PlotOrientation.HORIZONTAL, true, false, false);
    }

    private static JFreeChart chartByHour(AccountReport report) {
        TimeSeries series = new TimeSeries("requests");
        report.perHour().forEach((hour, count) -> series.add(new Hour(Date.from(hour)), count));
        JFreeChart chart = ChartFactory.createTimeSeriesChart(
                null, "hour", "requests", new TimeSeriesCollection(series), false, false, false);
        chart.getXYPlot().getRenderer().setDefaultStroke(new BasicStroke(2f));
        return chart;
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
