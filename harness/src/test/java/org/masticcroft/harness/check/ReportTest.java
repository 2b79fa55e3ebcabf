package org.masticcroft.harness.check;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReportTest {
    /** Guards against a reported violation without the events that led to it. */
    @Test
    void showsTheTimelineOfTheFirstViolationInOrderOfTime() {
        HistoryBuilder history = HistoryBuilder.create();
        history.order("a1", "1.a", 100).outcome("a1", 110, "{\"answer\":\"{}\",\"status\":500}");
        history.order("a2", "1.a", 120).outcome("a2", 130, "{\"status\":409}");
        history.mark("fault-begin", "s1", 95).mark("note", "far away", 90_000);
        history.serviceExecution("r-a2", "1.a", "s2", 125).serviceExecution("r-a1", "1.a", "s1", 105);
        Report report = Report.of(history.evidence());
        assertThat(report.violationCount()).isEqualTo(1);
        assertThat(report.lines()).contains("violations: 1");
        assertThat(report.lines().stream().filter(line -> line.startsWith("  ")).map(line -> line.split("\\{")[0]))
                .containsExactly(
                        "  95 mark ",
                        "  100 invoke ",
                        "  105 execution ",
                        "  110 outcome ",
                        "  120 invoke ",
                        "  125 execution ",
                        "  130 outcome ");
    }

    /** Guards against a run without any case that is taken for a successful one. */
    @Test
    void reportsInvariantsThatWereNotExercised() {
        Report report = Report.of(HistoryBuilder.create().evidence());
        assertThat(report.violationCount()).isZero();
        assertThat(report.lines())
                .filteredOn(line -> line.contains("not exercised"))
                .hasSize(7);
    }
}
