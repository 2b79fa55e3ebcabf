package org.masticcroft.kernel.retry;

import java.time.Duration;

/**
 * Permits retries up to a share of the first attempts in a sliding window, counted in slices of a tenth of the window.
 * First attempts are counted over slightly less than the window and retries over slightly more, so the share is never
 * exceeded in the window before a retry. There is no minimum: without first attempts there are no retries.
 */
public final class SlidingRetryBudget implements RetryBudget {
    private static final double DEFAULT_SHARE = 0.1;
    private static final Duration DEFAULT_WINDOW = Duration.ofSeconds(10);
    private static final int SLICES = 10;

    /** Slices whose first attempts count; two fewer than the window, because arrivals fluctuate. */
    private static final int COUNTED_SLICES = SLICES - 2;

    private final double share;
    private final long sliceNanos;
    private final long[] firstAttempts = new long[SLICES + 1];
    private final long[] retries = new long[SLICES + 1];
    private long currentSlice;
    private boolean started;

    private SlidingRetryBudget(double share, Duration window) {
        this.share = share;
        this.sliceNanos = window.toNanos() / SLICES;
    }

    /** Creates a budget of 10 % of the first attempts over 10 s. */
    public static SlidingRetryBudget of() {
        return of(DEFAULT_SHARE, DEFAULT_WINDOW);
    }

    /**
     * Creates a budget.
     *
     * @param share retries per first attempt, between 0 and 1
     * @param window length of the sliding window, at least 10 ms
     */
    public static SlidingRetryBudget of(double share, Duration window) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("share of retries is not between 0 and 1: " + share);
        }
        if (window.toMillis() < SLICES) {
            throw new IllegalArgumentException("window of the retry budget is shorter than 10 ms: " + window);
        }
        return new SlidingRetryBudget(share, window);
    }

    @Override
    public synchronized void recordFirstAttempt(long nowNanos) {
        advance(nowNanos);
        firstAttempts[index(currentSlice)]++;
    }

    @Override
    public synchronized boolean tryAcquire(long nowNanos) {
        advance(nowNanos);
        if (retriesInWindow() + 1 > share * firstAttemptsInWindow()) {
            return false;
        }
        retries[index(currentSlice)]++;
        return true;
    }

    private void advance(long nowNanos) {
        long slice = Math.floorDiv(nowNanos, sliceNanos);
        if (!started) {
            started = true;
            currentSlice = slice;
        }
        long steps = Math.min(slice - currentSlice, SLICES + 1);
        for (long step = 1; step <= steps; step++) {
            firstAttempts[index(slice - steps + step)] = 0;
            retries[index(slice - steps + step)] = 0;
        }
        currentSlice = Math.max(currentSlice, slice);
    }

    private long firstAttemptsInWindow() {
        long sum = 0;
        for (int age = 0; age < COUNTED_SLICES; age++) {
            sum += firstAttempts[index(currentSlice - age)];
        }
        return sum;
    }

    private long retriesInWindow() {
        long sum = 0;
        for (long count : retries) {
            sum += count;
        }
        return sum;
    }

    private static int index(long slice) {
        return (int) Math.floorMod(slice, (long) (SLICES + 1));
    }
}
