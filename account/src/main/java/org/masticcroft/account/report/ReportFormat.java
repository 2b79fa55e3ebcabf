package org.masticcroft.account.report;

/** Output format of a report. */
public interface ReportFormat {
    /** Renders a report as a complete document. */
    String render(AccountReport report);

    /** Returns the format for terminals: plain text. */
    static ReportFormat text() {
        return TextReport.INSTANCE;
    }

    /** Returns the CSV format: a header line and one line per group. */
    static ReportFormat csv() {
        return CsvReport.INSTANCE;
    }

    /** Returns the HTML format: a self-contained page with charts, formatted for A4 paper. */
    static ReportFormat html() {
        return HtmlReport.INSTANCE;
    }
}
