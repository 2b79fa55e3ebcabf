package org.masticcroft.gateway.dispatch;

/** Measures the rate of events in windows of half a second, with exponential smoothing. */
final class RateMeter {
    /** Weight of the newest window in the smoothed rate. */
    private static final double SMOOTHING = 0.35;

    private static final long WINDOW_NANOS = 500_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private double rate;
    private int count;
    private long windowStartNanos;
    private boolean windowRepresentative;

    private RateMeter(double initialRate, long nowNanos) {
        this.rate = initialRate;
        this.windowStartNanos = nowNanos;
    }

    /** Creates a meter that starts with the given rate, in events per second. */
    static RateMeter of(double initialRate, long nowNanos) {
        return new RateMeter(initialRate, nowNanos);
    }

    void count() {
        count++;
    }

    /** Returns the smoothed rate in events per second. */
    double perSecond() {
        return rate;
    }

    /**
     * Ends the current window if it has lasted long enough, and adds it to the rate.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @param representative whether the events since the last update represent the rate; a window without any
     *     representative update is ignored
     */
    void update(long nowNanos, boolean representative) {
        windowRepresentative |= representative;
        long elapsedNanos = nowNanos - windowStartNanos;
        if (elapsedNanos < WINDOW_NANOS) {
            return;
        }
        if (windowRepresentative) {
            rate += SMOOTHING * (count * NANOS_PER_SECOND / elapsedNanos - rate);
        }
        windowRepresentative = false;
        count = 0;
        windowStartNanos = nowNanos;
    }
}
