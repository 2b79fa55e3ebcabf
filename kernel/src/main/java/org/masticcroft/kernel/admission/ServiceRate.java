package org.masticcroft.kernel.admission;

/** Rate at which tickets of a rank or a customer leave the queue, measured only while tickets wait. */
final class ServiceRate {
    /** Shortest busy period for an estimate; a rate over a shorter time says little about the capacity. */
    private static final double MIN_PERIOD_SECONDS = 0.25;

    /** Length of the period after which the weight of older polls is halved, so that the rate follows the capacity. */
    private static final double MAX_PERIOD_SECONDS = 4;

    private static final double NANOS_PER_SECOND = 1e9;

    private long periodStartNanos;
    private double polls;

    /** Starts a new busy period, that is, a time during which tickets wait without interruption. */
    void start(long nowNanos) {
        periodStartNanos = nowNanos;
        polls = 0;
    }

    void recordPoll(long nowNanos) {
        polls++;
        double seconds = (nowNanos - periodStartNanos) / NANOS_PER_SECOND;
        if (seconds > MAX_PERIOD_SECONDS) {
            polls /= 2;
            periodStartNanos = nowNanos - (long) (seconds / 2 * NANOS_PER_SECOND);
        }
    }

    /** Deducts the poll of a ticket that was preempted and returned to the queue. */
    void recordRequeue() {
        polls--;
    }

    /** Returns tickets per second, or positive infinity while the busy period is too short for an estimate. */
    double perSecond(long nowNanos) {
        double seconds = (nowNanos - periodStartNanos) / NANOS_PER_SECOND;
        return seconds < MIN_PERIOD_SECONDS ? Double.POSITIVE_INFINITY : Math.max(polls, 1) / seconds;
    }
}
