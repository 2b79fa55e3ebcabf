package org.masticcroft.account.report;

import java.util.StringJoiner;

enum CsvReport implements ReportFormat {
    INSTANCE;

    @Override
    public String render(AccountReport report) {
        StringJoiner out = new StringJoiner("\r\n", "", "\r\n");
        out.add("model,version,customer,rank,served,failed,refused,uncertain,mean_ms");
        report.groups()
                .forEach((key, figures) -> out.add(String.join(
                        ",",
                        quoted(key.model()),
                        quoted(key.version()),
                        quoted(key.customer()),
                        quoted(key.rank()),
                        Long.toString(figures.served()),
                        Long.toString(figures.failed()),
                        Long.toString(figures.refused()),
                        Long.toString(figures.uncertain()),
                        Long.toString(figures.meanMillis()))));
        return out.toString();
    }

    private static String quoted(String value) {
        boolean plain = value.chars().noneMatch(c -> c == ',' || c == '"' || c == '\n' || c == '\r');
        return plain ? value : '"' + value.replace("\"", "\"\"") + '"';
    }
}
