package org.masticcroft.gateway.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.RouteKind;
import org.masticcroft.kernel.verdict.Verdict;

class ProcessMetricsTest {
    private final ProcessMetrics metrics = ProcessMetrics.empty();

    @Test
    void countsRequestsByKindAndOutcome() {
        RequestMetrics requests = RequestMetrics.of(metrics);
        requests.ended(RouteKind.STREAM, 200, Verdict.RAN, "", 300);
        requests.ended(RouteKind.STREAM, 200, Verdict.RAN, "", 30);
        requests.ended(RouteKind.AT_MOST_ONCE, 502, Verdict.MAY_HAVE_RUN, "reset", 30);
        requests.attemptEnded("i-1", "reset");
        requests.refused(401, "unknown-key");
        assertThat(metrics.text().lines())
                .contains(
                        "masticcroft_requests_total{kind=\"stream\",status=\"200\",verdict=\"RAN\","
                                + "reason=\"served\"} 2",
                        "masticcroft_requests_total{kind=\"at-most-once\",status=\"502\",verdict=\"MAY_HAVE_RUN\","
                                + "reason=\"reset\"} 1",
                        "masticcroft_sends_total{upstream=\"i-1\",outcome=\"reset\"} 1",
                        "masticcroft_requests_refused_total{status=\"401\",reason=\"unknown-key\"} 1");
    }

    // Guards against buckets that are not cumulative and so cannot be added up across processes.
    @Test
    void countsADurationInEveryBucketAboveIt() {
        metrics.histogram("masticcroft_request_ms", "kind", "stream").observe(120);
        assertThat(metrics.text().lines())
                .contains(
                        "masticcroft_request_ms_bucket{kind=\"stream\",le=\"100\"} 0",
                        "masticcroft_request_ms_bucket{kind=\"stream\",le=\"150\"} 1",
                        "masticcroft_request_ms_bucket{kind=\"stream\",le=\"+Inf\"} 1",
                        "masticcroft_request_ms_sum{kind=\"stream\"} 120",
                        "masticcroft_request_ms_count{kind=\"stream\"} 1");
    }

    // Guards against memory use that grows with each upstream that was ever listed and each new label value.
    @Test
    void boundsTheNumberOfSeries() {
        RequestMetrics requests = RequestMetrics.of(metrics);
        for (int i = 0; i < 10_000; i++) {
            requests.attemptEnded("i-" + i, "reset");
            requests.refused(503, "reason-" + i);
        }
        assertThat(metrics.text().lines().count()).isLessThan(2100);
        assertThat(metrics.text().lines())
                .anyMatch(line -> line.startsWith("masticcroft_sends_total{upstream=\"other\""))
                .anyMatch(line -> line.startsWith("masticcroft_series_beyond_bound_total "));
    }

    @Test
    void escapesLabelValues() {
        assertThat(Series.of("m", "a", "x\"y\\z\n").text()).isEqualTo("m{a=\"x\\\"y\\\\z\\n\"}");
    }

    @Test
    void readsGaugesWhenFetched() {
        int[] value = {1};
        metrics.gauge(Series.of("masticcroft_open"), () -> value[0]);
        value[0] = 7;
        assertThat(metrics.text()).isEqualTo("masticcroft_open 7\n");
    }
}
