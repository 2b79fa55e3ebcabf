package org.masticcroft.gateway.metrics;

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

    /** Records an order to the engine and its outcome. */
    public void ordered(String outcome) {
        metrics.count(Series.of("masticcroft_engine_orders_total", "outcome", outcome));
    }

    private void countPiece(boolean fromOrigin, String outcome) {
        metrics.count(
                Series.of("masticcroft_pieces_total", "source", fromOrigin ? "origin" : "peer", "outcome", outcome));
    }
}
