package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.function.Supplier;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.WeightsMetrics;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/** Orders the engine to load the staged weights after all of them have been read back and verified. */
final class EngineLoader {
    /** Time for which an order is not repeated while no report shows its effect. */
    private static final Duration REPEAT_DELAY = Duration.ofMillis(600);

    private final LocalEngine engine;
    private final TimeSource time;
    private final DecisionLog log;
    private final WeightsMetrics metrics;
    private boolean orderSent;
    private long orderSentNanos;
    private long requestedVersion;
    private long begunVersion;

    EngineLoader(LocalEngine engine, TimeSource time, DecisionLog log, WeightsMetrics metrics) {
        this.engine = engine;
        this.time = time;
        this.log = log;
        this.metrics = metrics;
    }

    /** Discards the state of the last order, because the engine has restarted or the target version has changed. */
    void reset() {
        orderSent = false;
        requestedVersion = 0;
        begunVersion = 0;
    }

    /** Returns whether the engine has accepted the order to load a version; it no longer needs the staged pieces. */
    boolean begun(long version) {
        return begunVersion == version;
    }

    /**
     * Verifies the staged pieces and then sends the order. Does nothing if the engine is busy, if an order was sent
     * recently, or if the staged pieces are incomplete or being verified.
     *
     * @param staging staging area of the engine
     * @param model name of the model
     * @param version version of the staged pieces
     * @param report returns the newest report of the engine
     */
    void loadWhenReady(EngineStaging staging, String model, long version, Supplier<EngineReport> report) {
        boolean sentRecently = orderSent && time.since(orderSentNanos).compareTo(REPEAT_DELAY) < 0;
        if (report.get().busy() || sentRecently || staging.verifying() || !staging.complete()) {
            return;
        }
        requestedVersion = version;
        staging.verify(() -> sendOrder(staging, model, version, report));
    }

    private void sendOrder(EngineStaging staging, String model, long version, Supplier<EngineReport> report) {
        if (requestedVersion != version || report.get().busy()) {
            return;
        }
        orderSent = true;
        orderSentNanos = time.nanoTime();
        long sentNanos = orderSentNanos;
        engine.load(
                model,
                version,
                report.get().ordersBegun(),
                outcome -> recordOutcome(
                        staging, model, version, report.get().ordersBegun(), time.since(sentNanos), outcome));
    }

    private void recordOutcome(
            EngineStaging staging,
            String model,
            long version,
            long ordersBegun,
            Duration sinceSent,
            LocalEngine.OrderOutcome outcome) {
        metrics.ordered(outcome.name(), staging.oldestReadBackAge());
        if (outcome == LocalEngine.OrderOutcome.BEGUN) {
            begunVersion = version;
        }
        log.write(
                Event.ENGINE_ORDER,
                "order",
                "load",
                "model",
                model,
                "version",
                version,
                "orders",
                ordersBegun,
                "outcome",
                outcome,
                "sent_ms",
                sinceSent.toMillis(),
                "read_back_ms",
                staging.oldestReadBackAge().toMillis());
    }
}
