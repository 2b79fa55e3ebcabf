package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Predicts how long a request waits in the queue. The requests ahead of it are dispatched at the recent dispatch rate,
 * less the rate at which more urgent requests arrive and overtake it.
 */
final class WaitEstimate {
    /** Dispatch rate that is assumed before one was measured, in requests per second. */
    private static final double INITIAL_DISPATCH_RATE = 20;

    /** Minimum share of the dispatch rate that remains for a request, however many more urgent ones arrive. */
    private static final double MIN_DISPATCH_SHARE = 0.05;

    /** Time from dispatch to first byte that is assumed before one was measured. */
    private static final double INITIAL_FIRST_BYTE_MILLIS = 150;

    /** Weight of the newest response in the smoothed time to first byte. */
    private static final double FIRST_BYTE_SMOOTHING = 0.1;

    /** Maximum prediction; no caller waits longer than that. */
    private static final long MAX_WAIT_MILLIS = 60_000;

    private static final double MILLIS_PER_SECOND = 1000;

    private final RateMeter dispatches;
    private final Map<Integer, RateMeter> arrivals = new HashMap<>();
    private boolean measured;
    private double firstByteMillis = INITIAL_FIRST_BYTE_MILLIS;

    private WaitEstimate(long nowNanos) {
        this.dispatches = RateMeter.of(INITIAL_DISPATCH_RATE, nowNanos);
    }

    static WaitEstimate of(long nowNanos) {
        return new WaitEstimate(nowNanos);
    }

    void recordArrival(Rank rank, long nowNanos) {
        arrivals.computeIfAbsent(rank.order(), order -> RateMeter.of(0, nowNanos))
                .count();
    }

    void recordDispatch() {
        dispatches.count();
    }

    void recordTimeToFirstByte(Duration timeToFirstByte) {
        measured = true;
        firstByteMillis += FIRST_BYTE_SMOOTHING * (timeToFirstByte.toMillis() - firstByteMillis);
    }

    /** Returns the smoothed time from dispatch to first byte; zero before one was measured. */
    Duration measuredTimeToFirstByte() {
        return measured ? timeToFirstByte() : Duration.ZERO;
    }

    /** Returns the smoothed time from the dispatch of a request to the first byte of its response. */
    Duration timeToFirstByte() {
        return Duration.ofMillis((long) firstByteMillis);
    }

    /**
     * Updates the rates.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @param saturated whether requests wait, so that the dispatch rate shows the capacity of the upstreams
     */
    void update(long nowNanos, boolean saturated) {
        dispatches.update(nowNanos, saturated);
        arrivals.values().forEach(meter -> meter.update(nowNanos, true));
    }

    /**
     * Predicts the wait of a request.
     *
     * @param ahead number of requests to dispatch up to and including this one
     * @param priority position in the order of dispatch; arrivals with a lower one overtake the request
     */
    Duration predictWait(long ahead, double priority) {
        double overtakingRate = 0;
        for (Map.Entry<Integer, RateMeter> entry : arrivals.entrySet()) {
            if (entry.getKey() < priority) {
                overtakingRate += entry.getValue().perSecond();
            }
        }
        double remainingRate =
                Math.max(MIN_DISPATCH_SHARE * dispatches.perSecond(), dispatches.perSecond() - overtakingRate);
        double millis = MILLIS_PER_SECOND * ahead / Math.max(Double.MIN_NORMAL, remainingRate);
        return Duration.ofMillis((long) Math.min(MAX_WAIT_MILLIS, millis));
    }
}
