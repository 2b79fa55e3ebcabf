package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Predicts how long a request waits: those ahead of it leave at the rate at which requests were sent lately, less the
 * rate at which more urgent ones arrive and overtake it.
 */
final class WaitEstimate {
    /** Rate of sends that is assumed before one was measured, in requests per second. */
    private static final double FIRST_RATE = 20;

    /** Share of the sends that is left to a request however many more urgent ones arrive. */
    private static final double LEAST_SHARE = 0.05;

    /** Time from the send to the first byte that is assumed before one was measured. */
    private static final double FIRST_BYTE_MILLIS = 150;

    /** Weight of the newest answer in the time to the first byte. */
    private static final double FIRST_BYTE_WEIGHT = 0.1;

    /** Longest time that is predicted; nobody waits longer than that. */
    private static final long MOST_MILLIS = 60_000;

    private static final double MILLIS_PER_SECOND = 1000;

    private final RateMeter sends;
    private final Map<Integer, RateMeter> arrivals = new HashMap<>();
    private double firstByteMillis = FIRST_BYTE_MILLIS;

    private WaitEstimate(long nowNanos) {
        this.sends = RateMeter.of(FIRST_RATE, nowNanos);
    }

    static WaitEstimate of(long nowNanos) {
        return new WaitEstimate(nowNanos);
    }

    void arrived(Rank rank, long nowNanos) {
        arrivals.computeIfAbsent(rank.order(), order -> RateMeter.of(0, nowNanos))
                .count();
    }

    void sent() {
        sends.count();
    }

    void recordTimeToFirstByte(Duration sinceSend) {
        firstByteMillis += FIRST_BYTE_WEIGHT * (sinceSend.toMillis() - firstByteMillis);
    }

    /** Returns the time from a send to the first byte of the answer. */
    Duration firstByte() {
        return Duration.ofMillis((long) firstByteMillis);
    }

    /**
     * Updates the rates.
     *
     * @param saturated whether requests wait, so that the rate of sends shows what the upstreams can take
     */
    void roll(long nowNanos, boolean saturated) {
        sends.roll(nowNanos, saturated);
        arrivals.values().forEach(meter -> meter.roll(nowNanos, true));
    }

    /**
     * Predicts a wait.
     *
     * @param ahead requests that are served before
     * @param order position in the order of service; arrivals with a lower one overtake the request
     */
    Duration wait(long ahead, double order) {
        double overtaking = 0;
        for (Map.Entry<Integer, RateMeter> entry : arrivals.entrySet()) {
            if (entry.getKey() < order) {
                overtaking += entry.getValue().perSecond();
            }
        }
        double left = Math.max(LEAST_SHARE * sends.perSecond(), sends.perSecond() - overtaking);
        double millis = MILLIS_PER_SECOND * ahead / Math.max(Double.MIN_NORMAL, left);
        return Duration.ofMillis((long) Math.min(MOST_MILLIS, millis));
    }
}
