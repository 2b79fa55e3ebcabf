package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.function.Supplier;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.WeightsMetrics;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/** Orders the engine to load the staged weights, after all of them were read back and found right. */
final class LoadOrder {
    /** Time for which an order that has not shown in a report is not repeated. */
    private static final Duration PAUSE = Duration.ofMillis(600);

    private final LocalEngine engine;
    private final TimeSource time;
    private final DecisionLog log;
    private final WeightsMetrics metrics;
    private boolean given;
    private long givenNanos;
    private long version;

    LoadOrder(LocalEngine engine, TimeSource time, DecisionLog log, WeightsMetrics metrics) {
        this.engine = engine;
        this.time = time;
        this.log = log;
        this.metrics = metrics;
    }

    /** Forgets the last order, because the engine restarted or another version is wanted. */
    void forget() {
        given = false;
        version = 0;
    }

    /**
     * Gives the order unless the engine is busy or was ordered a moment ago.
     *
     * @param area staging area that holds all pieces
     * @param model name of the model
     * @param wanted version that is staged
     * @param report gives the newest report of the engine
     */
    void give(EngineStaging area, String model, long wanted, Supplier<EngineReport> report) {
        boolean pausing = given && time.since(givenNanos).compareTo(PAUSE) < 0;
        if (report.get().busy() || pausing || area.checking() || !area.complete()) {
            return;
        }
        version = wanted;
        area.check(() -> order(model, wanted, report));
    }

    private void order(String model, long wanted, Supplier<EngineReport> report) {
        if (version != wanted || report.get().busy()) {
            return;
        }
        given = true;
        givenNanos = time.nanoTime();
        engine.load(
                model,
                wanted,
                report.get().ordersBegun(),
                outcome -> ended(model, wanted, report.get().ordersBegun(), outcome));
    }

    private void ended(String model, long wanted, long ordersBegun, LocalEngine.OrderOutcome outcome) {
        metrics.ordered(outcome.name());
        log.write(
                Event.ENGINE_ORDER,
                "order",
                "load",
                "model",
                model,
                "version",
                wanted,
                "orders",
                ordersBegun,
                "outcome",
                outcome);
    }
}
