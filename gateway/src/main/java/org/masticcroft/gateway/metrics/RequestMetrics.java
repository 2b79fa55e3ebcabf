package org.masticcroft.gateway.metrics;

import java.util.Locale;
import org.masticcroft.gateway.config.RouteKind;
import org.masticcroft.kernel.verdict.Verdict;

/** Request metrics of an entry: requests by kind and outcome, and attempts by upstream and outcome. */
public final class RequestMetrics {
    /** Label value of requests and attempts that were answered and so have no failure reason. */
    private static final String SERVED = "served";

    private final ProcessMetrics metrics;

    private RequestMetrics(ProcessMetrics metrics) {
        this.metrics = metrics;
    }

    /** Creates request metrics that are kept in the metrics of the process. */
    public static RequestMetrics of(ProcessMetrics metrics) {
        return new RequestMetrics(metrics);
    }

    /** Records a request that was refused before it was matched to a route and a customer. */
    public void refused(int status, String reason) {
        metrics.count(Series.of("masticcroft_requests_refused_total", "status", status, "reason", reason));
    }

    /**
     * Records the end of a request.
     *
     * @param kind kind of the route
     * @param status status that the caller received; 0 if its connection was closed
     * @param verdict whether the request may have run
     * @param reason reason of a failure; empty if a response was passed on
     * @param millis time since the arrival, in milliseconds
     */
    public void ended(RouteKind kind, int status, Verdict verdict, String reason, long millis) {
        String kindLabel = kindLabel(kind);
        metrics.count(Series.of(
                "masticcroft_requests_total",
                "kind",
                kindLabel,
                "status",
                status,
                "verdict",
                verdict,
                "reason",
                reason.isEmpty() ? SERVED : reason));
        metrics.histogram("masticcroft_request_ms", "kind", kindLabel).observe(millis);
    }

    /** Records the time from the arrival of a request to the first byte of its response. */
    public void firstByte(RouteKind kind, long millis) {
        metrics.histogram("masticcroft_first_byte_ms", "kind", kindLabel(kind)).observe(millis);
    }

    /** Records the end of an attempt at an upstream; an empty reason stands for a complete response. */
    public void attemptEnded(String upstream, String reason) {
        metrics.count(Series.of(
                "masticcroft_sends_total",
                "upstream",
                metrics.upstreamLabel(upstream),
                "outcome",
                reason.isEmpty() ? SERVED : reason));
    }

    /** Records that a hedge of a service was sent or refused, or how it ended. */
    public void hedge(String service, String outcome) {
        metrics.count(Series.of("masticcroft_hedges_total", "service", service, "outcome", outcome));
    }

    private static String kindLabel(RouteKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
