package org.masticcroft.account.report;

/** Renders a report. */
public interface ReportFormat {
    /** Returns the whole document. */
    String render(AccountReport report);

    /** Returns plain text for a terminal. */
    static ReportFormat text() {
        return TextReport.INSTANCE;
    }

    /** Returns comma-separated values with a header line, one line a group. */
    static ReportFormat csv() {
        return CsvReport.INSTANCE;
    }

    /** Returns a page with plots that needs no other file and prints on A4 paper. */
    static ReportFormat html() {
        return HtmlReport.INSTANCE;
    }
}
