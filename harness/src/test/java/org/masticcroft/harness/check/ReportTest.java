package org.masticcroft.harness.check;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReportTest {
    /** Guards against a violation that nobody can trace to what happened. */
    @Test
    void showsTheTrailOfTheFirstViolationInOrderOfTime() {
        HistoryBuilder history = HistoryBuilder.create();
        history.order("a1", "1.a", 100).outcome("a1", 110, "{\"answer\":\"{}\",\"status\":500}");
        history.order("a2", "1.a", 120).outcome("a2", 130, "{\"status\":409}");
        history.mark("fault-begin", "s1", 95).mark("note", "far away", 90_000);
        history.serviceRan("r-a2", "1.a", "s2", 125).serviceRan("r-a1", "1.a", "s1", 105);
        Report report = Report.of(history.evidence());
        assertThat(report.violations()).isEqualTo(1);
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

    /** Guards against an empty run that is taken for a passed one. */
    @Test
    void saysWhichInvariantsWereNotExercised() {
        Report report = Report.of(HistoryBuilder.create().evidence());
        assertThat(report.violations()).isZero();
        assertThat(report.lines())
                .filteredOn(line -> line.contains("not exercised"))
                .hasSize(7);
    }
}
