package org.masticcroft.gateway.hedge;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Hedges a request that has waited clearly longer than the 95th percentile of the recent times to the first byte of its
 * route and service, within a budget. Used on the event loop only.
 */
final class QuantileHedgePolicy implements HedgePolicy {
    /** Quantile of the times to the first byte after which a request is hedged: one request in twenty at most. */
    private static final double QUANTILE = 0.95;

    /**
     * Ratio of the delay to the quantile. Without it, ordinary responses just above the quantile use up the budget: in
     * a simulated load with one slow upstream of 36, the slowest hundredth of the responses then stays slow.
     */
    private static final double DELAY_RATIO = 1.25;

    /**
     * Minimum delay. The event loop of a loaded entry is late by some tens of milliseconds, which is no sign of a slow
     * upstream.
     */
    private static final Duration MIN_DELAY = Duration.ofMillis(50);

    /** Time that must be left after the predicted first byte of a hedge; predictions are off by about as much. */
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(100);

    private final HedgeBudget budget;
    private final TimeSource time;
    private final Map<HedgeKey, FirstByteTimes> times = new HashMap<>();

    QuantileHedgePolicy(HedgeBudget budget, TimeSource time) {
        this.budget = budget;
        this.time = time;
    }

    @Override
    public void recordRequest(String service) {
        budget.recordRequest(service);
    }

    @Override
    public void recordTimeToFirstByte(HedgeKey key, Duration timeToFirstByte) {
        times(key).record(timeToFirstByte, time.nanoTime());
    }

    @Override
    public Optional<Duration> delay(HedgeKey key) {
        return times(key)
                .quantile(QUANTILE, time.nanoTime())
                .map(quantile -> Duration.ofNanos((long) (DELAY_RATIO * quantile.toNanos())))
                .map(delay -> delay.compareTo(MIN_DELAY) < 0 ? MIN_DELAY : delay);
    }

    @Override
    public boolean worthwhile(HedgeKey key, Duration age, Duration predicted, Duration remaining) {
        return predicted.compareTo(times(key).expectedRest(age, time.nanoTime())) < 0
                && predicted.plus(DEADLINE_MARGIN).compareTo(remaining) < 0;
    }

    @Override
    public boolean available(String service) {
        return budget.available(service);
    }

    @Override
    public boolean tryAcquire(String service) {
        return budget.tryAcquire(service);
    }

    private FirstByteTimes times(HedgeKey key) {
        return times.computeIfAbsent(key, unused -> new FirstByteTimes());
    }
}
