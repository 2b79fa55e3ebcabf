package org.masticcroft.account.report;

import java.util.StringJoiner;

/** Renders comma-separated values with a header line and one line per group. */
enum CsvReport implements ReportFormat {
    INSTANCE;

    @Override
    public String render(AccountReport report) {
        StringJoiner out = new StringJoiner("\r\n", "", "\r\n");
        out.add("model,version,customer,rank,served,failed,refused,uncertain,mean_ms");
        report.groups()
                .forEach((key, totals) -> out.add(String.join(
                        ",",
                        quoteIfNeeded(key.model()),
                        quoteIfNeeded(key.version()),
                        quoteIfNeeded(key.customer()),
                        quoteIfNeeded(key.rank()),
                        Long.toString(totals.served()),
                        Long.toString(totals.failed()),
                        Long.toString(totals.refused()),
                        Long.toString(totals.uncertain()),
                        Long.toString(totals.meanMillis()))));
        return out.toString();
    }

    private static String quoteIfNeeded(String value) {
        boolean plain = value.chars().noneMatch(c -> c == ',' || c == '"' || c == '\n' || c == '\r');
        return plain ? value : '"' + value.replace("\"", "\"\"") + '"';
    }
}
