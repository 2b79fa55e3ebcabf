package org.masticcroft.gateway.metrics;

/** What a sidecar counts of the weights that it brings to its engine. */
public final class WeightsMetrics {
    private final ProcessMetrics metrics;

    private WeightsMetrics(ProcessMetrics metrics) {
        this.metrics = metrics;
    }

    /** Creates the metrics of a sidecar. */
    public static WeightsMetrics of(ProcessMetrics metrics) {
        return new WeightsMetrics(metrics);
    }

    /** Records a piece that arrived with the right digest. */
    public void fetched(boolean fromOrigin) {
        piece(fromOrigin, "fetched");
    }

    /** Records a transfer that gave no piece, or a corrupt one. */
    public void failed(boolean fromOrigin, boolean corrupt) {
        piece(fromOrigin, corrupt ? "corrupt" : "not-given");
    }

    /** Records an order to the engine and its outcome. */
    public void ordered(String outcome) {
        metrics.count(Series.of("masticcroft_engine_orders_total", "outcome", outcome));
    }

    private void piece(boolean fromOrigin, String outcome) {
        metrics.count(
                Series.of("masticcroft_pieces_total", "source", fromOrigin ? "origin" : "peer", "outcome", outcome));
    }
}
