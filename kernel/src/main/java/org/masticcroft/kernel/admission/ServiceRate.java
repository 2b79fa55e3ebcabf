package org.masticcroft.kernel.admission;

/** Rate at which the tickets of a rank or of a customer leave the queue, measured only while tickets wait. */
final class ServiceRate {
    /** A rate over a shorter time says little about the capacity. */
    private static final double MIN_SECONDS = 0.25;

    /** Older observations lose half their influence after this time, so that the rate follows the capacity. */
    private static final double MAX_SECONDS = 4;

    private static final double NANOS_PER_SECOND = 1e9;

    private long sinceNanos;
    private double polls;

    /** Starts a new busy period. */
    void start(long nowNanos) {
        sinceNanos = nowNanos;
        polls = 0;
    }

    void recordPoll(long nowNanos) {
        polls++;
        double seconds = (nowNanos - sinceNanos) / NANOS_PER_SECOND;
        if (seconds > MAX_SECONDS) {
            polls /= 2;
            sinceNanos = nowNanos - (long) (seconds / 2 * NANOS_PER_SECOND);
        }
    }

    /** Records that a ticket came back. */
    void recordReturn() {
        polls--;
    }

    /** Returns tickets per second, or positive infinity while the busy period is too short for an estimate. */
    double perSecond(long nowNanos) {
        double seconds = (nowNanos - sinceNanos) / NANOS_PER_SECOND;
        return seconds < MIN_SECONDS ? Double.POSITIVE_INFINITY : Math.max(polls, 1) / seconds;
    }
}
