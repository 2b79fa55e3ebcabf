package org.masticcroft.kernel.retry;

import java.time.Duration;

/**
 * Permits retries up to a share of the first attempts in a sliding window. Attempts are counted in slices of a tenth of
 * the window. First attempts are counted over slightly less than the window and retries over slightly more, so that the
 * share is never exceeded in the window before a retry. There is no minimum: without first attempts, no retry is
 * permitted.
 */
public final class SlidingRetryBudget implements RetryBudget {
    private static final double DEFAULT_SHARE = 0.1;
    private static final Duration DEFAULT_WINDOW = Duration.ofSeconds(10);
    private static final int SLICES = 10;

    /** Number of slices whose first attempts count; two fewer than the window, because the arrival rate fluctuates. */
    private static final int FIRST_ATTEMPT_SLICES = SLICES - 2;

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

    /** Creates a budget of 10 % of the first attempts in a window of 10 s. */
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
            throw new IllegalArgumentException("retry share must be between 0 and 1: " + share);
        }
        if (window.toMillis() < SLICES) {
            throw new IllegalArgumentException("retry budget window must be at least 10 ms: " + window);
        }
        return new SlidingRetryBudget(share, window);
    }

    @Override
    public synchronized void recordFirstAttempt(long nowNanos) {
        advance(nowNanos);
        firstAttempts[index(currentSlice)]++;
    }

    @Override
    public synchronized boolean isAvailable(long nowNanos) {
        advance(nowNanos);
        return retriesInWindow() + 1 <= share * firstAttemptsInWindow();
    }

    @Override
    public synchronized boolean tryAcquire(long nowNanos) {
        if (!isAvailable(nowNanos)) {
            return false;
        }
        retries[index(currentSlice)]++;
        return true;
    }

    /** Moves to the slice of the given time and clears the slices that were skipped. */
    private void advance(long nowNanos) {
        long slice = Math.floorDiv(nowNanos, sliceNanos);
        if (!started) {
            started = true;
            currentSlice = slice;
        }
        long elapsedSlices = Math.min(slice - currentSlice, SLICES + 1);
        for (long step = 1; step <= elapsedSlices; step++) {
            firstAttempts[index(slice - elapsedSlices + step)] = 0;
            retries[index(slice - elapsedSlices + step)] = 0;
        }
        currentSlice = Math.max(currentSlice, slice);
    }

    private long firstAttemptsInWindow() {
        long sum = 0;
        for (int age = 0; age < FIRST_ATTEMPT_SLICES; age++) {
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
