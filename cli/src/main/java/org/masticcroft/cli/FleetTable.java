package org.masticcroft.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.masticcroft.cli.fleet.FleetReport;
import picocli.CommandLine.Help.Ansi;
import picocli.CommandLine.Help.ColorScheme;
import picocli.CommandLine.Help.Column;
import picocli.CommandLine.Help.Column.Overflow;
import picocli.CommandLine.Help.TextTable;

/** Text form of a fleet report: one row for each instance. */
final class FleetTable {
    private static final int COLUMN_GAP = 2;
    private static final List<String> HEADINGS = List.of(
            "INSTANCE",
            "REGION",
            "STATE",
            "VERSION",
            "CONFIRMED",
            "UPSTREAM",
            "RUN/SLOTS+QUEUE",
            "MODELS READY",
            "CHUNKS");

    private FleetTable() {}

    static void print(PrintWriter out, FleetReport report) {
        out.println(report.versionKnown() ? report.summary() : "the version in force is not known");
        List<List<String>> rows = new ArrayList<>(List.of(HEADINGS));
        report.instances().forEach(instance -> rows.add(cells(instance)));
        TextTable table = TextTable.forColumns(new ColorScheme.Builder(Ansi.OFF).build(), columns(rows));
        rows.forEach(row -> table.addRowValues(row.toArray(new String[0])));
        out.print(table);
    }

    private static List<String> cells(FleetReport.Row row) {
        return List.of(
                row.id(),
                row.region() + "/" + row.dataCentre(),
                row.state().name().toLowerCase(Locale.ROOT),
                row.answered() ? String.valueOf(row.version()) : "-",
                confirmed(row),
                row.upstream().isEmpty() ? "-" : row.upstream() + (row.draining() ? " (draining)" : ""),
                row.slots() == 0 ? "-" : row.inFlight() + "/" + row.slots() + "+" + row.queued(),
                models(row),
                row.chunksTotal() == 0 ? "-" : row.chunksHeld() + "/" + row.chunksTotal());
    }

    private static String confirmed(FleetReport.Row row) {
        if (!row.answered()) {
            return "no answer";
        }
        return row.confirmed() ? "yes" : "no, for " + row.ageMillis() + " ms";
    }

    private static String models(FleetReport.Row row) {
        return row.models().isEmpty() ? (row.ready() ? "-" : "none") : String.join(" ", row.models());
    }

    private static Column[] columns(List<List<String>> rows) {
        Column[] columns = new Column[HEADINGS.size()];
        for (int i = 0; i < columns.length; i++) {
            int column = i;
            int width = rows.stream()
                    .mapToInt(row -> row.get(column).length())
                    .max()
                    .orElse(0);
            columns[i] = new Column(width + COLUMN_GAP, 0, Overflow.SPAN);
        }
        return columns;
    }
}
