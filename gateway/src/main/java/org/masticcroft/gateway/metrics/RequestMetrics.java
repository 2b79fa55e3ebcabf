package org.masticcroft.gateway.metrics;

import java.util.Locale;
import org.masticcroft.gateway.config.RouteKind;
import org.masticcroft.kernel.verdict.Verdict;

/** What an entry counts of its requests: by kind and outcome, and by engine and outcome of each send. */
public final class RequestMetrics {
    private static final String SERVED = "served";

    private final ProcessMetrics metrics;

    private RequestMetrics(ProcessMetrics metrics) {
        this.metrics = metrics;
    }

    /** Creates the metrics of an entry. */
    public static RequestMetrics of(ProcessMetrics metrics) {
        return new RequestMetrics(metrics);
    }

    /** Records a request that was refused before it was matched to a route or customer. */
    public void refused(int status, String reason) {
        metrics.count(Series.of("masticcroft_requests_refused_total", "status", status, "reason", reason));
    }

    /**
     * Records the end of a request.
     *
     * @param kind kind of its route
     * @param status status that the caller received; 0 if its connection was closed
     * @param verdict whether the request may have run
     * @param reason reason of a failure; empty for an answer that was passed on
     * @param millis time since the arrival, in milliseconds
     */
    public void ended(RouteKind kind, int status, Verdict verdict, String reason, long millis) {
        String label = label(kind);
        metrics.count(Series.of(
                "masticcroft_requests_total",
                "kind",
                label,
                "status",
                status,
                "verdict",
                verdict,
                "reason",
                reason.isEmpty() ? SERVED : reason));
        metrics.histogram("masticcroft_request_ms", "kind", label).observe(millis);
    }

    /** Records the time from the arrival of a request to the first byte of its answer. */
    public void firstByte(RouteKind kind, long millis) {
        metrics.histogram("masticcroft_first_byte_ms", "kind", label(kind)).observe(millis);
    }

    /** Records how a send to an engine ended; an empty reason stands for a complete answer. */
    public void sendEnded(String upstream, String reason) {
        metrics.count(Series.of(
                "masticcroft_sends_total",
                "upstream",
                metrics.upstreamLabel(upstream),
                "outcome",
                reason.isEmpty() ? SERVED : reason));
    }

    private static String label(RouteKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
