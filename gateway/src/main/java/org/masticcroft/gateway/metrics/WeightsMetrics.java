package org.masticcroft.gateway.metrics;

import java.time.Duration;

/** Weights metrics of a sidecar: pieces fetched by source and outcome, and orders to its engine by outcome. */
public final class WeightsMetrics {
    private final ProcessMetrics metrics;

    private WeightsMetrics(ProcessMetrics metrics) {
        this.metrics = metrics;
    }

    /** Creates weights metrics that are kept in the metrics of the process. */
    public static WeightsMetrics of(ProcessMetrics metrics) {
        return new WeightsMetrics(metrics);
    }

    /** Records a piece that was fetched and whose digest is right. */
    public void fetched(boolean fromOrigin) {
        countPiece(fromOrigin, "fetched");
    }

    /** Records a fetch that returned no piece, or a corrupt one. */
    public void failed(boolean fromOrigin, boolean corrupt) {
        countPiece(fromOrigin, corrupt ? "corrupt" : "not-given");
    }

    /**
     * Records an order to the engine and its outcome.
     *
     * @param outcome the outcome
     * @param readBackAge time from the oldest read-back of the staged pieces to the outcome
     */
    public void ordered(String outcome, Duration readBackAge) {
        metrics.count(Series.of("masticcroft_engine_orders_total", "outcome", outcome));
        metrics.histogram("masticcroft_engine_order_read_back_age_ms", "outcome", outcome)
                .observe(readBackAge.toMillis());
    }

    private void countPiece(boolean fromOrigin, String outcome) {
        metrics.count(
                Series.of("masticcroft_pieces_total", "source", fromOrigin ? "origin" : "peer", "outcome", outcome));
    }
}
