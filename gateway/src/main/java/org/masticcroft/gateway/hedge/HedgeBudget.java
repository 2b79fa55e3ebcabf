package org.masticcroft.gateway.hedge;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.masticcroft.kernel.retry.RetryBudget;
import org.masticcroft.kernel.retry.SlidingRetryBudget;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Limits the hedges of each service to a share of its requests in a sliding window. Each entry keeps to the share of
 * its own requests, so the share holds over all entries without any message between them.
 */
final class HedgeBudget {
    private final double share;
    private final Duration window;
    private final TimeSource time;
    private final Map<String, RetryBudget> byService = new HashMap<>();

    private HedgeBudget(double share, Duration window, TimeSource time) {
        this.share = share;
        this.window = window;
        this.time = time;
    }

    /** Creates a budget without any recorded request, which permits no hedge. */
    static HedgeBudget of(double share, Duration window, TimeSource time) {
        return new HedgeBudget(share, window, time);
    }

    void recordRequest(String service) {
        budget(service).recordFirstAttempt(time.nanoTime());
    }

    boolean available(String service) {
        return budget(service).isAvailable(time.nanoTime());
    }

    boolean tryAcquire(String service) {
        return budget(service).tryAcquire(time.nanoTime());
    }

    private RetryBudget budget(String service) {
        return byService.computeIfAbsent(service, name -> SlidingRetryBudget.of(share, window));
    }
}
