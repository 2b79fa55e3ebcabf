package org.masticcroft.gateway.dispatch;

/** Rate of events, smoothed over windows of half a second. */
final class RateMeter {
    /** Weight of the newest window in the rate. */
    private static final double WEIGHT = 0.35;

    private static final long WINDOW_NANOS = 500_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private double rate;
    private int counted;
    private long sinceNanos;
    private boolean counting;

    private RateMeter(double firstRate, long nowNanos) {
        this.rate = firstRate;
        this.sinceNanos = nowNanos;
    }

    /** Creates a meter that shows the given rate, in events per second, until a window was measured. */
    static RateMeter of(double firstRate, long nowNanos) {
        return new RateMeter(firstRate, nowNanos);
    }

    void count() {
        counted++;
    }

    /** Returns the rate in events per second. */
    double perSecond() {
        return rate;
    }

    /**
     * Ends the window if it is over.
     *
     * @param nowNanos monotonic time
     * @param representative whether the window shows the rate; if not, it is left out
     */
    void roll(long nowNanos, boolean representative) {
        counting |= representative;
        long interval = nowNanos - sinceNanos;
        if (interval < WINDOW_NANOS) {
            return;
        }
        if (counting) {
            rate += WEIGHT * (counted * NANOS_PER_SECOND / interval - rate);
        }
        counting = false;
        counted = 0;
        sinceNanos = nowNanos;
    }
}
