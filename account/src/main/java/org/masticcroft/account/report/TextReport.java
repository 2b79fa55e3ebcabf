package org.masticcroft.account.report;

import java.util.Locale;
import java.util.StringJoiner;
import org.masticcroft.account.verify.Verification;

/** Renders plain text for a terminal. */
enum TextReport implements ReportFormat {
    INSTANCE;

    private static final String ROW_FORMAT = "%-20s %-12s %-20s %-10s %9s %9s %9s %9s %9s";

    @Override
    public String render(AccountReport report) {
        StringJoiner out = new StringJoiner("\n", "", "\n");
        Verification verification = report.verification();
        out.add((verification.isAuthentic() ? "verified" : "NOT AUTHENTIC") + ": " + verification.records()
                + " records in " + verification.batches() + " batches");
        verification.findings().forEach(finding -> out.add("finding  " + finding.kind() + ": " + finding.detail()));
        out.add(String.format(
                Locale.ROOT,
                ROW_FORMAT,
                "model",
                "version",
                "customer",
                "rank",
                "served",
                "failed",
                "refused",
                "uncertain",
                "mean ms"));
        report.groups().forEach((key, totals) -> out.add(row(key, totals)));
        verification.gaps().forEach(gap -> out.add("gap      " + gap.describe()));
        report.withoutEntryRecord().forEach(id -> out.add("evidence only from sidecars: " + id));
        return out.toString();
    }

    private static String row(AccountReport.GroupKey key, AccountReport.Totals totals) {
        return String.format(
                Locale.ROOT,
                ROW_FORMAT,
                key.model(),
                key.version(),
                key.customer(),
                key.rank(),
                totals.served(),
                totals.failed(),
                totals.refused(),
                totals.uncertain(),
                totals.meanMillis());
    }
}
